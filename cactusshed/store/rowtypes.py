"""Rows of the platform's store, and conditional writes of them."""

import attrs

from ..errors import CactusError

__all__ = ["ABSENT", "ConditionalPut", "HistoryGone", "Page", "StoredRow"]

ABSENT = 0
"""Expected version of a row that must not exist."""


class HistoryGone(CactusError):
    """The store does not have the changes from which the feed should resume.

    It has dropped them, or has come back from a copy that did not have them.
    """

    code = "history-gone"
    status = 410


@attrs.frozen
class StoredRow:
    """One row at a `version`; see `versions`.

    The store numbers the transactions of all tables with one counter.
    """

    table: str
    key: str
    value: bytes = attrs.field(repr=False)
    """Not shown: the row of a configuration contains the keys of the tenants."""
    version: int
    is_deleted: bool = False


@attrs.frozen
class Page:
    """Rows as of transaction `version` of the store."""

    rows: list[StoredRow]
    version: int


@attrs.frozen
class ConditionalPut:
    """A row to write, or to delete if `value` is `None`.

    It takes effect only if the row is at version `expected`.
    """

    table: str
    key: str
    value: bytes | None
    expected: int
