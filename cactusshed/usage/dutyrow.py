"""The duty's row in the store: its holder, and the fixed counts of windows."""

from collections.abc import Collection

import msgspec

from ..decoding import Count, decode_json
from ..platform.rowkeys import SYSTEM_TABLE
from ..platform.rows import ABSENT, ConditionalPut, RowStore

__all__ = ["DutyRow", "read_duty", "write_duty"]

DUTY_KEY = "duty/usage"


class DutyRow(msgspec.Struct, frozen=True):
    """Content of the row.

    `start_time` tells apart two processes of the holder's name. `token` increases with
    every takeover. `first` is the first window that is not fixed, 0 before the first
    one is fixed.
    """

    holder: str
    start_time: Count
    token: Count
    first: Count = 0
    writes: Count = 0
    """Number of the holder's write, by which it recognizes its own writes."""
    fixed: dict[int, dict[str, Count]] = {}
    """Counts of the fixed windows that the platform has not acknowledged."""
    era: Count = 0
    """The store's era in which the row was written."""

    def find_unreported(self, acknowledged: Collection[int] = ()) -> int:
        """Return the first window that the platform has not acknowledged.

        `acknowledged` are those of `fixed` that it has acknowledged since the write.
        """
        waiting = (window for window in self.fixed if window not in acknowledged)
        return min(waiting, default=self.first)


async def read_duty(store: RowStore) -> tuple[int, DutyRow | None]:
    """Return the row's version and content; raise `Malformed` if it can't be read.

    Its token would otherwise be used again.
    """
    row = await store.read_row(SYSTEM_TABLE, DUTY_KEY)
    if row is None:
        return ABSENT, None
    return row.version, decode_json(row.value, DutyRow, step="read duty", peer=row.key)


async def write_duty(store: RowStore, row: DutyRow, version: int) -> int:
    """Write the row if it is at `version`, and return its new version."""
    value = msgspec.json.encode(row)
    return await store.write([ConditionalPut(SYSTEM_TABLE, DUTY_KEY, value, version)])
