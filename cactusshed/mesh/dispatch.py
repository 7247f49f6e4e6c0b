"""The first node's side of a call: choose targets, repeat, end with one outcome."""

import asyncio
import random
from collections.abc import Callable, Iterator

import attrs

from ..clock import read_monotonic
from ..observe.counters import Counters
from ..observe.lines import log_line
from ..policy.place import Candidate, LoadView, order_candidates
from .frames import ANSWERED, NOT_RUN, UNKNOWN, Call, Load, Result
from .gate import FAILED_STATUS, Gate
from .link import LinkLost
from .member import Member
from .peers import Peers

__all__ = ["Dispatcher", "Outcome", "Plan"]

MAX_PROBES = 3
"""Gates that are tried for a free slot before a call waits at one."""
MAX_REFUSALS = 2
"""Gates that may refuse for lack of room: the second was the next best."""
MAX_TRIES = 8
"""Gates that one call asks at the most, of all reasons."""
EMPTY_LOAD = Load(0, 0, 1, 0.0)
NO_TARGET_RETRY_MS = 150
"""Advice when no target is open: news of one that opens travels within it."""
MIN_REPEAT_PART = 0.7
"""Part of the usual service time that must be left for a repeat to make sense."""
_MOVED = frozenset({"version-closed", "other-version"})
_BUSY = "target-busy"
_ROOM = frozenset({"no-room", "no-time", "over-budget"})


@attrs.define
class Plan:
    """What the first node has decided about a request; seconds are monotonic."""

    call: Call
    deadline: float
    aim: float
    attempts: int
    choose_version: Callable[[], str]
    """Chooses the version that a call goes to; empty for any."""
    find_fallback: Callable[[str], str]
    """Returns the version to use when the chosen one has no room; may be empty."""
    parent_route: str = ""
    """Route of the request whose run makes this call; empty for a client's."""


@attrs.define
class Outcome:
    """The one result of a call, and how often it reached a target."""

    result: Result
    arrivals: int
    target: str


@attrs.define
class _Try:
    """State of one call while targets are tried."""

    tried: set[str] = attrs.Factory(set)
    arrivals: int = 0
    probes: int = 0
    refusals: list[Result] = attrs.Factory(list)
    failure: Result | None = None
    last: str = ""
    version: str = ""


@attrs.define
class Dispatcher:
    """State of dispatch: views of the targets' load."""

    node: str
    data_centre: str
    peers: Peers
    gate: Gate
    is_evacuated: Callable[[str], bool]
    counters: Counters
    own_view: LoadView = attrs.Factory(LoadView)
    rng: random.Random = attrs.Factory(random.Random)
    usual: dict[str, float] = attrs.Factory(dict)

    async def run(self, plan: Plan) -> Outcome:
        """Bring a call to a target and return its one outcome."""
        state = _Try(version=plan.choose_version())
        for _ in range(MAX_TRIES):
            choice = None if _has_no_room(state) else self._choose(plan, state)
            if choice is None:
                if not self._fall_back(plan, state):
                    break
                continue
            result = await self._try(plan, state, *choice)
            if self._is_final(plan, state, result):
                return Outcome(result, state.arrivals, state.last)
        return Outcome(self._conclude(plan, state), state.arrivals, state.last)

    def _fall_back(self, plan: Plan, state: _Try) -> bool:
        """Turn to the old version of a move; return whether that is allowed."""
        fallback = plan.find_fallback(state.version)
        if not fallback or state.failure is not None:
            return False
        state.version = fallback
        state.refusals.clear()
        return True

    def _choose(
        self, plan: Plan, state: _Try
    ) -> tuple[Candidate, Member | None] | None:
        """Return the target to try next, `None` when there is none."""
        now = read_monotonic()
        usual = self.usual.get(plan.call.route, plan.call.aim_ms / 3000)
        version = state.version
        members = {m.node: m for m in self._list_open(plan.call.service, version)}
        candidates = [
            self._make_candidate(node, member)
            for node, member in members.items()
            if node not in state.tried
        ]
        own = self._make_own(plan.call.service, version)
        if own is not None and self.node not in state.tried:
            candidates.append(own)
        left = plan.aim - now
        if left <= 0 or plan.call.is_inner:
            left = plan.deadline - now
        ordered = order_candidates(candidates, usual, left, now, self.rng)
        if not ordered:
            return None
        wait, candidate = ordered[0]
        is_last = state.probes >= MAX_PROBES or len(ordered) == 1
        plan.call.may_wait = wait > 0 or is_last
        plan.call.version = version
        return candidate, members.get(candidate.name)

    def _list_open(self, service: str, version: str) -> Iterator[Member]:
        for member in self.peers.list_up(service):
            state = member.state
            if not state.is_open or member.is_leaving:
                continue
            if self.is_evacuated(member.data_centre):
                continue
            if not version or state.version == version:
                yield member

    def _make_own(self, service: str, version: str) -> Candidate | None:
        gate = self.gate
        if service != gate.service or not gate.is_open:
            return None
        if version and version != gate.version:
            return None
        load = gate.get_load()
        now = read_monotonic()
        busy = load.running + load.waiting
        self.own_view.report(busy, load.limit, load.mean_ms / 1000, now)
        return Candidate(self.node, self.own_view, False, gate.cold.is_cold(now))

    def _make_candidate(self, node: str, member: Member) -> Candidate:
        is_far = member.data_centre != self.data_centre
        return Candidate(node, member.view, is_far, member.state.is_cold)

    async def _try(
        self, plan: Plan, state: _Try, candidate: Candidate, member: Member | None
    ) -> Result:
        now = read_monotonic()
        call = plan.call
        call.left_ms = max(0, int((plan.deadline - now) * 1000))
        call.aim_ms = max(0, int((plan.aim - now) * 1000))
        call.is_repeat = state.arrivals > 0
        call.may_have_run = state.failure is not None
        call.attempt += 1
        state.last = candidate.name
        view = candidate.view
        view.own += 1
        view.sent_since += 1
        started = now
        try:
            if member is None:
                result = await self._run_here(call)
            else:
                result = await self._run_there(call, member, plan.deadline)
        finally:
            view.own -= 1
        now = read_monotonic()
        if result.load is not EMPTY_LOAD:
            load = result.load
            busy = load.running + load.waiting
            view.report(busy, load.limit, load.mean_ms / 1000, now)
        self._learn(call, view, result, now - started)
        return result

    def _learn(self, call: Call, view: LoadView, result: Result, spent: float) -> None:
        if result.outcome == NOT_RUN and not result.has_arrived:
            return
        failed = result.outcome != ANSWERED or result.status >= FAILED_STATUS
        view.note_outcome(failed=failed)
        if not failed:
            known = self.usual.get(call.route, spent)
            self.usual[call.route] = known + 0.05 * (spent - known)

    async def _run_here(self, call: Call) -> Result:
        if call.is_repeatable:
            return await self.gate.run(call)
        # What can't be repeated runs to its end, also when the client has left.
        task = asyncio.create_task(self.gate.run(call))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if not self.gate.settlements.is_dispatched(call):
                task.cancel()
            raise

    async def _run_there(self, call: Call, member: Member, deadline: float) -> Result:
        born = member.born
        try:
            return await self.peers.call(member, call)
        except LinkLost:
            pass
        if call.is_repeatable:
            return Result(0, UNKNOWN, EMPTY_LOAD, code="link-lost", has_arrived=True)
        settled = await self.peers.settle(member, born, call, deadline)
        log_line(
            "call-settled",
            request=call.request_id,
            peer=member.node,
            outcome=settled.code or "answered" if settled else "unknown",
        )
        if settled is None:
            return Result(0, UNKNOWN, EMPTY_LOAD, code="peer-died", has_arrived=True)
        return settled

    def _is_final(self, plan: Plan, state: _Try, result: Result) -> bool:
        """Note a result; return whether it ends the call."""
        if result.outcome == NOT_RUN:
            self._note_refusal(plan, state, result)
            return state.arrivals >= plan.attempts
        state.arrivals += 1
        state.tried.add(state.last)
        failed = result.outcome == UNKNOWN or result.status >= FAILED_STATUS
        if not failed:
            return True
        if state.failure is None or result.outcome == ANSWERED:
            state.failure = result
        if not plan.call.is_repeatable or state.arrivals >= plan.attempts:
            return True
        left = plan.deadline - read_monotonic()
        usual = self.usual.get(plan.call.route, 0.0)
        if left <= MIN_REPEAT_PART * usual:
            return True
        self.counters.add("repeats")
        log_line(
            "repeated",
            request=plan.call.request_id,
            target=state.last,
            cause=result.code or result.status,
            left_ms=int(left * 1000),
        )
        return False

    def _note_refusal(self, plan: Plan, state: _Try, result: Result) -> None:
        if result.code == _BUSY:
            state.probes += 1
            return
        state.refusals.append(result)
        state.tried.add(state.last)
        if result.code in _MOVED:
            state.version = plan.choose_version()
        if result.has_arrived:
            state.arrivals += 1

    def _conclude(self, plan: Plan, state: _Try) -> Result:
        """Return the result of a call that no target has answered."""
        if state.failure is not None:
            return state.failure
        if state.refusals:
            retry = min(refusal.retry_ms for refusal in state.refusals)
            last = state.refusals[-1]
            last.retry_ms = retry or NO_TARGET_RETRY_MS
            return last
        return Result(
            0,
            NOT_RUN,
            EMPTY_LOAD,
            code="no-target",
            retry_ms=NO_TARGET_RETRY_MS,
        )


def _has_no_room(state: _Try) -> bool:
    return sum(result.code in _ROOM for result in state.refusals) >= MAX_REFUSALS
