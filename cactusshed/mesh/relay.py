"""One reader of the store a data centre, which passes on what it reads.

Load pattern: many nodes, each change of a large document, slow links. Calls to
the store and bytes between data centres are paid for; bytes inside one are not.
The node with the fastest link reads; the others of its data centre follow it, and
read themselves when it falls silent or has lost the store. Readers tell all nodes
when they know something new, so a node whose reader is cut off learns it from
another data centre.
"""

import asyncio
from collections.abc import Callable

import attrs

from ..clock import read_monotonic
from ..observe.lines import log_line
from .frames import Beat, Frame, Pull, Update
from .link import Link
from .member import Member
from .peers import Peers
from .records import Records

__all__ = ["Relay"]

BEAT_SECONDS = 0.3
"""Time between a reader's signs of life to its followers."""
SILENT_SECONDS = 1.0
"""Silence of the reader after which a follower reads: half of the time in which
the users want a configuration in force."""
CONFIRMED_SECONDS = 2.8
"""Age of the store's last answer at which it counts as lost: one feed call."""
ANSWER_SECONDS = 0.8
"""Time for the answer to one question, before another node is asked: a whole
document over the slowest links known."""
PULL_SECONDS = 0.3
"""Time for the own reader to bring what another data centre already knows."""


@attrs.define(eq=False)
class Relay:
    """State of following and being followed; times are monotonic seconds."""

    node: str
    data_centre: str
    link_mbps: float
    peers: Peers
    records: Records
    is_leaving: Callable[[], bool]
    confirmed: float = float("-inf")
    _heard: dict[str, float] = attrs.Factory(dict)
    _was_reader: bool = False
    _pulled: float = float("-inf")

    def find_reader(self) -> str:
        """Return the node of this data centre that is to read the store."""
        ranked = [
            (-member.link_mbps, member.node)
            for member in self.peers.members.values()
            if member.is_up
            and not member.is_leaving
            and member.data_centre == self.data_centre
        ]
        if not self.is_leaving():
            ranked.append((-self.link_mbps, self.node))
        return min(ranked)[1] if ranked else self.node

    def is_reader(self) -> bool:
        """Return whether this node reads the store itself."""
        reader = self.find_reader()
        heard = self._heard.get(reader, float("-inf"))
        silent = read_monotonic() - heard > SILENT_SECONDS
        reads = reader == self.node or silent
        if reads != self._was_reader:
            self._was_reader = reads
            log_line("store-reader", reader=self.node if reads else reader)
        return reads

    def confirm(self) -> None:
        """Note that the store has answered."""
        self.confirmed = read_monotonic()

    async def run(self) -> None:
        """Give followers signs of life until cancelled."""
        while True:
            await asyncio.sleep(BEAT_SECONDS)
            fresh = read_monotonic() - self.confirmed < CONFIRMED_SECONDS
            if fresh and self.find_reader() == self.node:
                for link in self._list_followers():
                    link.send(self._make_beat())

    def _make_beat(self) -> Beat:
        return Beat(self.records.changed, self.records.table.version)

    def _list_followers(self) -> list[Link]:
        members = self.peers.members
        return [
            link
            for link in self.peers.list_accepted()
            if link.peer in members
            and members[link.peer].data_centre == self.data_centre
        ]

    def pass_on(self, base: int) -> None:
        """Push a change to the followers, whose configuration is `base` so far."""
        if not self._was_reader:
            return
        update = self.records.make_update(base)
        followers = set(self._list_followers())
        for link in self.peers.list_accepted():
            link.send(update if link in followers else self._make_beat())

    def greet(self, link: Link) -> None:
        """Tell a node that has just dialled how far this one knows."""
        if self.records.table.version:
            link.send(self._make_beat())

    def handle(self, link: Link, frame: Frame) -> None:
        """Take in one frame of the relay."""
        if isinstance(frame, Beat):
            self._take_beat(link, frame)
        elif isinstance(frame, Pull):
            link.send(self.records.make_update(frame.version))
        elif isinstance(frame, Update):
            self._pulled = float("-inf")
            if not self.records.take_update(frame):
                link.send(Pull(self.records.table.version))

    def _take_beat(self, link: Link, beat: Beat) -> None:
        member = self.peers.members.get(link.peer)
        if member is None:
            return
        member.changed = beat.changed
        member.version = beat.version
        if member.data_centre == self.data_centre:
            self._heard[member.node] = read_monotonic()
        if self._is_behind(member):
            is_near = member.data_centre == self.data_centre
            is_new = not self.records.table.version
            pause = 0.0 if is_near and is_new else PULL_SECONDS
            loop = asyncio.get_running_loop()
            loop.call_later(pause, self._pull, member)

    def _is_behind(self, member: Member) -> bool:
        records = self.records
        return (
            member.version > records.table.version or member.changed > records.changed
        )

    def _pull(self, member: Member) -> None:
        """Ask a node for what it knows, if that is still news."""
        now = read_monotonic()
        is_waiting = now - self._pulled < ANSWER_SECONDS
        if is_waiting or not member.is_up or not self._is_behind(member):
            return
        self._pulled = now
        log_line("pulled", member=member.node, changed=member.changed)
        member.link.send(Pull(self.records.table.version))
