"""Timeout that clients send with their first attempts at a route.

Load pattern: during overload many requests are retries, whose clients have less time
left than at first; the difference tells when they began. Clients may send any timeout,
so a few with odd ones must not shift the others.
"""

import heapq

import attrs

__all__ = ["FirstTimeout"]

WINDOW = 32
"""Requests from which the timeout of first attempts is taken."""
RANK = 8
"""Rank, from the longest, of the timeout that is taken. Seven odd ones don't change it,
and first attempts may be as few as a quarter of the requests."""


@attrs.define
class FirstTimeout:
    """Usual timeout of the first attempts at one route, in seconds.

    It is 0 until a window of requests has been seen.
    """

    seconds: float = 0.0
    _timeouts: list[float] = attrs.Factory(list)

    def note(self, timeout: float) -> None:
        """Record the timeout of a request."""
        self._timeouts.append(timeout)
        if len(self._timeouts) >= WINDOW:
            self.seconds = heapq.nlargest(RANK, self._timeouts)[-1]
            self._timeouts.clear()

    def compute_elapsed(self, timeout: float) -> float:
        """Return the time for which a client with this timeout has been trying."""
        return max(0.0, self.seconds - timeout)
