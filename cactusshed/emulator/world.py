"""A fleet in virtual time: real first nodes and gates, emulated targets and links."""

import asyncio
import copy
import random
from collections.abc import Callable, Iterator

import attrs

from ..clock import read_monotonic
from ..mesh.callers import Callers
from ..mesh.dispatch import Dispatcher
from ..mesh.evidence import EvidenceBook
from ..mesh.frames import Call, Result, TargetState
from ..mesh.gate import Gate
from ..mesh.link import LinkLost
from ..mesh.messages import Request, Response
from ..mesh.suspects import Suspects
from ..mesh.table import Limits, Part, Route, Table, build_table
from ..mesh.table import Service as KnownService
from ..observe.counters import Counters
from ..observe.histograms import Histograms
from ..platform import headers as names
from ..policy.place import LoadView
from ..policy.quarantine import Quarantine
from ..policy.repeats import RepeatBudget
from .load import Load, Outage, RequestClass, Service
from .target import EmulatedTarget

__all__ = ["Node", "World", "send"]

HOST = "emulated"
COLD_FACTOR, COLD_SLACK = 1.5, 5.0
"""What cold targets bear in one second beyond their rate; as on the users' sites."""
RETRY_RATIO, RETRY_WINDOW, RETRY_SLACK = 0.2, 10.0, 50.0
"""Budget of repeats; as on the users' sites."""
ATTEMPTS = 2
START_SECONDS = 0.4
"""Time after power is back until a node and its target are known."""


@attrs.define
class _Records:
    table: Table


class _Moves:
    """No service is moving."""

    def choose_version(self, _service: str) -> str:
        return ""

    def find_fallback(self, _service: str, _version: str) -> str:
        return ""


@attrs.define(eq=False)
class Node:
    """One node and the target beside it."""

    name: str
    data_centre: str
    service: Service
    gate: Gate
    target: EmulatedTarget
    is_up: bool = True
    callers: Callers | None = None

    def get_state(self) -> TargetState:
        """Return what other nodes are told of the target."""
        now = read_monotonic()
        is_cold = self.gate.cold.is_cold(now)
        return TargetState(is_open=self.gate.is_open, is_cold=is_cold)


@attrs.define(eq=False)
class _Member:
    """Another node as one node sees it."""

    of: Node
    view: LoadView = attrs.Factory(LoadView)
    is_leaving: bool = False
    born: int = 0

    @property
    def node(self) -> str:
        return self.of.name

    @property
    def data_centre(self) -> str:
        return self.of.data_centre

    @property
    def state(self) -> TargetState:
        return self.of.get_state()


class _Peers:
    """Links to the other nodes, which take `hop` seconds each way."""

    def __init__(self, own: Node, nodes: list[Node], hop: float) -> None:
        self._members = [_Member(node) for node in nodes if node is not own]
        self._own = own
        self._hop = hop

    def list_up(self, service: str) -> list[_Member]:
        return [
            member
            for member in self._members
            if member.of.is_up and member.of.service.name == service
        ]

    async def call(self, member: _Member, call: Call) -> Result:
        await asyncio.sleep(self._hop)
        if not member.of.is_up:
            raise LinkLost("node is down", step="call", peer=member.node)
        result = await member.of.gate.run(copy.copy(call))
        await asyncio.sleep(self._hop)
        return result

    async def settle(self, *_asked) -> None:
        """Return nothing: a node that has lost power can't tell."""
        return


class World:
    """The fleet of a load."""

    def __init__(self, load: Load, rng: random.Random) -> None:
        """Build all nodes; all targets are warm."""
        self.load = load
        self.nodes: list[Node] = []
        self._rng = rng
        self._table = _make_table(load)
        for service in load.services.values():
            for index, centre in enumerate(self._list_places()):
                self.nodes.append(self._make_node(service, centre, index))
        for node in self.nodes:
            self._wire(node)

    def _list_places(self) -> Iterator[str]:
        """Yield the data centre of each node of one service."""
        for centre in self.load.data_centres:
            for _ in range(self.load.nodes):
                yield centre

    def _make_node(self, service: Service, centre: str, index: int) -> Node:
        name = f"{service.name}-{centre}-{index}"
        quarantine = Quarantine()
        holder: list[Node] = []

        async def call(kind: RequestClass, identity: bytes, left: float) -> int:
            response = await send(holder[0], kind, identity, left)
            return response.status

        speed = service.speeds[index % len(service.speeds)]
        rng = random.Random(self._rng.random())
        target = EmulatedTarget(service, speed, self.load.classes, call, rng)
        count = len(self.load.data_centres) * self.load.nodes
        gate = Gate(
            pool=target,
            counters=Counters(),
            budget=RepeatBudget(RETRY_RATIO, RETRY_WINDOW, RETRY_SLACK),
            quarantine=quarantine,
            suspects=Suspects(quarantine),
            evidence=EvidenceBook(),
            service=service.name,
            count_gates=lambda: count,
            on_doubt=lambda: None,
        )
        gate.room.limit = service.slots
        gate.cold.adjust(service.cold_rate, COLD_FACTOR, COLD_SLACK)
        gate.cold.hear(0.0, 0.0)
        gate.set_closure("target-unknown", False)
        holder.append(Node(name, centre, service, gate, target))
        return holder[0]

    def _wire(self, node: Node) -> None:
        rng = random.Random(self._rng.random())
        dispatcher = Dispatcher(
            node.name,
            node.data_centre,
            _Peers(node, self.nodes, self.load.hop_seconds),
            node.gate,
            lambda _data_centre: False,
            node.gate.counters,
            rng=rng,
        )
        node.callers = Callers(
            _Records(self._table),
            dispatcher,
            node.gate.counters,
            Histograms(),
            node.service.name,
            _Moves(),
            rng=rng,
        )

    def list_nodes(self, centre: str) -> list[Node]:
        """Return the nodes of a data centre that are up."""
        return [n for n in self.nodes if n.data_centre == centre and n.is_up]

    def start(self) -> list[asyncio.Task]:
        """Start the gates' tasks and the outages."""
        works: list[Callable] = [node.gate.tick for node in self.nodes]
        tasks = [asyncio.create_task(work()) for work in works]
        for outage in self.load.outages:
            tasks.append(asyncio.create_task(self._play_outage(outage)))
        return tasks

    async def _play_outage(self, outage: Outage) -> None:
        await asyncio.sleep(outage.at)
        hit = [n for n in self.nodes if outage.data_centre in ("*", n.data_centre)]
        for node in hit:
            node.is_up = False
            node.gate.set_closure("target-down", True)
            node.target.fail()
        await asyncio.sleep(outage.seconds)
        for node in hit:
            node.target.recover()
        await asyncio.sleep(START_SECONDS)
        for node in hit:
            now = read_monotonic()
            node.gate.cold.bucket.empty(now)
            node.gate.cold.hear(max(0.0, node.target.warm_at - now), now)
            node.gate.set_closure("target-down", False)
            node.is_up = True


def _make_table(load: Load) -> Table:
    routes = [
        Route(
            name=kind.name,
            host=HOST,
            prefix=f"/{kind.name}/",
            parts=(Part(kind.service, 1.0),),
            timeout=kind.deadline,
            attempts=ATTEMPTS,
            repeatable=kind.repeatable,
            aim=kind.aim,
            rank=kind.rank,
        )
        for kind in load.classes.values()
    ]
    services = [
        KnownService(s.name, "/", s.slots, s.cold_seconds, s.cold_rate)
        for s in load.services.values()
    ]
    return build_table(1, routes, services, Limits())


async def send(
    node: Node, kind: RequestClass, identity: bytes, left: float
) -> Response:
    """Send a request of `kind` to a node and return its answer."""
    headers = [
        (b"host", HOST.encode()),
        (names.ATTEMPT_ID, identity),
        (names.DEADLINE_MS, b"%d" % max(1, int(left * 1000))),
    ]
    path = b"/%s/" % kind.name.encode()
    request = Request(b"GET", path, headers, b"", read_monotonic())
    return await node.callers.serve(request)
