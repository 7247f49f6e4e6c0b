"""Randomized soak: real nodes as processes, faults from outside, promises checked.

python -m soak --seed 7 --nodes 6 --seconds 25
"""
