"""Collection of call tallies of a service from the nodes of its targets."""

from collections.abc import AsyncIterator, Iterator
from contextlib import AsyncExitStack, asynccontextmanager

import anyio
import attrs
import grpc

from ..member.records import Member
from ..member.view import View
from ..observe.counters import Counters
from ..policy.comparison import Sample
from ..settings import Settings
from ..wire import control_pb2 as pb
from ..wire.channel import make_metadata, open_stub
from ..wire.control_pb2_grpc import ControlStub

__all__ = ["ServiceTallies", "TallyCollector", "subtract_tallies"]

QUERY_TIMEOUT_SECONDS = 1.0
"""Timeout of a query to one node."""

TallyKey = tuple[str, int, str, str, str]
"""Node, its incarnation, version, route and target of a tally."""


@attrs.frozen
class ServiceTallies:
    """Tallies of one service by key, and the number of its running calls."""

    samples: dict[TallyKey, Sample]
    running: int

    def list_version(self, version: str) -> list[Sample]:
        """Return the samples of one version."""
        return [sample for key, sample in self.samples.items() if key[2] == version]


def subtract_tallies(later: ServiceTallies, earlier: ServiceTallies) -> ServiceTallies:
    """Return the increase between two collections.

    A restarted node has a new incarnation, so its tallies count from zero.
    """
    increase = {}
    for key, sample in later.samples.items():
        before = earlier.samples.get(key)
        increase[key] = sample if before is None else _subtract(sample, before)
    return ServiceTallies(increase, later.running)


def _subtract(later: Sample, earlier: Sample) -> Sample:
    times = zip(later.times, earlier.times, strict=True)
    return attrs.evolve(
        later,
        calls=later.calls - earlier.calls,
        failures=later.failures - earlier.failures,
        times=tuple(after - before for after, before in times),
    )


@attrs.define
class TallyCollector:
    """Queries every node that has a target of a service for its tallies.

    Within `reuse_channels` the channels stay open between queries, because
    opening a channel costs three times as much as the query.
    """

    settings: Settings
    view: View
    counters: Counters
    _stubs: dict[str, ControlStub] | None = None
    _stack: AsyncExitStack | None = None

    @asynccontextmanager
    async def reuse_channels(self) -> AsyncIterator["TallyCollector"]:
        """Yield a collector that reuses its channels, and close them at the end."""
        async with AsyncExitStack() as stack:
            yield attrs.evolve(self, stubs={}, stack=stack)

    async def collect(self, service: str) -> ServiceTallies:
        """Return the tallies of all nodes that answer."""
        members = {e.member.node: e.member for e in self.view.list_endpoints(service)}
        replies: list[pb.EvidenceReply] = []

        async def query(member: Member) -> None:
            reply = await self._query(member, service)
            if reply is not None:
                replies.append(reply)

        async with anyio.create_task_group() as tasks:
            for member in members.values():
                tasks.start_soon(query, member)
        samples = dict(pair for reply in replies for pair in _load_samples(reply))
        return ServiceTallies(samples, sum(reply.running for reply in replies))

    async def _query(self, member: Member, service: str) -> pb.EvidenceReply | None:
        try:
            if self._stack is not None:
                stub = await self._get_stub(member)
                return await self._send_query(stub, service)
            async with open_stub(self.settings, member.control_address) as stub:
                return await self._send_query(stub, service)
        except grpc.RpcError:
            self.counters.add("evidence_failed")
            return None

    async def _get_stub(self, member: Member) -> ControlStub:
        address = str(member.control_address)
        if address not in self._stubs:
            stub_context = open_stub(self.settings, member.control_address)
            self._stubs[address] = await self._stack.enter_async_context(stub_context)
        return self._stubs[address]

    async def _send_query(self, stub: ControlStub, service: str) -> pb.EvidenceReply:
        return await stub.Evidence(
            pb.EvidenceRequest(service=service),
            metadata=make_metadata(self.settings),
            timeout=QUERY_TIMEOUT_SECONDS,
        )


def _load_samples(reply: pb.EvidenceReply) -> Iterator[tuple[TallyKey, Sample]]:
    for tally in reply.tallies:
        key = (reply.node, reply.incarnation, tally.version, tally.route, tally.target)
        times = tuple(tally.times)
        yield (
            key,
            Sample(tally.route, tally.target, tally.calls, tally.failures, times),
        )
