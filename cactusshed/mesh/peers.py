"""Registry of the other nodes, and the links to them."""

import asyncio
import random
from collections.abc import Callable, Iterator

from ..clock import read_monotonic
from ..observe.counters import Counters
from ..observe.lines import log_line
from ..options import BadOption, parse_address
from ..policy.bodybudget import BodyBudget
from ..policy.placement import LoadView
from ..uplink.scheduler import UplinkScheduler
from .frames import (
    BodyPart,
    Call,
    Frame,
    Hello,
    Result,
    Silence,
    StateUpdate,
    TargetState,
)
from .link import Link, LinkLost, dial_link
from .member import Member
from .pending import PendingCalls

__all__ = ["PeerFrame", "Peers"]

PeerFrame = Result | BodyPart | Silence | Hello | StateUpdate
"""Frames that `Peers.handle` handles itself."""
MIN_REDIAL_SECONDS = 0.1
MAX_REDIAL_SECONDS = 1.0
"""Longest pause between two dials, hence the time to find a restarted node."""
FORGET_SECONDS = 120.0
"""Time without a link after which a node is forgotten. A node that still has a row
in the store is added again by the next read of the members."""
HELLO_TIMEOUT_SECONDS = 1.0
"""Time for the other side's `Hello` on a new link."""


class Peers:
    """Keeps a link to every other node, and tracks the calls sent over the links."""

    def __init__(
        self,
        make_hello: Callable[[TargetState | None], Hello],
        handle: Callable[[Link, Frame], None],
        on_member: Callable[[Member], None],
        on_hello: Callable[[Hello], None],
        on_accepted: Callable[[Link], None],
        counters: Counters,
        request_budget: BodyBudget,
        answer_budget: BodyBudget,
        answer_heads: BodyBudget,
        scheduler: UplinkScheduler | None = None,
    ) -> None:
        """Start without members.

        `make_hello` returns the first message on a link, `handle` takes frames that
        concern neither membership nor results. `on_member` is called when a dialled
        node has answered, `on_hello` for every `Hello` and `on_accepted` for
        every link dialled by another node.
        """
        self.members: dict[str, Member] = {}
        self._make_hello = make_hello
        self._handle_other = handle
        self._on_member = on_member
        self._on_hello = on_hello
        self._on_accepted = on_accepted
        self._counters = counters
        self._request_budget = request_budget
        self._scheduler = scheduler
        self.pending = PendingCalls(
            answer_budget, self._replace_silent_link, answer_heads
        )
        self._members_by_link: dict[Link, Member] = {}
        self._accepted: set[Link] = set()
        self._tasks: dict[str, asyncio.Task] = {}
        self._rng = random.Random()  # noqa: S311
        self._local_node = make_hello(None).node

    # Members.

    def add(self, node: str, address: str) -> None:
        """Add a node, or update its address, and dial it without delay."""
        if node == self._local_node or not node:
            return
        try:
            parsed = parse_address("peer address", address)
        except BadOption as error:
            log_line("member-refused", member=node, cause=str(error))
            return
        member = self.members.get(node)
        if member is not None:
            member.address = parsed
            member.wake.set()
            return
        member = self.members[node] = Member(node, parsed)
        self._tasks[node] = asyncio.create_task(self._keep_link(member))

    def forget(self, node: str) -> None:
        """Remove a node and close the link to it."""
        task = self._tasks.pop(node, None)
        member = self.members.pop(node, None)
        if task is not None:
            task.cancel()
        if member is not None and member.link is not None:
            member.link.close()

    def close(self) -> None:
        """Close all links and stop dialling."""
        for node in list(self.members):
            self.forget(node)
        for link in list(self._accepted):
            link.close()
        self.pending.close_retired()

    def list_connected(self, service: str) -> list[Member]:
        """Return the nodes with a live link and a target of `service`."""
        return [
            member
            for member in self.members.values()
            if member.is_up and member.service == service
        ]

    def count_gates(self, service: str) -> int:
        """Return the number of other nodes with a target of `service`."""
        return sum(member.service == service for member in self.members.values())

    async def _keep_link(self, member: Member) -> None:
        pause = MIN_REDIAL_SECONDS
        while True:
            if await self._dial(member):
                pause = MIN_REDIAL_SECONDS
                await self._wait_lost(member)
            elif read_monotonic() - member.last_seen > FORGET_SECONDS:
                log_line("member-forgotten", member=member.node)
                del self.members[member.node]
                del self._tasks[member.node]
                return
            member.wake.clear()
            try:
                async with asyncio.timeout(pause * self._rng.uniform(0.7, 1.3)):
                    await member.wake.wait()
            except TimeoutError:
                pause = min(MAX_REDIAL_SECONDS, 2 * pause)

    async def _dial(self, member: Member) -> bool:
        member.hello_received.clear()
        try:
            link = await dial_link(
                member.address,
                self.handle,
                self._handle_link_lost,
                self._request_budget,
                self._scheduler,
            )
        except LinkLost:
            return False
        link.peer = member.node
        member.link = link
        self._members_by_link[link] = member
        link.send(self._make_hello(member.remembered))
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_SECONDS):
                await member.hello_received.wait()
        except TimeoutError:
            link.close()
            return False
        except asyncio.CancelledError:
            link.close()
            raise
        return not link.is_closed

    async def _wait_lost(self, member: Member) -> None:
        link = member.link
        while not (link.is_closed or link.is_retired):
            member.wake.clear()
            await member.wake.wait()
            if member.link is not link:
                return

    def _replace_silent_link(self, link: Link) -> None:
        """Dial the other node again; it may be slow, so its results are awaited."""
        self._note_lost(link, 0)
        self.pending.retire(link)

    def _handle_link_lost(self, link: Link) -> None:
        self._accepted.discard(link)
        self._note_lost(link, self.pending.fail(link))

    def _note_lost(self, link: Link, calls: int) -> None:
        member = self._members_by_link.pop(link, None)
        if member is None or member.link is not link:
            return
        if member.is_up:
            member.log_loss(calls)
            self._counters.add("peers_lost")
        member.is_up = False
        member.last_seen = read_monotonic()
        member.wake.set()

    # Frames.

    def handle_accepted_lost(self, link: Link) -> None:
        """Drop a closed link that another node dialled."""
        self._accepted.discard(link)

    def handle(self, link: Link, frame: Frame) -> None:
        """Handle one frame from a link dialled by either side."""
        if link.is_retired and not isinstance(frame, Result | BodyPart | Silence):
            # The state may be older than that received over the present link.
            return
        if isinstance(frame, Result | BodyPart):
            self.pending.handle(link, frame)
        elif isinstance(frame, Silence):
            self.pending.handle_silence(frame)
        elif isinstance(frame, Hello):
            self._handle_hello(link, frame)
        elif isinstance(frame, StateUpdate):
            self._handle_state_update(link, frame)
        else:
            self._handle_other(link, frame)

    def _handle_hello(self, link: Link, hello: Hello) -> None:
        link.peer = hello.node
        link.takes_parts = hello.takes_parts
        self._on_hello(hello)
        member = self._members_by_link.get(link)
        if member is None:
            self._accepted.add(link)
            self.add(hello.node, hello.address)
            member = self.members.get(hello.node)
            remembered = member.remembered if member else None
            link.send(self._make_hello(remembered))
            self._on_accepted(link)
            if member is not None and not member.is_up:
                self._update_member(member, hello)
            return
        if member.node != hello.node:
            log_line("member-renamed", member=member.node, to=hello.node)
            link.close()
            self.add(hello.node, str(member.address))
            return
        self._update_member(member, hello)
        member.is_up = True
        member.hello_received.set()
        log_line("peer-found", member=member.node, service=member.service)
        self._on_member(member)

    def _update_member(self, member: Member, hello: Hello) -> None:
        if member.start_time != hello.start_time:
            member.start_time = hello.start_time
            member.view = LoadView()
        member.data_centre = hello.data_centre
        member.service = hello.service
        member.state = hello.state
        member.note_leaving(hello.is_leaving, hello.accepts_ms)
        if hello.state.name:
            member.remembered = hello.state
        member.link_mbps = hello.link_mbps
        member.last_seen = read_monotonic()

    def _handle_state_update(self, link: Link, update: StateUpdate) -> None:
        member = self.members.get(link.peer)
        if member is None:
            return
        member.state = update.state
        if update.state.name:
            member.remembered = update.state
        member.note_leaving(update.is_leaving, update.accepts_ms)

    def list_unsent(self) -> Iterator[tuple[Link, int]]:
        """Yield each link dialled by others, and its unsent bytes."""
        return ((link, link.count_unsent_bytes()) for link in self._accepted)

    def list_waiting(self) -> Iterator[Link]:
        """Yield each of these links whose answers wait for their turn."""
        return (link for link in self._accepted if link.is_waiting)

    def list_accepted(self) -> list[Link]:
        """Return the links that other nodes dialled."""
        return list(self._accepted)

    def broadcast(self, frame: Frame) -> int:
        """Send a frame to every node over the links that they dialled."""
        return sum(link.send(frame) for link in list(self._accepted))

    # Calls.

    async def call(self, member: Member, call: Call) -> Result:
        """Send a call and return its result; raise `LinkLost` if the link breaks.

        Raises `TargetSilent` if the target is silent and the call asks to be told.
        Cancelling this coroutine sends `Cancel` to the other node.
        """
        return await self.pending.send(member, call)

    async def resolve_outcome(
        self, member: Member, start_time: int, call: Call, deadline: float
    ) -> Result | None:
        """Ask a node for the outcome of a call; see `PendingCalls.resolve_outcome`."""
        self._counters.add("calls_settled")
        return await self.pending.resolve_outcome(member, start_time, call, deadline)
