"""State of one local target: its gate, its connections and its queued calls."""

import math
from collections.abc import Callable

import anyio
import attrs

from ..clock import read_monotonic
from ..member.announcements import LocalTarget
from ..observe.events import log_event
from ..policy.admission import Gate, Ticket
from ..policy.tickets import TicketState
from ..tree.table import Limits
from . import headers as header_names
from .connection import make_request
from .messages import Answered, Call, Headers, Outcome, Reply
from .pool import ConnectionPool

__all__ = ["ServedTarget", "open_target"]

WARM_UPTIME_FACTOR = 2.0
"""Uptime, as a multiple of the warm-up time, from which a target starts warm."""
COLD_GRACE_SECONDS = 5.0
"""Time after a target's start in which its latencies don't enter the tallies."""


def open_target(
    target: LocalTarget,
    limits: Limits,
    make_pool: Callable[..., ConnectionPool],
    *arguments,
) -> "ServedTarget":
    """Return the state for a target that is new to this node."""
    gate = Gate(target.slots, limits)
    if target.uptime >= WARM_UPTIME_FACTOR * limits.warm_seconds:
        gate.warmup.skip_early_ramp()
    return ServedTarget(
        target, gate, make_pool(target.address, *arguments), read_monotonic()
    )


@attrs.define(eq=False)
class ServedTarget:
    """State of one local target.

    `opened` is when it was first seen or last restarted, in monotonic seconds.
    """

    target: LocalTarget
    gate: Gate
    pool: ConnectionPool
    opened: float
    _waiting: dict[Ticket, anyio.Event] = attrs.Factory(dict)

    def apply_announcement(self, target: LocalTarget, limits: Limits) -> None:
        """Apply an announcement; a target that restarted becomes cold."""
        if self.target.incarnation != target.incarnation:
            self.opened = read_monotonic()
            self.gate.warmup.reset_to_cold(self.opened)
            log_event("target-restarted", target=target.name)
        self.target = target
        self.gate.adjust(target.slots, limits)

    def adjust(self, limits: Limits | None, close_reason: str | None) -> None:
        """Apply new limits, and open the gate or close it for `close_reason`."""
        if limits is not None:
            self.gate.adjust(self.target.slots, limits)
        if close_reason is None:
            self.gate.open(read_monotonic())
        else:
            self._notify(self.gate.close(close_reason))

    def advance(self, now: float) -> None:
        """Admit or refuse queued calls that are due at `now`."""
        self._notify(self.gate.advance(now))

    def is_recently_started(self) -> bool:
        """Return whether the target started recently and may still be slow."""
        return read_monotonic() - self.opened < COLD_GRACE_SECONDS

    async def enter(self, ticket: Ticket) -> None:
        """Submit a ticket to the gate and return once it is admitted or refused."""
        self._notify(self.gate.offer(ticket, read_monotonic()))
        if ticket.state != TicketState.WAITING:
            return
        event = self._waiting[ticket] = anyio.Event()
        try:
            await event.wait()
        finally:
            del self._waiting[ticket]

    def leave(self, ticket: Ticket) -> None:
        """Release the slot or the queue position of a ticket, if it still has one."""
        if ticket.state in (TicketState.RUNNING, TicketState.WAITING):
            self._notify(self.gate.finish(ticket, read_monotonic()))

    def _notify(self, tickets: list[Ticket]) -> None:
        for ticket in tickets:
            event = self._waiting.get(ticket)
            if event is not None:
                event.set()

    def hold_until_sent(self, ticket: Ticket, outcome: Outcome) -> bool:
        """Hold the slot until a streamed response ends.

        Returns False for any other outcome; its slot must be released at once.
        """
        reply = outcome.reply if isinstance(outcome, Answered) else None
        if reply is None or reply.rest is None:
            return False
        rest, close = reply.rest, reply.close

        async def stream_rest():
            try:
                async for chunk in rest:
                    yield chunk
            finally:
                self.leave(ticket)

        async def release_and_close():
            self.leave(ticket)
            await close()

        reply.rest = stream_rest()
        reply.close = release_and_close
        return True

    async def send(self, call: Call) -> Reply:
        """Send a call to the target; raise `NotSent` or `AnswerMissing`."""
        request = make_request(
            self.target.address,
            call.method,
            call.path,
            [*call.headers, *_make_headers(call)],
            call.body,
        )
        return await self.pool.send(
            request,
            deadline=call.deadline,
            first_byte_timeout=math.inf,
            recent_only=not call.idempotent,
        )


def _make_headers(call: Call) -> Headers:
    """Return the headers that a target forwards on the calls it makes itself."""
    remaining_ms = max(1, int((call.deadline - read_monotonic()) * 1000))
    return [
        (header_names.TIMEOUT_MS, str(remaining_ms).encode()),
        (header_names.DEPTH, str(call.depth + 1).encode()),
        (header_names.TENANT, call.tenant.encode()),
        (header_names.CALL, call.call_id.encode()),
    ]
