"""Record of calls at the gate's node, used to resolve calls with a lost answer.

Load pattern: many calls with large answers in the time for which records are kept. The
answers may take a fixed part of the process's memory; beyond it the oldest are dropped,
whose callers have been answered or have given up, and the outcome is unknown.
"""

from collections.abc import Iterable
from enum import Enum
from typing import Any

import attrs

__all__ = ["CallRecord", "CallRecords", "CallState", "measure_answer"]

KEEP_SECONDS = 60.0
"""Retention of fenced and finished calls; far longer than any call timeout."""
MAX_RECORDS = 20_000
"""Number of records at which new calls are no longer accepted."""
DEFAULT_ANSWER_BYTES = 12 << 20
"""Memory for kept answers in a process whose own is not known."""
RECORD_BYTES = 1024
"""Memory of the objects of one kept answer, without its bytes."""
HEADER_BYTES = 150
"""Memory of the objects of one header, without its bytes."""


class CallState(Enum):
    """State of a call; a fenced call must never run."""

    WAITING = "waiting"
    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    FENCED = "fenced"


@attrs.define
class CallRecord:
    """State of one call, when it was recorded, and its answer if it has one."""

    state: CallState
    recorded_at: float
    answer: Any = None


def measure_answer(headers: Iterable[tuple[bytes, bytes]], body: bytes) -> int:
    """Return the memory that a kept answer takes, in bytes."""
    fields = (len(name) + len(value) + HEADER_BYTES for name, value in headers)
    return RECORD_BYTES + sum(fields) + len(body)


class CallRecords:
    """Calls by id; each call id is sent to the target at most once."""

    def __init__(self, max_answer_bytes: int = DEFAULT_ANSWER_BYTES) -> None:
        """Start empty."""
        self.max_answer_bytes = max_answer_bytes
        self.answer_bytes = 0
        self._records: dict[str, CallRecord] = {}
        self._answer_sizes: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._records)

    def begin(self, call_id: str, now: float) -> bool:
        """Record a new call; return False if the call must not proceed."""
        self._drop_expired(now)
        if call_id in self._records or len(self._records) >= MAX_RECORDS:
            return False
        self._records[call_id] = CallRecord(CallState.WAITING, now)
        return True

    def dispatch(self, call_id: str) -> bool:
        """Mark a waiting call as running; return False if it must not be sent."""
        record = self._records.get(call_id)
        if record is None or record.state != CallState.WAITING:
            return False
        record.state = CallState.RUNNING
        return True

    def is_running(self, call_id: str) -> bool:
        """Return whether the target is running the call."""
        record = self._records.get(call_id)
        return record is not None and record.state == CallState.RUNNING

    def refuse(self, call_id: str, now: float) -> None:
        """Fence a call that was not run, so that a retry cannot run either."""
        self._records[call_id] = CallRecord(CallState.FENCED, now)

    def finish(
        self, call_id: str, now: float, answer: Any = None, size: int = 0
    ) -> None:
        """Record the end of a call that was sent to the target.

        `size` is the memory that its answer takes, in bytes.
        """
        state = CallState.UNKNOWN if answer is None else CallState.ANSWERED
        self._records[call_id] = CallRecord(state, now, answer)
        if answer is None:
            return
        self._answer_sizes[call_id] = size
        self.answer_bytes += size
        while self.answer_bytes > self.max_answer_bytes:
            oldest = next(iter(self._answer_sizes))
            self._release_answer(oldest)
            self._records[oldest].state = CallState.UNKNOWN
            self._records[oldest].answer = None

    def _release_answer(self, call_id: str) -> None:
        self.answer_bytes -= self._answer_sizes.pop(call_id, 0)

    def forget(self, call_id: str) -> None:
        """Remove the record of an idempotent call that has ended; it may run again."""
        self._records.pop(call_id, None)

    def resolve(self, call_id: str, now: float) -> CallRecord:
        """Return the record of a call; fence the call if it was not dispatched."""
        record = self._records.get(call_id)
        if record is None or record.state == CallState.WAITING:
            record = CallRecord(CallState.FENCED, now)
            self._records[call_id] = record
        return record

    def _drop_expired(self, now: float) -> None:
        """Drop expired records; the records are in the order of their calls' start."""
        while self._records:
            call_id, record = next(iter(self._records.items()))
            ended = record.state not in (CallState.WAITING, CallState.RUNNING)
            if not ended or now - record.recorded_at <= KEEP_SECONDS:
                return
            del self._records[call_id]
            self._release_answer(call_id)
