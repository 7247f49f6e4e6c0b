"""Admission of requests whose targets make calls that find no room.

Load pattern: a service that others call is cold or short of targets. Requests
that are admitted in front of it hold slots, make their calls, are refused and
fail, and the work of both services is lost. The gate of the calling target then
admits only as many requests as lately had their calls served.
"""

import attrs

from .cold import TokenBucket

__all__ = ["Backpressure"]

STEP_SECONDS = 0.2
"""Time between two adjustments: some twenty calls of a loaded target."""
MIN_CALLS = 4
"""Calls in a step below which their refusals say little."""
REFUSED_SHARE = 0.08
"""Share of refused calls at which the rate falls: two calls a request fail one
request in six."""
FALL = 0.8
"""Factor by which the rate falls in a step."""
RISE = 1.25
"""Factor by which the rate rises in other steps: threefold in a second, as fast as
warmed targets take more."""
RELEASE_SECONDS = 0.8
"""Time without refusals after which the bound is lifted."""
MIN_RATE = 2.0
"""Requests a second that always pass, so that recovery is seen."""
BURST = 3.0


@attrs.define
class Backpressure:
    """Bound on one gate's admissions; times are monotonic seconds."""

    rate: float | None = None
    bucket: TokenBucket = attrs.Factory(lambda: TokenBucket(MIN_RATE, BURST))
    _calls: int = 0
    _refused: int = 0
    _starts: int = 0
    _began: float = 0.0
    _refused_at: float = float("-inf")

    def note_call(self, refused: bool) -> None:
        """Count a call of the target, and whether it found no room."""
        self._calls += 1
        self._refused += refused

    def note_start(self, now: float) -> None:
        """Count an admission."""
        self._starts += 1
        if self.rate is not None:
            self.bucket.take(now)

    def step(self, now: float) -> bool:
        """Adjust the rate when a step is over; return whether it changed."""
        spent = now - self._began
        if spent < STEP_SECONDS:
            return False
        before = self.rate
        self._adjust(self._starts / spent, now)
        self._calls = self._refused = self._starts = 0
        self._began = now
        return self.rate != before

    def _adjust(self, pace: float, now: float) -> None:
        share = self._refused / self._calls if self._calls else 0.0
        if self._calls >= MIN_CALLS and share > REFUSED_SHARE:
            self._refused_at = now
            if self.rate is None:
                self.bucket.empty(now)
            current = pace if self.rate is None else min(pace, self.rate)
            self._set(max(MIN_RATE, FALL * current), now)
        elif self.rate is not None:
            if now - self._refused_at > RELEASE_SECONDS:
                self.rate = None
            else:
                self._set(self.rate * RISE, now)

    def _set(self, rate: float, now: float) -> None:
        self.bucket.fill(now)
        self.rate = self.bucket.rate = rate

    def count_tokens(self, now: float) -> int:
        """Return the admissions that may happen now, while there is a bound."""
        return self.bucket.count(now)
