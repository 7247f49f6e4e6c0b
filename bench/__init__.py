"""Benchmarks that print tables; bounds are set on counts and ratios, never on times."""
