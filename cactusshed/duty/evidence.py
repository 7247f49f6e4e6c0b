"""Collection of call tallies of a service from the nodes of its targets."""

from collections.abc import AsyncIterator, Iterator
from contextlib import AsyncExitStack, asynccontextmanager

import anyio
import attrs
import grpc

from ..member.records import Member
from ..member.view import View
from ..observe.counters import Counters
from ..policy.verdict import Sample
from ..settings import Settings
from ..wire import control_pb2 as pb
from ..wire.channel import make_metadata, open_stub
from ..wire.control_pb2_grpc import ControlStub

__all__ = ["Collector", "Evidence", "subtract_evidence"]

ASK_SECONDS = 1.0
"""Timeout of a query to one node."""

Key = tuple[str, int, str, str, str]
"""Node, its incarnation, version, route and target of a tally."""


@attrs.frozen
class Evidence:
    """Tallies of one service by key, and the number of its running calls."""

    tallies: dict[Key, Sample]
    running: int

    def list_version(self, version: str) -> list[Sample]:
        """Return the samples of one version."""
        return [sample for key, sample in self.tallies.items() if key[2] == version]


def subtract_evidence(later: Evidence, earlier: Evidence) -> Evidence:
    """Return the increase between two collections.

    A restarted node has a new incarnation, so its tallies count from zero.
    """
    grown = {}
    for key, sample in later.tallies.items():
        before = earlier.tallies.get(key)
        grown[key] = sample if before is None else _subtract(sample, before)
    return Evidence(grown, later.running)


def _subtract(later: Sample, earlier: Sample) -> Sample:
    times = zip(later.times, earlier.times, strict=True)
    return attrs.evolve(
        later,
        calls=later.calls - earlier.calls,
        failures=later.failures - earlier.failures,
        times=tuple(after - before for after, before in times),
    )


@attrs.define
class Collector:
    """Queries every node that has a target of a service for its tallies.

    Within `keep_channels` the channels stay open between queries, because
    opening a channel costs three times as much as the query.
    """

    settings: Settings
    view: View
    counters: Counters
    _kept: dict[str, ControlStub] | None = None
    _stack: AsyncExitStack | None = None

    @asynccontextmanager
    async def keep_channels(self) -> AsyncIterator["Collector"]:
        """Yield a collector that reuses its channels, and close them at the end."""
        async with AsyncExitStack() as stack:
            yield attrs.evolve(self, kept={}, stack=stack)

    async def collect(self, service: str) -> Evidence:
        """Return the sum over all nodes that answer."""
        members = {e.member.node: e.member for e in self.view.list_endpoints(service)}
        replies: list[pb.EvidenceReply] = []

        async def ask(member: Member) -> None:
            reply = await self._ask(member, service)
            if reply is not None:
                replies.append(reply)

        async with anyio.create_task_group() as tasks:
            for member in members.values():
                tasks.start_soon(ask, member)
        tallies = dict(pair for reply in replies for pair in _read_reply(reply))
        return Evidence(tallies, sum(reply.running for reply in replies))

    async def _ask(self, member: Member, service: str) -> pb.EvidenceReply | None:
        try:
            if self._stack is not None:
                stub = await self._get_stub(member)
                return await self._question(stub, service)
            async with open_stub(self.settings, member.control) as stub:
                return await self._question(stub, service)
        except grpc.RpcError:
            self.counters.add("evidence_failed")
            return None

    async def _get_stub(self, member: Member) -> ControlStub:
        address = str(member.control)
        if address not in self._kept:
            opened = open_stub(self.settings, member.control)
            self._kept[address] = await self._stack.enter_async_context(opened)
        return self._kept[address]

    async def _question(self, stub: ControlStub, service: str) -> pb.EvidenceReply:
        return await stub.Evidence(
            pb.EvidenceRequest(service=service),
            metadata=make_metadata(self.settings),
            timeout=ASK_SECONDS,
        )


def _read_reply(reply: pb.EvidenceReply) -> Iterator[tuple[Key, Sample]]:
    for tally in reply.tallies:
        key = (reply.node, reply.incarnation, tally.version, tally.route, tally.target)
        times = tuple(tally.times)
        yield (
            key,
            Sample(tally.route, tally.target, tally.calls, tally.failures, times),
        )
