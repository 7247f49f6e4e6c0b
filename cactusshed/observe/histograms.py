"""HdrHistograms of call times by service, route and organisation."""

from collections.abc import Iterator

import attrs
from hdrh.histogram import HdrHistogram

__all__ = ["CallClass", "Histograms", "PERCENTILES"]

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
MAX_CLASSES = 64
"""Limit on classes with separate histograms, which bounds memory.

Calls of further classes are recorded by service, with route and tenant `other`;
above twice the limit, all go to service `other`.
"""
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
        if len(self._by_class) >= MAX_CLASSES:
            call_class = CallClass(call_class.service, OTHER_CLASS, OTHER_CLASS)
            if len(self._by_class) >= 2 * MAX_CLASSES:
                call_class = CallClass(OTHER_CLASS, OTHER_CLASS, OTHER_CLASS)
        return self._by_class.setdefault(
            call_class, HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        )

    def list_all(self) -> Iterator[tuple[CallClass, HdrHistogram]]:
        """Yield each class with its histogram."""
        yield from self._by_class.items()
