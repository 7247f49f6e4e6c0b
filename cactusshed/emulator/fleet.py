"""Emulated fleet: real first nodes and gates with emulated targets and links."""

import asyncio
import copy
import random
from collections.abc import Callable, Iterator

import attrs

from ..clock import read_monotonic
from ..mesh.callers import CallerHandler
from ..mesh.candidates import Candidates
from ..mesh.crashes import CrashTracker
from ..mesh.dispatch import Dispatcher
from ..mesh.frames import Call, Result, TargetState
from ..mesh.gate import Gate
from ..mesh.link import LinkLost
from ..mesh.messages import Request, Response
from ..mesh.table import Limits, Route, Table, WeightedService, build_table
from ..mesh.table import Service as TableService
from ..mesh.tallies import TallyRecorder
from ..observe.counters import Counters
from ..observe.histograms import Histograms
from ..platform import headers as header_names
from ..policy.gateretries import GateRetryBudget
from ..policy.placement import LoadView
from ..policy.quarantine import Quarantine
from .load import Load, Outage, RequestClass, Service
from .target import EmulatedTarget

__all__ = ["EmulatedFleet", "Node", "send_request"]

HOST = "emulated"
COLD_FACTOR, COLD_SLACK = 1.5, 5.0
"""Limit of starts at a cold target in one second: its rate times the factor, plus the
slack; both as on the users' sites."""
RETRY_RATIO, RETRY_WINDOW_SECONDS, RETRY_SLACK = 0.2, 10.0, 50.0
"""Retry budget: share of the requests, window in seconds and slack; as on the users'
sites."""
MAX_ATTEMPTS = 2
LINK_MBPS = 1000.0
"""Speed of the links; emulated requests have no bodies."""
START_SECONDS = 0.4
"""Time from the return of power until the other nodes see a node and its target."""


@attrs.define
class _Records:
    """Stand-in for the configuration records; the table never changes."""

    table: Table


class _Moves:
    """Stand-in for the moves of services; none is in progress."""

    def choose_version(self, _service: str) -> str:
        return ""

    def get_fallback_version(self, _service: str, _version: str) -> str:
        return ""


@attrs.define(eq=False)
class Node:
    """A node with its gate and its target."""

    name: str
    data_centre: str
    service: Service
    gate: Gate
    target: EmulatedTarget
    is_up: bool = True
    caller_handler: CallerHandler | None = None

    def get_state(self) -> TargetState:
        """Return the state of the target that other nodes see."""
        now = read_monotonic()
        is_cold = self.gate.cold.is_cold(now)
        rate_limit = self.gate.notices.rate_limit.rate or 0.0
        return TargetState(
            is_open=self.gate.is_open, is_cold=is_cold, rate_limit=rate_limit
        )


@attrs.define(eq=False)
class _Member:
    """A remote node as another node sees it."""

    remote: Node
    view: LoadView = attrs.Factory(LoadView)
    accepts_until: float = float("inf")
    start_time: int = 0
    link_mbps: float = LINK_MBPS

    @property
    def node(self) -> str:
        return self.remote.name

    @property
    def data_centre(self) -> str:
        return self.remote.data_centre

    @property
    def state(self) -> TargetState:
        return self.remote.get_state()


class _Peers:
    """Links from one node to the others, with a one-way latency of `hop_seconds`."""

    def __init__(self, local_node: Node, nodes: list[Node], hop_seconds: float) -> None:
        self._members = [_Member(node) for node in nodes if node is not local_node]
        self._local_node = local_node
        self._hop_seconds = hop_seconds

    def list_connected(self, service: str) -> list[_Member]:
        return [
            member
            for member in self._members
            if member.remote.is_up and member.remote.service.name == service
        ]

    async def call(self, member: _Member, call: Call) -> Result:
        await asyncio.sleep(self._hop_seconds)
        if not member.remote.is_up:
            raise LinkLost("node is down", step="call", peer=member.node)
        result = await member.remote.gate.run(copy.copy(call))
        await asyncio.sleep(self._hop_seconds)
        return result

    async def resolve_outcome(self, *_queries) -> None:
        """Return `None`: a node that lost power can't report the outcome of a call."""
        return


class EmulatedFleet:
    """The emulated fleet that a load describes."""

    def __init__(self, load: Load, rng: random.Random) -> None:
        """Build all nodes, with warm targets."""
        self.load = load
        self.nodes: list[Node] = []
        self._rng = rng
        self._table = _make_table(load)
        for service in load.services.values():
            for index, centre in enumerate(self._list_data_centres()):
                self.nodes.append(self._make_node(service, centre, index))
        for node in self.nodes:
            self._connect_node(node)

    def _list_data_centres(self) -> Iterator[str]:
        """Yield the data centre of each node of one service."""
        for centre in self.load.data_centres:
            for _ in range(self.load.nodes):
                yield centre

    def _make_node(self, service: Service, centre: str, index: int) -> Node:
        name = f"{service.name}-{centre}-{index}"
        quarantine = Quarantine()
        # `send_call` needs the node, which is created after the target.
        created: list[Node] = []

        async def send_call(
            request_class: RequestClass, attempt_id: bytes, remaining: float
        ) -> int:
            response = await send_request(
                created[0], request_class, attempt_id, remaining
            )
            return response.status

        speed = service.speeds[index % len(service.speeds)]
        rng = random.Random(self._rng.random())
        target = EmulatedTarget(service, speed, self.load.classes, send_call, rng)
        gate_count = len(self.load.data_centres) * self.load.nodes
        gate = Gate(
            pool=target,
            counters=Counters(),
            retry_budget=GateRetryBudget(
                RETRY_RATIO, RETRY_WINDOW_SECONDS, RETRY_SLACK
            ),
            quarantine=quarantine,
            crash_tracker=CrashTracker(quarantine),
            tallies=TallyRecorder(),
            service=service.name,
            count_gates=lambda: gate_count,
            on_restart_suspected=lambda: None,
            on_leaving=lambda _sent_at: None,
        )
        gate.queue.slots = service.slots
        gate.cold.adjust(service.cold_rate, COLD_FACTOR, COLD_SLACK)
        gate.cold.set_cold_time(0.0, 0.0)
        gate.set_close_reason("target-unknown", False)
        created.append(Node(name, centre, service, gate, target))
        return created[0]

    def _connect_node(self, node: Node) -> None:
        rng = random.Random(self._rng.random())
        peers = _Peers(node, self.nodes, self.load.hop_seconds)
        candidates = Candidates(
            node.name,
            node.data_centre,
            LINK_MBPS,
            peers,
            node.gate,
            lambda _data_centre: False,
        )
        dispatcher = Dispatcher(
            candidates, peers, node.gate, node.gate.counters, rng=rng
        )
        node.caller_handler = CallerHandler(
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
        """Start the periodic tasks of the gates and the outages; return all tasks."""
        ticks: list[Callable] = [node.gate.tick for node in self.nodes]
        tasks = [asyncio.create_task(tick()) for tick in ticks]
        for outage in self.load.outages:
            tasks.append(asyncio.create_task(self._run_outage(outage)))
        return tasks

    async def _run_outage(self, outage: Outage) -> None:
        await asyncio.sleep(outage.starts_at)
        affected = [n for n in self.nodes if outage.data_centre in ("*", n.data_centre)]
        for node in affected:
            node.is_up = False
            node.gate.set_close_reason("target-down", True)
            node.target.fail()
        await asyncio.sleep(outage.seconds)
        for node in affected:
            node.target.recover()
        await asyncio.sleep(START_SECONDS)
        for node in affected:
            now = read_monotonic()
            node.gate.cold.bucket.empty(now)
            node.gate.cold.set_cold_time(max(0.0, node.target.warm_at - now), now)
            node.gate.set_close_reason("target-down", False)
            node.is_up = True


def _make_table(load: Load) -> Table:
    routes = [
        Route(
            name=request_class.name,
            host=HOST,
            prefix=f"/{request_class.name}/",
            weighted_services=(WeightedService(request_class.service, 1.0),),
            timeout=request_class.timeout,
            max_attempts=MAX_ATTEMPTS,
            idempotent=request_class.idempotent,
            soft_timeout=request_class.soft_timeout,
            priority=request_class.priority,
        )
        for request_class in load.classes.values()
    ]
    services = [
        TableService(s.name, "/", s.slots, s.cold_seconds, s.cold_rate)
        for s in load.services.values()
    ]
    return build_table(1, routes, services, Limits())


async def send_request(
    node: Node, request_class: RequestClass, attempt_id: bytes, remaining: float
) -> Response:
    """Send a request of a class to a node and return the response."""
    headers = [
        (b"host", HOST.encode()),
        (header_names.ATTEMPT_ID, attempt_id),
        (header_names.DEADLINE_MS, b"%d" % max(1, int(remaining * 1000))),
    ]
    path = b"/%s/" % request_class.name.encode()
    now = read_monotonic()
    request = Request(b"GET", path, headers, b"", now, now)
    return await node.caller_handler.serve(request)
