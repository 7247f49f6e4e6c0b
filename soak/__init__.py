"""Randomized soak test: runs real nodes, injects faults and checks the guarantees.

python -m soak --seed 7 --nodes 6 --seconds 25
"""
