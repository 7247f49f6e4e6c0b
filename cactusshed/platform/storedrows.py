"""Rows of the platform's store, as its responses hold them."""

import base64
from collections.abc import Iterator

import attrs

from ..errors import Malformed
from ..fields import read_int, read_text
from ..observe.counters import Counters
from ..observe.lines import log_line

__all__ = ["StoredRow", "find_last_key", "read_rows"]

MAX_CAUSE_CHARS = 200


@attrs.frozen
class StoredRow:
    """One row; `version` is the number of the transaction that wrote it.

    The store numbers the transactions of all tables with one counter.
    """

    table: str
    key: str
    value: bytes = attrs.field(repr=False)
    """Not shown: the row of a configuration contains the keys of the tenants."""
    version: int
    is_deleted: bool = False


def read_rows(entries: list, counters: Counters) -> Iterator[StoredRow]:
    """Yield the rows that can be read; the others don't hold them up."""
    for entry in entries:
        try:
            yield _read_row(entry)
        except (Malformed, ValueError) as error:
            counters.add("rows_refused")
            log_line("row-refused", cause=str(error)[:MAX_CAUSE_CHARS])


def find_last_key(entries: list) -> str:
    """Return the key of the last row that has one, from which to continue."""
    keys = (row.get("key") for row in reversed(entries) if isinstance(row, dict))
    return next((key for key in keys if key and isinstance(key, str)), "")


def _read_row(row: object) -> StoredRow:
    """Return one row; raise `Malformed` or `ValueError`."""
    table, key = read_text(row, "table"), read_text(row, "key")
    version = read_int(row, "ver")
    if row.get("deleted"):
        return StoredRow(table, key, b"", version, is_deleted=True)
    value = row.get("value")
    if not isinstance(value, str):
        raise Malformed(f"value of row {key}: not a text", step="read rows")
    return StoredRow(table, key, base64.b64decode(value, validate=True), version)
