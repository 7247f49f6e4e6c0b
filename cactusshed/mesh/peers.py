"""The other nodes: who they are, links to them, and calls on their way there."""

import asyncio
import itertools
import random
from collections.abc import Callable

import attrs

from ..clock import read_monotonic
from ..observe.counters import Counters
from ..observe.lines import log_line
from ..options import Address, BadOption, parse_address
from ..policy.place import LoadView
from .frames import Call, Cancel, Frame, Hello, News, Ping, Result, Settle, TargetState
from .link import Link, LinkLost, dial_link

__all__ = ["Member", "Peers"]

FIRST_REDIAL_SECONDS = 0.1
LAST_REDIAL_SECONDS = 1.0
"""Longest pause between two dials: a node that is back is found within it."""
FORGET_SECONDS = 120.0
"""Time without a link after which a node that is not in the store is dropped."""
HELLO_SECONDS = 1.0
"""Time for the other side's hello on a new link."""
SWEEP_SECONDS = 0.1
QUIET_SECONDS = 0.3
"""Silence with a call on its way after which a sign of life is asked for."""
DEAD_SECONDS = 0.5
"""Further silence after which the link is given up: a hundred round trips."""
SETTLE_PAUSE_SECONDS = 0.05


@attrs.define(eq=False)
class Member:
    """Another node; `born` tells its lives apart."""

    node: str
    address: Address
    data_centre: str = ""
    service: str = ""
    born: int = 0
    state: TargetState = attrs.Factory(TargetState)
    remembered: TargetState = attrs.Factory(TargetState)
    """The last state in which the node knew its target, for its next life."""
    changed: int = 0
    version: int = 0
    link_mbps: float = 0.0
    is_leaving: bool = False
    link: Link | None = None
    is_up: bool = False
    view: LoadView = attrs.Factory(LoadView)
    seen: float = attrs.Factory(read_monotonic)
    greeted: asyncio.Event = attrs.Factory(asyncio.Event)
    woken: asyncio.Event = attrs.Factory(asyncio.Event)


@attrs.define(eq=False)
class _Pending:
    future: asyncio.Future
    link: Link
    sent: float


class Peers:
    """Members, links and the calls that wait for a result."""

    def __init__(
        self,
        make_hello: Callable[[TargetState | None], Hello],
        handle: Callable[[Link, Frame], None],
        on_member: Callable[[Member], None],
        on_remembered: Callable[[Hello], None],
        on_greeted: Callable[[Link], None],
        counters: Counters,
    ) -> None:
        """Greet with `make_hello`; pass frames that are no results to `handle`."""
        self.members: dict[str, Member] = {}
        self._make_hello = make_hello
        self._handle_other = handle
        self._on_member = on_member
        self._on_remembered = on_remembered
        self._on_greeted = on_greeted
        self._counters = counters
        self._numbers = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._by_link: dict[Link, Member] = {}
        self._accepted: set[Link] = set()
        self._tasks: dict[str, asyncio.Task] = {}
        self._rng = random.Random()  # noqa: S311
        self._own = make_hello(None).node

    # Members.

    def add(self, node: str, address: str) -> None:
        """Take in a node that was named by the store or by itself."""
        if node == self._own or not node:
            return
        try:
            parsed = parse_address("peer address", address)
        except BadOption as error:
            log_line("member-refused", member=node, cause=str(error))
            return
        member = self.members.get(node)
        if member is not None and member.address == parsed:
            member.woken.set()
            return
        if member is not None:
            member.address = parsed
            member.woken.set()
            return
        member = self.members[node] = Member(node, parsed)
        self._tasks[node] = asyncio.create_task(self._keep_link(member))

    def forget(self, node: str) -> None:
        """Drop a node that is known to be gone."""
        task = self._tasks.pop(node, None)
        member = self.members.pop(node, None)
        if task is not None:
            task.cancel()
        if member is not None and member.link is not None:
            member.link.close()

    def close(self) -> None:
        """End all links and stop dialling."""
        for node in list(self.members):
            self.forget(node)
        for link in list(self._accepted):
            link.close()

    def list_up(self, service: str) -> list[Member]:
        """Return the nodes with a live link beside targets of `service`."""
        return [
            member
            for member in self.members.values()
            if member.is_up and member.service == service
        ]

    def count_gates(self, service: str) -> int:
        """Return the nodes known to be beside targets of `service`."""
        return sum(member.service == service for member in self.members.values())

    async def _keep_link(self, member: Member) -> None:
        pause = FIRST_REDIAL_SECONDS
        while True:
            if await self._dial(member):
                pause = FIRST_REDIAL_SECONDS
                await self._wait_lost(member)
            elif read_monotonic() - member.seen > FORGET_SECONDS:
                log_line("member-forgotten", member=member.node)
                del self.members[member.node]
                del self._tasks[member.node]
                return
            member.woken.clear()
            try:
                async with asyncio.timeout(pause * self._rng.uniform(0.7, 1.3)):
                    await member.woken.wait()
            except TimeoutError:
                pause = min(LAST_REDIAL_SECONDS, 2 * pause)

    async def _dial(self, member: Member) -> bool:
        member.greeted.clear()
        try:
            link = await dial_link(member.address, self.handle, self._lose)
        except LinkLost:
            return False
        link.peer = member.node
        member.link = link
        self._by_link[link] = member
        link.send(self._make_hello(member.remembered))
        try:
            async with asyncio.timeout(HELLO_SECONDS):
                await member.greeted.wait()
        except TimeoutError:
            link.close()
            return False
        except asyncio.CancelledError:
            link.close()
            raise
        return not link.is_closed

    async def _wait_lost(self, member: Member) -> None:
        link = member.link
        while not link.is_closed:
            member.woken.clear()
            await member.woken.wait()
            if member.link is not link:
                return

    def _lose(self, link: Link) -> None:
        self._accepted.discard(link)
        member = self._by_link.pop(link, None)
        for number, pending in list(self._pending.items()):
            if pending.link is link:
                del self._pending[number]
                if not pending.future.done():
                    error = LinkLost("link lost", step="call", peer=link.peer)
                    pending.future.set_exception(error)
        if member is None or member.link is not link:
            return
        if member.is_up:
            log_line("peer-lost", member=member.node, data_centre=member.data_centre)
            self._counters.add("peers_lost")
        member.is_up = False
        member.seen = read_monotonic()
        member.woken.set()

    # Frames.

    def accept_lost(self, link: Link) -> None:
        """Note the end of a link that another node dialled."""
        self._accepted.discard(link)

    def handle(self, link: Link, frame: Frame) -> None:
        """Take in one frame from a link, dialled by either side."""
        if isinstance(frame, Result):
            self._take_result(frame)
        elif isinstance(frame, Hello):
            self._take_hello(link, frame)
        elif isinstance(frame, News):
            self._take_news(link, frame)
        else:
            self._handle_other(link, frame)

    def _take_hello(self, link: Link, hello: Hello) -> None:
        link.peer = hello.node
        self._on_remembered(hello)
        member = self._by_link.get(link)
        if member is None:
            self._accepted.add(link)
            self.add(hello.node, hello.address)
            member = self.members.get(hello.node)
            remembered = member.remembered if member else None
            link.send(self._make_hello(remembered))
            self._on_greeted(link)
            if member is not None and not member.is_up:
                self._update(member, hello)
            return
        if member.node != hello.node:
            log_line("member-renamed", member=member.node, to=hello.node)
            link.close()
            self.add(hello.node, str(member.address))
            return
        self._update(member, hello)
        member.is_up = True
        member.is_leaving = False
        member.greeted.set()
        log_line("peer-found", member=member.node, service=member.service)
        self._on_member(member)

    def _update(self, member: Member, hello: Hello) -> None:
        if member.born != hello.born:
            member.born = hello.born
            member.view = LoadView()
        member.data_centre = hello.data_centre
        member.service = hello.service
        member.state = hello.state
        if hello.state.name:
            member.remembered = hello.state
        member.link_mbps = hello.link_mbps
        member.seen = read_monotonic()

    def _take_news(self, link: Link, news: News) -> None:
        member = self.members.get(link.peer)
        if member is None:
            return
        member.state = news.state
        if news.state.name:
            member.remembered = news.state
        member.is_leaving = news.is_leaving

    def list_accepted(self) -> list[Link]:
        """Return the links that other nodes dialled."""
        return list(self._accepted)

    def broadcast(self, frame: Frame) -> int:
        """Send a frame to every node over the links that they dialled."""
        return sum(link.send(frame) for link in list(self._accepted))

    # Calls.

    async def call(self, member: Member, call: Call) -> Result:
        """Send a call and return its result; raise `LinkLost`.

        Cancelling tells the other node that nobody waits any longer.
        """
        call.number = next(self._numbers)
        return await self._ask(member, call)

    async def _ask(self, member: Member, frame: Call | Settle) -> Result:
        link = member.link
        if link is None or not member.is_up or not link.send(frame):
            raise LinkLost("no link", step="call", peer=member.node)
        future = asyncio.get_running_loop().create_future()
        pending = _Pending(future, link, asyncio.get_running_loop().time())
        self._pending[frame.number] = pending
        try:
            return await future
        except asyncio.CancelledError:
            link.send(Cancel(frame.number))
            raise
        finally:
            self._pending.pop(frame.number, None)

    def _take_result(self, result: Result) -> None:
        pending = self._pending.get(result.number)
        if pending is not None and not pending.future.done():
            pending.future.set_result(result)

    async def settle(
        self, member: Member, born: int, call: Call, deadline: float
    ) -> Result | None:
        """Ask a node what became of a call; `None` when nobody knows.

        A node that has started anew since `born` can't tell.
        """
        self._counters.add("calls_settled")
        while (left := deadline - read_monotonic()) > 0:
            if member.is_up:
                if member.born != born:
                    return None
                number = next(self._numbers)
                left_ms = max(1, int(left * 1000))
                asked = Settle(number, call.request_id, call.attempt, left_ms)
                try:
                    async with asyncio.timeout(left):
                        return await self._ask(member, asked)
                except (LinkLost, TimeoutError):
                    continue
            member.woken.set()
            await asyncio.sleep(SETTLE_PAUSE_SECONDS)
        return None

    async def sweep(self) -> None:
        """Ask silent links with calls on their way for a sign of life."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            now = loop.time()
            oldest: dict[Link, float] = {}
            for pending in self._pending.values():
                sent = min(oldest.get(pending.link, now), pending.sent)
                oldest[pending.link] = sent
            for link, sent in oldest.items():
                _check_link(link, sent, now)


def _check_link(link: Link, sent: float, now: float) -> None:
    quiet = now - max(sent, link.heard_at)
    if quiet > QUIET_SECONDS + DEAD_SECONDS:
        log_line("peer-silent", member=link.peer, seconds=round(quiet, 2))
        link.close()
    elif quiet > QUIET_SECONDS and not link.is_asked:
        link.is_asked = True
        link.send(Ping())
    elif quiet <= QUIET_SECONDS:
        link.is_asked = False
