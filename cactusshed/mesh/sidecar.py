"""One node of the mesh: creates and connects its parts, starts and stops them."""

import asyncio
import gc

import attrs

from ..clock import read_monotonic, read_wall
from ..observe.counters import Counters
from ..observe.histograms import Histograms
from ..observe.lines import get_log, log_line
from ..observe.page import render_page
from ..options import Address
from ..platform import headers as names
from ..platform.boot import Settings
from ..platform.rows import RowStore
from ..policy.gateretries import GateRetryBudget
from ..policy.quarantine import Quarantine
from .announcements import Announcements
from .callers import Callers
from .crashes import Suspects
from .dispatch import Dispatcher
from .frames import Frame, Hello, StateUpdate, Strike, TargetState
from .gate import Gate
from .inbound import Inbound
from .link import Link, serve_links
from .listener import Listener
from .member import Member
from .messages import Request, Response, make_response
from .movecontroller import MoveKeeper
from .moves import Moves
from .peers import Peers
from .pool import Pool
from .records import Records
from .relay import Relay
from .shutdown import drain, remove_row
from .storesync import Storekeeper
from .supervision import Task, keep_running
from .table import EMPTY_TABLE
from .tallies import EvidenceBook

__all__ = ["Sidecar"]

READY_PATH = b"/cactusshed/readyz"
METRICS_PATH = b"/metrics"
METRICS_PORT = 9464
"""Port that deploy/system.toml names for the metrics; not one of the users' ports."""
ROW_RETRY_SECONDS = 0.02
"""Pause between attempts to record a leave, which is acknowledged within a second."""


class Sidecar:
    """The parts of one node and the callbacks between them."""

    def __init__(self, settings: Settings) -> None:
        """Create the parts without opening any socket or connection."""
        self.settings = settings
        self.born = int(read_wall() * 1e6)
        self.is_leaving = False
        self.counters = Counters()
        self.histograms = Histograms()
        self.quarantine = Quarantine()
        self.suspects = Suspects(self.quarantine)
        self.records = Records(
            self.counters, self._apply_records, lambda base: self.relay.publish(base)
        )
        self.store = RowStore(settings.store, self.counters)
        bounds = settings.bounds
        self.gate = Gate(
            pool=Pool(settings.target, names.ATTEMPT_ID),
            counters=self.counters,
            budget=GateRetryBudget(
                bounds.retry_ratio, bounds.retry_window, bounds.retry_slack
            ),
            quarantine=self.quarantine,
            suspects=self.suspects,
            evidence=EvidenceBook(),
            service=settings.service,
            count_gates=lambda: 1 + self.peers.count_gates(settings.service),
            on_doubt=lambda: self.announcements.doubt(),
        )
        self.announcements = Announcements(
            self.gate,
            self.records,
            self.suspects,
            self.counters,
            self._persist_state,
            lambda: self.keeper.want_row(),
            self._broadcast_state,
            self._broadcast_strikes,
        )
        self.keeper = Storekeeper(
            settings.node,
            str(settings.peers),
            self.store,
            self.records,
            self.counters,
            self._add_member,
            lambda: self.announcements.state,
            self.announcements.remember,
            lambda: self.relay.is_reader(),
            lambda: self.relay.note_store_answer(),
        )
        self.inbound = Inbound(self.gate, self.suspects, self._handle_frame)
        self.peers: Peers | None = None
        self.moves: Moves | None = None
        self.move_controller: MoveKeeper | None = None
        self.relay: Relay | None = None

    # Callbacks between the parts.

    def _make_hello(self, remembered: TargetState | None) -> Hello:
        return Hello(
            node=self.settings.node,
            born=self.born,
            data_centre=self.settings.data_centre,
            address=str(self.settings.peers),
            service=self.settings.service,
            state=self.announcements.state,
            link_mbps=self.settings.link_mbps,
            remembered=remembered,
        )

    def _add_member(self, node: str, address: str) -> None:
        self.peers.add(node, address)

    def _broadcast_state(self) -> None:
        if self.peers is not None:
            self.peers.broadcast(
                StateUpdate(
                    self.announcements.state,
                    self.is_leaving,
                )
            )

    async def _persist_state(self) -> None:
        """Write the target's state to the store, retrying until it is written.

        While the store is unavailable, only the peers hold the state.
        """
        self.keeper.want_row()
        while not await self.keeper.write_row():
            await asyncio.sleep(ROW_RETRY_SECONDS)

    def _broadcast_strikes(self, strikes: list[Strike]) -> None:
        for strike in strikes:
            self.counters.add("strikes")
            self.peers.broadcast(strike)

    def _handle_frame(self, link: Link, frame: Frame) -> None:
        self.peers.handle(link, frame)

    def _send_moves(self, member: Member) -> None:
        """Send all known moves to a node that has just connected."""
        self.moves.send_all(member.link.send)

    def _restore_state(self, hello: Hello) -> None:
        if hello.remembered is not None:
            self.announcements.remember(hello.remembered)

    def _apply_records(self) -> None:
        """Apply the operator's orders to the gate."""
        gate = self.gate
        service = self.records.table.services.get(self.settings.service)
        if service is not None:
            bounds = self.settings.bounds
            gate.cold.adjust(service.cold_rate, bounds.cold_factor, bounds.cold_slack)
        evacuated = self.settings.data_centre in self.records.evacuated
        if gate.set_closure("evacuated", evacuated) and not evacuated:
            gate.note_sign_of_restart(is_down=False)
        if self.moves is not None:
            self.moves.apply_to_gate()
        self.announcements.refresh()

    # Start and stop.

    async def run(self, stop: asyncio.Event) -> None:
        """Run until `stop` is set, then drain the running calls and shut down."""
        settings = self.settings
        log_line("started", born=self.born, service=settings.service)
        self.peers = Peers(
            self._make_hello,
            self.inbound.handle,
            self._send_moves,
            self._restore_state,
            lambda link: self.relay.send_heartbeat(link),
            self.counters,
        )
        self.relay = self.inbound.relay = Relay(
            settings.node,
            settings.data_centre,
            settings.link_mbps,
            self.peers,
            self.records,
            lambda: self.is_leaving,
        )
        self.moves = self.inbound.moves = Moves(
            settings.node,
            settings.service,
            self.records,
            self.gate,
            self.peers,
            lambda: self.announcements.state,
        )
        self.move_controller = MoveKeeper(
            settings.node,
            settings.service,
            self.store,
            self.records,
            self.gate,
            self.peers,
            self.moves,
        )
        dispatcher = Dispatcher(
            settings.node,
            settings.data_centre,
            self.peers,
            self.gate,
            lambda data_centre: data_centre in self.records.evacuated,
            self.counters,
        )
        callers = Callers(
            self.records,
            dispatcher,
            self.counters,
            self.histograms,
            settings.service,
            self.moves,
        )
        links = await serve_links(
            settings.peers, self.inbound.handle, self.inbound.handle_link_lost
        )
        listeners = await self._open_listeners(callers)
        tasks = [
            asyncio.create_task(keep_running(work, self.counters))
            for work in self._list_tasks(listeners)
        ]
        gc.freeze()
        try:
            await stop.wait()
            await self._shut_down(listeners[0], callers)
        finally:
            for task in tasks:
                task.cancel()
            for listener in listeners:
                listener.stop()
            links.close()
            self.peers.close()
            self.store.close()
        log_line("stopped", version=self.records.table.version)

    def _list_tasks(self, listeners: list[Listener]) -> list[Task]:
        return [
            self.keeper.follow,
            self.keeper.keep_members,
            self.keeper.keep_row,
            self.move_controller.run,
            self.announcements.ask,
            self.announcements.watch,
            self.gate.tick,
            self.peers.pending.sweep,
            self.relay.run,
            *(listener.sweep for listener in listeners),
        ]

    def reload(self, settings: Settings) -> None:
        """Apply changed settings; the node's own listen addresses stay as they are."""
        before, self.settings = self.settings, settings
        changed = [
            field.name
            for field in attrs.fields(Settings)
            if getattr(before, field.name) != getattr(settings, field.name)
        ]
        log_line("reloaded", changed=changed)
        self.store.move(settings.store)
        self._apply_records()

    async def _open_listeners(self, callers: Callers) -> list[Listener]:
        settings = self.settings
        listeners = []
        for serve, address in (
            (callers.serve, settings.callers),
            (self.announcements.serve, settings.announcements),
            (self._serve_probe, settings.probes),
            (self._serve_metrics, Address(settings.probes.ip, METRICS_PORT)),
        ):
            listener = Listener(serve, self._get_limits, self._count_refused)
            try:
                await listener.open(address.ip, address.port)
            except OSError as error:
                # The node can serve without metrics but not without the others.
                if address.port != METRICS_PORT:
                    raise
                log_line("metrics-not-served", cause=str(error))
                continue
            listeners.append(listener)
        return listeners

    def _get_limits(self):
        return (self.records.table or EMPTY_TABLE).limits

    def _count_refused(self, status: int) -> None:
        self.counters.add(f"refused_{status}")

    async def _serve_probe(self, request: Request) -> Response:
        if request.path == READY_PATH:
            is_ready = self.records.table.version > 0 and not self.is_leaving
            return make_response(200 if is_ready else 503)
        return make_response(404)

    async def _serve_metrics(self, request: Request) -> Response:
        if request.path != METRICS_PATH:
            return make_response(404)
        page = render_page(self.counters, self.histograms, self._list_gauges())
        return Response(200, [(b"content-type", b"text/plain")], page.encode())

    def _list_gauges(self) -> list[tuple[str, float]]:
        now = read_monotonic()
        gate = self.gate
        return [
            ("version", self.records.table.version),
            ("store_answer_age_seconds", now - self.relay.last_store_answer),
            ("peers_up", sum(m.is_up for m in self.peers.members.values())),
            ("gate_open", float(gate.is_open)),
            ("gate_cold", float(gate.cold.is_cold(now))),
            ("gate_running", gate.room.running),
            ("gate_waiting", gate.room.waiting),
            ("gate_mean_seconds", gate.room.get_mean()),
            ("backpressure_rate", gate.pressure.get_lowest_rate()),
            ("log_lines_suppressed", get_log().suppressed),
            ("log_lines_dropped", get_log().dropped),
        ]

    async def _shut_down(self, listener: Listener, callers: Callers) -> None:
        """Announce the shutdown to peers and drain clients and running calls."""
        grace = self.settings.bounds.grace
        killed_at = read_monotonic() + grace
        self.is_leaving = True
        log_line("leaving", running=self.gate.room.running)
        self._broadcast_state()
        await drain(listener, callers, self.inbound, grace)
        if self.announcements.state.has_left:
            await remove_row(self.keeper, killed_at)
