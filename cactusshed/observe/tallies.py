"""Tallies: call outcomes and times by service, version, route and target."""

import math
from collections.abc import Iterator

import attrs

__all__ = ["TIME_BUCKETS", "Tallies", "Tally", "TallyKey", "choose_time_bucket"]

TIME_BUCKETS = 40
"""Number of call time buckets; two for each doubling of the time, from 0.1 ms up."""
LOWEST_SECONDS = 1e-4
BUCKETS_PER_DOUBLING = 2


def choose_time_bucket(seconds: float) -> int:
    """Return the index of the bucket for a call time."""
    if seconds <= LOWEST_SECONDS:
        return 0
    bucket = 1 + int(BUCKETS_PER_DOUBLING * math.log2(seconds / LOWEST_SECONDS))
    return min(TIME_BUCKETS - 1, bucket)


@attrs.frozen
class TallyKey:
    """The attributes by which calls are tallied."""

    service: str
    version: str
    route: str
    target: str


@attrs.define
class Tally:
    """Counts of calls since the process started; they never decrease."""

    calls: int = 0
    failures: int = 0
    times: list[int] = attrs.Factory(lambda: [0] * TIME_BUCKETS)


class Tallies:
    """One tally for each key."""

    def __init__(self) -> None:
        """Start empty."""
        self._tallies: dict[TallyKey, Tally] = {}

    def record(self, key: TallyKey, seconds: float | None, failed: bool) -> None:
        """Record one call; `seconds` is `None` if the target started recently.

        Its time is then left out of the comparison of versions.
        """
        tally = self._tallies.setdefault(key, Tally())
        tally.calls += 1
        tally.failures += failed
        if seconds is not None:
            tally.times[choose_time_bucket(seconds)] += 1

    def list_service(self, service: str) -> Iterator[tuple[TallyKey, Tally]]:
        """Yield the tallies of one service."""
        for key, tally in self._tallies.items():
            if key.service == service:
                yield key, tally
