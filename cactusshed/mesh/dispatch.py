"""Dispatch of calls by the node that received them: target choice and retries."""

import asyncio
import random
from collections.abc import Callable

import attrs

from ..clock import read_monotonic
from ..observe.counters import Counters
from ..observe.lines import log_line
from ..policy.placement import Candidate, LoadView, order_candidates
from .callplan import CallPlan, DispatchState, Outcome
from .candidates import Candidates
from .exchange import MIN_FAILURE_STATUS, TARGET_SILENT
from .frames import ANSWERED, NOT_RUN, UNKNOWN, Call, Load, Result
from .gate import Gate
from .link import LinkLost
from .member import Member
from .peers import Peers

__all__ = ["Dispatcher"]

MAX_PROBES = 3
"""Gates probed for a free slot before a call queues at one."""
MAX_REFUSALS = 2
"""Refusals for lack of capacity after which no further gate is tried: the second
gate was already the next best choice. Gates whose target names a rate limit don't
count, since nodes seldom know how much of it is left."""
MAX_ATTEMPTS = 8
"""Maximum number of gates that one call tries, for whatever reason."""
EMPTY_LOAD = Load(0, 0, 1, 0.0)
"""Load in results that come from no gate."""
NO_TARGET_RETRY_MS = 150
"""Retry delay advised when no target is open. State updates reach every node within
this time, so a target that opens is known by then."""
MIN_RETRY_FRACTION = 0.7
"""Fraction of the route's baseline latency that must remain before the deadline for
a retry to be sent."""
_VERSION_MISMATCH = frozenset({"version-closed", "other-version"})
_TARGET_BUSY = "target-busy"
_NO_CAPACITY = frozenset({"no-room", "no-time", "over-budget"})


@attrs.define
class Dispatcher:
    """Sends calls to targets; `baseline_latency` is in seconds by route."""

    candidates: Candidates
    peers: Peers
    gate: Gate
    counters: Counters
    is_leaving: Callable[[], bool] = lambda: False
    """Returns whether this node shuts down; it then awaits every answer to the end."""
    rng: random.Random = attrs.Factory(random.Random)
    baseline_latency: dict[str, float] = attrs.Factory(dict)

    async def run(self, plan: CallPlan) -> Outcome:
        """Send a call to a target, retrying where allowed, and return its outcome."""
        state = DispatchState(version=plan.choose_version())
        for _ in range(MAX_ATTEMPTS):
            choice = (
                None if _has_exhausted_capacity(state) else self._choose(plan, state)
            )
            if choice is None:
                if not self._fall_back(plan, state):
                    break
                continue
            result = await self._attempt(plan, state, *choice)
            if self._record_result(plan, state, result, choice[0]):
                return _make_outcome(result, state)
        return _make_outcome(self._make_failure(plan, state), state)

    def _fall_back(self, plan: CallPlan, state: DispatchState) -> bool:
        """Switch to the old version of a move; return whether that is allowed."""
        fallback = plan.get_fallback_version(state.version)
        if not fallback or state.failure is not None:
            return False
        state.version = fallback
        state.refusals.clear()
        state.full_gates = 0
        return True

    def _choose(
        self, plan: CallPlan, state: DispatchState
    ) -> tuple[Candidate, Member | None] | None:
        """Return the next target and its node, `None` if no target is eligible.

        The node is `None` for the local target.
        """
        now = read_monotonic()
        # Without a measured latency, assume a third of the soft timeout.
        baseline_latency = self.baseline_latency.get(
            plan.call.route, plan.call.soft_timeout_ms / 3000
        )
        members = {
            candidate.name: (candidate, member)
            for candidate, member in self.candidates.list_open(
                plan.call.service, state.version, len(plan.call.body)
            )
            if candidate.name not in state.tried
        }
        remaining = plan.soft_deadline - now
        if remaining <= 0 or plan.call.is_nested:
            remaining = plan.deadline - now
        options = [candidate for candidate, _ in members.values()]
        ordered = order_candidates(options, baseline_latency, remaining, now, self.rng)
        if not ordered:
            return None
        wait, candidate = ordered[0]
        is_last = state.probes >= MAX_PROBES or len(ordered) == 1
        plan.call.may_wait = wait > 0 or is_last
        plan.call.version = state.version
        return members[candidate.name]

    async def _attempt(
        self,
        plan: CallPlan,
        state: DispatchState,
        candidate: Candidate,
        member: Member | None,
    ) -> Result:
        now = read_monotonic()
        call = plan.call
        call.remaining_ms = max(0, int((plan.deadline - now) * 1000))
        call.soft_timeout_ms = max(0, int((plan.soft_deadline - now) * 1000))
        call.is_retry = state.arrivals > 0
        call.may_have_run = state.failure is not None
        call.may_abandon = (
            call.is_idempotent
            and state.arrivals + 1 < plan.max_attempts
            and not self.is_leaving()
        )
        call.attempt += 1
        state.last = candidate.name
        view = candidate.view
        view.in_flight += 1
        view.sent_since_report += 1
        started = now
        try:
            if member is None:
                result = await self._run_local(call)
            else:
                result = await self._run_remote(call, member, plan.deadline)
        finally:
            view.in_flight -= 1
        now = read_monotonic()
        if result.load is not EMPTY_LOAD:
            load = result.load
            busy = load.running + load.waiting
            view.report(
                busy, load.limit, load.mean_service_ms / 1000, now, load.starts_left
            )
        self._update_statistics(call, view, result, now - started)
        return result

    def _update_statistics(
        self, call: Call, view: LoadView, result: Result, latency: float
    ) -> None:
        if result.outcome == NOT_RUN and not result.reached_target:
            return
        failed = result.outcome != ANSWERED or result.status >= MIN_FAILURE_STATUS
        view.note_outcome(failed=failed)
        if not failed:
            previous = self.baseline_latency.get(call.route, latency)
            self.baseline_latency[call.route] = previous + 0.05 * (latency - previous)

    async def _run_local(self, call: Call) -> Result:
        if call.is_idempotent:
            return await self.gate.run(call)
        # A call that can't be retried completes even if the client disconnects.
        task = asyncio.create_task(self.gate.run(call))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if not self.gate.outcomes.is_dispatched(call):
                task.cancel()
            raise

    async def _run_remote(self, call: Call, member: Member, deadline: float) -> Result:
        start_time = member.start_time
        try:
            return await self.peers.call(member, call)
        except LinkLost:
            pass
        if call.is_idempotent:
            return Result(0, UNKNOWN, EMPTY_LOAD, code="link-lost", reached_target=True)
        resolved = await self.peers.resolve_outcome(member, start_time, call, deadline)
        log_line(
            "call-settled",
            request=call.request_id,
            peer=member.node,
            outcome=resolved.code or "answered" if resolved else "unknown",
        )
        if resolved is None:
            return Result(0, UNKNOWN, EMPTY_LOAD, code="peer-died", reached_target=True)
        return resolved

    def _record_result(
        self,
        plan: CallPlan,
        state: DispatchState,
        result: Result,
        candidate: Candidate,
    ) -> bool:
        """Record the result of an attempt; return whether it ends the call."""
        if result.outcome == NOT_RUN:
            is_full = result.code in _NO_CAPACITY and not candidate.start_rate
            # A request that was given up for another target should find one.
            if is_full and not _was_abandoned(state):
                state.full_gates += 1
            self._record_refusal(plan, state, result)
            return state.arrivals >= plan.max_attempts
        state.arrivals += 1
        state.tried.add(state.last)
        failed = result.outcome == UNKNOWN or result.status >= MIN_FAILURE_STATUS
        if not failed:
            return True
        if state.failure is None or result.outcome == ANSWERED:
            state.failure = result
        if not plan.call.is_idempotent or state.arrivals >= plan.max_attempts:
            return True
        remaining = plan.deadline - read_monotonic()
        baseline_latency = self.baseline_latency.get(plan.call.route, 0.0)
        if remaining <= MIN_RETRY_FRACTION * baseline_latency:
            return True
        self.counters.add("repeats")
        log_line(
            "repeated",
            request=plan.call.request_id,
            target=state.last,
            cause=result.code or result.status,
            left_ms=int(remaining * 1000),
        )
        return False

    def _record_refusal(
        self, plan: CallPlan, state: DispatchState, result: Result
    ) -> None:
        if result.code == _TARGET_BUSY:
            state.probes += 1
            return
        state.refusals.append(result)
        state.tried.add(state.last)
        if result.code in _VERSION_MISMATCH:
            state.version = plan.choose_version()
        if result.reached_target:
            state.arrivals += 1

    def _make_failure(self, plan: CallPlan, state: DispatchState) -> Result:
        """Return the result of a call that no target answered successfully."""
        if state.failure is not None:
            return state.failure
        if state.refusals:
            retry_after_ms = min(refusal.retry_after_ms for refusal in state.refusals)
            last = state.refusals[-1]
            last.retry_after_ms = retry_after_ms or NO_TARGET_RETRY_MS
            return last
        return Result(
            0,
            NOT_RUN,
            EMPTY_LOAD,
            code="no-target",
            retry_after_ms=NO_TARGET_RETRY_MS,
        )


def _make_outcome(result: Result, state: DispatchState) -> Outcome:
    refusals = [refusal.code for refusal in state.refusals]
    return Outcome(result, state.arrivals, state.last, refusals)


def _was_abandoned(state: DispatchState) -> bool:
    """Return whether a gate gave up the wait for an answer that may still come."""
    return state.failure is not None and state.failure.code == TARGET_SILENT


def _has_exhausted_capacity(state: DispatchState) -> bool:
    return state.full_gates >= MAX_REFUSALS
