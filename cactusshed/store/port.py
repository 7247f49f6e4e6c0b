"""The port to the platform's table service and object store."""

from collections.abc import Iterable
from typing import Protocol

import attrs

__all__ = ["ABSENT", "Condition", "Port", "Row", "Write"]

ABSENT = 0
"""Version of a row that does not exist."""


@attrs.frozen
class Row:
    """One row; `version` increases with every write and is never reused."""

    key: str
    value: str
    version: int


@attrs.frozen
class Condition:
    """The version that a row must have for a transaction to take effect."""

    key: str
    version: int


@attrs.frozen
class Write:
    """New value of a row; `None` deletes it."""

    key: str
    value: str | None


class Port(Protocol):
    """The only operations of the platform that the mesh uses.

    Every method raises `PlatformUnavailable` when the request certainly had no
    effect. `commit` and `put_object` raise `AnswerLost` when it may have had one.
    """

    async def get(self, key: str) -> Row | None:
        """Return the row at `key`, or `None`."""

    async def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Return up to `limit` rows past key `after` that start with `prefix`."""

    async def commit(
        self, conditions: Iterable[Condition], writes: Iterable[Write]
    ) -> None:
        """Perform all writes if all conditions hold, else raise `ConditionFailed`."""

    async def put_object(self, name: str, data: bytes) -> None:
        """Store `data` as object `name`."""

    async def get_object(self, name: str) -> bytes | None:
        """Return the object `name`, or `None`."""
