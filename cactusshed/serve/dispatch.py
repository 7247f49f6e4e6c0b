"""Dispatch at the first node, the one that receives a call from its caller."""

import random
from collections.abc import Iterator

import attrs

from ..clock import read_monotonic
from ..member.view import Endpoint, View
from ..observe.counters import Counters
from ..observe.events import log_event
from ..policy.avoidance import AvoidedNodes
from ..policy.bans import Bans
from ..policy.selection import order_endpoints, select_open, select_version, split_tiers
from ..policy.serviceretries import ServiceRetryBudget
from ..policy.trafficsplit import choose_version, list_versions
from ..spread.activeversion import ActiveVersion
from ..tree.table import Table
from .crashes import CrashTracker
from .gates import MIN_FAILURE_STATUS, Gates
from .messages import (
    SETTLED_NOT_RUN,
    TARGET_DIED,
    Answered,
    Call,
    NotRun,
    Outcome,
    Unknown,
)
from .peerclient import MAX_REPORT_AGE_SECONDS, Load, PeerClient

__all__ = ["Dispatcher"]

MAX_ENDPOINTS_TRIED = 8
"""Maximum number of endpoints that one call tries."""
MAX_BUSY_ENDPOINTS = 2
"""Refusals by busy endpoints before a call queues; each one costs the peer work."""
MAX_QUEUED_ENDPOINTS = 2
"""Maximum number of gates in whose queues a call waits, one after the other."""
RESEND_ATTEMPT_OFFSET = 100
"""Added to the attempt number when a lost call is resent to the same endpoint."""
FULL_REPORT_SECONDS = 0.1
"""Maximum age of a load report by which a target counts as full."""
RETRYABLE_STATUSES = frozenset({502, 503, 504})
NO_TARGET = NotRun("no-target", 1.0)
_UNREACHABLE = frozenset({"peer-unreachable", "target-unreachable"})


@attrs.define
class Dispatcher:
    """Chooses endpoints for calls, retries, and returns one outcome per call."""

    view: View
    current: ActiveVersion
    gates: Gates
    peer_client: PeerClient
    counters: Counters
    crash_tracker: CrashTracker
    bans: Bans
    rng: random.Random = attrs.Factory(random.Random)
    avoided: AvoidedNodes = attrs.Factory(AvoidedNodes)
    _budgets: dict[str, ServiceRetryBudget] = attrs.Factory(dict)
    _in_flight: dict[str, int] = attrs.Factory(dict)

    async def run(self, call: Call) -> Outcome:
        """Run `call` on a target of its service and return the outcome."""
        table = self.current.table
        budget = self._budgets.setdefault(call.service, ServiceRetryBudget())
        budget.note_call(call.route_settings.retry_ratio)
        chosen_version = choose_version(
            call.route_settings, self._is_banned(call), self.rng
        )
        outcome: Outcome = NO_TARGET
        for version in list_versions(call.route_settings, chosen_version):
            endpoints = list(self._select(table, call, version))
            if not endpoints:
                continue
            refusal = self._check_quarantine(call, endpoints)
            if refusal is not None:
                return refusal
            outcome = await self._try_endpoints(call, endpoints, budget)
            if not isinstance(outcome, NotRun):
                return outcome
        return outcome

    def _is_banned(self, call: Call) -> bool:
        move = call.route_settings.move
        if move is None:
            return False
        return self.bans.is_banned(move.move_id, read_monotonic())

    def _select(self, table: Table, call: Call, version: str) -> Iterator[Endpoint]:
        endpoints = self.view.list_endpoints(call.service)
        return select_version(select_open(endpoints, table), version)

    def _check_quarantine(self, call: Call, endpoints: list[Endpoint]) -> NotRun | None:
        """Refuse a confirmed crash request; mark a suspected one to run alone."""
        quarantine = self.crash_tracker.quarantine
        if quarantine.is_empty():
            return None
        restrictions = quarantine.evaluate(call.compute_fingerprint(), read_monotonic())
        call.alone = restrictions.alone
        if restrictions.refuse:
            self.counters.add("refused_quarantined")
            return NotRun("quarantined", restrictions.seconds)
        if restrictions.alone and len(endpoints) < 2:
            return NotRun("quarantined-last-target", 60.0)
        return None

    async def _try_endpoints(
        self, call: Call, endpoints: list[Endpoint], budget: ServiceRetryBudget
    ) -> Outcome:
        busy: list[Endpoint] = []
        outcome: Outcome = NO_TARGET
        for attempt, endpoint in enumerate(self._order_by_preference(endpoints)):
            if attempt >= MAX_ENDPOINTS_TRIED or read_monotonic() >= call.deadline:
                break
            if len(busy) >= MAX_BUSY_ENDPOINTS:
                break
            outcome = await self._try_endpoint(call, endpoint, attempt, wait=False)
            if isinstance(outcome, NotRun) and outcome.code == SETTLED_NOT_RUN:
                # The call was lost in transit, so the target is not at fault.
                attempt_number = RESEND_ATTEMPT_OFFSET + attempt
                outcome = await self._try_endpoint(
                    call, endpoint, attempt_number, wait=False
                )
            if isinstance(outcome, NotRun):
                if outcome.code == "target-busy":
                    busy.append(endpoint)
                continue
            if not self._may_retry(call, outcome, attempt, budget):
                return outcome
            if self._check_quarantine(call, endpoints) is not None:
                return outcome
            await _close_reply(outcome)
        if isinstance(outcome, NotRun):
            return await self._wait_in_queues(call, busy, outcome)
        return outcome

    async def _wait_in_queues(
        self, call: Call, busy: list[Endpoint], outcome: Outcome
    ) -> Outcome:
        """Wait in the queues of up to two busy gates, one at a time."""
        for attempt, endpoint in enumerate(busy[:MAX_QUEUED_ENDPOINTS]):
            if read_monotonic() >= call.deadline:
                return NotRun("deadline")
            attempt_number = MAX_ENDPOINTS_TRIED + attempt
            outcome = await self._try_endpoint(
                call, endpoint, attempt_number, wait=True
            )
            if not isinstance(outcome, NotRun):
                return outcome
        return outcome

    def _order_by_preference(self, endpoints: list[Endpoint]) -> Iterator[Endpoint]:
        now = read_monotonic()

        def is_avoided(endpoint: Endpoint) -> bool:
            return self.avoided.is_avoided(endpoint.member.node, now)

        def get_load(endpoint: Endpoint) -> float:
            return self._estimate_utilisation(endpoint, now)

        def is_full(endpoint: Endpoint) -> bool:
            return self._is_full(endpoint, now)

        tiers = split_tiers(endpoints, self.view.local_member, is_full, is_avoided)
        return order_endpoints(tiers, get_load, self.rng)

    def _is_full(self, endpoint: Endpoint, now: float) -> bool:
        load = self._read_load(endpoint, now, FULL_REPORT_SECONDS)
        return load is not None and load.busy >= load.limit

    def _estimate_utilisation(self, endpoint: Endpoint, now: float) -> float:
        """Return the share of a target's limit in use.

        Uses this node's calls in flight, and the last load report if it is recent.
        """
        load = self._read_load(endpoint, now, MAX_REPORT_AGE_SECONDS)
        own_calls = self._in_flight.get(endpoint.target.name, 0)
        if load is None:
            return own_calls / max(1, endpoint.target.slots)
        return max(own_calls, load.busy) / max(1, load.limit)

    def _read_load(self, endpoint: Endpoint, now: float, max_age: float) -> Load | None:
        """Return a target's load: exact on this host, else as last reported."""
        name = endpoint.target.name
        if endpoint.member.node == self.view.local_member.node:
            return Load(*self.gates.get_load(name), now)
        return self.peer_client.get_load(name, now, max_age)

    async def _try_endpoint(
        self, call: Call, endpoint: Endpoint, attempt: int, *, wait: bool
    ) -> Outcome:
        name = endpoint.target.name
        numbered_call = attrs.evolve(
            call, call_id=f"{call.call_id}.{attempt}", may_wait=wait
        )
        self._in_flight[name] = self._in_flight.get(name, 0) + 1
        try:
            if endpoint.member.node == self.view.local_member.node:
                outcome = await self.gates.run(numbered_call, name)
            else:
                outcome = await self.peer_client.call(numbered_call, endpoint)
        finally:
            self._in_flight[name] -= 1
            if not self._in_flight[name]:
                del self._in_flight[name]
        self._record_outcome(numbered_call, endpoint, outcome)
        return outcome

    def _record_outcome(self, call: Call, endpoint: Endpoint, outcome: Outcome) -> None:
        node = endpoint.member.node
        self._update_bans(call, endpoint, outcome)
        if isinstance(outcome, Unknown) and outcome.code == TARGET_DIED:
            self.crash_tracker.record_crash(call)
        if call.alone and isinstance(outcome, Answered):
            self.crash_tracker.clear(call)
        if isinstance(outcome, NotRun) and outcome.code in _UNREACHABLE:
            self.avoided.note_failure(node, read_monotonic())
        elif isinstance(outcome, Answered):
            self.avoided.note_success(node)

    def _update_bans(self, call: Call, endpoint: Endpoint, outcome: Outcome) -> None:
        """Record the outcome for version bans while a move is in progress."""
        move = call.route_settings.move
        if move is None or isinstance(outcome, NotRun):
            return
        failed = (
            isinstance(outcome, Unknown) or outcome.reply.status >= MIN_FAILURE_STATUS
        )
        is_new = endpoint.target.version == move.to
        name = endpoint.target.name
        if self.bans.record_result(
            move.move_id, is_new, name, failed, read_monotonic()
        ):
            self.counters.add("versions_banned")
            log_event("version-banned", service=call.service, version=move.to)

    def _may_retry(
        self, call: Call, outcome: Outcome, attempt: int, budget: ServiceRetryBudget
    ) -> bool:
        if not call.idempotent or attempt + 1 >= call.route_settings.max_attempts:
            return False
        if read_monotonic() >= call.deadline or not _is_retryable(outcome):
            return False
        if not budget.take_retry():
            self.counters.add("retries_over_budget")
            return False
        self.counters.add("retries")
        return True


def _is_retryable(outcome: Outcome) -> bool:
    if isinstance(outcome, Unknown):
        return True
    return isinstance(outcome, Answered) and outcome.reply.status in RETRYABLE_STATUSES


async def _close_reply(outcome: Outcome) -> None:
    if isinstance(outcome, Answered):
        await outcome.reply.close()
