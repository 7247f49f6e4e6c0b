"""Frames that arrive from other nodes: calls for the local gate and state updates."""

import asyncio
from collections.abc import Callable

import attrs

from ..clock import read_monotonic
from .crashes import CrashTracker
from .frames import (
    Call,
    Cancel,
    Frame,
    MoveUpdate,
    OutcomeQuery,
    PullRequest,
    ReaderHeartbeat,
    RecordsUpdate,
    Result,
    Strike,
    VersionTallies,
)
from .gate import Gate
from .link import Link
from .moves import Moves
from .relay import Relay

__all__ = ["Inbound"]


@attrs.define(eq=False)
class Inbound:
    """Routes frames to the parts of this node, and tracks running remote calls.

    `handle_other` takes the frames that no other part handles.
    """

    gate: Gate
    crash_tracker: CrashTracker
    handle_other: Callable[[Link, Frame], None]
    moves: Moves | None = None
    relay: Relay | None = None
    _calls: dict[tuple[int, int], tuple[Call, asyncio.Task]] = attrs.Factory(dict)

    @property
    def running(self) -> int:
        """Return the number of running calls from other nodes."""
        return len(self._calls)

    def handle(self, link: Link, frame: Frame) -> None:
        """Handle one frame."""
        if isinstance(frame, Call):
            task = asyncio.create_task(self._run(link, frame))
            self._calls[id(link), frame.number] = (frame, task)
        elif isinstance(frame, Cancel):
            self._cancel(id(link), frame.number)
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
        else:
            self.handle_other(link, frame)

    async def _run(self, link: Link, call: Call) -> None:
        try:
            result = await self.gate.run(call)
            link.send(result)
        finally:
            self._calls.pop((id(link), call.number), None)

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
        for key in [key for key in self._calls if key[0] == id(link)]:
            call, task = self._calls[key]
            if call.is_idempotent:
                task.cancel()
