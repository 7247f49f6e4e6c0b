"""Clocks: monotonic time for intervals, wall time for records."""

import time

__all__ = ["read_monotonic", "read_wall"]

read_monotonic = time.monotonic
"""Return seconds from an arbitrary start; use it for every interval."""

read_wall = time.time
"""Return seconds since the Unix epoch; use it only for records and expiries."""
