"""How fast a target that may be cold is given requests.

Load pattern: a target starts, returns or is taken back amid full traffic, and
falls over when it gets the rate of a warm one. Nobody announces it at once, so a
target is held cold from any sign of a restart until it is shown warm.
"""

import attrs

__all__ = ["ColdGuard", "TokenBucket"]

RATE_PART = 0.7
"""Part of the allowed excess that is used; the rest covers requests that are sent
evenly and arrive in a bunch."""
MIN_RATE = 1.0
"""Requests a second for a service whose settings name no rate."""


@attrs.define
class TokenBucket:
    """At most `burst` at once and `rate` a second."""

    rate: float
    burst: float
    _level: float = 0.0
    _at: float = 0.0

    def fill(self, now: float) -> None:
        """Add what has accrued."""
        self._level = min(self.burst, self._level + (now - self._at) * self.rate)
        self._at = now

    def empty(self, now: float) -> None:
        """Start again without tokens."""
        self._level = 0.0
        self._at = now

    def count(self, now: float) -> int:
        """Return the whole tokens at hand."""
        self.fill(now)
        return int(self._level)

    def take(self, now: float) -> None:
        """Take one token, also one that is not there yet."""
        self.fill(now)
        self._level -= 1.0


@attrs.define
class ColdGuard:
    """Whether one target is cold; times are monotonic seconds.

    It is cold until `until`, and beyond that while it is doubted: after a sign
    of a restart only the target's own word makes it warm.
    """

    rate: float = MIN_RATE
    burst: float = 1.0
    until: float = 0.0
    is_doubted: bool = True
    bucket: TokenBucket = attrs.Factory(lambda: TokenBucket(MIN_RATE, 1.0))

    def adjust(self, rate: float, factor: float, slack: float) -> None:
        """Take over what the service's cold targets bear.

        They bear `rate` requests a second, and in one second at the most
        `factor` times that and `slack` more.
        """
        self.bucket.rate = max(MIN_RATE, rate * (1 + RATE_PART * (factor - 1)))
        self.bucket.burst = max(1.0, slack)

    def doubt(self, now: float) -> None:
        """Hold the target cold until it says otherwise."""
        if not self.is_cold(now):
            self.bucket.empty(now)
        self.is_doubted = True

    def hear(self, seconds: float, now: float) -> None:
        """Take the target's word that it is cold for `seconds` more."""
        if seconds > 0 and not self.is_cold(now):
            self.bucket.empty(now)
        self.is_doubted = False
        self.until = now + seconds

    def is_cold(self, now: float) -> bool:
        """Return whether starts are bounded."""
        return self.is_doubted or now < self.until
