"""The row by which other nodes find this one, kept in the store."""

import asyncio
from collections.abc import Callable

import attrs
import msgspec

from ..decoding import decode_json
from ..errors import AnswerLost, CactusError, ConditionFailed, Malformed
from ..fields import check_address, check_text
from ..observe.lines import log_line
from ..platform.rowkeys import MEMBER_PREFIX, SYSTEM_TABLE
from ..platform.rows import ABSENT, ConditionalPut, RowStore, StoredRow
from ..store.versions import get_era
from .frames import TargetState

__all__ = [
    "MAX_BACKOFF_SECONDS",
    "MIN_BACKOFF_SECONDS",
    "MemberRow",
    "OwnRow",
    "decode_member",
]

MIN_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 0.5
"""Longest pause after a failure, so that rows are written soon after the store is
reachable again."""


class MemberRow(msgspec.Struct, frozen=True):
    """Value of a node's row in the store."""

    node: str
    address: str
    state: TargetState


def decode_member(row: StoredRow) -> MemberRow | None:
    """Return the member in a row; `None` if it names none that can be used."""
    try:
        member = decode_json(row.value, MemberRow, step="read member")
        check_text("node", member.node)
        check_address("address", member.address)
        for text in (member.state.name, member.state.version):
            check_text("state", text or "-")
    except Malformed:
        return None
    return member if row.key == f"{MEMBER_PREFIX}{member.node}" else None


@attrs.define(eq=False)
class OwnRow:
    """Writes this node's row when its state changes or the store has lost it."""

    node: str
    address: str
    store: RowStore
    get_state: Callable[[], TargetState]
    is_stored: asyncio.Event = attrs.Factory(asyncio.Event)
    """Set once the row has been written or found."""
    _version: int | None = None
    _era: int = 0
    """The store's era when the row was last read or written."""
    _written_state: TargetState | None = None
    _write_requested: asyncio.Event = attrs.Factory(asyncio.Event)
    _lock: asyncio.Lock = attrs.Factory(asyncio.Lock)

    @property
    def key(self) -> str:
        """Return the key of the row."""
        return f"{MEMBER_PREFIX}{self.node}"

    def note(self, version: int, state: TargetState) -> bool:
        """Record that the row was read; return whether it was newer than known."""
        if self._version is not None and version <= self._version:
            return False
        self._version = version
        self._era = get_era(version)
        self._written_state = state
        return True

    def note_absent(self, era: int) -> None:
        """Record that the row was not found in `era`, unless it is known."""
        if self._version is None:
            self._version = ABSENT
            self._era = era

    def request_write(self) -> None:
        """Request a write, without waiting for it."""
        self._write_requested.set()

    async def keep(self) -> None:
        """Write the row whenever a write is requested, until cancelled."""
        while True:
            await self._write_requested.wait()
            self._write_requested.clear()
            pause = MIN_BACKOFF_SECONDS
            while not await self.write():
                await asyncio.sleep(pause)
                pause = min(MAX_BACKOFF_SECONDS, 2 * pause)

    def is_written(self, state: TargetState) -> bool:
        """Return whether the stored row has what it must have of `state`."""
        written = self._written_state
        return written is not None and _select_fields(written) == _select_fields(state)

    async def write(self) -> bool:
        """Write the row if needed; return whether the stored row is current."""
        async with self._lock:
            if self._version is None:
                return False
            if self._era != self.store.era and not await self._read():
                return False
            state = self.get_state()
            if self.is_written(state):
                self.is_stored.set()
                return True
            row = msgspec.json.encode(MemberRow(self.node, self.address, state))
            put = ConditionalPut(SYSTEM_TABLE, self.key, row, self._version)
            try:
                self._version = await self.store.write([put])
            except (ConditionFailed, AnswerLost):
                # The write may have taken effect. Only this node writes the row, so the
                # stored version and state can be adopted.
                await self._read()
                return False
            except CactusError:
                return False
            self._era = get_era(self._version)
            self._written_state = state
            self.is_stored.set()
            return True

    async def _read(self) -> bool:
        """Read the row; return whether the store has answered."""
        try:
            page = await self.store.read_table(SYSTEM_TABLE, self.key)
        except CactusError:
            return False
        self._era = get_era(page.version)
        self._version = ABSENT
        self._written_state = None
        for row in page.rows:
            if row.key == self.key:
                self._version = row.version
                member = decode_member(row)
                self._written_state = member.state if member else None
        return True

    async def remove(self) -> None:
        """Remove the row, because the node will not return."""
        async with self._lock:
            if self._era != self.store.era:
                await self._read()
            if not self._version:
                return
            try:
                await self.store.write(
                    [ConditionalPut(SYSTEM_TABLE, self.key, None, self._version)]
                )
            except CactusError as error:
                log_line("row-not-removed", cause=str(error))


def _select_fields(state: TargetState) -> tuple:
    """Return the fields whose change requires a write: the identity and the leave."""
    return (
        state.name,
        state.version,
        state.slots,
        state.start_time,
        state.leave_acknowledged,
    )
