"""Clocks: monotonic time for intervals, wall time for records."""

import time
from collections.abc import Callable

__all__ = ["read_monotonic", "read_wall", "set_monotonic"]

_read = time.monotonic


def read_monotonic() -> float:
    """Return seconds from an arbitrary start; use it for every interval."""
    return _read()


def set_monotonic(read: Callable[[], float]) -> Callable[[], float]:
    """Take monotonic time from `read`, as emulations do; return what it was."""
    global _read
    before, _read = _read, read
    return before


read_wall = time.time
"""Return seconds since the Unix epoch; use it only for records and expiries."""
