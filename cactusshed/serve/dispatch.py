"""Dispatch at the first node: choose endpoints, retry, and end with one outcome."""

import random
from collections.abc import Iterator

import attrs

from ..clock import read_monotonic
from ..member.view import Endpoint, View
from ..observe.counters import Counters
from ..observe.events import log_event
from ..policy.avoid import Avoided
from ..policy.ban import Bans
from ..policy.pick import order_endpoints, select_open, select_version, split_tiers
from ..policy.retry import RetryBudget
from ..policy.share import choose_version, list_versions
from ..spread.current import Current
from ..tree.table import Table
from .crashes import Crashes
from .gates import FAILED_STATUS, Gates
from .messages import SETTLED, TARGET_DIED, Answered, Call, NotRun, Outcome, Unknown
from .peer import REPORT_SECONDS, Load, PeerCaller

__all__ = ["Dispatcher"]

MAX_PICKS = 8
"""Endpoints that one call asks at the most."""
MAX_PROBES = 2
"""Busy endpoints after which a call waits at a gate: each refusal costs a peer."""
MAX_WAITS = 2
"""Endpoints at whose gate one call waits, one after the other."""
SECOND_TRY = 100
"""Added to the number of an attempt that is made again at the same endpoint."""
FULL_SECONDS = 0.1
"""How long a report of a full target keeps calls from it."""
RETRIED_STATUSES = frozenset({502, 503, 504})
NO_TARGET = NotRun("no-target", 1.0)
_UNREACHABLE = frozenset({"peer-unreachable", "target-unreachable"})


@attrs.define
class Dispatcher:
    """State of dispatch: budgets, own calls in flight, nodes to avoid."""

    view: View
    current: Current
    gates: Gates
    peers: PeerCaller
    counters: Counters
    crashes: Crashes
    bans: Bans
    rng: random.Random = attrs.Factory(random.Random)
    avoided: Avoided = attrs.Factory(Avoided)
    _budgets: dict[str, RetryBudget] = attrs.Factory(dict)
    _in_flight: dict[str, int] = attrs.Factory(dict)

    async def run(self, call: Call) -> Outcome:
        """Bring `call` to a target and return its one outcome."""
        table = self.current.table
        budget = self._budgets.setdefault(call.service, RetryBudget())
        budget.note_call(call.rule.retry_ratio)
        chosen = choose_version(call.rule, self._is_banned(call), self.rng)
        outcome: Outcome = NO_TARGET
        for version in list_versions(call.rule, chosen):
            endpoints = list(self._select(table, call, version))
            if not endpoints:
                continue
            refusal = self._judge(call, endpoints)
            if refusal is not None:
                return refusal
            outcome = await self._try_all(call, endpoints, budget)
            if not isinstance(outcome, NotRun):
                return outcome
        return outcome

    def _is_banned(self, call: Call) -> bool:
        move = call.rule.move
        if move is None:
            return False
        return self.bans.is_banned(move.move_id, read_monotonic())

    def _select(self, table: Table, call: Call, version: str) -> Iterator[Endpoint]:
        endpoints = self.view.list_endpoints(call.service)
        return select_version(select_open(endpoints, table), version)

    def _judge(self, call: Call, endpoints: list[Endpoint]) -> NotRun | None:
        """Refuse a request that crashed targets; let a suspect run alone."""
        quarantine = self.crashes.quarantine
        if quarantine.is_empty():
            return None
        suspicion = quarantine.judge(call.compute_fingerprint(), read_monotonic())
        call.alone = suspicion.alone
        if suspicion.refuse:
            self.counters.add("refused_quarantined")
            return NotRun("quarantined", 60.0)
        if suspicion.alone and len(endpoints) < 2:
            return NotRun("quarantined-last-target", 60.0)
        return None

    async def _try_all(
        self, call: Call, endpoints: list[Endpoint], budget: RetryBudget
    ) -> Outcome:
        busy: list[Endpoint] = []
        outcome: Outcome = NO_TARGET
        for attempt, endpoint in enumerate(self._order(endpoints)):
            if attempt >= MAX_PICKS or read_monotonic() >= call.deadline:
                break
            if len(busy) >= MAX_PROBES:
                break
            outcome = await self._try_one(call, endpoint, attempt, wait=False)
            if isinstance(outcome, NotRun) and outcome.code == SETTLED:
                # The message was lost, which says nothing against the target.
                number = SECOND_TRY + attempt
                outcome = await self._try_one(call, endpoint, number, wait=False)
            if isinstance(outcome, NotRun):
                if outcome.code == "target-busy":
                    busy.append(endpoint)
                continue
            if not self._may_retry(call, outcome, attempt, budget):
                return outcome
            if self._judge(call, endpoints) is not None:
                return outcome
            await _discard(outcome)
        if isinstance(outcome, NotRun):
            return await self._wait_at(call, busy, outcome)
        return outcome

    async def _wait_at(
        self, call: Call, busy: list[Endpoint], outcome: Outcome
    ) -> Outcome:
        """Wait in the queues of a few gates that were busy, one at a time."""
        for attempt, endpoint in enumerate(busy[:MAX_WAITS]):
            if read_monotonic() >= call.deadline:
                return NotRun("deadline")
            number = MAX_PICKS + attempt
            outcome = await self._try_one(call, endpoint, number, wait=True)
            if not isinstance(outcome, NotRun):
                return outcome
        return outcome

    def _order(self, endpoints: list[Endpoint]) -> Iterator[Endpoint]:
        now = read_monotonic()

        def is_avoided(endpoint: Endpoint) -> bool:
            return self.avoided.is_avoided(endpoint.member.node, now)

        def get_load(endpoint: Endpoint) -> float:
            return self._get_load(endpoint, now)

        def is_full(endpoint: Endpoint) -> bool:
            return self._is_full(endpoint, now)

        tiers = split_tiers(endpoints, self.view.own, is_full, is_avoided)
        return order_endpoints(tiers, get_load, self.rng)

    def _is_full(self, endpoint: Endpoint, now: float) -> bool:
        load = self._read_load(endpoint, now, FULL_SECONDS)
        return load is not None and load.busy >= load.limit

    def _get_load(self, endpoint: Endpoint, now: float) -> float:
        """Return how full a target seems: own calls, and its last report if new."""
        load = self._read_load(endpoint, now, REPORT_SECONDS)
        own = self._in_flight.get(endpoint.target.name, 0)
        if load is None:
            return own / max(1, endpoint.target.slots)
        return max(own, load.busy) / max(1, load.limit)

    def _read_load(self, endpoint: Endpoint, now: float, max_age: float) -> Load | None:
        """Return the load of a target: exact on this host, else as last reported."""
        name = endpoint.target.name
        if endpoint.member.node == self.view.own.node:
            return Load(*self.gates.get_load(name), now)
        return self.peers.get_load(name, now, max_age)

    async def _try_one(
        self, call: Call, endpoint: Endpoint, attempt: int, *, wait: bool
    ) -> Outcome:
        name = endpoint.target.name
        attempted = attrs.evolve(
            call, call_id=f"{call.call_id}.{attempt}", may_wait=wait
        )
        self._in_flight[name] = self._in_flight.get(name, 0) + 1
        try:
            if endpoint.member.node == self.view.own.node:
                outcome = await self.gates.run(attempted, name)
            else:
                outcome = await self.peers.call(attempted, endpoint)
        finally:
            self._in_flight[name] -= 1
            if not self._in_flight[name]:
                del self._in_flight[name]
        self._note(attempted, endpoint, outcome)
        return outcome

    def _note(self, call: Call, endpoint: Endpoint, outcome: Outcome) -> None:
        node = endpoint.member.node
        self._note_version(call, endpoint, outcome)
        if isinstance(outcome, Unknown) and outcome.code == TARGET_DIED:
            self.crashes.note_crash(call)
        if call.alone and isinstance(outcome, Answered):
            self.crashes.quarantine.acquit(call.compute_fingerprint())
        if isinstance(outcome, NotRun) and outcome.code in _UNREACHABLE:
            self.avoided.note_failure(node, read_monotonic())
        elif isinstance(outcome, Answered):
            self.avoided.note_success(node)

    def _note_version(self, call: Call, endpoint: Endpoint, outcome: Outcome) -> None:
        """Show the outcome to the bans while a move is going on."""
        move = call.rule.move
        if move is None or isinstance(outcome, NotRun):
            return
        failed = isinstance(outcome, Unknown) or outcome.reply.status >= FAILED_STATUS
        is_new = endpoint.target.version == move.to
        name = endpoint.target.name
        if self.bans.note(move.move_id, is_new, name, failed, read_monotonic()):
            self.counters.add("versions_banned")
            log_event("version-banned", service=call.service, version=move.to)

    def _may_retry(
        self, call: Call, outcome: Outcome, attempt: int, budget: RetryBudget
    ) -> bool:
        if not call.idempotent or attempt + 1 >= call.rule.max_attempts:
            return False
        if read_monotonic() >= call.deadline or not _is_worth_retry(outcome):
            return False
        if not budget.take_retry():
            self.counters.add("retries_over_budget")
            return False
        self.counters.add("retries")
        return True


def _is_worth_retry(outcome: Outcome) -> bool:
    if isinstance(outcome, Unknown):
        return True
    return isinstance(outcome, Answered) and outcome.reply.status in RETRIED_STATUSES


async def _discard(outcome: Outcome) -> None:
    if isinstance(outcome, Answered):
        await outcome.reply.close()
