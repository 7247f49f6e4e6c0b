"""Limits on the number of requests that a gate may start, besides its free slots.

The overall limit covers all starts, at a target that is cold or in need. Route limits
cover the requests of one route whose downstream calls are being refused.
"""

from collections.abc import Iterable, Mapping

import attrs

from .coldstart import TokenBucket

__all__ = ["StartLimit", "StartLimits", "combine_buckets"]


@attrs.define
class StartLimit:
    """Limit of `tokens` starts now and `rate` starts per second afterwards."""

    rate: float
    tokens: int


def combine_buckets(buckets: Iterable[TokenBucket], now: float) -> StartLimit | None:
    """Return the limit that keeps those of all buckets; `None` if there are none."""
    limits = [StartLimit(bucket.rate, bucket.count(now)) for bucket in buckets]
    if not limits:
        return None
    return StartLimit(
        min(limit.rate for limit in limits), min(limit.tokens for limit in limits)
    )


@attrs.define
class StartLimits:
    """Start limits in force at one point in time; `None` means unlimited."""

    overall: StartLimit | None = None
    routes: Mapping[str, StartLimit] = attrs.Factory(dict)

    @property
    def is_exhausted(self) -> bool:
        """Return whether no request of any route may start now."""
        return self.overall is not None and self.overall.tokens <= 0

    def allows(self, route: str) -> bool:
        """Return whether a request of `route` may start now."""
        route_limit = self.routes.get(route)
        return not self.is_exhausted and (route_limit is None or route_limit.tokens > 0)

    def take(self, route: str) -> None:
        """Consume one start of `route`."""
        if self.overall is not None:
            self.overall.tokens -= 1
        route_limit = self.routes.get(route)
        if route_limit is not None:
            route_limit.tokens -= 1
