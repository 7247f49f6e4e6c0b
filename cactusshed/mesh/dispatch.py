"""Dispatch of calls by the node that received them: target choice and retries."""

import asyncio
import copy
import random

import attrs

from ..clock import read_monotonic
from ..observe.counters import Counters
from ..observe.lines import log_line
from ..policy.placement import Candidate, LoadView, order_candidates
from ..policy.quarantine import choose_target
from ..policy.uplink import AnswerSizes
from .callplan import CallPlan, DispatchState, Outcome
from .candidates import Candidates, store_report
from .crashes import make_fingerprint
from .exchange import TARGET_SILENT, is_success
from .frames import ANSWERED, NOT_RUN, UNKNOWN, Call, Result
from .gate import Gate
from .gatecalls import EMPTY_LOAD, run_local, run_remote
from .member import Member
from .peers import Peers
from .silentattempts import TargetSilent

__all__ = ["Dispatcher"]

MAX_PROBES = 3
"""Gates probed for a free slot before a call queues at one."""
MAX_ATTEMPTS = 8
"""Maximum number of gates that one call tries, for whatever reason."""
NO_TARGET_RETRY_MS = 150
"""Retry delay advised when no target is open. State updates reach every node within
this time, so a target that opens is known by then."""
MIN_RETRY_FRACTION = 0.7
"""Fraction of the route's baseline latency that must remain before the deadline for
a retry to be sent."""
_VERSION_MISMATCH = frozenset({"version-closed", "other-version"})
_QUARANTINED = frozenset({"quarantined", "suspected"})
_TARGET_BUSY = "target-busy"
_NO_CAPACITY = frozenset({"no-room", "no-time", "over-budget", "link-busy"})


@attrs.define
class Dispatcher:
    """Sends calls to targets; `baseline_latency` is in seconds by route."""

    candidates: Candidates
    peers: Peers
    gate: Gate
    counters: Counters
    rng: random.Random = attrs.Factory(random.Random)
    baseline_latency: dict[str, float] = attrs.Factory(dict)
    answer_sizes: AnswerSizes = attrs.Factory(AnswerSizes)

    async def run(self, plan: CallPlan) -> Outcome:
        """Send a call to a target, retrying where allowed, and return its outcome."""
        state = DispatchState(version=plan.choose_version())
        try:
            result = await self._try_targets(plan, state)
            if not is_success(result) and state.silent:
                result = await _await_silent(plan, state, result)
            if result.outcome != ANSWERED:
                result = state.silent.failure or result
        finally:
            state.silent.cancel()
        refusals = [refusal.code for refusal in state.refusals]
        return Outcome(result, state.arrivals, state.last, refusals)

    async def _try_targets(self, plan: CallPlan, state: DispatchState) -> Result:
        for _ in range(MAX_ATTEMPTS):
            refusal = self._check_quarantine(plan.call, state)
            if refusal is not None:
                return state.failure or refusal
            choice = None if state.has_exhausted_capacity else self._choose(plan, state)
            if choice is None:
                if not self._fall_back(plan, state):
                    break
                continue
            attempt = self._attempt(plan, state, *choice)
            result = await state.silent.race(attempt)
            if self._record_result(plan, state, result, choice[0]):
                return result
        return self._make_failure(plan, state)

    def _check_quarantine(self, call: Call, state: DispatchState) -> Result | None:
        """Refuse a crash request at once; mark a suspected one to run alone."""
        restrictions = self.gate.crash_tracker.restrict(call, read_monotonic())
        if restrictions is None:
            return None
        state.is_suspected = restrictions.alone
        if not restrictions.refuse:
            return None
        self.counters.add("refused_quarantined")
        retry_after_ms = int(restrictions.seconds * 1000)
        return Result(
            0, NOT_RUN, EMPTY_LOAD, code="quarantined", retry_after_ms=retry_after_ms
        )

    def _fall_back(self, plan: CallPlan, state: DispatchState) -> bool:
        """Switch to the old version of a move; return whether that is allowed."""
        fallback = plan.get_fallback_version(state.version)
        if not fallback or state.failure is not None:
            return False
        state.version = fallback
        state.refusals.clear()
        state.full_gates = 0
        return True

    def get_baseline_latency(self, route: str, soft_timeout: float) -> float:
        """Return the mean latency of a route in seconds.

        Without a measured latency, assume a third of the soft timeout.
        """
        return self.baseline_latency.get(route, soft_timeout / 3)

    def _choose(
        self, plan: CallPlan, state: DispatchState
    ) -> tuple[Candidate, Member | None] | None:
        """Return the next target and its node, `None` if no target is eligible.

        The node is `None` for the local target.
        """
        now = read_monotonic()
        baseline_latency = self.get_baseline_latency(plan.call.route, plan.soft_timeout)
        members = {
            candidate.name: (candidate, member)
            for candidate, member in self.candidates.list_open(
                plan.call.service,
                state.version,
                len(plan.call.body),
                self.answer_sizes.get_bulk_bytes(plan.call.route),
            )
        }
        if state.is_suspected and members:
            name = choose_target(make_fingerprint(plan.call), members)
            members = {name: members[name]}
        members = {name: m for name, m in members.items() if name not in state.tried}
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
        plan.call.attempt += 1
        # A silent attempt keeps its own.
        call = copy.copy(plan.call)
        call.remaining_ms = max(0, int((plan.deadline - now) * 1000))
        soft_deadline = plan.soft_deadline
        if member is not None and not call.is_nested:
            bulk_bytes = self.answer_sizes.get_bulk_bytes(call.route)
            soft_deadline -= self.candidates.estimate_delivery(bulk_bytes, now)
        call.soft_timeout_ms = max(0, int((soft_deadline - now) * 1000))
        call.is_retry = state.arrivals > 0
        call.may_have_run = state.failure is not None
        call.reports_silence = (
            call.is_idempotent
            and state.arrivals + 1 < plan.max_attempts
            and not state.is_suspected
        )
        state.last = candidate.name
        view = candidate.view
        view.in_flight += 1
        view.sent_since_report += 1
        view.large_since_report += bool(self.answer_sizes.get_bulk_bytes(call.route))
        started = now
        try:
            if member is None:
                result = await run_local(self.gate, call)
            else:
                result = await run_remote(self.peers, member, call, plan.deadline)
        except TargetSilent as silent:
            state.silent.add(silent)
            result = Result(
                0, UNKNOWN, EMPTY_LOAD, code=TARGET_SILENT, reached_target=True
            )
        finally:
            view.in_flight -= 1
        now = read_monotonic()
        if result.load is not EMPTY_LOAD:
            store_report(view, result.load, now)
        self._update_statistics(call, view, result, now - started)
        return result

    def _update_statistics(
        self, call: Call, view: LoadView, result: Result, latency: float
    ) -> None:
        if result.outcome == NOT_RUN and not result.reached_target:
            return
        failed = not is_success(result)
        view.note_outcome(failed=failed)
        if not failed:
            self.answer_sizes.note(call.route, len(result.body))
            previous = self.baseline_latency.get(call.route, latency)
            self.baseline_latency[call.route] = previous + 0.05 * (latency - previous)

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
            # A request whose target is silent should find another one.
            if is_full and not state.is_tried_beside:
                state.full_gates += 1
            self._record_refusal(plan, state, result)
            if result.code in _QUARANTINED:
                return True
            return state.arrivals >= plan.max_attempts
        state.arrivals += 1
        state.tried.add(state.last)
        if is_success(result):
            return True
        if state.failure is None or result.outcome == ANSWERED:
            state.failure = result
        if not plan.call.is_idempotent or state.arrivals >= plan.max_attempts:
            return True
        if state.is_suspected:
            # Whether the target has crashed is known only later.
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


async def _await_silent(plan: CallPlan, state: DispatchState, other: Result) -> Result:
    """Return the success of a silent attempt, `other` if there is none.

    The answer of another target is returned at the deadline; what is no answer waits as
    long as the caller does.
    """
    remaining = plan.deadline - read_monotonic()
    try:
        async with asyncio.timeout(remaining if other.outcome == ANSWERED else None):
            return await state.silent.await_success() or other
    except TimeoutError:
        return other
