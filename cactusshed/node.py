"""One node: assembly, startup and shutdown of its components."""

import gc
from collections.abc import Awaitable, Callable

import anyio
import grpc

from .clock import read_monotonic, read_wall
from .connections.served import ServedHolders
from .drain import STOP_SECONDS, stop_listeners, wait_idle
from .duty.closures import ClosureHandler
from .duty.moves import MoveDuty
from .duty.tallies import TallyCollector
from .member.announcements import TargetRegistry
from .member.gossip import Gossip
from .member.joiner import Joiner
from .member.records import State, Target, make_local_member
from .member.rumors import Rumors
from .member.view import View
from .observe.counters import Counters
from .observe.events import log_event
from .observe.histograms import Histograms
from .observe.tallies import Tallies
from .operate.app import OperatorApp
from .operate.editor import Editor
from .operate.report import Reporter
from .policy.bans import Bans
from .policy.productmemory import (
    CALLER_DESCRIPTORS,
    PEER_DESCRIPTORS,
    make_product_budgets,
)
from .policy.quarantine import Quarantine
from .serve.callers import CallerApp
from .serve.crashes import CrashTracker
from .serve.disconnect import DisconnectWatcher
from .serve.dispatch import Dispatcher
from .serve.gates import Gates
from .serve.idempotency import IdempotencyGuard
from .serve.listener import Listener
from .serve.peerclient import PeerClient
from .serve.peerserver import PeerApp
from .settings import Settings
from .spread.activeversion import ActiveVersion
from .spread.feed import Feed
from .spread.follower import Follower
from .spread.poller import Poller
from .spread.reports import Reports
from .spread.servicer import Servicer
from .spread.survey import Surveyor
from .store.claimwriter import ClaimWriter
from .store.client import PlatformClient
from .supervise import supervise
from .wire.channel import (
    SERVER_OPTIONS,
    PeerGuard,
    make_client_context,
    make_server_credentials,
)
from .wire.control_pb2_grpc import add_ControlServicer_to_server

__all__ = ["Node"]

Task = Callable[[], Awaitable[None]]

CLOSE_IDLE_INTERVAL_SECONDS = 1.0
"""Interval of closing idle connections to other nodes."""


class Node:
    """The components of one node."""

    def __init__(self, settings: Settings) -> None:
        """Create the components without opening any socket."""
        self.settings = settings
        self.leaving = False
        self.counters = Counters()
        self.histograms = Histograms()
        self._tallies = Tallies()
        self._port = PlatformClient(
            settings.platform, settings.platform_timeout, self.counters
        )
        self._make_membership()
        self._make_spread()
        self._make_call_path()
        self._make_operators()

    def _make_membership(self) -> None:
        self.rumors = Rumors(lambda: len(self.view))
        self.view = View(
            make_local_member(self.settings, int(read_wall() * 1000)),
            self.rumors.add_member,
        )
        self._crash_tracker = CrashTracker(Quarantine(), self.rumors, self.counters)
        self._gossip = Gossip(
            self.view,
            self.rumors,
            self.counters,
            self.settings.secret,
            self.settings.probe_interval,
            self._crash_tracker.receive_strike,
        )
        self._joiner = Joiner(
            self.settings,
            self._port,
            self.view,
            self.counters,
            on_strike=self._crash_tracker.receive_strike,
        )
        self._target_registry = TargetRegistry(
            self.settings.announce_ttl, self._publish_targets
        )

    def _make_spread(self) -> None:
        settings = self.settings
        self.current = ActiveVersion(
            settings.region, settings.data_centre, self.counters
        )
        self._reports = Reports(settings.node, self.current, self._count_running)
        self._feed = Feed(self.current, self._reports, self.counters)
        self._follower = Follower(
            settings, self.current, self.view, self._reports, self.counters
        )
        self._poller = Poller(
            settings, self._port, self.current, self.view, self.counters
        )
        self._surveyor = Surveyor(settings, self.view, self._reports, self.counters)

    def _make_call_path(self) -> None:
        settings = self.settings
        self._gates = Gates(
            self._target_registry,
            self.current,
            self.counters,
            self._tallies,
            self._crash_tracker.record_crash,
            settings.data_centre,
            settings.node,
        )
        self._watcher = DisconnectWatcher()
        self._peer_client = PeerClient(
            settings, self.counters, make_client_context(settings)
        )
        self._claim_writer = ClaimWriter(
            self._port, settings.node, settings.claim_rate, self.counters
        )
        dispatcher = Dispatcher(
            self.view,
            self.current,
            self._gates,
            self._peer_client,
            self.counters,
            self._crash_tracker,
            Bans(),
        )
        self._caller_app = CallerApp(
            self.current,
            dispatcher,
            IdempotencyGuard(self._claim_writer, self.counters),
            self.counters,
            self.histograms,
            settings.max_body,
            lambda: self.leaving,
            self._watcher,
        )
        self._peer_app = PeerApp(
            self._gates,
            self.counters,
            settings.secret,
            self.view.local_member.incarnation,
            settings.max_body,
            self._watcher,
        )

    def _make_operators(self) -> None:
        editor = Editor(self._port, self.current, self._surveyor, self.counters)
        collector = TallyCollector(self.settings, self.view, self.counters)
        self._move_duty = MoveDuty(
            self._port, self.current, self.view, collector, editor, self.counters
        )
        closure_handler = ClosureHandler(self.current, self.view, collector, editor)
        reporter = Reporter(
            self.current, self.view, self._follower, self._surveyor, self._gates
        )
        self._operator_app = OperatorApp(
            self.current,
            self._target_registry,
            self._gates,
            editor,
            closure_handler,
            reporter,
            self.counters,
            self.histograms,
            self.settings.token,
            self.settings.operators.ip,
            lambda: self.leaving,
            self._list_gauges,
        )

    def _publish_targets(self, targets: tuple[Target, ...]) -> None:
        self.view.update_local_member(targets=targets)

    def _count_running(self, service: str = "") -> int:
        return self._gates.count_running(service)

    def _list_gauges(self) -> list[tuple[str, float]]:
        now = read_monotonic()
        current = self.current
        age = -1.0 if current.confirmed_at is None else now - current.confirmed_at
        return [
            ("version", current.number),
            ("version_age_seconds", age),
            ("ready", float(current.ready)),
            ("members", len(self.view)),
            ("rumors", len(self.rumors)),
            ("running", self._count_running()),
        ]

    async def run(self, stop: anyio.Event) -> None:
        """Run until `stop` is set and running calls are drained."""
        listeners = self._open_listeners()
        control = await self._start_control()
        log_event("started", version=0)
        try:
            async with anyio.create_task_group() as tasks:
                for listener in listeners:
                    tasks.start_soon(listener.run)
                for name, run in self._list_initial_tasks():
                    tasks.start_soon(supervise, name, run, self.counters)
                await self._joiner.join()
                for name, run in self._list_joined_tasks():
                    tasks.start_soon(supervise, name, run, self.counters)
                gc.freeze()
                await stop.wait()
                await self._drain(listeners)
                tasks.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await control.stop(0)
                await self._port.aclose()
        log_event("stopped", version=self.current.number)

    def _list_initial_tasks(self) -> list[tuple[str, Task]]:
        return [
            ("gossip", lambda: self._gossip.run(self.settings.control)),
            ("upkeep", self._gates.run_maintenance),
            ("claims", self._claim_writer.run),
            ("links", self._close_idle_peer_connections),
            ("watch", self._watcher.run),
        ]

    def _list_joined_tasks(self) -> list[tuple[str, Task]]:
        """Return the tasks that start once the node has joined the membership."""
        return [
            ("seeds", self._joiner.run),
            ("poll", self._poller.run),
            ("follow", self._follower.run),
            ("moves", self._move_duty.run),
        ]

    def _open_listeners(self) -> list[Listener]:
        settings = self.settings
        holders = ServedHolders(
            make_product_budgets(settings.memory_bytes, settings.max_body),
            lambda reason: self.counters.add(f"evicted_{reason}"),
        )
        return [
            Listener(
                self._caller_app,
                settings.callers,
                settings,
                connections=settings.max_connections,
                holders=holders,
                descriptors=CALLER_DESCRIPTORS,
            ),
            Listener(
                self._peer_app,
                settings.calls,
                settings,
                connections=settings.max_connections,
                tls=True,
                holders=holders,
                descriptors=PEER_DESCRIPTORS,
            ),
            Listener(self._operator_app, settings.operators, settings, holders=holders),
        ]

    async def _start_control(self) -> grpc.aio.Server:
        guard = PeerGuard(
            self.settings.secret, lambda: self.counters.add("control_refused")
        )
        server = grpc.aio.server(interceptors=[guard], options=SERVER_OPTIONS)
        servicer = Servicer(
            self._feed,
            self._poller,
            self._reports,
            self.view,
            self._tallies,
            self._count_running,
            self.counters,
            self._crash_tracker.list_strikes,
        )
        add_ControlServicer_to_server(servicer, server)
        address = str(self.settings.control)
        credentials = make_server_credentials(self.settings)
        if credentials is None:
            server.add_insecure_port(address)
        else:
            server.add_secure_port(address, credentials)
        await server.start()
        return server

    async def _close_idle_peer_connections(self) -> None:
        while True:
            await anyio.sleep(CLOSE_IDLE_INTERVAL_SECONDS)
            await self._peer_client.close_idle(read_monotonic())

    async def _drain(self, listeners: list[Listener]) -> None:
        """Announce the leave, wait for running calls, then close the listeners."""
        self.leaving = True
        self._gates.leaving = True
        self.view.update_local_member(state=State.LEFT, targets=())
        log_event("leaving", running=self._count_busy())
        self._gossip.send_pending()
        grace, limit = self.settings.drain_grace, self.settings.drain_limit
        end = self._caller_app.answer_by = read_monotonic() + grace + limit
        # Responses carry `connection: close`, so that callers switch nodes in time.
        await anyio.sleep(grace)
        await wait_idle(self._count_busy, limit, self.counters)
        self._caller_app.answer_by = read_monotonic() + STOP_SECONDS
        await stop_listeners(listeners, max(0.0, end - read_monotonic()))

    def _count_busy(self) -> int:
        return self._caller_app.running + self._peer_app.running
