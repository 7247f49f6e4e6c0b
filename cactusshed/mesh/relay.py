"""Relay of the operator's rows from one reader per data centre to the other nodes.

The design assumes many nodes, slow links and changes to a large document. Calls to the
store and traffic between data centres are billed, traffic inside a data centre is
not. The node with the fastest link reads the store. The other nodes of its data
centre follow it; if its heartbeats stop, or say that the store has not answered it for
too long, they try in turns until one of them is answered. After a change a reader sends
a heartbeat to all nodes, so that a node whose own reader is cut off pulls the change
from another data centre.
"""

import asyncio
from collections.abc import Callable

import attrs

from ..clock import read_monotonic
from ..observe.lines import log_line
from ..policy.readerturns import is_on_turn
from ..policy.readtimes import ReadTimes
from .frames import Frame, PullRequest, ReaderHeartbeat, RecordsUpdate
from .link import Link
from .member import Member
from .peers import Peers
from .records import Records

__all__ = ["Relay"]

PULL_TIMEOUT_SECONDS = 0.8
"""Time for the answer to a `PullRequest` before another node is asked: a complete
document over the slowest known links."""
LINK_CHECK_SECONDS = 0.1
"""Interval of checks whether the heartbeats of a reader are late."""
LATE_HEARTBEATS = 1.5
"""Intervals without a heartbeat from which a link may be dead."""
PULL_DELAY_SECONDS = 0.3
"""Delay before an announced change is pulled, so that the local reader can send it
first."""


@attrs.define(eq=False)
class Relay:
    """Follows the data centre's reader or acts as it; times are monotonic seconds."""

    node: str
    data_centre: str
    link_mbps: float
    peers: Peers
    records: Records
    is_leaving: Callable[[], bool]
    times: ReadTimes
    last_store_answer: float = float("-inf")
    """Time of the store's last answer to a read; minus infinity after a failed one."""
    started_at: float = attrs.Factory(read_monotonic)
    _trusted_until: dict[str, float] = attrs.Factory(dict)
    """Until when the other nodes of the data centre count as readers."""
    _heard_at: dict[str, float] = attrs.Factory(dict)
    """Time of their last heartbeats."""
    _was_reader: bool = False
    _pull_sent_at: float = float("-inf")

    def _rank_nodes(self) -> list[str]:
        """Return the nodes of this data centre in the order in which they read."""
        ranked = [
            (-member.link_mbps, member.node)
            for member in self.peers.members.values()
            if member.is_up
            and not member.is_leaving
            and member.data_centre == self.data_centre
        ]
        if not self.is_leaving():
            ranked.append((-self.link_mbps, self.node))
        return [node for _, node in sorted(ranked)] or [self.node]

    def is_reader(self) -> bool:
        """Return whether this node reads the store itself."""
        reads = self._should_read()
        if reads != self._was_reader:
            self._was_reader = reads
            reader = self.node if reads else self._rank_nodes()[0]
            log_line("store-reader", reader=reader)
        return reads

    def _should_read(self) -> bool:
        now = read_monotonic()
        if self._hears_earlier_reader(now):
            # Followers end here, so that their checks don't scan the fleet.
            return False
        ranked = self._rank_nodes()
        if ranked[0] == self.node:
            return True
        if self.node not in ranked:
            return False
        if self._is_fresh(now):
            # This node reads in place of the ones before it.
            return True
        first_end = self.started_at + self.times.silent
        seconds = now - max([first_end, *self._trusted_until.values()])
        return is_on_turn(ranked.index(self.node) - 1, len(ranked) - 1, seconds)

    def _hears_earlier_reader(self, now: float) -> bool:
        """Return whether a node that ranks before this one sends heartbeats."""
        local_key = (-self.link_mbps, self.node)
        for node, trusted_until in self._trusted_until.items():
            if now > trusted_until:
                continue
            member = self.peers.members.get(node)
            if member is None or not member.is_up or member.is_leaving:
                continue
            if self.is_leaving() or (-member.link_mbps, node) < local_key:
                return True
        return False

    def _is_fresh(self, now: float) -> bool:
        return now - self.last_store_answer < self.times.lost

    def note_store_answer(self) -> None:
        """Record that the store has answered."""
        self.last_store_answer = read_monotonic()

    def note_store_failure(self) -> None:
        """Record that the store could not be read; another node may take over."""
        self.last_store_answer = float("-inf")

    async def run(self) -> None:
        """Send heartbeats to the followers until cancelled."""
        while True:
            await asyncio.sleep(self.times.heartbeat)
            self.send_heartbeats()

    def send_heartbeats(self) -> None:
        """Send a heartbeat to the followers if this node reads the store for them."""
        if self._was_reader and self._is_fresh(read_monotonic()):
            for link in self._list_followers():
                link.send(self._make_heartbeat())

    async def watch_readers(self) -> None:
        """Check the links from readers whose heartbeats are late, until cancelled.

        A link may be dead without a reset, and carry nothing else that shows it.
        """
        while True:
            await asyncio.sleep(LINK_CHECK_SECONDS)
            for node in self._find_late_readers(read_monotonic()):
                member = self.peers.members.get(node)
                if member is not None and member.is_up:
                    self.peers.pending.watch(member.link)

    def _find_late_readers(self, now: float) -> list[str]:
        late = LATE_HEARTBEATS * self.times.heartbeat
        return [
            node
            for node, heard_at in self._heard_at.items()
            if late < now - heard_at < self.times.lost
        ]

    def _make_heartbeat(self) -> ReaderHeartbeat:
        age = min(read_monotonic() - self.last_store_answer, self.times.lost)
        return ReaderHeartbeat(
            self.records.last_change, self.records.table.version, int(age * 1000)
        )

    def _list_followers(self) -> list[Link]:
        members = self.peers.members
        return [
            link
            for link in self.peers.list_accepted()
            if link.peer in members
            and members[link.peer].data_centre == self.data_centre
        ]

    def publish(self, base: int) -> None:
        """Send a change to the followers, whose configuration has version `base`.

        Nodes that do not follow this one get only a heartbeat.
        """
        if not self._was_reader:
            return
        update = self.records.make_update(base)
        followers = set(self._list_followers())
        for link in self.peers.list_accepted():
            link.send(update if link in followers else self._make_heartbeat())

    def send_heartbeat(self, link: Link) -> None:
        """Send a heartbeat to a node that has just dialled this one."""
        if self.records.table.version:
            link.send(self._make_heartbeat())

    def handle(self, link: Link, frame: Frame) -> None:
        """Handle one frame of the relay protocol."""
        if isinstance(frame, ReaderHeartbeat):
            self._handle_heartbeat(link, frame)
        elif isinstance(frame, PullRequest):
            link.send(self.records.make_update(frame.version))
        elif isinstance(frame, RecordsUpdate):
            self._pull_sent_at = float("-inf")
            if not self.records.apply_update(frame):
                link.send(PullRequest(self.records.table.version))

    def _handle_heartbeat(self, link: Link, heartbeat: ReaderHeartbeat) -> None:
        member = self.peers.members.get(link.peer)
        if member is None:
            return
        member.last_change = heartbeat.last_change
        member.version = heartbeat.version
        if member.data_centre == self.data_centre:
            # A reader that is cut off from the store still sends heartbeats for a
            # while; a change may have followed the store's last answer at once.
            age = heartbeat.store_age_ms / 1000
            lasting = min(self.times.silent, self.times.lost - age)
            now = read_monotonic()
            self._trusted_until[member.node] = now + lasting
            if lasting > 0.0:
                self._heard_at[member.node] = now
        if self._is_behind(member):
            is_near = member.data_centre == self.data_centre
            is_new = not self.records.table.version
            pause = 0.0 if is_near and is_new else PULL_DELAY_SECONDS
            loop = asyncio.get_running_loop()
            loop.call_later(pause, self._pull, member)

    def _is_behind(self, member: Member) -> bool:
        records = self.records
        return (
            member.version > records.table.version
            or member.last_change > records.last_change
        )

    def _pull(self, member: Member) -> None:
        """Request a node's rows, if they are still newer than the local ones."""
        now = read_monotonic()
        is_waiting = now - self._pull_sent_at < PULL_TIMEOUT_SECONDS
        if is_waiting or not member.is_up or not self._is_behind(member):
            return
        self._pull_sent_at = now
        log_line(
            "pulled",
            member=member.node,
            changed=member.last_change,
            known=self.records.last_change,
        )
        member.link.send(PullRequest(self.records.table.version))
