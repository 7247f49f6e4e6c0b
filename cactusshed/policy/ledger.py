"""Ledger of calls at the gate's node, by which a lost answer is settled."""

from enum import Enum
from typing import Any

import attrs

__all__ = ["Entry", "Ledger", "Standing"]

KEEP_SECONDS = 60.0
"""How long a fence or a finished call is remembered; far past any timeout."""
MAX_ENTRIES = 20_000


class Standing(Enum):
    """What is known of a call."""

    WAITING = "waiting"
    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    FENCED = "fenced"


@attrs.define
class Entry:
    """One call; `answer` is kept for one that was answered."""

    standing: Standing
    at: float
    answer: Any = None


class Ledger:
    """Calls by id; a call id is handed to the target at most once."""

    def __init__(self) -> None:
        """Start empty."""
        self._entries: dict[str, Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def begin(self, call_id: str, now: float) -> bool:
        """Note a call that arrived; return False if it must not go further."""
        self._forget(now)
        if call_id in self._entries or len(self._entries) >= MAX_ENTRIES:
            return False
        self._entries[call_id] = Entry(Standing.WAITING, now)
        return True

    def dispatch(self, call_id: str) -> bool:
        """Note that the call goes to the target; False when it was fenced."""
        entry = self._entries.get(call_id)
        if entry is None or entry.standing != Standing.WAITING:
            return False
        entry.standing = Standing.RUNNING
        return True

    def is_running(self, call_id: str) -> bool:
        """Return whether the call is with the target now."""
        entry = self._entries.get(call_id)
        return entry is not None and entry.standing == Standing.RUNNING

    def refuse(self, call_id: str, now: float) -> None:
        """Fence a call that was not run, so that a repeat of it is not either."""
        self._entries[call_id] = Entry(Standing.FENCED, now)

    def finish(self, call_id: str, now: float, answer: Any = None) -> None:
        """Note the end of a call that was handed to the target."""
        known = Standing.UNKNOWN if answer is None else Standing.ANSWERED
        self._entries[call_id] = Entry(known, now, answer)

    def forget(self, call_id: str) -> None:
        """Drop a call that has ended and may be run again."""
        self._entries.pop(call_id, None)

    def settle(self, call_id: str, now: float) -> Entry:
        """Return what is known of a call; one not yet dispatched is fenced."""
        entry = self._entries.get(call_id)
        if entry is None or entry.standing == Standing.WAITING:
            entry = Entry(Standing.FENCED, now)
            self._entries[call_id] = entry
        return entry

    def _forget(self, now: float) -> None:
        """Drop what is old; entries stand in the order in which they began."""
        while self._entries:
            call_id, entry = next(iter(self._entries.items()))
            ended = entry.standing not in (Standing.WAITING, Standing.RUNNING)
            if not ended or now - entry.at <= KEEP_SECONDS:
                return
            del self._entries[call_id]
