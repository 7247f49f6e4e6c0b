"""Longest idle time after which a connection to a target is used again.

Load pattern: a target, or something between, forgets idle connections without closing
them. A request on such a connection is reset at once, and as it may have run, one that
must not run twice is lost. Connections that were idle for less still work.
"""

from collections import deque

import attrs

__all__ = ["IdleLimit"]

MIN_IDLE_SECONDS = 0.1
"""Idle time below which a reset has another cause, such as a full target."""
MAX_RESET_SECONDS = 0.1
"""Time after a request within which the reset of a forgotten connection arrives."""
WINDOW_SECONDS = 2.0
"""Time for which resets and successes count."""
MIN_RESETS = 2
"""Resets that show a pattern; a single one may have any cause."""
LIMIT_FRACTION = 0.5
"""Fraction of the shortest idle time with a reset that is used as the limit."""
HOLD_SECONDS = 5.0
"""Time after the last reset for which the limit holds."""


@attrs.define
class IdleLimit:
    """What became of requests on connections that had been idle.

    Entries are pairs of a monotonic time and the idle time before the request.
    """

    _resets: deque[tuple[float, float]] = attrs.Factory(deque)
    _successes: deque[tuple[float, float]] = attrs.Factory(deque)
    _limit: float = float("inf")
    _held_until: float = 0.0

    def note_success(self, idle: float, now: float) -> None:
        """Record an answer on a connection that had been idle for `idle` seconds."""
        if idle >= MIN_IDLE_SECONDS:
            _add(self._successes, idle, now)

    def note_reset(self, idle: float, after: float, now: float) -> bool:
        """Record a reset `after` seconds after the request.

        Returns whether a limit is set.
        """
        if idle < MIN_IDLE_SECONDS or after > MAX_RESET_SECONDS:
            return False
        _add(self._resets, idle, now)
        longest = max((i for t, i in self._successes if _is_recent(t, now)), default=0)
        idles = [i for t, i in self._resets if _is_recent(t, now) and i > longest]
        if len(idles) < MIN_RESETS:
            return False
        self._limit = min(self.get(now), LIMIT_FRACTION * min(idles))
        self._held_until = now + HOLD_SECONDS
        return True

    def get(self, now: float) -> float:
        """Return the longest idle time in seconds; infinite without a limit."""
        return self._limit if now < self._held_until else float("inf")


def _is_recent(time: float, now: float) -> bool:
    return now - time <= WINDOW_SECONDS


def _add(entries: deque[tuple[float, float]], idle: float, now: float) -> None:
    entries.append((now, idle))
    while not _is_recent(entries[0][0], now):
        entries.popleft()
