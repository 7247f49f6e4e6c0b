"""Admission limits for requests whose downstream calls are refused.

Load pattern: a downstream service is cold or has too few targets. Requests
admitted by the upstream service occupy slots, make their downstream calls, are
refused and fail, and the work of both services is wasted. For each route that
makes downstream calls, the gate of the calling target therefore admits only as
many requests as recently had their calls served. Routes that make no calls are
not throttled.

A target that refuses requests which its gate has admitted, below its stated slots, does
so at any rate of requests. Throttling their callers would not help: it stopped nearly
all requests of a route of which a third needed no calls. So only calls that found no
room at any gate count as refused.
"""

from collections.abc import Iterator

import attrs

from .coldstart import TokenBucket
from .startlimits import StartLimit

__all__ = ["Backpressure", "RouteBackpressure", "is_refused_for_load"]

STEP_SECONDS = 0.2
"""Time between two adjustments, in which a loaded target makes about 20 calls."""
MIN_CALLS = 4
"""Calls in a step below which the share of refused calls is not significant."""
REFUSED_SHARE = 0.05
"""Share of refused calls above which the rate is reduced; with two calls per
request, 5% refused calls fail 10% of the requests."""
GROWTH_FACTOR = 1.25
"""Factor by which the rate grows in each step without too many refusals; it
triples in a second, as fast as the capacity of warming targets grows."""
RELEASE_FACTOR = 2.0
"""Ratio of the rate to the observed start rate above which the limit is removed."""
MIN_RATE = 2.0
"""Requests per second that always pass, so that a recovery is detected."""
BURST = 3.0
"""Requests that may start at once while a limit is in force."""


def is_refused_for_load(arrivals: int, *, has_run: bool) -> bool:
    """Return whether a call that reached `arrivals` targets was refused for their load.

    `has_run` is true for a call that may have run.
    """
    return not has_run and not arrivals


@attrs.define
class Backpressure:
    """Admission limit for one route at one gate; times are in monotonic seconds."""

    rate: float | None = None
    """Admissions per second; `None` while there is no limit."""
    bucket: TokenBucket = attrs.Factory(lambda: TokenBucket(MIN_RATE, BURST))
    _calls: int = 0
    _refused: int = 0
    _starts: int = 0
    _step_start: float = 0.0

    def note_call(self, refused: bool) -> None:
        """Count a downstream call and whether it was refused."""
        self._calls += 1
        self._refused += refused

    def note_start(self, now: float) -> None:
        """Count an admission."""
        self._starts += 1
        if self.rate is not None:
            self.bucket.take(now)

    def step(self, now: float) -> bool:
        """Adjust the rate at the end of a step; return whether it changed."""
        elapsed = now - self._step_start
        if elapsed < STEP_SECONDS:
            return False
        previous = self.rate
        self._adjust(self._starts / elapsed, now)
        self._calls = self._refused = self._starts = 0
        self._step_start = now
        return self.rate != previous

    def _adjust(self, start_rate: float, now: float) -> None:
        refused_share = self._refused / self._calls if self._calls else 0.0
        if self._calls >= MIN_CALLS and refused_share > REFUSED_SHARE:
            if self.rate is None:
                self.bucket.empty(now)
            base_rate = start_rate if self.rate is None else min(start_rate, self.rate)
            self._set_rate(max(MIN_RATE, (1 - refused_share) * base_rate), now)
        elif self.rate is not None:
            if self.rate > max(MIN_RATE, RELEASE_FACTOR * start_rate):
                self.rate = None
            else:
                self._set_rate(self.rate * GROWTH_FACTOR, now)

    def _set_rate(self, rate: float, now: float) -> None:
        self.bucket.fill(now)
        self.rate = self.bucket.rate = rate

    def count_tokens(self, now: float) -> int:
        """Return how many requests may start now while a limit is in force."""
        return self.bucket.count(now)


@attrs.define
class RouteBackpressure:
    """Limits of one gate by route; only routes with downstream calls have one."""

    _throttles: dict[str, Backpressure] = attrs.Factory(dict)

    def note_call(self, route: str, *, refused: bool) -> None:
        """Count a downstream call of `route` and whether it was refused."""
        self._throttles.setdefault(route, Backpressure()).note_call(refused)

    def note_start(self, route: str, now: float) -> None:
        """Count an admission of `route`."""
        throttle = self._throttles.get(route)
        if throttle is not None:
            throttle.note_start(now)

    def step(self, now: float) -> Iterator[tuple[str, float | None]]:
        """Adjust the rates; yield (route, rate) for each rate that changed."""
        for route, throttle in self._throttles.items():
            if throttle.step(now):
                yield route, throttle.rate

    def list_start_limits(self, now: float) -> dict[str, StartLimit]:
        """Return the current start limit of each throttled route."""
        return {
            route: StartLimit(throttle.rate, throttle.count_tokens(now))
            for route, throttle in self._throttles.items()
            if throttle.rate is not None
        }

    def get_lowest_rate(self) -> float:
        """Return the lowest rate in force, or 0 if no route is throttled."""
        rates = [
            throttle.rate
            for throttle in self._throttles.values()
            if throttle.rate is not None
        ]
        return min(rates, default=0.0)
