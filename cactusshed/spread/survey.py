"""Surveys of the active versions in each data centre."""

import anyio
import attrs
import grpc

from ..member.records import Member
from ..member.view import View
from ..observe.counters import Counters
from ..settings import Settings
from ..wire import control_pb2 as pb
from ..wire.channel import make_metadata, open_stub
from .reports import Reports
from .topology import POLLERS

__all__ = ["DataCentreStatus", "LaggingNode", "Surveyor"]

REQUEST_TIMEOUT_SECONDS = 2.0
"""Timeout of a request to a poller."""


@attrs.frozen
class LaggingNode:
    """A node whose version is older than that of its parent, for `for_ms` so far."""

    node: str
    number: int
    for_ms: int


@attrs.frozen
class DataCentreStatus:
    """Versions in a data centre; `lowest` is `None` if no poller answers."""

    name: str
    expected: int
    reporting: int
    lowest: int | None
    running: int
    behind: tuple[LaggingNode, ...]

    def has_version(self, number: int) -> bool:
        """Return whether each live node reports version `number` or a later one."""
        if self.lowest is None or self.reporting < self.expected:
            return False
        return self.lowest >= number


@attrs.define
class Surveyor:
    """Queries the pollers of each data centre for a summary."""

    settings: Settings
    view: View
    reports: Reports
    counters: Counters

    async def survey(self) -> list[DataCentreStatus]:
        """Return the state of each data centre, sorted by name."""
        results: list[DataCentreStatus] = []

        async def query(name: str) -> None:
            live = self.view.list_live(name)
            report = await self._query_first(live[:POLLERS])
            results.append(_make_status(name, len(live), report))

        async with anyio.create_task_group() as tasks:
            for name in self.view.list_data_centres():
                tasks.start_soon(query, name)
        return sorted(results, key=lambda centre: centre.name)

    async def _query_first(self, members: list[Member]) -> pb.Report | None:
        """Return the summary of the first node that answers, or `None`."""
        for member in members:
            if member.node == self.view.local_member.node:
                return self.reports.summarise()
            report = await self._query(member)
            if report is not None:
                return report
        return None

    async def _query(self, member: Member) -> pb.Report | None:
        try:
            async with open_stub(self.settings, member.control_address) as stub:
                return await stub.Summary(
                    pb.SummaryRequest(),
                    metadata=make_metadata(self.settings),
                    timeout=REQUEST_TIMEOUT_SECONDS,
                )
        except grpc.RpcError:
            self.counters.add("summaries_failed")
            return None

    async def notify_pollers(self, number: int) -> None:
        """Notify the pollers of every data centre that the head is now `number`."""
        async with anyio.create_task_group() as tasks:
            for centre in self.view.list_data_centres():
                for member in self.view.list_live(centre)[:POLLERS]:
                    if member.node != self.view.local_member.node:
                        tasks.start_soon(self._hint, member, number)

    async def _hint(self, member: Member, number: int) -> None:
        try:
            async with open_stub(self.settings, member.control_address) as stub:
                await stub.Hint(
                    pb.HintRequest(number=number),
                    metadata=make_metadata(self.settings),
                    timeout=REQUEST_TIMEOUT_SECONDS,
                )
        except grpc.RpcError:
            self.counters.add("hints_failed")


def _make_status(
    name: str, expected: int, report: pb.Report | None
) -> DataCentreStatus:
    if report is None:
        return DataCentreStatus(name, expected, 0, None, 0, ())
    behind = tuple(LaggingNode(b.node, b.number, b.for_ms) for b in report.behind)
    return DataCentreStatus(
        name, expected, report.nodes, report.lowest, report.running, behind
    )
