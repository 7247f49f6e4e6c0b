"""One node of the mesh: creates and connects its parts, starts and stops them."""

import asyncio
import gc
from typing import TYPE_CHECKING

import attrs

from ..clock import read_monotonic, read_wall
from ..connections.links import LinkHolders
from ..nodesettings import Settings
from ..observe.counters import Counters
from ..observe.histograms import Histograms
from ..observe.lines import log_line
from ..options import Address
from ..platform import headers as header_names
from ..platform.rows import RowStore
from ..policy.bodybudget import (
    compute_kept_answer_bytes,
    make_body_budgets,
    make_link_body_budget,
)
from ..policy.clientmemory import (
    ClientBudgets,
    make_answer_heads,
    make_caller_budgets,
    make_control_budgets,
    make_link_budgets,
)
from ..policy.gateretries import GateRetryBudget
from ..policy.plannedstop import PlannedStop, ReaderProgress
from ..policy.quarantine import Quarantine
from ..policy.readtimes import compute_read_times
from ..policy.uplink import make_uplink
from ..sockets import read_descriptor_limit
from ..tenants.counts import TenantCounts
from ..uplink.scheduler import UplinkScheduler
from .announcements import Announcements
from .bodyparts import BodyAssembler
from .callers import CallerHandler
from .candidates import Candidates
from .crashes import STRIKES_TO_SUSPECT, CrashTracker
from .dispatch import Dispatcher
from .frames import Frame, Hello, StateUpdate, Strike, TargetState
from .gate import Gate
from .healthchecks import HealthChecks
from .inbound import Inbound
from .link import Link, serve_links
from .listener import Listener
from .member import Member
from .memberrow import OwnRow
from .movecontroller import MoveController
from .moveevidence import MoveEvidence
from .moves import Moves
from .peers import Peers
from .pool import ConnectionPool
from .probes import ProbeHandler
from .records import Records
from .relay import Relay
from .shutdown import (
    EXIT_SECONDS,
    STOP_MARGIN_SECONDS,
    await_readers,
    close_listeners,
    drain,
    remove_row,
)
from .storesync import StoreSync
from .supervision import Task, keep_running
from .table import EMPTY_TABLE
from .tallies import TallyRecorder

if TYPE_CHECKING:
    from ..usage.reporter import UsageReporter

__all__ = ["Sidecar"]

METRICS_PORT = 9464
"""Port that deploy/system.toml names for the metrics; not one of the users' ports."""
ROW_RETRY_SECONDS = 0.02
"""Pause between attempts to record a leave; it must be acknowledged in a second."""


class Sidecar:
    """The parts of one node and the callbacks between them."""

    def __init__(self, settings: Settings) -> None:
        """Create the parts without opening any socket or connection."""
        self.settings = settings
        self.start_time = int(read_wall() * 1e6)
        self.is_leaving = False
        self._cold_bounds_reported = False
        self.counters = Counters()
        self.histograms = Histograms()
        self.tenant_counts = TenantCounts()
        self.planned_stop = PlannedStop()
        self.crash_tracker = CrashTracker(
            Quarantine(STRIKES_TO_SUSPECT), self._publish_cleared
        )
        self.records = Records(
            self.counters, self._apply_records, lambda base: self.relay.publish(base)
        )
        bounds = settings.bounds
        self.read_times = compute_read_times(bounds.apply, bounds.evacuation)
        self.store = RowStore(settings.store, self.counters)
        self.store.feed_margin = self.read_times.answer
        self.request_budget, self.answer_budget = make_body_budgets(
            settings.memory_bytes
        )
        self.link_body_budget = make_link_body_budget(
            settings.memory_bytes, self.request_budget
        )
        self.answer_heads = make_answer_heads(settings.memory_bytes)
        self.descriptors = min(settings.max_descriptors, read_descriptor_limit())
        self.caller_budgets = make_caller_budgets(
            settings.memory_bytes, self.descriptors
        )
        self.link_budgets = make_link_budgets(settings.memory_bytes, self.descriptors)
        uplink = make_uplink(settings.link_mbps)
        self.scheduler = None if uplink is None else UplinkScheduler(uplink)
        self.gate = Gate(
            pool=ConnectionPool(
                settings.target,
                header_names.ATTEMPT_ID,
                self.answer_budget,
                self.answer_heads,
            ),
            counters=self.counters,
            retry_budget=GateRetryBudget(
                bounds.retry_ratio, bounds.retry_window, bounds.retry_slack
            ),
            crash_tracker=self.crash_tracker,
            tallies=TallyRecorder(),
            service=settings.service,
            count_gates=lambda: 1 + self.peers.count_gates(settings.service),
            on_restart_suspected=lambda: self.health_checks.suspect_restart(),
            on_leaving=lambda sent_at: self.announcements.note_leaving(sent_at),
            uplink=uplink,
        )
        learned = settings.learned
        concurrency = self.gate.exchange.concurrency
        concurrency.lowest, concurrency.highest = learned.lowest, learned.highest
        concurrency.is_enabled = learned.is_enabled
        concurrency.tries_full = learned.tries_full
        self.gate.outcomes.limit_answers(
            compute_kept_answer_bytes(settings.memory_bytes)
        )
        self.announcements = Announcements(
            self.gate,
            self.crash_tracker,
            self.counters,
            self._persist_state,
            lambda: self.own_row.request_write(),
            self._broadcast_state,
            self._broadcast_strikes,
            lambda: self.health_checks.request(),
        )
        self.health_checks = HealthChecks(self.gate, self.records, self.announcements)
        self.own_row = OwnRow(
            settings.node,
            str(settings.peers),
            self.store,
            lambda: self.announcements.state,
        )
        self.store_sync = StoreSync(
            self.store,
            self.records,
            self.own_row,
            self.read_times,
            self.counters,
            self._add_member,
            self.announcements.restore_state,
            lambda: self.relay.is_reader(),
            lambda: self.relay.note_store_answer(),
            lambda: self.relay.note_store_failure(),
        )
        self.link_holders = LinkHolders(self.link_budgets, self._count_evicted)
        self.inbound = Inbound(
            self.gate,
            self.crash_tracker,
            self._handle_frame,
            BodyAssembler(self.link_body_budget, self.link_budgets.calls),
            self.planned_stop,
            self.link_holders,
        )
        self.peers: Peers | None = None
        self.moves: Moves | None = None
        self.move_controller: MoveController | None = None
        self.relay: Relay | None = None
        self.usage: UsageReporter | None = None
        self.caller_handler: CallerHandler | None = None

    # Callbacks between the parts.

    def _make_hello(self, remembered: TargetState | None) -> Hello:
        return Hello(
            node=self.settings.node,
            start_time=self.start_time,
            data_centre=self.settings.data_centre,
            address=str(self.settings.peers),
            service=self.settings.service,
            state=self.announcements.state,
            link_mbps=self.settings.link_mbps,
            remembered=remembered,
            takes_parts=True,
            is_leaving=self.is_leaving,
            accepts_ms=self.planned_stop.get_remote_ms(read_monotonic()),
        )

    def _add_member(self, node: str, address: str) -> None:
        self.peers.add(node, address)

    def _broadcast_state(self) -> None:
        if self.peers is not None:
            state, is_leaving = self.announcements.state, self.is_leaving
            accepts_ms = self.planned_stop.get_remote_ms(read_monotonic())
            self.peers.broadcast(StateUpdate(state, is_leaving, accepts_ms))

    async def _persist_state(self) -> None:
        """Write the target's state to the store, retrying until it is written.

        While the store is unavailable, only the peers hold the state.
        """
        self.own_row.request_write()
        while not await self.own_row.write():
            await asyncio.sleep(ROW_RETRY_SECONDS)

    def _broadcast_strikes(self, strikes: list[Strike]) -> None:
        for strike in strikes:
            self.counters.add("strikes")
            self.peers.broadcast(strike)

    def _publish_cleared(self, strikes: list[Strike]) -> None:
        self.counters.add("strikes_cleared", len(strikes))
        for strike in strikes:
            self.peers.broadcast(strike)

    def _greet(self, link: Link) -> None:
        """Send a node that has just dialled what it may have missed."""
        self.relay.send_heartbeat(link)
        for strike in self.crash_tracker.list_strikes(read_monotonic()):
            link.send(strike)

    def _handle_frame(self, link: Link, frame: Frame) -> None:
        self.peers.handle(link, frame)

    def _handle_accepted_lost(self, link: Link) -> None:
        self.inbound.handle_link_lost(link)
        self.peers.handle_accepted_lost(link)

    def _send_moves(self, member: Member) -> None:
        """Send all known moves to a node that has just connected."""
        self.moves.send_all(member.link.send)

    def _restore_state(self, hello: Hello) -> None:
        if hello.remembered is not None:
            self.announcements.restore_state(hello.remembered)

    def _apply_records(self) -> None:
        """Apply the operator's orders to the gate."""
        gate = self.gate
        service = self.records.table.services.get(self.settings.service)
        if service is not None:
            self._adjust_cold_rate(service.cold_rate)
        evacuated = self.settings.data_centre in self.records.evacuated
        if gate.set_close_reason("evacuated", evacuated) and not evacuated:
            gate.suspect_restart(is_down=False)
        if self.moves is not None:
            self.moves.apply_to_gate()
        self.announcements.refresh()

    def _adjust_cold_rate(self, cold_rate: float) -> None:
        """Set the rate of a cold target; without bounds, it gets no more than that."""
        bounds = self.settings.bounds
        missing = bounds.cold_factor is None or bounds.cold_slack is None
        if missing and cold_rate and not self._cold_bounds_reported:
            self._cold_bounds_reported = True
            log_line(
                "settings-missing",
                fields="bounds.cold_overage, bounds.cold_slack",
                needed_for="services with a cold rate",
            )
        factor = 1.0 if bounds.cold_factor is None else bounds.cold_factor
        self.gate.cold.adjust(cold_rate, factor, bounds.cold_slack or 0.0)

    # Start and stop.

    async def run(self, stop: asyncio.Event) -> None:
        """Run until `stop` is set, then drain the running calls and shut down."""
        settings = self.settings
        log_line("started", born=self.start_time, service=settings.service)
        self.peers = Peers(
            self._make_hello,
            self.inbound.handle,
            self._send_moves,
            self._restore_state,
            self._greet,
            self.counters,
            self.link_body_budget,
            self.answer_budget,
            self.answer_heads,
            self.scheduler,
        )
        self.relay = self.inbound.relay = Relay(
            settings.node,
            settings.data_centre,
            settings.link_mbps,
            self.peers,
            self.records,
            lambda: self.is_leaving,
            self.read_times,
        )
        self.moves = self.inbound.moves = Moves(
            settings.node,
            settings.service,
            self.records,
            self.gate,
            self.peers,
            lambda: self.announcements.state,
        )
        evidence = MoveEvidence(
            settings.node, settings.service, self.gate, self.peers, self.moves
        )
        self.move_controller = MoveController(
            settings.node, self.store, self.records, self.peers, self.moves, evidence
        )
        if settings.usage is not None:
            # Imported only here: it takes 0.7 MB of memory.
            from ..usage.reporter import open_reporter

            self.usage = self.inbound.usage = open_reporter(
                settings, self.start_time, self.store, self.peers, self.counters
            )
            self.gate.exchange.usage = self.usage.counter
        candidates = Candidates(
            settings.node,
            settings.data_centre,
            settings.link_mbps,
            self.peers,
            self.gate,
            lambda data_centre: data_centre in self.records.evacuated,
        )
        dispatcher = Dispatcher(candidates, self.peers, self.gate, self.counters)
        self.caller_handler = CallerHandler(
            self.records,
            dispatcher,
            self.counters,
            self.histograms,
            settings.service,
            self.moves,
            stop=self.planned_stop,
            tenant_counts=self.tenant_counts,
        )
        links = await serve_links(
            settings.peers,
            self.inbound.handle,
            self._handle_accepted_lost,
            self.link_body_budget,
            self.scheduler,
            self.link_holders,
        )
        listeners = await self._open_listeners(self.caller_handler)
        tasks = [
            asyncio.create_task(keep_running(work, self.counters))
            for work in self._list_tasks(listeners)
        ]
        gc.freeze()
        try:
            await stop.wait()
            await self._shut_down(*listeners)
        finally:
            for task in tasks:
                task.cancel()
            for listener in listeners:
                listener.stop()
            links.close()
            self.peers.close()
            self.store.close()
            if self.usage is not None:
                self.usage.close()
        log_line("stopped", version=self.records.table.version)

    def _list_tasks(self, listeners: list[Listener]) -> list[Task]:
        return [
            self.store_sync.follow,
            self.store_sync.keep_members,
            self.own_row.keep,
            self.move_controller.run,
            self.health_checks.run,
            self.announcements.refresh_periodically,
            self.gate.tick,
            self.peers.pending.sweep,
            self.relay.run,
            self.relay.watch_readers,
            *(listener.sweep for listener in listeners),
            *(self.usage.list_tasks() if self.usage is not None else ()),
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
        self.store.set_address(settings.store)
        self._apply_records()

    async def _open_listeners(self, caller_handler: CallerHandler) -> list[Listener]:
        settings = self.settings
        probe_handler = ProbeHandler(self)
        listeners = []
        caller_options = {
            "is_safe": caller_handler.is_safe,
            "refuse_head": caller_handler.refuse_head,
            "body_budget": self.request_budget,
            "budgets": self.caller_budgets,
        }
        for address, serve, options in (
            (settings.callers, caller_handler.serve, caller_options),
            (settings.announcements, self.announcements.serve, {}),
            (settings.probes, probe_handler.serve_readiness, {}),
            (
                Address(settings.probes.ip, METRICS_PORT),
                probe_handler.serve_metrics,
                {},
            ),
        ):
            listener = Listener(
                serve,
                self._get_limits,
                self._count_refused,
                on_evicted=self._count_evicted,
                **{"budgets": self._make_control_budgets(), **options},
            )
            try:
                await listener.open(address.ip, address.port)
            except OSError as error:
                # The node can serve without metrics but not without the other
                # listeners.
                if address.port != METRICS_PORT:
                    raise
                log_line("metrics-not-served", cause=str(error))
                continue
            listeners.append(listener)
        return listeners

    def _make_control_budgets(self) -> ClientBudgets:
        return make_control_budgets(self.settings.memory_bytes, self.descriptors)

    def _get_limits(self):
        return (self.records.table or EMPTY_TABLE).limits

    def _count_refused(self, status: int) -> None:
        self.counters.add(f"refused_{status}")

    def _count_evicted(self, reason: str) -> None:
        self.counters.add(f"evicted_{reason}")

    async def _shut_down(self, listener: Listener, *others: Listener) -> None:
        """Announce the shutdown to peers and drain clients and running calls."""
        now = read_monotonic()
        killed_at = now + self.settings.bounds.grace
        self.planned_stop.begin(now, killed_at - STOP_MARGIN_SECONDS)
        self.is_leaving = True
        log_line("leaving", running=self.gate.queue.running)
        self._broadcast_state()
        if self.usage is not None:
            self.usage.prepare_stop()
        readers = ReaderProgress(
            (listener.list_unsent, self.peers.list_unsent), self.peers.list_waiting
        )
        await drain(listener, self.inbound, self.planned_stop, readers)
        if self.usage is not None:
            await self.usage.finish(killed_at - EXIT_SECONDS - read_monotonic())
        if self.announcements.state.leave_acknowledged:
            await remove_row(self.own_row, killed_at)
        await await_readers(readers, killed_at)
        await close_listeners(others, killed_at)
