"""Eras of the store, and the guard against writes of an earlier one.

When the store comes back from an older copy, the numbers of the lost transactions are
given out again. A write that arrives after that may find the number that it expects at
another state of its row, but only if a node has written since. The first write of each
node in an era therefore marks the era with a row, and every write requires that the
next era has no mark yet.
"""

from ..errors import ConditionFailed
from ..observe.counters import Counters
from ..observe.lines import log_line
from ..platform.rowkeys import SYSTEM_TABLE
from .rowtypes import ABSENT
from .versions import get_era, get_number

__all__ = ["RowName", "StoreEras"]

MARK_PREFIX = "era/"
"""Prefix of the keys of the rows that mark eras."""

RowName = tuple[str, str]
"""Table and key of a row."""


class StoreEras:
    """What a client of the store knows of its eras."""

    def __init__(self, counters: Counters) -> None:
        """Start without an answer of the store."""
        self._counters = counters
        self._has_answered = False
        self._marked: int | None = None
        self.stated: int | None = None
        """The present era, `None` if the store states none."""
        self.current = 0
        """Highest era that the store has stated, 0 if it states none."""

    def note(self, era: int) -> None:
        """Record that the store has stated `era`, to this node or to another."""
        if era <= self.current:
            return
        if self._has_answered:
            self._counters.add("store_returns")
            log_line("store-era", era=era, before=self.current)
        self.current = era
        if self.stated is not None:
            self.stated = era

    def note_answer(self, stated: int | None) -> int:
        """Return the era of an answer, which may be older than one already known."""
        era = self.current if stated is None else stated
        self.note(era)
        self._has_answered = True
        if stated is not None:
            self.stated = self.current
        return era

    def is_current(self, version: int) -> bool:
        """Return whether a row can still be at `version`, or absent."""
        return get_number(version) == ABSENT or get_era(version) == self.current

    def list_conditions(self, versions: dict[RowName, int]) -> dict[RowName, int]:
        """Return the numbers that rows must have for a write to take effect.

        Raises `ConditionFailed` if an expected version is of an earlier era.
        """
        if not all(map(self.is_current, versions.values())):
            raise ConditionFailed("the store has come back", step="write rows")
        numbers = {name: get_number(version) for name, version in versions.items()}
        if self.stated is not None:
            numbers[_name_mark(self.current + 1)] = ABSENT
        return numbers

    def list_marks(self, *, is_forced: bool = False) -> dict[RowName, bytes]:
        """Return the row that a write has to add, if any."""
        if self._marked == self.stated and not is_forced:
            return {}
        return {_name_mark(self.current): b"{}"}

    def note_written(self, stated: int | None) -> None:
        """Record that a write has taken effect that added the marks of an era."""
        self._marked = stated


def _name_mark(era: int) -> RowName:
    return SYSTEM_TABLE, f"{MARK_PREFIX}{era}"
