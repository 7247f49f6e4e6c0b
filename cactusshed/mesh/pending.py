"""Calls sent to other nodes that await a result, and detection of silent links."""

import asyncio

import attrs

from ..observe.lines import log_line
from ..policy.bodybudget import BodyBudget
from .bodyparts import BodyAssembler
from .frames import (
    UNKNOWN,
    BodyPart,
    Call,
    Cancel,
    OutcomeQuery,
    Ping,
    Result,
    Silence,
)
from .link import Link, LinkLost
from .member import Member
from .silentattempts import TargetSilent

__all__ = ["PendingCalls"]

SWEEP_SECONDS = 0.1
"""Interval between checks for silent links."""
PING_AFTER_SECONDS = 0.3
"""Silence of a link after a call on it after which a ping is sent."""
PING_TIMEOUT_SECONDS = 0.5
"""Time without an answer to a ping after which the link is closed: a hundred round
trips."""


@attrs.define(eq=False)
class _PendingCall:
    future: asyncio.Future
    link: Link
    sent: float


class PendingCalls:
    """Pending calls by number, each with the future of its result."""

    def __init__(self, budget: BodyBudget) -> None:
        """Start without pending calls; `budget` limits results that arrive in parts."""
        self._pending: dict[int, _PendingCall] = {}
        # For each link, when the oldest call that was given up since data last arrived
        # was sent.
        self._given_up: dict[Link, float] = {}
        self._bodies = BodyAssembler(budget)

    async def send(self, member: Member, frame: Call | OutcomeQuery) -> Result:
        """Send a call or an outcome query and return its result; raise `LinkLost`.

        Raises `TargetSilent` if a result is still to come, but may take until the
        deadline. Cancelling the task sends a `Cancel` to the other node.
        """
        link = member.link
        if link is None or not member.is_up or not link.send(frame):
            raise LinkLost("no link", step="call", peer=member.node)
        future = asyncio.get_running_loop().create_future()
        pending = _PendingCall(future, link, asyncio.get_running_loop().time())
        self._pending[frame.number] = pending
        try:
            return await future
        except asyncio.CancelledError:
            self._cancel(frame.number, link)
            self._note_given_up(pending)
            raise
        finally:
            if self._pending.get(frame.number) is pending:
                del self._pending[frame.number]

    def _cancel(self, number: int, link: Link) -> None:
        self._pending.pop(number, None)
        link.send(Cancel(number))

    def handle_silence(self, frame: Silence) -> None:
        """Let a call try another target; its result is awaited all the same."""
        number = frame.number
        pending = self._pending.get(number)
        if pending is None or pending.future.done():
            return
        later = asyncio.get_running_loop().create_future()
        self._pending[number] = _PendingCall(later, pending.link, pending.sent)
        later.add_done_callback(lambda _later: self._pending.pop(number, None))
        pending.future.set_exception(
            TargetSilent(later, lambda: self._cancel(number, pending.link))
        )

    def _note_given_up(self, pending: _PendingCall) -> None:
        """Keep watching a link whose calls end before its silence is found."""
        link = pending.link
        known = self._given_up.get(link, float("-inf"))
        if link.last_received <= pending.sent and known < link.last_received:
            self._given_up[link] = pending.sent

    def handle(self, link: Link, frame: Result | BodyPart) -> None:
        """Handle a result, or a part of the body of one."""
        if isinstance(frame, BodyPart):
            result = self._bodies.add(link, frame)
            if result is not None:
                self._bodies.budget.release(result.body_size)
                self._complete(result)
        elif not frame.body_size or frame.body:
            self._complete(frame)
        elif not self._bodies.start(link, frame):
            log_line("no-memory", member=link.peer, bytes=frame.body_size)
            self._complete(Result(frame.number, UNKNOWN, frame.load, code="no-memory"))

    def _complete(self, result: Result) -> None:
        pending = self._pending.get(result.number)
        if pending is not None and not pending.future.done():
            pending.future.set_result(result)

    def fail(self, link: Link) -> int:
        """Fail the calls that were sent over a lost link; return their number."""
        self._bodies.drop_link(link)
        self._given_up.pop(link, None)
        count = 0
        for number, pending in list(self._pending.items()):
            if pending.link is link:
                del self._pending[number]
                count += 1
                if not pending.future.done():
                    error = LinkLost("link lost", step="call", peer=link.peer)
                    pending.future.set_exception(error)
        return count

    async def sweep(self) -> None:
        """Ping silent links with calls and close dead ones until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            now = loop.time()
            oldest: dict[Link, float] = {}
            for pending in self._pending.values():
                sent = min(oldest.get(pending.link, now), pending.sent)
                oldest[pending.link] = sent
            for link, sent in list(self._given_up.items()):
                if link.is_closed or link.last_received > sent:
                    del self._given_up[link]
                else:
                    oldest[link] = min(oldest.get(link, now), sent)
            for link, sent in oldest.items():
                _check_link(link, sent, now)


def _check_link(link: Link, sent: float, now: float) -> None:
    if now - max(sent, link.last_received) <= PING_AFTER_SECONDS:
        return
    if link.pinged_at <= link.last_received:
        link.pinged_at = now
        link.send(Ping())
    elif now - link.pinged_at > PING_TIMEOUT_SECONDS:
        log_line("peer-silent", member=link.peer, seconds=round(now - sent, 2))
        link.close()
