"""Bans: a node stops using a version that fails before its own eyes.

A ban is local and short; the verdict on the version belongs to the move duty.
"""

from collections import deque

import attrs

__all__ = ["Bans"]

WINDOW = 20
MIN_FAILURES = 5
MIN_RATE = 0.5
"""Share of failures among the last calls at which a version is banned."""
OLD_FACTOR = 2.0
"""The new version must fail this many times as often as the old one."""
BAN_SECONDS = 10.0
MAX_MOVES = 1_000


@attrs.define
class _Record:
    """Last results of both versions of one move, as (target, failed)."""

    new: deque = attrs.Factory(lambda: deque(maxlen=WINDOW))
    old: deque = attrs.Factory(lambda: deque(maxlen=WINDOW))
    banned_until: float = 0.0


class Bans:
    """Last results of the moves that this node takes part in."""

    def __init__(self) -> None:
        """Start with no ban."""
        self._records: dict[str, _Record] = {}

    def is_banned(self, move_id: str, now: float) -> bool:
        """Return whether the new version of a move gets nothing from this node."""
        record = self._records.get(move_id)
        return record is not None and now < record.banned_until

    def note(
        self, move_id: str, is_new: bool, target: str, failed: bool, now: float
    ) -> bool:
        """Take in one result; return whether it led to a ban."""
        record = self._records.get(move_id)
        if record is None:
            if len(self._records) >= MAX_MOVES:
                self._records.pop(next(iter(self._records)))
            record = self._records[move_id] = _Record()
        (record.new if is_new else record.old).append((target, failed))
        if not is_new or not failed or now < record.banned_until:
            return False
        if not _is_bad(record):
            return False
        record.banned_until = now + BAN_SECONDS
        record.new.clear()
        return True


def _is_bad(record: _Record) -> bool:
    failing = [target for target, failed in record.new if failed]
    seen = {target for target, _ in record.new}
    if len(failing) < MIN_FAILURES:
        return False
    if len(seen) > 1 and len(set(failing)) < 2:
        # One sick target does not condemn the version.
        return False
    rate = len(failing) / len(record.new)
    old_failures = sum(failed for _, failed in record.old)
    old_rate = old_failures / len(record.old) if record.old else 0.0
    return rate >= MIN_RATE and rate >= OLD_FACTOR * old_rate
