"""The gate of the local target: admits every request that the target receives.

Only processes on the target's host can reach it, so the gate enforces all numeric
limits exactly, independently of the state that other nodes hold.
"""

import asyncio
from collections.abc import Callable, Iterable, Iterator

import attrs

from ..clock import read_monotonic
from ..observe.counters import Counters
from ..observe.lines import log_line
from ..policy.admissionqueue import AdmissionQueue
from ..policy.backpressure import RouteBackpressure
from ..policy.coldstart import ColdStartGuard, TokenBucket
from ..policy.gateretries import GateRetryBudget
from ..policy.startlimits import StartLimit, StartLimits, combine_buckets
from ..policy.tickets import Refusal, Ticket, TicketState
from ..policy.uplink import Uplink
from .crashes import CrashTracker
from .exchange import MIN_FAILURE_STATUS, OnSilent, TargetExchange
from .frames import ANSWERED, Call, Load, Result
from .notices import TargetNotices
from .outcomes import CallOutcomes
from .pool import ConnectionPool
from .tallies import TallyRecorder
from .upstream import Answer

__all__ = ["Gate"]

TICK_SECONDS = 0.02
"""Interval between checks of the queue: a tenth of the shortest soft timeouts."""


@attrs.define(eq=False)
class Gate:
    """Admission state of the local target.

    `close_reasons` holds the codes of the reasons for which the gate is closed, in the
    order in which they were set.
    """

    pool: ConnectionPool
    counters: Counters
    retry_budget: GateRetryBudget
    crash_tracker: CrashTracker
    tallies: TallyRecorder
    service: str
    count_gates: Callable[[], int]
    on_restart_suspected: Callable[[], None]
    """Called when the target may have restarted; starts a health check."""
    on_leaving: Callable[[float], None]
    """Called when an answer says that the target is leaving, with the time at which its
    request was sent."""
    uplink: Uplink | None = None
    """Use of the host's link; `None` if its rate is not known."""
    queue: AdmissionQueue = attrs.Factory(lambda: AdmissionQueue(1))
    cold: ColdStartGuard = attrs.Factory(ColdStartGuard)
    backpressure: RouteBackpressure = attrs.Factory(RouteBackpressure)
    outcomes: CallOutcomes = attrs.Factory(
        lambda self: CallOutcomes(self.get_load), takes_self=True
    )
    instance: str = ""
    """Identity of the target that requests are addressed to."""
    version: str = ""
    close_reasons: dict[str, None] = attrs.Factory(lambda: {"target-unknown": None})
    notices: TargetNotices = attrs.field(init=False)
    exchange: TargetExchange = attrs.field(init=False)
    _waiting: dict[Ticket, asyncio.Future] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        """Start closed, because the target is not known yet."""
        self.queue.close("target-unknown")
        self.notices = TargetNotices(lambda: self.instance, self.on_leaving)
        self.exchange = TargetExchange(
            self.pool,
            self.counters,
            self.crash_tracker,
            self.tallies,
            self.cold,
            self.notices,
            self.get_load,
            lambda: self.instance,
            self.suspect_restart,
        )

    @property
    def is_open(self) -> bool:
        """Return whether new calls are admitted."""
        return not self.close_reasons

    def set_close_reason(self, code: str, closed: bool) -> bool:
        """Close the gate for the reason `code`, or remove that reason.

        Returns whether the set of reasons changed.
        """
        if closed == (code in self.close_reasons):
            return False
        if closed:
            self.close_reasons[code] = None
            self._resolve_tickets(self.queue.close(next(iter(self.close_reasons))))
        else:
            del self.close_reasons[code]
            self.exchange.forget_lost_answers()
            if self.close_reasons:
                self.queue.close(next(iter(self.close_reasons)))
            else:
                self.queue.open()
        log_line(
            "gate-closed" if closed else "gate-reopened",
            reason=code,
            instance=self.instance,
            closures=list(self.close_reasons),
        )
        return True

    def get_load(self) -> Load:
        """Return the load that is reported with every result.

        The limit of a target that may start only so many requests per second is the
        number that this rate keeps running at the mean service time, even if the
        target has more slots.
        """
        queue = self.queue
        mean = queue.get_mean_seconds()
        limit = queue.limit
        starts_left = 0
        start_limit = self._get_overall_limit(read_monotonic())
        if start_limit is not None:
            limit = max(1, min(limit, int(start_limit.rate * mean)))
            starts_left = start_limit.tokens - queue.waiting
        now = read_monotonic()
        transfer_ms = 0
        if self.uplink is not None and (self.uplink.committed or self.uplink.unsent):
            transfer_ms = int(self.uplink.estimate_wait(now) * 1000)
        return Load(
            queue.running,
            queue.waiting,
            limit,
            mean * 1000,
            starts_left,
            transfer_ms,
            round(self.notices.host_pace.estimate(now) * 100),
        )

    async def tick(self) -> None:
        """Adjust backpressure, expire and admit waiting calls until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = read_monotonic()
            if self.uplink is not None:
                self.uplink.settle(now)
            for route, rate in self.backpressure.step(now):
                log_line("backpressure", route=route, rate=rate)
            self._apply_learned_limit(now)
            self.exchange.report_silent(
                now, self.queue.limit, self.queue.get_service_time
            )
            if self.queue.waiting:
                self._resolve_tickets(
                    self.queue.expire(now, self._get_start_limits(now))
                )
                self.start_waiting()

    def _apply_learned_limit(self, now: float) -> None:
        queue = self.queue
        learned = self.exchange.concurrency
        # A cold start, a limit that the target names and a leave take precedence.
        is_limited = self.notices.rate_limit.rate is not None or self.cold.is_cold(now)
        may_try = self.is_open and not is_limited
        limit = learned.update(queue.slots, now, may_try=may_try)
        queue.learned_limit = limit if limit < queue.slots else None
        before = learned.settled
        if learned.settle(now) and before:
            log_line(
                "learned-limit",
                instance=self.instance,
                limit=limit,
                before=before,
                slots=queue.slots,
                pace=round(self.notices.host_pace.usual, 2),
            )

    def start_waiting(self) -> None:
        """Start as many waiting calls as the limits allow."""
        now = read_monotonic()
        self._resolve_tickets(self.queue.admit(now, self._get_start_limits(now)))

    def _get_start_limits(self, now: float) -> StartLimits:
        """Return the start limits of the target and of throttled routes."""
        return StartLimits(
            self._get_overall_limit(now), self.backpressure.list_start_limits(now)
        )

    def _get_overall_limit(self, now: float) -> StartLimit | None:
        """Return the start limit of a target that is cold or has named a limit."""
        return combine_buckets(self._list_start_buckets(now), now)

    def _list_start_buckets(self, now: float) -> Iterator[TokenBucket]:
        if self.cold.limits_starts(now):
            yield self.cold.bucket
        if self.notices.rate_limit.rate is not None:
            yield self.notices.rate_limit.bucket

    def _resolve_tickets(self, tickets: Iterable[Ticket]) -> None:
        for ticket in tickets:
            if ticket.state == TicketState.RUNNING:
                self._count_start(ticket)
            future = self._waiting.pop(ticket, None)
            if future is not None and not future.done():
                future.set_result(None)

    def _count_start(self, ticket: Ticket) -> None:
        now = read_monotonic()
        self.counters.add("gate_started")
        self.notices.rate_limit.starts += 1
        if self.notices.rate_limit.rate is not None:
            self.notices.rate_limit.bucket.take(now)
        self.backpressure.note_start(ticket.route, now)
        may_have_restarted = self.pool.may_have_restarted()
        if self.cold.note_start(now, may_have_restarted=may_have_restarted):
            self.suspect_restart(is_down=False)

    async def run(self, call: Call, on_silent: OnSilent = None) -> Result:
        """Run a call on the target after it is admitted."""
        refusal = self._check(call)
        if refusal:
            return self._refuse(call, refusal)
        if call.is_idempotent:
            return await self._run_admitted(call, on_silent)
        result = self.outcomes.begin(call)
        if result is not None:
            self.counters.add(f"gate_refused_{result.code}")
            return result
        try:
            result = await self._run_admitted(call)
        finally:
            self.outcomes.end(call, result)
        return result

    def _check(self, call: Call) -> str:
        if call.service != self.service:
            return "other-service"
        if self.close_reasons:
            return next(iter(self.close_reasons))
        if call.version and call.version != self.version:
            return "other-version"
        return ""

    def _refuse(self, call: Call, code: str, retry_after: float = 0.0) -> Result:
        return self.exchange.refuse(call, code, retry_after)

    async def _run_admitted(self, call: Call, on_silent: OnSilent = None) -> Result:
        if self.uplink is None:
            return await self._run_queued(call, on_silent)
        transfer = self.uplink.estimate_transfer(call.route, read_monotonic())
        committed = self.uplink.accept(call.route)
        try:
            result = await self._run_queued(call, on_silent, transfer)
        finally:
            self.uplink.release(committed)
        if result.outcome == ANSWERED and result.status < MIN_FAILURE_STATUS:
            self.uplink.sizes.note(call.route, len(result.body))
        return result

    async def _run_queued(
        self, call: Call, on_silent: OnSilent = None, transfer_seconds: float = 0.0
    ) -> Result:
        now = read_monotonic()
        deadline = now + call.remaining_ms / 1000
        ticket = Ticket(
            deadline,
            now + call.soft_timeout_ms / 1000,
            call.route,
            call.priority,
            call.is_nested,
            call.may_wait,
            transfer_seconds=transfer_seconds,
        )
        answer: Answer | None = None
        try:
            await self._wait_for_admission(ticket)
            if ticket.state != TicketState.RUNNING:
                refusal = ticket.refusal
                return self._refuse(call, refusal.code, refusal.retry_after)
            refusal = self._run_final_checks(call, ticket)
            if refusal:
                return self._refuse(call, refusal.code, refusal.retry_after)
            result, answer = await self.exchange.send(call, ticket, on_silent)
            return result
        finally:
            was_running = ticket.state == TicketState.RUNNING
            was_answered = answer is not None and answer.status < MIN_FAILURE_STATUS
            self.queue.leave(ticket, read_monotonic(), was_answered=was_answered)
            if was_running:
                self.start_waiting()

    async def _wait_for_admission(self, ticket: Ticket) -> None:
        now = read_monotonic()
        start_limits = self._get_start_limits(now)
        self.queue.offer(ticket, now, start_limits)
        if ticket.state == TicketState.RUNNING:
            self._count_start(ticket)
        elif ticket.state == TicketState.WAITING:
            future = asyncio.get_running_loop().create_future()
            self._waiting[ticket] = future
            if start_limits.routes:
                # All calls ahead may belong to throttled routes, unlike this one.
                self.start_waiting()
            try:
                await future
            finally:
                self._waiting.pop(ticket, None)

    def _check_quarantine(
        self, call: Call, ticket: Ticket, now: float
    ) -> Refusal | None:
        """Refuse a crash request; mark a suspected one, which runs without others."""
        restrictions = self.crash_tracker.restrict(call, now)
        if restrictions is None:
            return None
        if restrictions.refuse:
            return Refusal("quarantined", restrictions.seconds)
        if restrictions.alone and self.crash_tracker.is_testing():
            return Refusal("suspected", self.queue.get_service_time(call.route))
        ticket.is_suspected = restrictions.alone
        return None

    def _run_final_checks(self, call: Call, ticket: Ticket) -> Refusal | None:
        """Run the final checks before the call is sent; return why it is refused."""
        now = read_monotonic()
        code = self._check(call)
        if code:
            return Refusal(code)
        refusal = self._check_quarantine(call, ticket, now)
        if refusal is not None:
            return refusal
        if not call.is_idempotent and not self.outcomes.dispatch(call):
            return Refusal("fenced")
        if not call.is_retry:
            self.retry_budget.note_first_attempt(
                now, parent_is_retry=call.parent_is_retry
            )
            return None
        gates = self.count_gates()
        if not self.retry_budget.take(
            gates, now, may_have_run=call.may_have_run, priority=call.priority
        ):
            return Refusal("over-budget")
        return None

    def suspect_restart(self, *, is_down: bool) -> None:
        """Treat the target as cold, and closed if it is down, until it is checked."""
        self.cold.suspect_restart(read_monotonic())
        if is_down:
            self.set_close_reason("target-down", True)
        self.on_restart_suspected()
