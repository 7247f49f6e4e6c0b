"""Record of calls at the gate's node, used to resolve calls with a lost answer."""

from enum import Enum
from typing import Any

import attrs

__all__ = ["Entry", "Ledger", "Standing"]

KEEP_SECONDS = 60.0
"""Retention of fenced and finished calls; far longer than any call timeout."""
MAX_ENTRIES = 20_000
"""Number of entries at which new calls are no longer accepted."""


class Standing(Enum):
    """State of a call; a fenced call must never run."""

    WAITING = "waiting"
    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    FENCED = "fenced"


@attrs.define
class Entry:
    """State of one call, when it was recorded, and its answer if it has one."""

    standing: Standing
    at: float
    answer: Any = None


class Ledger:
    """Calls by id; each call id is sent to the target at most once."""

    def __init__(self) -> None:
        """Start empty."""
        self._entries: dict[str, Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def begin(self, call_id: str, now: float) -> bool:
        """Record a new call; return False if the call must not proceed."""
        self._drop_expired(now)
        if call_id in self._entries or len(self._entries) >= MAX_ENTRIES:
            return False
        self._entries[call_id] = Entry(Standing.WAITING, now)
        return True

    def dispatch(self, call_id: str) -> bool:
        """Mark a waiting call as running; return False if it must not be sent."""
        entry = self._entries.get(call_id)
        if entry is None or entry.standing != Standing.WAITING:
            return False
        entry.standing = Standing.RUNNING
        return True

    def is_running(self, call_id: str) -> bool:
        """Return whether the target is running the call."""
        entry = self._entries.get(call_id)
        return entry is not None and entry.standing == Standing.RUNNING

    def refuse(self, call_id: str, now: float) -> None:
        """Fence a call that was not run, so that a retry cannot run either."""
        self._entries[call_id] = Entry(Standing.FENCED, now)

    def finish(self, call_id: str, now: float, answer: Any = None) -> None:
        """Record the end of a call that was sent to the target."""
        state = Standing.UNKNOWN if answer is None else Standing.ANSWERED
        self._entries[call_id] = Entry(state, now, answer)

    def forget(self, call_id: str) -> None:
        """Remove a finished call that may run again."""
        self._entries.pop(call_id, None)

    def settle(self, call_id: str, now: float) -> Entry:
        """Return the entry of a call; fence the call if it was not dispatched."""
        entry = self._entries.get(call_id)
        if entry is None or entry.standing == Standing.WAITING:
            entry = Entry(Standing.FENCED, now)
            self._entries[call_id] = entry
        return entry

    def _drop_expired(self, now: float) -> None:
        """Drop expired entries; the entries are in the order of their calls' start."""
        while self._entries:
            call_id, entry = next(iter(self._entries.items()))
            ended = entry.standing not in (Standing.WAITING, Standing.RUNNING)
            if not ended or now - entry.at <= KEEP_SECONDS:
                return
            del self._entries[call_id]
