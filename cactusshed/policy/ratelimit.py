"""Limit on the requests per second that a target in need names for itself.

Load pattern: a worn target can't take its share of full traffic. It names its limit in
every answer for as long as the limit holds, so an answer without one ends it. Answers
overtake each other, so only the answer to a request that was sent after the limit was
last named counts as such.
"""

import attrs

from .coldstart import TokenBucket

__all__ = ["NamedRateLimit"]

MIN_RATE = 0.25
"""Requests per second to a target that names a lower limit, or zero: without any
request, the end of the limit would not be noticed."""
BURST_SECONDS = 1.0
"""Time for which unused starts are kept: the limit is one of requests per second."""


@attrs.define
class NamedRateLimit:
    """The limit that one target names; times are in monotonic seconds."""

    rate: float | None = None
    """Requests per second; `None` without a limit."""
    bucket: TokenBucket = attrs.Factory(lambda: TokenBucket(MIN_RATE, 1.0))
    starts: int = 0
    """Requests started since the last change of the limit that was logged."""
    _named_at: float = float("-inf")
    _valid_from: float = float("-inf")
    """Time from which requests were sent to the present process of the target."""
    _is_answered: bool = False
    """Whether an answer of the target was read, so that its limit is known."""

    @property
    def interval(self) -> float:
        """Return the mean time between two requests in seconds; 0 without a limit."""
        return 1 / self.rate if self.rate else 0.0

    def note_answer(self, rate: float | None, sent_at: float, now: float) -> bool:
        """Record the limit in the answer to a request sent at `sent_at`.

        Returns whether the limit changed.
        """
        if sent_at < self._valid_from:
            return False
        self._is_answered = True
        if rate is not None:
            return self.set_rate(rate, now)
        if self.rate is None or sent_at <= self._named_at:
            return False
        self.rate = None
        return True

    def set_rate(self, rate: float, now: float) -> bool:
        """Record a limit; return whether it changed."""
        previous, self.rate = self.rate, max(MIN_RATE, rate)
        self._named_at = now
        if self.rate == previous:
            return False
        if previous is None:
            self.bucket.empty(now)
        else:
            self.bucket.fill(now)
        self.bucket.rate = self.rate
        self.bucket.burst = max(1.0, self.rate * BURST_SECONDS)
        return True

    def restore(self, rate: float, now: float) -> None:
        """Take over the lowest limit that other nodes remember until the first answer.

        They may have missed its end, but a limit that is missed harms the target.
        """
        if rate and not self._is_answered:
            self.set_rate(min(rate, self.rate or rate), now)

    def reset(self, now: float) -> None:
        """Forget the limit, because another process of the target has taken over."""
        self.rate = None
        self._is_answered = True
        self._valid_from = now
