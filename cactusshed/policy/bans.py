"""Local bans of a new version whose calls from this node fail.

A ban is local to the node and short-lived; the controller of the move decides
whether the version is rolled back.
"""

from collections import deque

import attrs

__all__ = ["Bans"]

WINDOW_CALLS = 20
"""Recent results kept for each version."""
MIN_FAILURES = 5
"""Failures among the recent calls below which a version is not banned."""
MIN_FAILURE_RATE = 0.5
"""Failure rate over the recent calls at which a version is banned."""
MIN_FAILURE_RATIO = 2.0
"""Minimum ratio of the new version's failure rate to the old version's for a ban."""
BAN_SECONDS = 10.0
"""Length of a ban."""
MAX_MOVES = 1_000
"""Moves tracked at once; the oldest is dropped beyond that."""


@attrs.define
class _Record:
    """Recent results of both versions of one move, as (target, failed)."""

    new: deque = attrs.Factory(lambda: deque(maxlen=WINDOW_CALLS))
    old: deque = attrs.Factory(lambda: deque(maxlen=WINDOW_CALLS))
    banned_until: float = 0.0


class Bans:
    """Recent results and bans by move, as seen by this node."""

    def __init__(self) -> None:
        """Start without bans."""
        self._records: dict[str, _Record] = {}

    def is_banned(self, move_id: str, now: float) -> bool:
        """Return whether this node sends no calls to the new version of a move."""
        record = self._records.get(move_id)
        return record is not None and now < record.banned_until

    def record_result(
        self, move_id: str, is_new: bool, target: str, failed: bool, now: float
    ) -> bool:
        """Record one result; return whether it led to a ban."""
        record = self._records.get(move_id)
        if record is None:
            if len(self._records) >= MAX_MOVES:
                self._records.pop(next(iter(self._records)))
            record = self._records[move_id] = _Record()
        (record.new if is_new else record.old).append((target, failed))
        if not is_new or not failed or now < record.banned_until:
            return False
        if not _is_failing(record):
            return False
        record.banned_until = now + BAN_SECONDS
        record.new.clear()
        return True


def _is_failing(record: _Record) -> bool:
    failing = [target for target, failed in record.new if failed]
    targets = {target for target, _ in record.new}
    if len(failing) < MIN_FAILURES:
        return False
    if len(targets) > 1 and len(set(failing)) < 2:
        # One failing target among several shows a fault of the target, not the version.
        return False
    rate = len(failing) / len(record.new)
    old_failures = sum(failed for _, failed in record.old)
    old_rate = old_failures / len(record.old) if record.old else 0.0
    return rate >= MIN_FAILURE_RATE and rate >= MIN_FAILURE_RATIO * old_rate
