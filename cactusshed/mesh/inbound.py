"""Frames that arrive from other nodes: calls for the local gate and state updates."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from ..clock import read_monotonic
from ..connections.links import LinkHolders
from ..observe.lines import log_line
from ..policy.bodybudget import RETRY_SECONDS
from ..policy.clientmemory import compute_head_cost, reserve_head
from ..policy.plannedstop import PlannedStop
from .bodyparts import BodyAssembler
from .crashes import CrashTracker
from .frames import (
    NOT_RUN,
    UNKNOWN,
    BodyPart,
    Call,
    Cancel,
    Frame,
    MoveUpdate,
    OutcomeQuery,
    PullRequest,
    ReaderHeartbeat,
    RecordsUpdate,
    Result,
    Silence,
    Strike,
    UsageHolder,
    UsageReceipt,
    UsageTotals,
    VersionTallies,
)
from .gate import Gate
from .link import Link
from .moves import Moves
from .peers import PeerFrame
from .relay import Relay

if TYPE_CHECKING:
    from ..usage.reporter import UsageReporter

__all__ = ["Inbound"]


@attrs.define(eq=False)
class Inbound:
    """Routes frames to the parts of this node, and tracks running remote calls.

    `handle_other` takes the frames that no other part handles.
    """

    gate: Gate
    crash_tracker: CrashTracker
    handle_other: Callable[[Link, Frame], None]
    bodies: BodyAssembler
    """Calls whose bodies are being received."""
    stop: PlannedStop
    holders: LinkHolders | None = None
    """The links over which calls arrive."""
    moves: Moves | None = None
    relay: Relay | None = None
    usage: "UsageReporter | None" = None
    """`None` if the deployment has no usage reports."""
    _calls: dict[tuple[int, int], tuple[Call, asyncio.Task]] = attrs.Factory(dict)

    @property
    def running(self) -> int:
        """Return the number of calls from other nodes that run or are arriving."""
        return len(self._calls) + len(self.bodies)

    def handle(self, link: Link, frame: Frame) -> None:
        """Handle one frame."""
        if isinstance(frame, Call):
            now = read_monotonic()
            if not self.stop.accepts_remote(now + frame.remaining_ms / 1000, now):
                self._refuse(link, frame, "node-leaving")
            elif self.holders is not None and not self.holders.may_take_calls():
                self._refuse_for_memory(link, frame)
            elif frame.body_size and not frame.body:
                if not self.bodies.start(link, frame):
                    self._refuse_for_memory(link, frame)
            else:
                self._start_whole(link, frame)
        elif isinstance(frame, BodyPart) and self.bodies.expects(link, frame.number):
            call = self.bodies.add(link, frame)
            if call is not None:
                self._start(link, call)
        elif isinstance(frame, Cancel):
            self.bodies.drop(link, frame.number)
            self._cancel(id(link), frame.number)
            link.drop_answer(frame.number)
        elif isinstance(frame, OutcomeQuery):
            asyncio.create_task(self._resolve_outcome(link, frame))  # noqa: RUF006
        elif isinstance(frame, Strike):
            self.crash_tracker.add_strike(frame, read_monotonic())
        elif isinstance(frame, ReaderHeartbeat | PullRequest | RecordsUpdate):
            self.relay.handle(link, frame)
        elif isinstance(frame, VersionTallies):
            self.moves.record_report(frame)
        elif isinstance(frame, MoveUpdate):
            self.moves.handle_update(frame)
        elif isinstance(frame, UsageHolder | UsageTotals | UsageReceipt):
            if self.usage is not None:
                self.usage.handle(link.send, frame)
        elif isinstance(frame, PeerFrame):
            self.handle_other(link, frame)
        else:
            # `handle_other` would pass it back.
            log_line("frame-unknown", member=link.peer, frame=type(frame).__name__)

    def _start_whole(self, link: Link, call: Call) -> None:
        """Start a call that has arrived in one frame, if there is memory for it."""
        if self.holders is None:
            self._start(link, call)
            return
        cost = compute_head_cost(len(call.headers), link.frame_bytes)
        if reserve_head(self.holders.budgets.calls, cost):
            self._start(link, call, cost)
        else:
            self._refuse_for_memory(link, call)

    def _refuse_for_memory(self, link: Link, call: Call) -> None:
        log_line("no-memory", request=call.request_id, bytes=call.body_size)
        self._refuse(link, call, "no-memory", RETRY_SECONDS)

    def _refuse(
        self, link: Link, call: Call, code: str, retry_after: float = 0.0
    ) -> None:
        self.gate.counters.add(f"gate_refused_{code.replace('-', '_')}")
        result = Result(
            call.number,
            NOT_RUN,
            self.gate.get_load(),
            code=code,
            retry_after_ms=int(retry_after * 1000),
        )
        link.send(result)

    def _start(self, link: Link, call: Call, cost: int = 0) -> None:
        """Start a call; `cost` is what it has reserved, unless it came in parts."""
        task = asyncio.create_task(self._run(link, call))
        self._calls[id(link), call.number] = (call, task)
        task.add_done_callback(lambda _task: self._end(link, call, cost))

    def _end(self, link: Link, call: Call, cost: int) -> None:
        # A task that is cancelled before its first step runs none of its own code.
        self._calls.pop((id(link), call.number), None)
        if cost:
            self.holders.budgets.calls.release(cost)
        elif call.body_size:
            self.bodies.release(call)

    async def _run(self, link: Link, call: Call) -> None:
        def report_silence() -> None:
            link.send(Silence(call.number))

        on_silent = report_silence if call.reports_silence else None
        try:
            result = await self.gate.run(call, on_silent)
        except Exception as error:
            # Without a result the first node would wait until the deadline.
            log_line("call-crashed", request=call.request_id, error=repr(error))
            result = Result(
                call.number, UNKNOWN, self.gate.get_load(), code="internal-error"
            )
        if self.holders is not None and not self.holders.may_send(
            link, len(result.body)
        ):
            log_line("no-memory", request=call.request_id, bytes=len(result.body))
            result = Result(call.number, UNKNOWN, result.load, code="no-memory")
        link.send(result)

    async def _resolve_outcome(self, link: Link, query: OutcomeQuery) -> None:
        result: Result = await self.gate.outcomes.resolve(query)
        link.send(result)

    def _cancel(self, link_id: int, number: int) -> None:
        """Cancel a call unless it is dispatched and can't be retried."""
        call, task = self._calls.get((link_id, number), (None, None))
        if call is None:
            return
        if call.is_idempotent or not self.gate.outcomes.is_dispatched(call):
            task.cancel()

    def handle_link_lost(self, link: Link) -> None:
        """Cancel the retryable calls that arrived over a closed link."""
        self.bodies.drop_link(link)
        for key in [key for key in self._calls if key[0] == id(link)]:
            call, task = self._calls[key]
            if call.is_idempotent:
                task.cancel()
