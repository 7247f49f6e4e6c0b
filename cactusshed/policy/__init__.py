"""Decisions as pure functions and plain state: no I/O, time is an argument."""
