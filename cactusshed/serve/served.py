"""One target as its node serves it: gate, connections, and calls that wait."""

import math
from collections.abc import Callable

import anyio
import attrs

from ..clock import read_monotonic
from ..member.announce import LocalTarget
from ..observe.events import log_event
from ..policy.admit import Decision, Gate, Ticket
from ..tree.table import Limits
from . import headers as names
from .connection import make_request
from .links import Links
from .messages import Answered, Call, Headers, Outcome, Reply

__all__ = ["ServedTarget", "open_target"]

WARM_FACTOR = 2.0
"""Warm-up times after which a target that this node did not know may be warm."""
COLD_GRACE_SECONDS = 5.0
"""Time after its start in which a target's slow answers are no evidence."""


def open_target(
    target: LocalTarget, limits: Limits, make_links: Callable[..., Links], *arguments
) -> "ServedTarget":
    """Return the state of a target that this node did not know."""
    gate = Gate(target.slots, limits)
    if target.uptime >= WARM_FACTOR * limits.warm_seconds:
        gate.warmup.trust()
    return ServedTarget(
        target, gate, make_links(target.address, *arguments), read_monotonic()
    )


@attrs.define(eq=False)
class ServedTarget:
    """State of one target at its node; `opened` is monotonic seconds."""

    target: LocalTarget
    gate: Gate
    links: Links
    opened: float
    _waiting: dict[Ticket, anyio.Event] = attrs.Factory(dict)

    def take_announcement(self, target: LocalTarget, limits: Limits) -> None:
        """Take over what the target says; one that restarted is cold."""
        if self.target.incarnation != target.incarnation:
            self.opened = read_monotonic()
            self.gate.warmup.chill(self.opened)
            log_event("target-restarted", target=target.name)
        self.target = target
        self.gate.adjust(target.slots, limits)

    def adjust(self, limits: Limits | None, closure: str | None) -> None:
        """Take over limits, and close the gate with the code `closure` or open it."""
        if limits is not None:
            self.gate.adjust(self.target.slots, limits)
        if closure is None:
            self.gate.open(read_monotonic())
        else:
            self._notify(self.gate.close(closure))

    def advance(self, now: float) -> None:
        """Let waiting calls in, or give them up, as time passes."""
        self._notify(self.gate.advance(now))

    def is_new(self) -> bool:
        """Return whether the target has started so lately that it may be slow."""
        return read_monotonic() - self.opened < COLD_GRACE_SECONDS

    async def enter(self, ticket: Ticket) -> None:
        """Offer a ticket and return once it is admitted or refused."""
        self._notify(self.gate.offer(ticket, read_monotonic()))
        if ticket.state != Decision.QUEUED:
            return
        event = self._waiting[ticket] = anyio.Event()
        try:
            await event.wait()
        finally:
            del self._waiting[ticket]

    def leave(self, ticket: Ticket) -> None:
        """Take a ticket out, whatever its state; it may be called again."""
        if ticket.state in (Decision.ADMITTED, Decision.QUEUED):
            self._notify(self.gate.finish(ticket, read_monotonic()))

    def _notify(self, tickets: list[Ticket]) -> None:
        for ticket in tickets:
            event = self._waiting.get(ticket)
            if event is not None:
                event.set()

    def hold_for_rest(self, ticket: Ticket, outcome: Outcome) -> bool:
        """Keep the slot until a long answer is passed on; return whether it is one."""
        reply = outcome.reply if isinstance(outcome, Answered) else None
        if reply is None or reply.rest is None:
            return False
        rest, close = reply.rest, reply.close

        async def pass_rest():
            try:
                async for chunk in rest:
                    yield chunk
            finally:
                self.leave(ticket)

        async def close_both():
            self.leave(ticket)
            await close()

        reply.rest = pass_rest()
        reply.close = close_both
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
        return await self.links.send(
            request,
            deadline=call.deadline,
            first_byte=math.inf,
            once=not call.idempotent,
        )


def _make_headers(call: Call) -> Headers:
    """Return what a target passes on with the calls that it makes in turn."""
    left = max(1, int((call.deadline - read_monotonic()) * 1000))
    return [
        (names.TIMEOUT_MS, str(left).encode()),
        (names.DEPTH, str(call.depth + 1).encode()),
        (names.TENANT, call.tenant.encode()),
        (names.CALL, call.call_id.encode()),
    ]
