"""Report of an emulated load: tables by class, data centre and cause, and a plot."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator

import attrs

from .clients import RequestOutcome
from .conditions import Load, RequestClass
from .fleet import EmulatedFleet
from .losses import LATE

__all__ = ["GroupStats", "aggregate_outcomes", "count_losses", "render_report"]

WINDOW_SECONDS = 1.0
"""Time of arrivals that one line of the plot covers."""
PLOT_COLUMNS = 50


@attrs.define
class GroupStats:
    """Counts of one group of requests by outcome, and the worth that they earned."""

    requests: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    returned: int = 0
    """Clients that were refused and returned when they had been told to."""
    served_on_return: int = 0
    """Those of them that were then served at once."""
    _earned_worth: float = 0.0
    _total_worth: float = 0.0

    @property
    def earned_share(self) -> float:
        """Return the earned share of the worth that the group could earn."""
        return self._earned_worth / self._total_worth if self._total_worth else 0.0

    def add(self, outcome: RequestOutcome, request_class: RequestClass) -> None:
        """Count one request."""
        self.requests += 1
        self.returned += outcome.returned
        self.served_on_return += outcome.served_on_return
        self._total_worth += request_class.worth
        if outcome.latency is None:
            self.refused += outcome.is_refused
            self.failed += not outcome.is_refused
        elif outcome.latency <= request_class.soft_timeout:
            self.in_time += 1
            self._earned_worth += request_class.worth
        else:
            self.late += 1
            self._earned_worth += request_class.late_worth


def aggregate_outcomes(
    outcomes: Iterable[RequestOutcome],
    load: Load,
    get_group: Callable[[RequestOutcome], object],
) -> dict:
    """Return a `GroupStats` for each group of requests, sorted by group."""
    stats: dict = {}
    for outcome in outcomes:
        request_class = load.classes[outcome.class_name]
        stats.setdefault(get_group(outcome), GroupStats()).add(outcome, request_class)
    return dict(sorted(stats.items()))


def count_losses(outcomes: Iterable[RequestOutcome], load: Load) -> dict[str, Counter]:
    """Return, by class, how many requests were not served in time for which cause."""
    losses: dict[str, Counter] = {}
    for outcome in outcomes:
        soft_timeout = load.classes[outcome.class_name].soft_timeout
        if outcome.latency is None:
            cause = outcome.cause
        elif outcome.latency > soft_timeout:
            cause = LATE
        else:
            continue
        losses.setdefault(outcome.class_name, Counter())[cause] += 1
    return losses


def _render_causes(title: str, losses: dict[str, Counter]) -> Iterator[str]:
    yield title
    for class_name, causes in sorted(losses.items()):
        for cause, count in sorted(causes.items(), key=lambda item: (-item[1], item)):
            yield f"{class_name:<24}{count:>9}  {cause or 'served'}"


def _render_rows(title: str, groups: dict) -> Iterator[str]:
    names = ("requests", "in time", "late", "refused", "failed", "earned")
    yield f"{title:<24}" + "".join(f"{name:>9}" for name in names)
    for name, row in groups.items():
        counts = (row.requests, row.in_time, row.late, row.refused, row.failed)
        cells = "".join(f"{count:>9}" for count in counts)
        yield f"{name!s:<24}{cells}{row.earned_share:>9.3f}"


def render_report(
    outcomes: list[RequestOutcome], fleet: EmulatedFleet
) -> Iterator[str]:
    """Yield the lines of the report."""
    load = fleet.load
    classes = aggregate_outcomes(outcomes, load, lambda o: o.class_name)
    total = aggregate_outcomes(outcomes, load, lambda _: "all classes")
    yield from _render_rows("class", {**classes, **total})
    yield ""
    yield from _render_causes("not served in time", count_losses(outcomes, load))
    yield ""
    if fleet.losses.calls:
        yield from _render_causes("calls of targets", fleet.losses.calls)
        yield ""
    if any(row.returned for row in classes.values()):
        yield "clients that returned when they had been told to, share then served"
        for name, row in classes.items():
            if row.returned:
                share = row.served_on_return / row.returned
                yield f"{name:<24}{row.returned:>9}{share:>9.3f}"
        yield ""
    yield from _render_rows(
        "data centre", aggregate_outcomes(outcomes, load, lambda o: o.data_centre)
    )
    yield ""
    yield "share of worth earned, by second of arrival"
    windows = aggregate_outcomes(
        outcomes, load, lambda o: int(o.arrived_at / WINDOW_SECONDS)
    )
    for second, row in windows.items():
        yield (
            f"{second:>5} {row.earned_share:.3f} "
            f"{'#' * round(PLOT_COLUMNS * row.earned_share)}"
        )
    yield ""
    peak_cold_rate = max(
        (node.target.peak_cold_rate for node in fleet.nodes), default=0
    )
    yield f"most request starts at a cold target in one second: {peak_cold_rate}"
