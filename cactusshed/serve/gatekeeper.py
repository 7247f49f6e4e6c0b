"""The gate's side of the call path: admit a call and hand it to its target."""

import math
from collections.abc import Callable

import anyio
import attrs

from ..clock import read_monotonic
from ..member.announce import LocalTarget, Targets
from ..observe.counters import Counters
from ..observe.events import log_event
from ..observe.tallies import Tallies, TallyKey
from ..policy.admit import Decision, Gate, Ticket
from ..policy.ledger import Ledger, Standing
from ..spread.current import Current
from ..tree.table import Limits
from .connection import make_request
from .headers import keep_end_to_end
from .links import AnswerMissing, Links, NotSent
from .messages import (
    TARGET_DIED,
    Answered,
    Call,
    NotRun,
    Outcome,
    Reply,
    Unknown,
)

__all__ = ["Gatekeeper"]

KEPT_ANSWER_BYTES = 64 << 10
"""A larger answer is not kept for settling."""
UPKEEP_SECONDS = 0.05
WARM_FACTOR = 2.0
"""Warm-up times after which a target that this node did not know may be warm."""
COLD_GRACE_SECONDS = 5.0
"""Time after its start in which a target's slow answers are no evidence."""
FAILED_STATUS = 500
DEFAULT_LIMITS = Limits(20, 64, 0.5, 1, 10.0, 8.0)


@attrs.define(eq=False)
class Door:
    """The gate of one target with its connections and waiting calls."""

    target: LocalTarget
    gate: Gate
    links: Links
    opened: float
    waiting: dict[Ticket, anyio.Event] = attrs.Factory(dict)


@attrs.define
class Gatekeeper:
    """The gates of all targets on this host."""

    targets: Targets
    current: Current
    counters: Counters
    tallies: Tallies
    on_crash: Callable[[Call], None]
    data_centre: str
    node: str
    make_links: Callable[..., Links] = Links
    ledger: Ledger = attrs.Factory(Ledger)
    leaving: bool = False
    _doors: dict[str, Door] = attrs.Factory(dict)
    _ended: dict[str, anyio.Event] = attrs.Factory(dict)

    def count_running(self, service: str = "") -> int:
        """Return the calls that the targets here run, of one service or of all."""
        return sum(
            door.gate.running
            for door in self._doors.values()
            if not service or door.target.service == service
        )

    def list_gates(self) -> list[tuple[str, Gate]]:
        """Return the gate of each target by name."""
        return [(name, door.gate) for name, door in self._doors.items()]

    def take_announcement(self, target: LocalTarget) -> None:
        """Open or adjust the gate of a target that announced itself."""
        limits = self.current.table.limits.get(target.service, DEFAULT_LIMITS)
        door = self._doors.get(target.name)
        if door is None or door.target.address != target.address:
            self._doors[target.name] = self._make_door(target, limits)
            return
        if door.target.incarnation != target.incarnation:
            door.opened = read_monotonic()
            door.gate.warmup.chill(door.opened)
            log_event("target-restarted", target=target.name)
        door.target = target
        door.gate.adjust(target.slots, limits)

    def _make_door(self, target: LocalTarget, limits: Limits) -> Door:
        links = self.make_links(target.address, self.counters)
        gate = Gate(target.slots, limits)
        if target.uptime >= WARM_FACTOR * limits.warm_seconds:
            gate.warmup.trust()
        return Door(target, gate, links, read_monotonic())

    def _adjust(self, door: Door) -> None:
        """Bring a gate in line with the configuration and the target's health."""
        limits = self.current.table.limits.get(door.target.service)
        if limits is not None:
            door.gate.adjust(door.target.slots, limits)
        closure = self._find_closure(self.targets.get(door.target.name))
        if closure is None:
            door.gate.open(read_monotonic())
        else:
            self._notify(door, door.gate.close(closure))

    async def run_upkeep(self) -> None:
        """Expire targets and waiting calls, and retire old connections."""
        while True:
            await anyio.sleep(UPKEEP_SECONDS)
            now = read_monotonic()
            self.targets.expire(now)
            for name, door in list(self._doors.items()):
                self._adjust(door)
                self._notify(door, door.gate.advance(now))
                await door.links.retire(now)
                if self.targets.get(name) is None and not door.gate.running:
                    del self._doors[name]

    def _find_closure(self, target: LocalTarget | None) -> str | None:
        """Return why a target takes nothing new, or `None` when it does."""
        table = self.current.table
        if target is None:
            return "target-gone"
        if self.leaving:
            return "node-leaving"
        if target.health != "ready":
            return f"target-{target.health}"
        if self.data_centre in table.withdrawn:
            return "withdrawn"
        if self.node in table.drained or target.name in table.drained:
            return "drained"
        return None

    async def run(self, call: Call, name: str) -> Outcome:
        """Run `call` on the target of that name, once it is admitted."""
        target = self.targets.get(name)
        closure = self._find_closure(target)
        door = self._doors.get(name)
        if closure is not None or door is None:
            return NotRun(closure or "target-gone")
        if not self._enter_ledger(call):
            return self._refuse_repeat(call)
        try:
            outcome = await self._run_admitted(call, door)
        except BaseException:
            self._leave_ledger(call, None)
            raise
        self._leave_ledger(call, outcome)
        return outcome

    def _enter_ledger(self, call: Call) -> bool:
        if not self.ledger.begin(call.call_id, read_monotonic()):
            return False
        self._ended[call.call_id] = anyio.Event()
        return True

    def _refuse_repeat(self, call: Call) -> Outcome:
        entry = self.ledger.settle(call.call_id, read_monotonic())
        if entry.standing == Standing.FENCED:
            return NotRun("fenced")
        return Unknown("repeated")

    def _leave_ledger(self, call: Call, outcome: Outcome | None) -> None:
        now = read_monotonic()
        if call.idempotent:
            # It may run again, so nothing of it needs to be known later.
            self.ledger.forget(call.call_id)
        elif isinstance(outcome, NotRun):
            self.ledger.refuse(call.call_id, now)
        elif isinstance(outcome, Answered) and _is_kept(outcome.reply):
            self.ledger.finish(call.call_id, now, outcome)
        else:
            self.ledger.finish(call.call_id, now)
        self._ended.pop(call.call_id).set()

    async def wait_ended(self, call_id: str) -> None:
        """Return once a call that is running here has ended."""
        event = self._ended.get(call_id)
        if event is not None:
            await event.wait()

    async def _run_admitted(self, call: Call, door: Door) -> Outcome:
        ticket = Ticket(
            call.call_id, call.kind, call.deadline, call.may_wait, call.alone
        )
        self._notify(door, door.gate.offer(ticket, read_monotonic()))
        try:
            if ticket.state == Decision.QUEUED:
                await self._wait_turn(door, ticket)
            if ticket.state != Decision.ADMITTED:
                return self._refuse(ticket)
            if not self.ledger.dispatch(call.call_id):
                return NotRun("fenced")
            outcome = await self._send(call, door)
        except BaseException:
            self._release(door, ticket)
            raise
        self._hold_for_rest(door, ticket, outcome)
        return outcome

    async def _wait_turn(self, door: Door, ticket: Ticket) -> None:
        event = door.waiting[ticket] = anyio.Event()
        try:
            await event.wait()
        finally:
            del door.waiting[ticket]

    def _refuse(self, ticket: Ticket) -> NotRun:
        refusal = ticket.refusal
        self.counters.add(f"refused_{refusal.code.replace('-', '_')}")
        return NotRun(refusal.code, refusal.retry_after)

    def _notify(self, door: Door, tickets: list[Ticket]) -> None:
        for ticket in tickets:
            event = door.waiting.get(ticket)
            if event is not None:
                event.set()

    def _release(self, door: Door, ticket: Ticket) -> None:
        if ticket.state in (Decision.ADMITTED, Decision.QUEUED):
            self._notify(door, door.gate.finish(ticket, read_monotonic()))

    def _hold_for_rest(self, door: Door, ticket: Ticket, outcome: Outcome) -> None:
        """Keep the slot until a long answer has been passed on or given up."""
        reply = outcome.reply if isinstance(outcome, Answered) else None
        if reply is None or reply.rest is None:
            self._release(door, ticket)
            return
        rest, close = reply.rest, reply.close

        async def pass_rest():
            try:
                async for chunk in rest:
                    yield chunk
            finally:
                self._release(door, ticket)

        async def close_both():
            self._release(door, ticket)
            await close()

        reply.rest = pass_rest()
        reply.close = close_both

    async def _send(self, call: Call, door: Door) -> Outcome:
        request = make_request(
            door.target.address,
            call.method,
            call.path,
            self._make_headers(call),
            call.body,
        )
        started = read_monotonic()
        try:
            reply = await door.links.send(
                request,
                deadline=call.deadline,
                first_byte=math.inf,
                once=not call.idempotent,
            )
        except NotSent:
            self._note_unreachable(door)
            return NotRun("target-unreachable")
        except AnswerMissing as error:
            self._note_missing(call, door, started, error)
            return Unknown("timeout" if error.timed_out else TARGET_DIED)
        self._note_answer(call, door, reply, read_monotonic() - started)
        return Answered(reply)

    def _make_headers(self, call: Call) -> list[tuple[bytes, bytes]]:
        left = max(1, int((call.deadline - read_monotonic()) * 1000))
        return [
            *call.headers,
            (b"cactusshed-timeout-ms", str(left).encode()),
            (b"cactusshed-depth", str(call.depth + 1).encode()),
            (b"cactusshed-tenant", call.tenant.encode()),
            (b"cactusshed-call", call.call_id.encode()),
        ]

    def _note_unreachable(self, door: Door) -> None:
        door.gate.warmup.chill(read_monotonic())
        self.counters.add("targets_unreachable")

    def _note_missing(self, call, door, started, error) -> None:
        now = read_monotonic()
        self._tally(call, door, now - started, failed=True)
        if error.timed_out:
            door.gate.warmup.note_failure(now)
            return
        door.gate.warmup.chill(now)
        self.counters.add("targets_died")
        self.on_crash(call)

    def _note_answer(self, call, door, reply: Reply, latency: float) -> None:
        now = read_monotonic()
        reply.headers = list(keep_end_to_end(reply.headers))
        self._tally(call, door, latency, failed=reply.status >= FAILED_STATUS)
        warmup = door.gate.warmup
        if reply.status >= FAILED_STATUS:
            warmup.note_failure(now)
        elif warmup.note_success(call.route, latency, now):
            self.counters.add("targets_cold_again")
            log_event("target-cold", target=door.target.name)

    def _tally(self, call, door, seconds: float, *, failed: bool) -> None:
        target = door.target
        key = TallyKey(target.service, target.version, call.route, target.name)
        is_new = read_monotonic() - door.opened < COLD_GRACE_SECONDS
        self.tallies.record(key, None if is_new else seconds, failed)

    def get_load(self, name: str) -> tuple[int, int]:
        """Return calls running and waiting on a target, and its present limit."""
        door = self._doors.get(name)
        if door is None:
            return (0, 1)
        return (door.gate.running + door.gate.queued, door.gate.get_limit())


def _is_kept(reply: Reply) -> bool:
    return reply.rest is None and len(reply.body) <= KEPT_ANSWER_BYTES
