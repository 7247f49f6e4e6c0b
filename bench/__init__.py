"""Benchmarks: each prints tables; bounds are counts and ratios, never times."""
