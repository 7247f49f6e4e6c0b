"""Counts of the calls sent to the local target, by organisation and window."""

from collections.abc import Callable

from ..policy.truetime import TrueTime
from ..policy.usagewindows import MAX_KEPT_WINDOWS

__all__ = ["UsageCounter"]

BIN_SECONDS = 0.125
"""Length of the bins in which calls count while the true time is unknown: 2.5 % of a
window."""

Counts = dict[str, int]


class UsageCounter:
    """Counts calls in the window in which they were sent to the target.

    Until the clock has been compared with those of other nodes, calls count in short
    bins of boot time, which are assigned to windows afterwards.
    """

    def __init__(
        self, seconds: float, clock: TrueTime, read_boottime: Callable[[], float]
    ) -> None:
        """Count in windows of `seconds`."""
        self.windows: dict[int, Counts] = {}
        self._seconds = seconds
        self._clock = clock
        self._read_boottime = read_boottime
        self._bins: dict[int, Counts] = {}
        self._assigned: dict[int, int] = {}
        """Windows to which the calls of earlier bins were assigned."""
        self._counts: Counts = {}
        self._key = 0
        self._begin = self._end = 0.0
        self._touched: set[int] = set()

    def start(self, tenant: str) -> int:
        """Count a call that is being sent; return the key of its counts for `undo`."""
        now = self._read_boottime()
        if not self._begin <= now < self._end:
            self._select_counts(now)
        counts = self._counts
        counts[tenant] = counts.get(tenant, 0) + 1
        return self._key

    def undo(self, tenant: str, key: int) -> None:
        """Uncount a call that the target did not run."""
        counts = self._bins.get(key)
        if counts is None:
            window = self._assigned.get(key, key)
            counts = self.windows.get(window, {})
            self._touched.add(window)
        if counts.get(tenant, 0) > 0:
            counts[tenant] -= 1

    def _find_window(self, now: float) -> int:
        return int((now + self._clock.get_offset()) // self._seconds)

    def _select_counts(self, now: float) -> None:
        if not self._clock.is_settled(now):
            number = int(now // BIN_SECONDS)
            # Windows are positive.
            self._key = -1 - number
            self._counts = self._bins.setdefault(self._key, {})
            self._begin, self._end = number * BIN_SECONDS, (number + 1) * BIN_SECONDS
            return
        window = self._key = self._find_window(now)
        self._touched.add(window)
        self._counts = self.windows.setdefault(window, {})
        self._begin = window * self._seconds - self._clock.get_offset()
        self._end = self._begin + self._seconds
        while len(self.windows) > MAX_KEPT_WINDOWS:
            del self.windows[min(self.windows)]

    def refresh(self, now: float) -> None:
        """Apply the present estimate of the true time."""
        self._begin = self._end = 0.0
        if not self._clock.is_settled(now):
            return
        for key, counts in self._bins.items():
            number = -1 - key
            window = self._find_window((number + 0.5) * BIN_SECONDS)
            self._assigned[key] = window
            total = self.windows.setdefault(window, {})
            self._touched.add(window)
            for tenant, count in counts.items():
                total[tenant] = total.get(tenant, 0) + count
        self._bins.clear()

    def take_touched(self) -> set[int]:
        """Return the windows whose counts may have changed since the last call."""
        touched = {window for window in self._touched if window in self.windows}
        self._touched.clear()
        return touched

    def drop_before(self, window: int) -> None:
        """Forget the windows before `window`."""
        for number in [number for number in self.windows if number < window]:
            del self.windows[number]
