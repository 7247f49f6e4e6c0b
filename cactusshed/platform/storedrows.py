"""Rows of the platform's store, as its responses hold them."""

import base64
from collections.abc import Iterator

from ..errors import Malformed
from ..fields import read_int, read_text
from ..observe.counters import Counters
from ..observe.lines import log_line
from ..store.rowtypes import StoredRow
from ..store.versions import make_version

__all__ = ["find_last_key", "read_rows"]

MAX_CAUSE_CHARS = 200


def read_rows(entries: list, counters: Counters, era: int = 0) -> Iterator[StoredRow]:
    """Yield the rows of `era` that can be read; the others don't hold them up."""
    for entry in entries:
        try:
            yield _read_row(entry, era)
        except (Malformed, ValueError) as error:
            counters.add("rows_refused")
            log_line("row-refused", cause=str(error)[:MAX_CAUSE_CHARS])


def find_last_key(entries: list) -> str:
    """Return the key of the last row that has one, from which to continue."""
    keys = (row.get("key") for row in reversed(entries) if isinstance(row, dict))
    return next((key for key in keys if key and isinstance(key, str)), "")


def _read_row(row: object, era: int) -> StoredRow:
    """Return one row; raise `Malformed` or `ValueError`."""
    table, key = read_text(row, "table"), read_text(row, "key")
    version = make_version(era, read_int(row, "ver"))
    if row.get("deleted"):
        return StoredRow(table, key, b"", version, is_deleted=True)
    value = row.get("value")
    if not isinstance(value, str):
        raise Malformed(f"value of row {key}: not a text", step="read rows")
    return StoredRow(table, key, base64.b64decode(value, validate=True), version)
