"""Rows of moves in the store, and the operator's status rows."""

from collections.abc import Iterator

from ..platform.rowkeys import COMPLETE as STATUS_COMPLETE
from ..platform.rowkeys import RETURNED as STATUS_RETURNED
from ..platform.rowkeys import RUNNING as STATUS_RUNNING
from ..platform.rowkeys import (
    STATUS_TABLE,
    SYSTEM_TABLE,
    encode_status,
    make_status_key,
)
from ..platform.rows import ABSENT, ConditionalPut, RowStore
from ..policy.rollout import COMPLETE, REVERTED, Move
from .moves import decode_move, encode_move

__all__ = ["read_move", "read_moves", "write_move"]

MOVE_ROW_PREFIX = "move/"


async def read_move(store: RowStore, service: str) -> tuple[int, Move | None]:
    """Return the version of a service's row, and its move if it can be read."""
    key = f"{MOVE_ROW_PREFIX}{service}"
    page = await store.read_table(SYSTEM_TABLE, key)
    for row in page.rows:
        if row.key == key:
            return row.version, decode_move(row.value)
    return ABSENT, None


async def read_moves(store: RowStore) -> Iterator[tuple[Move, int]]:
    """Return all moves in the store with the versions of their rows."""
    page = await store.read_table(SYSTEM_TABLE, MOVE_ROW_PREFIX)
    decoded = ((decode_move(row.value), row.version) for row in page.rows)
    return ((move, version) for move, version in decoded if move is not None)


async def write_move(
    store: RowStore, move: Move, version: int, *, with_status: bool
) -> int:
    """Write a move's row, if it is at `version`, and the operator's status row.

    Returns the version of the row written.
    """
    key = f"{MOVE_ROW_PREFIX}{move.service}"
    puts = [ConditionalPut(SYSTEM_TABLE, key, encode_move(move), version)]
    if with_status:
        status_version = await _read_status(store, move.service)
        status = encode_status(_choose_status(move), move.to)
        status_key = make_status_key(move.service)
        puts.append(ConditionalPut(STATUS_TABLE, status_key, status, status_version))
    return await store.write(puts)


async def _read_status(store: RowStore, service: str) -> int:
    key = make_status_key(service)
    page = await store.read_table(STATUS_TABLE, key)
    return next((row.version for row in page.rows if row.key == key), ABSENT)


def _choose_status(move: Move) -> str:
    if move.state == COMPLETE:
        return STATUS_COMPLETE
    return STATUS_RETURNED if move.state == REVERTED else STATUS_RUNNING
