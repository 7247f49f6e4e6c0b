"""Aggregation of version reports from this node's descendants in the feed."""

from collections.abc import Callable, Iterator

from ..clock import read_monotonic
from ..wire import control_pb2 as pb
from .activeversion import ActiveVersion

__all__ = ["Reports"]

EXPIRE_SECONDS = 10.0
"""Age at which the report of a child is no longer counted."""
MAX_BEHIND = 8
"""Maximum number of lagging nodes that a report lists."""


class Reports:
    """The latest report of each child on the feed."""

    def __init__(
        self, node: str, current: ActiveVersion, count_running: Callable[[], int]
    ) -> None:
        """Report for `node`; `count_running` counts its running calls."""
        self._node = node
        self._current = current
        self._count_running = count_running
        self._children: dict[str, tuple[pb.Report, float]] = {}

    def store(self, report: pb.Report) -> None:
        """Store the latest report of a child."""
        self._children[report.node] = (report, read_monotonic())

    def drop(self, node: str) -> None:
        """Remove the report of a child whose stream has ended."""
        self._children.pop(node, None)

    def _list_fresh(self, now: float) -> Iterator[pb.Report]:
        for report, received_at in self._children.values():
            if now - received_at < EXPIRE_SECONDS:
                yield report

    def summarise(self) -> pb.Report:
        """Return one report that covers this node and its descendants."""
        now = read_monotonic()
        number = self._current.number if self._current.ready else 0
        fresh = list(self._list_fresh(now))
        behind = [lagging for report in fresh for lagging in report.behind]
        behind.extend(self._list_lagging(fresh, now))
        return pb.Report(
            node=self._node,
            number=number,
            lowest=min([number, *(report.lowest for report in fresh)]),
            nodes=1 + sum(report.nodes for report in fresh),
            behind=behind[:MAX_BEHIND],
            waiting=not self._current.ready,
            running=self._count_running() + sum(report.running for report in fresh),
        )

    def _list_lagging(self, fresh: list[pb.Report], now: float) -> Iterator[pb.Behind]:
        lag_ms = int((now - self._current.swapped_at) * 1000)
        for report in fresh:
            if report.number < self._current.number:
                yield pb.Behind(node=report.node, number=report.number, for_ms=lag_ms)
