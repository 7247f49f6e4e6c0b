"""Emulated fleet: real first nodes and gates with emulated targets and links."""

import asyncio
import copy
import random
from collections.abc import Callable

import attrs

from ..clock import read_monotonic
from ..mesh.callers import CallerHandler
from ..mesh.candidates import Candidates
from ..mesh.crashes import STRIKES_TO_SUSPECT, CrashTracker
from ..mesh.dispatch import Dispatcher
from ..mesh.frames import Call, Result, TargetState
from ..mesh.gate import Gate
from ..mesh.link import LinkLost
from ..mesh.messages import Request, Response
from ..mesh.tallies import TallyRecorder
from ..observe.counters import Counters
from ..observe.histograms import Histograms
from ..platform import headers as header_names
from ..policy.gateretries import GateRetryBudget
from ..policy.placement import LoadView
from ..policy.quarantine import Quarantine
from ..policy.uplink import make_uplink
from .conditions import ALL, Load, Outage, RequestClass, Service
from .configuration import HOST, Moves, Records, make_table
from .links import HostLink, make_host_link
from .losses import Losses, ObservedDispatcher
from .target import EmulatedTarget

__all__ = ["EmulatedFleet", "Node", "send_request"]

COLD_FACTOR, COLD_SLACK = 1.5, 5.0
"""Limit of starts at a cold target in one second: its rate times the factor, plus the
slack; both as on the users' sites."""
LINK_MBPS = 1000.0
"""Speed that nodes assume of a link whose rate is not limited."""
START_SECONDS = 0.4
"""Time from the return of power until the other nodes see a node and its target."""


@attrs.define(eq=False)
class Node:
    """A node with its gate and its target."""

    name: str
    data_centre: str
    service: Service
    gate: Gate
    target: EmulatedTarget
    link: HostLink
    losses: Losses
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

    @property
    def node(self) -> str:
        return self.remote.name

    @property
    def data_centre(self) -> str:
        return self.remote.data_centre

    @property
    def state(self) -> TargetState:
        return self.remote.get_state()

    @property
    def link_mbps(self) -> float:
        return self.remote.link.mbps or LINK_MBPS


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
        await self._local_node.link.send()
        await asyncio.sleep(self._hop_seconds)
        if not member.remote.is_up:
            raise LinkLost("node is down", step="call", peer=member.node)
        result = await member.remote.gate.run(copy.copy(call))
        await member.remote.link.send_answer(len(result.body))
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
        self.losses = Losses()
        self._rng = rng
        self._table = make_table(load)
        for service in load.services.values():
            centres = self._list_data_centres(service)
            for index, centre in enumerate(centres):
                self.nodes.append(self._make_node(service, centre, index, len(centres)))
        for node in self.nodes:
            self._connect_node(node)

    def _list_data_centres(self, service: Service) -> list[str]:
        """Return the data centre of each node of one service."""
        centres = self.load.data_centres
        if service.targets:
            return [centres[i % len(centres)] for i in range(service.targets)]
        return [centre for centre in centres for _ in range(self.load.nodes)]

    def _make_node(
        self, service: Service, centre: str, index: int, gate_count: int
    ) -> Node:
        name = f"{service.name}-{centre}-{index}"
        quarantine = Quarantine(STRIKES_TO_SUSPECT)
        # `send_call` needs the node, which is created after the target.
        created: list[Node] = []

        async def send_call(
            request_class: RequestClass, attempt_id: bytes, remaining: float
        ) -> int:
            try:
                response = await send_request(
                    created[0], request_class, attempt_id, remaining
                )
            finally:
                self.losses.count_call(request_class.name, attempt_id)
            return response.status

        load = self.load
        speed = service.speeds[index % len(service.speeds)]
        rng = random.Random(self._rng.random())
        faults = [
            fault
            for fault in load.faults
            if fault.service in (ALL, service.name)
            and fault.data_centre in (ALL, centre)
        ]
        target = EmulatedTarget(
            service, speed, load.classes, send_call, faults, self.losses, rng
        )
        mbps = service.links_mbps[index % len(service.links_mbps)]
        uplink = make_uplink(mbps)
        gate = Gate(
            pool=target,
            counters=Counters(),
            retry_budget=GateRetryBudget(
                load.retry_ratio, load.retry_window, load.retry_slack
            ),
            crash_tracker=CrashTracker(quarantine),
            tallies=TallyRecorder(),
            service=service.name,
            count_gates=lambda: gate_count,
            on_restart_suspected=lambda: None,
            on_leaving=lambda _sent_at: None,
            uplink=uplink,
        )
        gate.queue.slots = service.slots
        gate.cold.adjust(service.cold_rate, COLD_FACTOR, COLD_SLACK)
        gate.cold.set_cold_time(0.0, 0.0)
        gate.set_close_reason("target-unknown", False)
        link = make_host_link(mbps, uplink)
        node = Node(name, centre, service, gate, target, link, self.losses)
        created.append(node)
        return created[0]

    def _connect_node(self, node: Node) -> None:
        rng = random.Random(self._rng.random())
        peers = _Peers(node, self.nodes, self.load.hop_seconds)
        candidates = Candidates(
            node.name,
            node.data_centre,
            node.link.mbps or LINK_MBPS,
            peers,
            node.gate,
            lambda _data_centre: False,
        )
        dispatcher = Dispatcher(
            candidates, peers, node.gate, node.gate.counters, rng=rng
        )
        node.caller_handler = CallerHandler(
            Records(self._table),
            ObservedDispatcher(dispatcher, self.losses),
            node.gate.counters,
            Histograms(),
            node.service.name,
            Moves(),
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
        affected = [n for n in self.nodes if outage.data_centre in (ALL, n.data_centre)]
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
