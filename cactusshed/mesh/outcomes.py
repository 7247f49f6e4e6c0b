"""Outcomes of calls that can't be retried, kept for queries by first nodes.

A first node, the one that received the request, queries the outcome of a call when
it lost the link to this node.
"""

import asyncio
from collections.abc import Callable

import attrs

from ..clock import read_monotonic
from ..policy.callrecords import (
    CallRecord,
    CallRecords,
    CallState,
    measure_answer,
)
from .frames import (
    ANSWERED,
    NOT_RUN,
    UNKNOWN,
    Call,
    Load,
    OutcomeQuery,
    Result,
    make_attempt_id,
)

__all__ = ["CallOutcomes"]

MAX_KEPT_ANSWER_BYTES = 64 << 10
"""Size up to which an answer is kept; a larger one makes its outcome unknown."""


@attrs.define(eq=False)
class CallOutcomes:
    """Outcomes of the calls of one gate, and futures for the calls in progress."""

    get_load: Callable[[], Load]
    _records: CallRecords = attrs.Factory(CallRecords)
    _end_futures: dict[str, asyncio.Future] = attrs.Factory(dict)

    def limit_answers(self, max_bytes: int) -> None:
        """Set the memory that kept answers may take, in bytes."""
        self._records.max_answer_bytes = max_bytes

    def begin(self, call: Call) -> Result | None:
        """Record an arriving call; return a result if it must not be run."""
        key = make_attempt_id(call)
        if self._records.begin(key, read_monotonic()):
            self._end_futures[key] = asyncio.get_running_loop().create_future()
            return None
        record = self._records.resolve(key, read_monotonic())
        if record.state == CallState.FENCED:
            return Result(call.number, NOT_RUN, self.get_load(), code="fenced")
        return Result(call.number, UNKNOWN, self.get_load(), code="repeated")

    def dispatch(self, call: Call) -> bool:
        """Record that a call is sent to the target; return False if it is fenced."""
        return self._records.dispatch(make_attempt_id(call))

    def is_dispatched(self, call: Call) -> bool:
        """Return whether a call is running on the target."""
        return self._records.is_running(make_attempt_id(call))

    def end(self, call: Call, result: Result | None) -> None:
        """Record the end of a call; without a result its outcome is unknown."""
        key = make_attempt_id(call)
        now = read_monotonic()
        if result is not None and result.outcome == NOT_RUN:
            self._records.refuse(key, now)
        elif result is not None and len(result.body) <= MAX_KEPT_ANSWER_BYTES:
            answer = result if result.outcome == ANSWERED else None
            size = measure_answer(result.headers, result.body)
            self._records.finish(key, now, answer, size)
        else:
            self._records.finish(key, now)
        self._end_futures.pop(key).set_result(None)

    async def resolve(self, query: OutcomeQuery) -> Result:
        """Return the outcome of a call; fence a call that was not dispatched yet."""
        key = make_attempt_id(query)
        record = self._records.resolve(key, read_monotonic())
        end_future = self._end_futures.get(key)
        if record.state == CallState.RUNNING and end_future is not None:
            await asyncio.wait([end_future], timeout=query.remaining_ms / 1000)
            record = self._records.resolve(key, read_monotonic())
        return self._read_record(query.number, record)

    def _read_record(self, number: int, record: CallRecord) -> Result:
        if record.state == CallState.FENCED:
            return Result(number, NOT_RUN, self.get_load(), code="settled-not-run")
        if record.state == CallState.ANSWERED:
            answer: Result = record.answer
            answer.number = number
            return answer
        return Result(number, UNKNOWN, self.get_load(), code="still-running")
