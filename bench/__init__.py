"""Benchmarks: each prints a table; bounds are counts and ratios, never times."""
