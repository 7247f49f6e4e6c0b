"""The gate of the one target on this host: every request to it passes here.

Only processes on its own host reach a target, so all rules with a number are
kept here, exactly, whatever other nodes believe.
"""

import asyncio
from collections.abc import Callable, Iterable

import attrs

from ..clock import read_monotonic
from ..errors import CactusError
from ..observe.counters import Counters
from ..observe.lines import log_line
from ..platform import headers as names
from ..policy.backpressure import CallingRoutes
from ..policy.bound import Allowance, Bound
from ..policy.cold import ColdGuard
from ..policy.ledger import Entry, Ledger
from ..policy.ledger import Standing as Known
from ..policy.quarantine import Quarantine
from ..policy.repeats import RepeatBudget
from ..policy.room import Room, Standing, Ticket
from .evidence import EvidenceBook
from .frames import (
    ANSWERED,
    NOT_RUN,
    UNKNOWN,
    Call,
    Load,
    Result,
    Settle,
    make_attempt_id,
)
from .pool import Pool
from .suspects import Suspects, make_fingerprint
from .upstream import (
    CONNECTION_ONLY,
    Answer,
    Headers,
    NotSent,
    Upstream,
    UpstreamFailed,
)

__all__ = ["Gate"]

ANSWER_GRACE_SECONDS = 0.05
"""Time past its deadline in which a target's own late refusal is taken."""
MAX_STALE_CONNECTIONS = 3
"""Idle connections that may turn out closed before a new one is opened."""
TICK_SECONDS = 0.02
"""Time between two looks at the queue; a tenth of the shortest aims."""
FAILED_STATUS = 500
KEPT_ANSWER_BYTES = 64 << 10
"""A larger answer is not kept for settling."""


@attrs.define(eq=False)
class Gate:
    """State of the target's gate; `closures` maps reasons to why it is closed."""

    pool: Pool
    counters: Counters
    budget: RepeatBudget
    quarantine: Quarantine
    suspects: Suspects
    evidence: EvidenceBook
    service: str
    count_gates: Callable[[], int]
    on_doubt: Callable[[], None]
    """Told when the target may have restarted, so that it is asked."""
    room: Room = attrs.Factory(lambda: Room(1))
    cold: ColdGuard = attrs.Factory(ColdGuard)
    pressure: CallingRoutes = attrs.Factory(CallingRoutes)
    ledger: Ledger = attrs.Factory(Ledger)
    instance: str = ""
    """Identity of the target that requests are meant for."""
    version: str = ""
    closures: dict[str, None] = attrs.Factory(lambda: {"target-unknown": None})
    _waiting: dict[Ticket, asyncio.Future] = attrs.Factory(dict)
    _ended: dict[str, asyncio.Future] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        """Begin closed: nothing is known of the target yet."""
        self.room.close("target-unknown")

    @property
    def is_open(self) -> bool:
        """Return whether new calls are taken."""
        return not self.closures

    def set_closure(self, code: str, closed: bool) -> bool:
        """Close the gate for the reason `code`, or drop that reason.

        Returns whether this changed anything.
        """
        if closed == (code in self.closures):
            return False
        if closed:
            self.closures[code] = None
            self._notify(self.room.close(next(iter(self.closures))))
        else:
            del self.closures[code]
            if self.closures:
                self.room.close(next(iter(self.closures)))
            else:
                self.room.open()
        log_line(
            "gate-closed" if closed else "gate-reopened",
            reason=code,
            instance=self.instance,
            closures=list(self.closures),
        )
        return True

    def get_load(self) -> Load:
        """Return the load that is reported with every result.

        A cold target keeps as many requests running as its rate and their usual
        time make, also where it has more slots.
        """
        room = self.room
        mean = room.get_mean()
        limit = room.limit
        if self.cold.is_cold(read_monotonic()):
            limit = max(1, min(limit, int(self.cold.bucket.rate * mean)))
        return Load(room.running, room.waiting, limit, mean * 1000)

    async def tick(self) -> None:
        """Admit and expire waiting calls until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = read_monotonic()
            for route, rate in self.pressure.step(now):
                log_line("backpressure", route=route, rate=rate)
            if self.room.waiting:
                self._notify(self.room.expire(now))
                self.advance()

    def advance(self) -> None:
        """Let waiting calls start as far as there is room."""
        now = read_monotonic()
        self._notify(self.room.admit(now, self._get_bound(now)))

    def _get_bound(self, now: float) -> Bound:
        """Return what a cold target and the routes that are held back allow."""
        whole = None
        if self.cold.is_cold(now):
            bucket = self.cold.bucket
            whole = Allowance(bucket.rate, bucket.count(now))
        return Bound(whole, self.pressure.list_allowances(now))

    def _notify(self, tickets: Iterable[Ticket]) -> None:
        for ticket in tickets:
            if ticket.standing == Standing.RUNNING:
                self._note_start(ticket)
            future = self._waiting.pop(ticket, None)
            if future is not None and not future.done():
                future.set_result(None)

    def _note_start(self, ticket: Ticket) -> None:
        now = read_monotonic()
        if self.cold.is_cold(now):
            self.cold.bucket.take(now)
        self.pressure.note_start(ticket.route, now)

    async def run(self, call: Call) -> Result:
        """Run a call on the target, once it is admitted."""
        refusal = self._check(call)
        if refusal:
            return self._refuse(call, refusal)
        request_id = make_attempt_id(call)
        if call.is_repeatable:
            return await self._run_admitted(call)
        if not self.ledger.begin(request_id, read_monotonic()):
            entry = self.ledger.settle(request_id, read_monotonic())
            if entry.standing == Known.FENCED:
                return self._refuse(call, "fenced")
            return Result(call.number, UNKNOWN, self.get_load(), code="repeated")
        loop = asyncio.get_running_loop()
        self._ended[request_id] = loop.create_future()
        result: Result | None = None
        try:
            result = await self._run_admitted(call)
        finally:
            self._record(request_id, result)
        return result

    def _check(self, call: Call) -> str:
        if call.service != self.service:
            return "other-service"
        if self.closures:
            return next(iter(self.closures))
        if call.version and call.version != self.version:
            return "other-version"
        return ""

    def _refuse(self, call: Call, code: str, retry: float = 0.0) -> Result:
        self.counters.add(f"gate_refused_{code.replace('-', '_')}")
        retry_ms = int(retry * 1000)
        return Result(
            call.number, NOT_RUN, self.get_load(), code=code, retry_ms=retry_ms
        )

    def _record(self, request_id: str, result: Result | None) -> None:
        now = read_monotonic()
        if result is not None and result.outcome == NOT_RUN:
            self.ledger.refuse(request_id, now)
        elif result is not None and len(result.body) <= KEPT_ANSWER_BYTES:
            kept = result if result.outcome == ANSWERED else None
            self.ledger.finish(request_id, now, kept)
        else:
            self.ledger.finish(request_id, now)
        self._ended.pop(request_id).set_result(None)

    async def settle(self, asked: Settle) -> Result:
        """Return what became of a request; one not dispatched is fenced."""
        request_id = make_attempt_id(asked)
        entry = self.ledger.settle(request_id, read_monotonic())
        ended = self._ended.get(request_id)
        if entry.standing == Known.RUNNING and ended is not None:
            await asyncio.wait([ended], timeout=asked.left_ms / 1000)
            entry = self.ledger.settle(request_id, read_monotonic())
        return self._read_entry(asked.number, entry)

    def _read_entry(self, number: int, entry: Entry) -> Result:
        if entry.standing == Known.FENCED:
            return Result(number, NOT_RUN, self.get_load(), code="settled-not-run")
        if entry.standing == Known.ANSWERED:
            kept: Result = entry.answer
            kept.number = number
            return kept
        return Result(number, UNKNOWN, self.get_load(), code="still-running")

    def is_dispatched(self, call: Call) -> bool:
        """Return whether a call that can't be repeated is with the target."""
        return self.ledger.is_running(make_attempt_id(call))

    async def _run_admitted(self, call: Call) -> Result:
        now = read_monotonic()
        deadline = now + call.left_ms / 1000
        ticket = Ticket(
            deadline,
            now + call.aim_ms / 1000,
            call.route,
            call.rank,
            call.is_inner,
            call.may_wait,
        )
        answer: Answer | None = None
        try:
            await self._enter(ticket)
            if ticket.standing != Standing.RUNNING:
                refusal = ticket.refusal
                return self._refuse(call, refusal.code, refusal.retry_after)
            code = self._commit(call)
            if code:
                return self._refuse(call, code)
            result, answer = await self._send(call, ticket)
            return result
        finally:
            was_running = ticket.standing == Standing.RUNNING
            sampled = answer is not None and answer.status < FAILED_STATUS
            self.room.leave(ticket, read_monotonic(), is_sample=sampled)
            if was_running:
                self.advance()

    async def _enter(self, ticket: Ticket) -> None:
        now = read_monotonic()
        bound = self._get_bound(now)
        self.room.offer(ticket, now, bound)
        if ticket.standing == Standing.RUNNING:
            self._note_start(ticket)
        elif ticket.standing == Standing.WAITING:
            future = asyncio.get_running_loop().create_future()
            self._waiting[ticket] = future
            if bound.routes:
                # All that waits may be held back, and this one is not.
                self.advance()
            try:
                await future
            finally:
                self._waiting.pop(ticket, None)

    def _is_condemned(self, call: Call, now: float) -> bool:
        """Return whether a call is known to crash its targets.

        While there are no strikes, nothing needs to be hashed.
        """
        if self.quarantine.is_empty():
            return False
        return self.quarantine.judge(make_fingerprint(call), now).refuse

    def _commit(self, call: Call) -> str:
        """Decide for the last time before the target sees the call."""
        now = read_monotonic()
        refusal = self._check(call)
        if refusal:
            return refusal
        if self._is_condemned(call, now):
            return "quarantined"
        if not call.is_repeatable:
            request_id = make_attempt_id(call)
            if not self.ledger.dispatch(request_id):
                return "fenced"
        if not call.is_repeat:
            self.budget.note_first(now, is_of_repeat=call.is_of_repeat)
            return ""
        gates = self.count_gates()
        if not self.budget.take(gates, now, has_run=call.may_have_run):
            return "over-budget"
        return ""

    async def _send(self, call: Call, ticket: Ticket) -> tuple[Result, Answer | None]:
        started = read_monotonic()
        deadline = ticket.deadline
        instance = self.instance
        limit = deadline - started + ANSWER_GRACE_SECONDS
        self.suspects.begin(call, ticket.aim, started)
        upstream: Upstream | None = None
        try:
            async with asyncio.timeout(limit):
                upstream, answer = await self._exchange(call, deadline, instance)
        except NotSent as error:
            self.counters.add("target_unreachable")
            log_line("target-unreachable", cause=error.message, instance=instance)
            self.note_sign_of_restart(is_down=True)
            return self._refuse(call, "target-unreachable"), None
        except UpstreamFailed as error:
            return self._note_missing(call, error, started), None
        except TimeoutError:
            self._tally(call, started, failed=True)
            return self._give_unknown(call, "timeout"), None
        finally:
            self.suspects.end(call)
        self.pool.give_back(upstream)
        return self._read_answer(call, answer, started), answer

    async def _exchange(
        self, call: Call, deadline: float, instance: str
    ) -> tuple[Upstream, Answer]:
        error: NotSent | None = None
        for _ in range(MAX_STALE_CONNECTIONS):
            upstream = await self.pool.take(is_careful=not call.is_repeatable)
            left = max(1, int((deadline - read_monotonic()) * 1000))
            data = _render(call, left, instance)
            try:
                answer = await upstream.exchange(
                    data, call.request_id, is_head=call.method == b"HEAD"
                )
            except NotSent as stale:
                error = stale
                continue
            return upstream, answer
        raise error

    def _note_missing(
        self, call: Call, error: UpstreamFailed, started: float
    ) -> Result:
        self.counters.add("answers_missing")
        log_line(
            "answer-missing",
            request=call.request_id,
            instance=self.instance,
            cause=error.message,
            after_ms=int((read_monotonic() - started) * 1000),
        )
        self._tally(call, started, failed=True)
        self.suspects.fail(call, read_monotonic())
        self.note_sign_of_restart(is_down=False)
        return self._give_unknown(call, "answer-missing")

    def note_sign_of_restart(self, *, is_down: bool) -> None:
        """Hold the target cold, and closed if it is down, until it is asked."""
        self.cold.doubt(read_monotonic())
        if is_down:
            self.set_closure("target-down", True)
        self.on_doubt()

    def _give_unknown(self, call: Call, code: str) -> Result:
        load = self.get_load()
        return Result(call.number, UNKNOWN, load, code=code, has_arrived=True)

    def _read_answer(self, call: Call, answer: Answer, started: float) -> Result:
        """Return the result in a target's whole answer."""
        if answer.status == 421:
            log_line("other-instance", wanted=self.instance, request=call.request_id)
            self.note_sign_of_restart(is_down=False)
            return self._refuse(call, "other-instance")
        if answer.find(names.NOT_RUN) is not None:
            self.counters.add("target_refused")
            result = self._refuse(call, "target-refused")
            result.has_arrived = True
            return result
        failed = answer.status >= FAILED_STATUS
        self._tally(call, started, failed=failed)
        is_success = 200 <= answer.status < 300
        if is_success and answer.find(names.SEAL) is None:
            self.counters.add("answers_unsealed")
            return self._give_unknown(call, "answer-unsealed")
        if not failed and not self.quarantine.is_empty():
            self.quarantine.acquit(make_fingerprint(call))
        return Result(
            call.number,
            ANSWERED,
            self.get_load(),
            answer.status,
            list(_keep(answer.headers)),
            answer.body,
            has_arrived=True,
        )

    def _tally(self, call: Call, started: float, *, failed: bool) -> None:
        now = read_monotonic()
        seconds = None if self.cold.is_cold(now) else now - started
        self.evidence.record(call.route, seconds, failed)

    async def ask_health(self, path: str) -> Answer:
        """Return the target's answer to a health request; raise `CactusError`."""
        upstream = await self.pool.take(is_careful=True)
        data = b"GET %s HTTP/1.1\r\nhost: %s\r\n\r\n" % (
            path.encode(),
            str(self.pool.address).encode(),
        )
        try:
            async with asyncio.timeout(HEALTH_SECONDS):
                answer = await upstream.exchange(data)
        except TimeoutError as error:
            raise CactusError("timed out", step="ask health") from error
        self.pool.give_back(upstream)
        return answer


HEALTH_SECONDS = 0.5
"""Time for a health request: it may wait for a slot like any other."""
# The first node adds the identity again, and the load is told by the result.
_DROPPED = CONNECTION_ONLY | {names.ATTEMPT_ID, names.LOAD}


def _keep(headers: Headers) -> Iterable[tuple[bytes, bytes]]:
    return (pair for pair in headers if pair[0] not in _DROPPED)


def _render(call: Call, left_ms: int, instance: str) -> bytes:
    """Return the bytes of a request to the target."""
    lines = [call.method + b" " + call.path + b" HTTP/1.1"]
    lines.extend(name + b": " + value for name, value in call.headers)
    lines.append(names.ATTEMPT_ID + b": " + call.request_id)
    lines.append(names.DEADLINE_MS + b": %d" % left_ms)
    lines.append(names.EXPECTED_INSTANCE + b": " + instance.encode())
    lines.append(names.CALLER + b": " + call.caller.encode())
    if call.body or call.method not in (b"GET", b"HEAD"):
        lines.append(b"content-length: %d" % len(call.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + call.body
