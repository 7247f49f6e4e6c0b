"""The port to the platform's table service and object store."""

from collections.abc import Iterable
from typing import Protocol

import attrs

__all__ = ["ABSENT", "Condition", "Port", "Row", "Write"]

ABSENT = 0
"""Version of a row that does not exist."""


@attrs.frozen
class Row:
    """One row; `version` grows with every write to it and is never reused."""

    key: str
    value: str
    version: int


@attrs.frozen
class Condition:
    """A row must be at `version` for a transaction to take effect."""

    key: str
    version: int


@attrs.frozen
class Write:
    """New value of a row; `None` deletes it."""

    key: str
    value: str | None


class Port(Protocol):
    """What the system asks of the platform; nothing else is used.

    Every method raises `PlatformUnavailable` when the request certainly had no
    effect. `commit` and `put_object` raise `AnswerLost` when it may have had.
    """

    async def get(self, key: str) -> Row | None:
        """Return the row at `key`, or `None`."""

    async def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Return up to `limit` rows past key `after` that start with `prefix`."""

    async def commit(
        self, conditions: Iterable[Condition], writes: Iterable[Write]
    ) -> None:
        """Carry out all writes if all conditions hold, else `ConditionFailed`."""

    async def put_object(self, name: str, data: bytes) -> None:
        """Store `data` as object `name`."""

    async def get_object(self, name: str) -> bytes | None:
        """Return the object `name`, or `None`."""
