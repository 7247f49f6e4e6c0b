"""HdrHistograms of call times by service, route and organisation."""

from collections.abc import Iterator

import attrs
from hdrh.histogram import HdrHistogram

__all__ = ["NO_TENANT", "PERCENTILES", "CallClass", "Histograms"]

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
MAX_CLASSES = 64
"""Limit on classes with separate histograms, which bounds memory.

Calls of further classes are recorded with tenant `other` if they have a tenant, so that
many tenants do not hide the routes. Above one and a half times the limit, and without a
tenant, they are recorded by service, with route and tenant `other`; above twice the
limit, all go to service `other`.
"""
NO_TENANT = "-"
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
OTHER_CLASS = "other"


@attrs.frozen
class CallClass:
    """The attributes by which calls are grouped."""

    service: str
    route: str
    tenant: str


class Histograms:
    """One histogram of call times in microseconds for each class of calls."""

    def __init__(self) -> None:
        """Start without histograms."""
        self._by_class: dict[CallClass, HdrHistogram] = {}

    def record(self, call_class: CallClass, seconds: float) -> None:
        """Record one call of class `call_class` that took `seconds`."""
        histogram = self._by_class.get(call_class) or self._create(call_class)
        histogram.record_value(min(HIGHEST_US, max(LOWEST_US, int(seconds * 1e6))))

    def _create(self, call_class: CallClass) -> HdrHistogram:
        count = len(self._by_class)
        if count >= MAX_CLASSES:
            if call_class.tenant != NO_TENANT:
                by_route = attrs.evolve(call_class, tenant=OTHER_CLASS)
                if by_route in self._by_class:
                    return self._by_class[by_route]
            if call_class.tenant != NO_TENANT and count < MAX_CLASSES * 3 // 2:
                call_class = by_route
            elif count < 2 * MAX_CLASSES:
                call_class = CallClass(call_class.service, OTHER_CLASS, OTHER_CLASS)
            else:
                call_class = CallClass(OTHER_CLASS, OTHER_CLASS, OTHER_CLASS)
        return self._by_class.setdefault(
            call_class, HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        )

    def list_all(self) -> Iterator[tuple[CallClass, HdrHistogram]]:
        """Yield each class with its histogram."""
        yield from self._by_class.items()
