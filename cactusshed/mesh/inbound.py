"""The gate's side of links: calls, questions and news from other nodes."""

import asyncio
from collections.abc import Callable

import attrs

from ..clock import read_monotonic
from .frames import (
    Beat,
    Call,
    Cancel,
    Evidence,
    Frame,
    MoveNews,
    Pull,
    Result,
    Settle,
    Strike,
    Update,
)
from .gate import Gate
from .link import Link
from .moves import Moves
from .relay import Relay
from .suspects import Suspects

__all__ = ["Inbound"]


@attrs.define(eq=False)
class Inbound:
    """Calls of other nodes that are running here."""

    gate: Gate
    suspects: Suspects
    pass_on: Callable[[Link, Frame], None]
    moves: Moves | None = None
    relay: Relay | None = None
    _calls: dict[tuple[int, int], tuple[Call, asyncio.Task]] = attrs.Factory(dict)

    @property
    def running(self) -> int:
        """Return the number of calls of other nodes."""
        return len(self._calls)

    def handle(self, link: Link, frame: Frame) -> None:
        """Take in one frame."""
        if isinstance(frame, Call):
            task = asyncio.create_task(self._run(link, frame))
            self._calls[id(link), frame.number] = (frame, task)
        elif isinstance(frame, Cancel):
            self._cancel(id(link), frame.number)
        elif isinstance(frame, Settle):
            asyncio.create_task(self._settle(link, frame))  # noqa: RUF006
        elif isinstance(frame, Strike):
            self.suspects.take(frame, read_monotonic())
        elif isinstance(frame, Beat | Pull | Update):
            self.relay.handle(link, frame)
        elif isinstance(frame, Evidence):
            self.moves.take_evidence(frame)
        elif isinstance(frame, MoveNews):
            self.moves.take_news(frame)
        else:
            self.pass_on(link, frame)

    async def _run(self, link: Link, call: Call) -> None:
        try:
            result = await self.gate.run(call)
            link.send(result)
        finally:
            self._calls.pop((id(link), call.number), None)

    async def _settle(self, link: Link, asked: Settle) -> None:
        result: Result = await self.gate.settlements.settle(asked)
        link.send(result)

    def _cancel(self, link: int, number: int) -> None:
        """Stop a call for which nobody waits, unless it must not be cut off."""
        call, task = self._calls.get((link, number), (None, None))
        if call is None:
            return
        if call.is_repeatable or not self.gate.settlements.is_dispatched(call):
            task.cancel()

    def lose(self, link: Link) -> None:
        """Stop the calls of a node that has gone."""
        for key in [key for key in self._calls if key[0] == id(link)]:
            call, task = self._calls[key]
            if call.is_repeatable:
                task.cancel()
