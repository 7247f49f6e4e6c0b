"""Admission of requests whose targets make calls that find no room.

Load pattern: a service that others call is cold or short of targets. Requests
that are admitted in front of it hold slots, make their calls, are refused and
fail, and the work of both services is lost. The gate of the calling target then
admits, of each route whose runs make calls, only as many requests as lately had
their calls served. Requests that make no calls are not held back.
"""

from collections.abc import Iterator

import attrs

from .bound import Allowance
from .cold import TokenBucket

__all__ = ["Backpressure", "CallingRoutes"]

STEP_SECONDS = 0.2
"""Time between two adjustments: some twenty calls of a loaded target."""
MIN_CALLS = 4
"""Calls in a step below which their refusals say little."""
REFUSED_SHARE = 0.05
"""Share of refused calls at which the rate falls: two calls a request fail one
request in ten."""
RISE = 1.25
"""Factor by which the rate rises in a step without refusals: threefold in a second,
as fast as warmed targets take more."""
RELEASE_FACTOR = 2.0
"""A rate this many times what is asked for holds nothing back and is lifted."""
MIN_RATE = 2.0
"""Requests a second that always pass, so that recovery is seen."""
BURST = 3.0


@attrs.define
class Backpressure:
    """Bound on one gate's admissions of one route; times are monotonic seconds."""

    rate: float | None = None
    bucket: TokenBucket = attrs.Factory(lambda: TokenBucket(MIN_RATE, BURST))
    _calls: int = 0
    _refused: int = 0
    _starts: int = 0
    _began: float = 0.0

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
            if self.rate is None:
                self.bucket.empty(now)
            current = pace if self.rate is None else min(pace, self.rate)
            self._set(max(MIN_RATE, (1 - share) * current), now)
        elif self.rate is not None:
            if self.rate > max(MIN_RATE, RELEASE_FACTOR * pace):
                self.rate = None
            else:
                self._set(self.rate * RISE, now)

    def _set(self, rate: float, now: float) -> None:
        self.bucket.fill(now)
        self.rate = self.bucket.rate = rate

    def count_tokens(self, now: float) -> int:
        """Return the admissions that may happen now, while there is a bound."""
        return self.bucket.count(now)


@attrs.define
class CallingRoutes:
    """The bounds of one gate by route; only routes whose runs make calls have one."""

    _bounds: dict[str, Backpressure] = attrs.Factory(dict)

    def note_call(self, route: str, *, refused: bool) -> None:
        """Count a call by a run of `route`, and whether it found no room."""
        self._bounds.setdefault(route, Backpressure()).note_call(refused)

    def note_start(self, route: str, now: float) -> None:
        """Count an admission of `route`."""
        bound = self._bounds.get(route)
        if bound is not None:
            bound.note_start(now)

    def step(self, now: float) -> Iterator[tuple[str, float | None]]:
        """Adjust the rates; yield each route whose rate changed, and that rate."""
        for route, bound in self._bounds.items():
            if bound.step(now):
                yield route, bound.rate

    def list_allowances(self, now: float) -> dict[str, Allowance]:
        """Return what is allowed now to each route that is held back."""
        return {
            route: Allowance(bound.rate, bound.count_tokens(now))
            for route, bound in self._bounds.items()
            if bound.rate is not None
        }

    def get_lowest_rate(self) -> float:
        """Return the lowest rate in force, 0 when no route is held back."""
        rates = [b.rate for b in self._bounds.values() if b.rate is not None]
        return min(rates, default=0.0)
