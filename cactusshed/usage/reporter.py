"""A node's part in the usage reports: its counts, its clock, and the holder's duty."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

import attrs

from ..clock import read_boottime, read_wall
from ..mesh.frames import Frame
from ..mesh.member import Member
from ..mesh.peers import Peers
from ..mesh.upstream import Upstream
from ..nodesettings import Settings, UsageSettings
from ..observe.counters import Counters
from ..platform.rows import RowStore
from ..platform.usagereports import send_report
from ..policy.truetime import DelayWatch, FastestVote, TrueTime, choose_fleet_time
from ..policy.usagelease import choose_receivers, rank_nodes
from ..policy.usagewindows import Source, WindowTotals
from ..store.httpcalls import HttpCalls
from .counting import UsageCounter
from .duty import UsageDuty
from .frames import UsageHolder, UsageReceipt, UsageTotals
from .sending import ReportSender, SendReport

__all__ = ["UsageReporter", "open_reporter"]

TICK_SECONDS = 0.5
"""Interval of a node's reports, hence the counts that are lost when it dies."""
CLOCK_SAMPLE_TICKS = 4
"""Ticks from one sample of the wall clock to the next."""
RECEIPT_POLL_SECONDS = 0.02
MAX_FINISH_SECONDS = 0.3
"""Longest wait for a receipt, which shares the time before SIGKILL with other work."""
FINAL_COPIES = 3
"""Nodes that get the last counts of a stopping node. The holder is one of them; one of
the others may be the next holder."""


@attrs.define(eq=False)
class UsageReporter:
    """Counts calls, sends the totals to the holder of the duty, and may be the holder.

    `list_members` returns the other nodes, `broadcast` sends a frame to them all.
    """

    node: str
    start_time: int
    settings: UsageSettings
    store: RowStore
    send_report: SendReport
    list_members: Callable[[], Iterable[Member]]
    broadcast: Callable[[Frame], object]
    counters: Counters
    read_boottime: Callable[[], float] = read_boottime
    read_wall: Callable[[], float] = read_wall
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
    close: Callable[[], None] = lambda: None
    """Closes the connections to the platform's API."""
    totals: WindowTotals = attrs.Factory(WindowTotals)
    clock: TrueTime = attrs.field(init=False)
    counter: UsageCounter = attrs.field(init=False)
    duty: UsageDuty = attrs.field(init=False)
    sender: ReportSender = attrs.field(init=False)
    _delays: DelayWatch = attrs.field(init=False)
    _sequence: int = 0
    _ticks: int = 0
    _changed: dict[int, int] = attrs.Factory(dict)
    """Number of the report in which each window's counts last changed."""
    _sent: dict[str, tuple[object, int]] = attrs.Factory(dict)
    """Link to each receiver, and the number of the last report sent over it."""
    _votes: dict[str, FastestVote] = attrs.Factory(dict)
    """Each node's own time, as the difference from this node's boot time."""
    _standby: str = ""
    _passed_on: tuple[str, set[Source]] = ("", set())
    """Holder, and the ended nodes whose totals this node has sent to it."""
    _receipts: set[int] = attrs.Factory(set)

    def __attrs_post_init__(self) -> None:
        """Create the parts."""
        now = self.read_boottime()
        self._delays = DelayWatch(TICK_SECONDS, now)
        self.clock = TrueTime(now)
        self.clock.add_sample(self.read_wall(), now)
        self.counter = UsageCounter(
            self.settings.window, self.clock, self.read_boottime
        )
        self.duty = UsageDuty(
            self.node,
            self.start_time,
            self.settings,
            self.store,
            self.list_members,
            self._broadcast_state,
            self.clock,
            self.totals,
            self._get_fleet_time,
            self.counters,
            self.read_boottime,
            self.sleep,
        )
        self.sender = ReportSender(
            self.duty, self.send_report, self.counters, self.read_boottime, self.sleep
        )

    def list_tasks(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the tasks to run until the node stops."""
        return [self.run, self.duty.keep_lease, self.sender.run]

    def _broadcast_state(self, frame: UsageHolder) -> None:
        self._apply_state(frame)
        self.broadcast(frame)

    def _apply_state(self, frame: UsageHolder) -> None:
        """Drop the counts that are fixed, and note who gets the others."""
        if frame.standby or frame.holder == self.node:
            self._standby = frame.standby
        self.counter.drop_before(frame.first)
        self.totals.drop_before(frame.first)
        self._changed = {w: n for w, n in self._changed.items() if w >= frame.first}
        now = self.read_boottime()
        if frame.time_ms and not self._delays.is_late(now):
            self.clock.note_fleet_time(frame.time_ms / 1000, now)

    # Frames of other nodes.

    def handle(self, send: Callable[[Frame], object], frame: Frame) -> None:
        """Handle a frame; `send` sends one back over the same link."""
        if isinstance(frame, UsageHolder):
            if self.duty.note_holder(frame):
                self._apply_state(frame)
        elif isinstance(frame, UsageTotals):
            self._merge(frame)
            if frame.wants_receipt:
                send(UsageReceipt(frame.sequence))
        elif isinstance(frame, UsageReceipt):
            self._receipts.add(frame.sequence)

    def _merge(self, frame: UsageTotals) -> None:
        source = (frame.node, frame.start_time)
        self.totals.merge(source, frame.sequence, frame.windows)
        self.duty.watch.note_known(frame.first, frame.token)
        if frame.until_ms:
            self.totals.note_complete(frame.node, frame.until_ms / 1000)
        now = self.read_boottime()
        if frame.time_ms and not self._delays.is_late(now):
            vote = self._votes.setdefault(frame.node, FastestVote())
            vote.add(frame.time_ms / 1000 - now)

    def _get_fleet_time(self, now: float) -> float | None:
        """Return the time that most nodes agree on, once most have stated theirs."""
        members = [member.node for member in self.list_members() if member.is_up]
        nodes = [self.node, *members]
        votes = [self._votes[node].get() for node in nodes if node in self._votes]
        if 2 * len(votes) <= len(nodes):
            return None
        return now + choose_fleet_time(votes)

    # This node's totals.

    async def run(self) -> None:
        """Report this node's totals until cancelled."""
        while True:
            await self.sleep(TICK_SECONDS)
            self.tick()

    def tick(self) -> None:
        """Send the totals that have changed to the holder and its standby."""
        self._delays.beat(self.read_boottime())
        self._ticks += 1
        if self._ticks % CLOCK_SAMPLE_TICKS == 0:
            self.clock.add_sample(self.read_wall(), self.read_boottime())
        report = self._make_report()
        self._merge(report)
        members = {member.node: member for member in self.list_members()}
        staying = [m.node for m in members.values() if m.is_up and not m.is_leaving]
        receivers = choose_receivers(self.duty.watch.holder, self._standby, staying)
        for name in receivers & members.keys():
            self._send_changes(members[name], report)
        self._pass_on_lost(members)

    def _make_report(self) -> UsageTotals:
        """Return a report with all windows that are not reported yet."""
        now = self.read_boottime()
        self.counter.refresh(now)
        self._sequence += 1
        for window in self.counter.take_touched():
            self._changed[window] = self._sequence
        until = now + self.clock.get_offset() if self.clock.is_settled(now) else 0.0
        return UsageTotals(
            self.node,
            self.start_time,
            self._sequence,
            {window: dict(counts) for window, counts in self.counter.windows.items()},
            max(0, int(until * 1000)),
            max(0, int(self.clock.get_own_time(now) * 1000)),
            first=self.duty.watch.first,
            token=self.duty.watch.token,
        )

    def _send_changes(self, member: Member, report: UsageTotals) -> None:
        link = member.link
        if not member.is_up or link is None:
            return
        known_link, sent = self._sent.get(member.node, (None, 0))
        if known_link is not link:
            sent = 0
        windows = {
            window: counts
            for window, counts in report.windows.items()
            if self._changed.get(window, 0) > sent
        }
        changes = UsageTotals(
            report.node,
            report.start_time,
            report.sequence,
            windows,
            report.until_ms,
            report.time_ms,
            first=report.first,
            token=report.token,
        )
        if link.send(changes):
            self._sent[member.node] = (link, report.sequence)

    def _pass_on_lost(self, members: dict[str, Member]) -> None:
        """Send the totals of nodes that have ended to a new holder."""
        holder = members.get(self.duty.watch.holder)
        if holder is None or not holder.is_up:
            return
        if holder.node != self._passed_on[0]:
            self._passed_on = (holder.node, set())
        for totals in self._list_lost(members):
            source = (totals.node, totals.start_time)
            if source not in self._passed_on[1]:
                holder.link.send(totals)
                self._passed_on[1].add(source)

    def _list_lost(self, members: dict[str, Member]) -> list[UsageTotals]:
        """Return the totals of nodes that have ended."""
        running = {m.node: m.start_time for m in members.values() if m.is_up}
        running[self.node] = self.start_time
        return [
            UsageTotals(*source, sequence, windows)
            for source, sequence, windows in self.totals.list_lost(running)
        ]

    # Planned stop.

    def prepare_stop(self) -> None:
        """Leave the duty to another node, once the lease has ended."""
        self.duty.is_leaving = True

    async def finish(self, seconds: float) -> None:
        """Send the last counts, and wait up to `seconds` until a node has them."""
        end = self.read_boottime() + min(MAX_FINISH_SECONDS, seconds)
        self.clock.settle()
        report = self._make_report()
        self._merge(report)
        report.wants_receipt = True
        members = {m.node: m for m in self.list_members() if m.is_up}
        ranked = rank_nodes(name for name, m in members.items() if not m.is_leaving)
        preferred = [self.duty.watch.holder, self._standby, *ranked]
        names = [name for name in dict.fromkeys(preferred) if name in members]
        # Without a holder, this node may be the last one to have the totals of others.
        for name in names[:FINAL_COPIES]:
            for totals in [*self._list_lost(members), report]:
                members[name].link.send(totals)
        while names and self.read_boottime() < end:
            if report.sequence in self._receipts:
                return
            await self.sleep(RECEIPT_POLL_SECONDS)


def open_reporter(
    settings: Settings,
    start_time: int,
    store: RowStore,
    peers: Peers,
    counters: Counters,
) -> UsageReporter:
    """Return the reporter of a node whose deployment has usage reports."""
    calls = HttpCalls("usage", settings.usage.address, counters, busy_statuses=())

    async def send(holder, token, window, counts, timeout, check_lease) -> int:
        def before_send(upstream: Upstream) -> None:
            upstream.discard_unsent(timeout)
            check_lease()

        return await send_report(
            calls, holder, token, window, counts, timeout, before_send
        )

    return UsageReporter(
        settings.node,
        start_time,
        settings.usage,
        store,
        send,
        peers.members.values,
        peers.broadcast,
        counters,
        close=calls.close,
    )
