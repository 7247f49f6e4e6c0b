"""Why requests were not answered in time, as the node that received them knows it."""

import asyncio
from collections import Counter

import attrs

from ..mesh.callplan import CallPlan, Outcome
from ..mesh.dispatch import Dispatcher
from ..mesh.exchange import is_success
from ..mesh.frames import ANSWERED, NOT_RUN
from ..mesh.gate import Gate

__all__ = ["LATE", "Losses", "ObservedDispatcher"]

LATE = "late"
NO_NODE = "no node in the data centre"
OVER_BUDGET = "over the retry budget"
DEADLINE_WAITING = "deadline, not run"
DEADLINE_RUNNING = "deadline, while running"
DEADLINE_SENDING = "deadline, answer on its way"
CALL_FAILED, TARGET_FAILED = 502, 500
"""Statuses of emulated targets, for a failed call of their own and for a fault."""
DEADLINE_STATUS = 504
_STATUS_CAUSES = {
    CALL_FAILED: "a call of its own failed",
    TARGET_FAILED: "failed by the target",
    DEADLINE_STATUS: DEADLINE_RUNNING,
}
_FIRST_NODE_CODES = frozenset({"no-target", "node-unreachable"})
"""Codes of refusals that come from no gate."""


def describe_failure(outcome: Outcome) -> str:
    """Return the cause of an unsuccessful outcome."""
    result = outcome.result
    if "over-budget" in outcome.refusals:
        return OVER_BUDGET
    if result.outcome == NOT_RUN:
        place = "first node" if result.code in _FIRST_NODE_CODES else "gate"
        return f"refused at the {place}: {result.code}"
    if result.outcome == ANSWERED:
        return _STATUS_CAUSES[result.status]
    return DEADLINE_RUNNING if result.code == "timeout" else f"lost: {result.code}"


@attrs.define(eq=False)
class Losses:
    """Causes of the attempts that are in progress, and counts of the calls' causes."""

    calls: dict[str, Counter] = attrs.Factory(dict)
    """By class, causes of the calls of targets; the cause of a success is empty."""
    _started: dict[bytes, str] = attrs.Factory(dict)
    """Attempts that a target runs or has answered, with the cause at their deadline."""
    _causes: dict[bytes, str] = attrs.Factory(dict)

    def note_started(self, attempt_id: bytes) -> None:
        """Record that a target runs an attempt."""
        self._started[attempt_id] = DEADLINE_RUNNING

    def note_answered(self, attempt_id: bytes) -> None:
        """Record that a target has answered an attempt."""
        self._started[attempt_id] = DEADLINE_SENDING

    def note_outcome(self, attempt_id: bytes, outcome: Outcome) -> None:
        """Record the outcome of an attempt."""
        if not is_success(outcome.result):
            self._causes[attempt_id] = describe_failure(outcome)

    def note_deadline(self, attempt_id: bytes) -> None:
        """Record that an attempt was given up at its deadline."""
        started = self._started.get(attempt_id, DEADLINE_WAITING)
        self._causes.setdefault(attempt_id, started)

    def take(self, attempt_id: bytes) -> str:
        """Forget an attempt and return the cause of its failure; empty for none."""
        self._started.pop(attempt_id, None)
        return self._causes.pop(attempt_id, "")

    def count_call(self, class_name: str, attempt_id: bytes) -> None:
        """Count the end of a call that a target made."""
        cause = self.take(attempt_id)
        self.calls.setdefault(class_name, Counter())[cause] += 1


@attrs.define(eq=False)
class ObservedDispatcher:
    """A dispatcher whose outcomes are recorded."""

    dispatcher: Dispatcher
    losses: Losses

    @property
    def gate(self) -> Gate:
        """Return the local gate."""
        return self.dispatcher.gate

    async def run(self, plan: CallPlan) -> Outcome:
        """Run a call and record its outcome."""
        attempt_id = plan.call.request_id
        try:
            outcome = await self.dispatcher.run(plan)
        except asyncio.CancelledError:
            self.losses.note_deadline(attempt_id)
            raise
        self.losses.note_outcome(attempt_id, outcome)
        return outcome
