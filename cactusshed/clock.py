"""Clocks: monotonic time for intervals, boot time for leases, wall time for records."""

import time
from collections.abc import Callable

__all__ = ["read_boottime", "read_monotonic", "read_wall", "set_monotonic"]

_read = time.monotonic


def read_monotonic() -> float:
    """Return seconds since an arbitrary start; use it for all intervals."""
    return _read()


def read_boottime() -> float:
    """Return seconds since the host started, including those it was suspended for."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def set_monotonic(read: Callable[[], float]) -> Callable[[], float]:
    """Replace the monotonic clock, as emulations do; return the previous one."""
    global _read
    previous, _read = _read, read
    return previous


read_wall = time.time
"""Return seconds since the Unix epoch; use it only for records and expiries."""
