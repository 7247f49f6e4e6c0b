"""HdrHistograms of call times by class: service, route and tenant."""

from collections.abc import Iterator

import attrs
from hdrh.histogram import HdrHistogram

__all__ = ["CallClass", "Histograms", "PERCENTILES"]

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
MAX_CLASSES = 64
"""Classes kept apart; later ones are counted under the tenant `other`."""
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
OTHER = "other"


@attrs.frozen
class CallClass:
    """What calls are told apart by."""

    service: str
    route: str
    tenant: str


class Histograms:
    """One histogram of microseconds for each class of calls."""

    def __init__(self) -> None:
        """Start with no class."""
        self._by_class: dict[CallClass, HdrHistogram] = {}

    def record(self, kind: CallClass, seconds: float) -> None:
        """Add one call of `kind` that took `seconds`."""
        histogram = self._by_class.get(kind) or self._open(kind)
        histogram.record_value(min(HIGHEST_US, max(LOWEST_US, int(seconds * 1e6))))

    def _open(self, kind: CallClass) -> HdrHistogram:
        if len(self._by_class) >= MAX_CLASSES:
            kind = CallClass(kind.service, OTHER, OTHER)
            if len(self._by_class) >= 2 * MAX_CLASSES:
                kind = CallClass(OTHER, OTHER, OTHER)
        return self._by_class.setdefault(
            kind, HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        )

    def list_all(self) -> Iterator[tuple[CallClass, HdrHistogram]]:
        """Yield each class with its histogram."""
        yield from self._by_class.items()
