"""Limits on the rate of requests sent to a target that may be cold.

Load pattern: a target starts, returns or is put back into service under full
traffic and fails if it receives the rate of a warm target. Restarts are not
announced immediately, so a target counts as cold from any sign of a restart
until it reports that it is warm. A target to which there was no connection may have
restarted unseen; it is checked before it gets more than a cold one may get.
"""

import attrs

__all__ = ["ColdStartGuard", "TokenBucket"]

EXCESS_FRACTION = 0.7
"""Fraction of the allowed excess over the mean rate that is used; the rest absorbs
requests that are sent at an even rate but arrive in a burst."""
MIN_RATE = 1.0
"""Requests per second until the settings of the service are known."""


@attrs.define
class TokenBucket:
    """Token bucket that holds up to `burst` tokens and gains `rate` per second."""

    rate: float
    burst: float
    _tokens: float = 0.0
    _updated_at: float = 0.0

    def fill(self, now: float) -> None:
        """Add the tokens accrued since the last update."""
        self._tokens = min(
            self.burst, self._tokens + (now - self._updated_at) * self.rate
        )
        self._updated_at = now

    def empty(self, now: float) -> None:
        """Discard all tokens."""
        self._tokens = 0.0
        self._updated_at = now

    def count(self, now: float) -> int:
        """Return the number of whole tokens available."""
        self.fill(now)
        return int(self._tokens)

    def take(self, now: float) -> None:
        """Take one token; the balance may become negative."""
        self.fill(now)
        self._tokens -= 1.0


@attrs.define
class ColdStartGuard:
    """Cold state and start limit of one target; times are in monotonic seconds.

    The target is cold until `cold_until`, and also while a restart is suspected: after
    a sign of a restart, only a report from the target itself ends the suspicion.
    `is_unseen` says that it may have restarted unseen.
    """

    rate: float = MIN_RATE
    burst: float = 1.0
    cold_until: float = 0.0
    restart_suspected: bool = True
    is_unseen: bool = False
    has_rate: bool = True
    """Whether cold targets of the service need a limit; without one they are only
    slower for a while."""
    bucket: TokenBucket = attrs.Factory(lambda: TokenBucket(MIN_RATE, 1.0))

    def adjust(self, rate: float, factor: float, slack: float) -> None:
        """Set the load that a cold target of the service tolerates.

        It tolerates `rate` requests per second on average, and in any one second
        at most `factor` times `rate` plus `slack` requests. Rate 0 stands for a service
        whose cold targets need no limit.
        """
        self.has_rate = rate > 0
        self.bucket.rate = max(MIN_RATE, rate * (1 + EXCESS_FRACTION * (factor - 1)))
        self.bucket.burst = max(1.0, slack)

    def suspect_restart(self, now: float) -> None:
        """Treat the target as cold until it reports how long it will be cold."""
        if not self.is_cold(now):
            self.bucket.empty(now)
        self.restart_suspected = True
        self.is_unseen = False

    def note_start(self, now: float, *, may_have_restarted: bool) -> bool:
        """Record the start of a request.

        Returns whether the target must be suspected of a restart: it may have restarted
        unseen and has got as many requests as a cold one may get.
        """
        self.is_unseen = self.is_unseen or may_have_restarted
        if self.is_cold(now) or self.is_unseen:
            self.bucket.take(now)
        return self.has_rate and self.is_unseen and self.bucket.count(now) <= 0

    def limits_starts(self, now: float) -> bool:
        """Return whether the bucket limits the starts at present."""
        return self.has_rate and self.is_cold(now)

    def set_cold_time(self, seconds: float, now: float) -> None:
        """Record the target's report that it will be cold for `seconds` more."""
        if seconds > 0 and not self.is_cold(now):
            self.bucket.empty(now)
        self.restart_suspected = False
        self.cold_until = now + seconds

    def is_cold(self, now: float) -> bool:
        """Return whether the target counts as cold."""
        return self.restart_suspected or now < self.cold_until
