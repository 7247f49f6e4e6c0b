"""Calls sent to other nodes that await a result, and detection of silent links."""

import asyncio
import contextlib
import itertools
from collections.abc import Callable

import attrs

from ..clock import read_monotonic
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
from .link import Link, LinkLost, NotSent
from .member import Member
from .silentattempts import TargetSilent

__all__ = ["PendingCalls"]

SWEEP_SECONDS = 0.1
"""Interval between checks for silent links."""
PING_AFTER_SECONDS = 0.3
"""Silence of a link after a call on it after which a ping is sent."""
PING_TIMEOUT_SECONDS = 0.5
"""Time without an answer to a ping after which the link is replaced: a hundred round
trips."""
OUTCOME_RETRY_SECONDS = 0.05
"""Pause after a query for an outcome that could not be sent or was lost."""


@attrs.define(eq=False)
class _PendingCall:
    frame: Call | OutcomeQuery
    future: asyncio.Future
    link: Link
    sent: float
    is_reported: bool = False
    """Whether its silence has been reported."""

    @property
    def can_wait(self) -> bool:
        """Return whether its result is awaited though the link is silent."""
        return isinstance(self.frame, Call) and self.frame.is_idempotent


class PendingCalls:
    """Pending calls by number, each with the future of its result."""

    def __init__(
        self,
        budget: BodyBudget,
        replace_link: Callable[[Link], None],
        heads: BodyBudget | None = None,
    ) -> None:
        """Start without pending calls.

        `budget` and `heads` limit results that arrive in parts. `replace_link` is
        called with each link that is found to be silent.
        """
        self._pending: dict[int, _PendingCall] = {}
        self._numbers = itertools.count(1)
        self._replace_link = replace_link
        self._retired: set[Link] = set()
        # For each link, when the oldest call that was given up since data last arrived
        # was sent.
        self._given_up: dict[Link, float] = {}
        self._bodies = BodyAssembler(budget, heads)

    async def send(self, member: Member, frame: Call | OutcomeQuery) -> Result:
        """Send a call or an outcome query and return its result.

        Raises `LinkLost`, as `NotSent` if there was no link, and `TargetSilent` if a
        result is still to come, but may take until the deadline. Cancelling the task
        sends a `Cancel` to the other node.
        """
        frame.number = next(self._numbers)
        link = member.link
        if link is None or not member.is_up or not link.send(frame):
            raise NotSent("no link", step="call", peer=member.node)
        future = asyncio.get_running_loop().create_future()
        sent = asyncio.get_running_loop().time()
        pending = _PendingCall(frame, future, link, sent)
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
        # The other node may send no further part of its answer.
        self._bodies.drop(link, number)
        link.send(Cancel(number))

    def handle_silence(self, frame: Silence) -> None:
        """Let a call try another target; its result is awaited all the same."""
        pending = self._pending.get(frame.number)
        if pending is not None and not pending.future.done():
            self._report_silence(pending)

    def _report_silence(self, pending: _PendingCall) -> None:
        if pending.is_reported:
            return
        number = pending.frame.number
        later = asyncio.get_running_loop().create_future()
        self._pending[number] = attrs.evolve(pending, future=later, is_reported=True)
        later.add_done_callback(lambda _later: self._pending.pop(number, None))
        pending.future.set_exception(
            TargetSilent(later, lambda: self._cancel(number, pending.link))
        )

    def _note_given_up(self, pending: _PendingCall) -> None:
        """Keep watching a link whose calls end before its silence is found."""
        link = pending.link
        if link.is_retired:
            return
        known = self._given_up.get(link, float("-inf"))
        if link.last_received <= pending.sent and known < link.last_received:
            self._given_up[link] = pending.sent

    def handle(self, link: Link, frame: Result | BodyPart) -> None:
        """Handle a result, or a part of the body of one."""
        if isinstance(frame, BodyPart):
            result = self._bodies.add(link, frame)
            if result is not None:
                self._bodies.release(result)
                self._complete(result)
        elif not frame.body_size or frame.body:
            self._complete(frame)
        elif frame.number in self._pending and not self._bodies.start(link, frame):
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
                self._fail(number, pending)
                count += 1
        self._retired.discard(link)
        return count

    def _fail(self, number: int, pending: _PendingCall) -> None:
        del self._pending[number]
        if not pending.future.done():
            error = LinkLost("link lost", step="call", peer=pending.link.peer)
            pending.future.set_exception(error)

    def retire(self, link: Link) -> None:
        """Use a silent link no longer, but for the results of calls that can wait.

        They may be tried elsewhere meanwhile. The outcomes of the others are queried
        over another link.
        """
        link.is_retired = True
        self._given_up.pop(link, None)
        waiting = [
            pending
            for pending in self._pending.values()
            if pending.link is link and pending.can_wait and not pending.future.done()
        ]
        if not waiting:
            link.close()
            return
        self._retired.add(link)
        for number, pending in list(self._pending.items()):
            if pending.link is link and not pending.can_wait:
                link.cancel_unsent(number)
                self._fail(number, pending)
        for pending in waiting:
            if pending.frame.reports_silence:
                self._report_silence(pending)

    def watch(self, link: Link) -> None:
        """Ping a link that should have carried data; replace it if it stays silent."""
        due = asyncio.get_running_loop().time() - PING_AFTER_SECONDS
        if not link.is_closed and not link.is_retired and link.last_received < due:
            self._given_up.setdefault(link, due)

    def close_retired(self) -> None:
        """Close the silent links on which results are awaited."""
        for link in list(self._retired):
            link.close()
        self._retired.clear()

    async def resolve_outcome(
        self, member: Member, start_time: int, call: Call, deadline: float
    ) -> Result | None:
        """Ask a node for the outcome of a call; return `None` if it stays unknown.

        A node that has restarted, so that its start time is no longer `start_time`, has
        lost the outcome.
        """
        while (remaining := deadline - read_monotonic()) > 0:
            if member.is_up:
                if member.start_time != start_time:
                    return None
                left_ms = max(1, int(remaining * 1000))
                query = OutcomeQuery(0, call.request_id, call.attempt, left_ms)
                with contextlib.suppress(LinkLost, TimeoutError):
                    async with asyncio.timeout(remaining):
                        return await self.send(member, query)
            # A closing link takes no query, and is lost only in a turn of the loop.
            member.wake.set()
            await asyncio.sleep(OUTCOME_RETRY_SECONDS)
        return None

    async def sweep(self) -> None:
        """Ping silent links with calls and replace dead ones until cancelled."""
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
            for link in self._retired - oldest.keys():
                link.close()
            for link, sent in oldest.items():
                if not link.is_retired and _is_silent(link, sent, now):
                    self._replace_link(link)


def _is_silent(link: Link, sent: float, now: float) -> bool:
    """Return whether a ping was left unanswered; ping a link that may be silent."""
    if now - max(sent, link.last_received) <= PING_AFTER_SECONDS:
        return False
    if link.pinged_at <= link.last_received:
        link.pinged_at = now
        link.send(Ping())
        return False
    if now - link.pinged_at <= PING_TIMEOUT_SECONDS:
        return False
    log_line("peer-silent", member=link.peer, seconds=round(now - sent, 2))
    return True
