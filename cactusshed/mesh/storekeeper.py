"""The tasks that talk to the store: the operator's feed and this node's own row."""

import asyncio
import random
from collections.abc import Callable

import attrs
import msgspec

from ..clock import read_monotonic
from ..errors import AnswerLost, CactusError, ConditionFailed
from ..observe.counters import Counters
from ..observe.lines import log_line
from ..platform.orders import MEMBER_PREFIX, ORDERS, OWN_TABLE
from ..platform.rows import ABSENT, HistoryGone, Put, RowStore, StoredRow
from .frames import TargetState
from .records import Records

__all__ = ["MemberRow", "Storekeeper", "decode_member"]

FEED_SECONDS = 2.0
"""Wait of one feed call: a dead connection is noticed within the users' bound."""
FIND_SECONDS = 0.15
"""Time for a starting node to find its neighbours: some calls to the store."""
FOLLOW_SECONDS = 0.1
"""Time between two looks whether this node has to read."""
FIRST_UPDATE_SECONDS = 0.6
"""Time for the first update: a whole document over the slowest links known."""
FIRST_PAUSE_SECONDS = 0.05
LAST_PAUSE_SECONDS = 0.5
"""Longest pause after a failure: entries are back soon after the store is."""
MEMBERS_SECONDS = 20.0
"""Time between two readings of the members: greetings spread them otherwise."""


class MemberRow(msgspec.Struct, frozen=True):
    """A node's entry in the store."""

    node: str
    address: str
    state: TargetState


def decode_member(row: StoredRow) -> MemberRow | None:
    """Return the entry in a row; `None` for one that can't be read."""
    try:
        return msgspec.json.decode(row.value, type=MemberRow)
    except (msgspec.DecodeError, ValueError):
        return None


@attrs.define(eq=False)
class Storekeeper:
    """State of this node's dealings with the store."""

    node: str
    address: str
    store: RowStore
    records: Records
    counters: Counters
    on_member: Callable[[str, str], None]
    get_state: Callable[[], TargetState]
    remember: Callable[[TargetState], None]
    is_reader: Callable[[], bool]
    """Returns whether this node reads the operator's rows itself."""
    confirm: Callable[[], None]
    """Told each time the store has answered."""
    has_asked: asyncio.Event = attrs.Factory(asyncio.Event)
    is_reachable: bool = True
    _asked_since: float | None = None
    _version: int | None = None
    _wanted: asyncio.Event = attrs.Factory(asyncio.Event)
    _lock: asyncio.Lock = attrs.Factory(asyncio.Lock)
    _written: TargetState | None = None
    _row_written: asyncio.Event = attrs.Factory(asyncio.Event)
    _bad: set[str] = attrs.Factory(set)

    @property
    def key(self) -> str:
        """Return the key of this node's row."""
        return f"{MEMBER_PREFIX}{self.node}"

    async def follow(self) -> None:
        """Keep the records up to date until cancelled."""
        # Whoever reads here already may be found before that costs a call.
        await asyncio.sleep(FIND_SECONDS)
        pause = FIRST_PAUSE_SECONDS
        whole = self.records.revision == 0
        while True:
            if self.records.revision and not self.is_reader():
                await asyncio.sleep(FOLLOW_SECONDS)
                whole = False
                continue
            try:
                whole = await self._read_orders(whole or not self.records.revision)
                pause = FIRST_PAUSE_SECONDS
                self._note_reachable(True)
            except HistoryGone:
                log_line("history-gone", revision=self.records.revision)
                whole = True
            except CactusError as error:
                self._note_reachable(False, str(error))
                await asyncio.sleep(pause * random.uniform(0.5, 1.0))  # noqa: S311
                pause = min(LAST_PAUSE_SECONDS, 2 * pause)

    async def _read_orders(self, whole: bool) -> bool:
        if whole and not self.is_reader() and not self._is_impatient():
            # The reader of this data centre sends its update at its own pace.
            await asyncio.sleep(FOLLOW_SECONDS)
            return True
        if whole:
            page = await self.store.read_table(ORDERS)
            self.confirm()
            self.records.take_all(page.rows, page.version)
            self.has_asked.set()
            return False
        after = self.records.revision
        page = await self.store.follow(ORDERS, after, FEED_SECONDS)
        self.confirm()
        self.records.take_changes(page.rows, page.version)
        return False

    def _is_impatient(self) -> bool:
        """Return whether the reader has had its time for a first update."""
        if self._asked_since is None:
            self._asked_since = read_monotonic()
        return read_monotonic() - self._asked_since > FIRST_UPDATE_SECONDS

    def _note_reachable(self, reachable: bool, cause: str = "") -> None:
        if reachable == self.is_reachable:
            return
        self.is_reachable = reachable
        event = "store-regained" if reachable else "store-lost"
        log_line(event, cause=cause, revision=self.records.revision)

    async def keep_members(self) -> None:
        """Read the members at start and now and then, until cancelled.

        The second reading follows the writing of the own row: of two nodes that
        start together at least one then finds the other.
        """
        await self._read_members()
        self.want_row()
        await self._row_written.wait()
        while True:
            await self._read_members()
            await asyncio.sleep(MEMBERS_SECONDS)

    async def _read_members(self) -> None:
        pause = FIRST_PAUSE_SECONDS
        while True:
            try:
                page = await self.store.read_table(OWN_TABLE, MEMBER_PREFIX)
                break
            except CactusError:
                # The feed's task logs that the store is away.
                await asyncio.sleep(pause)
                pause = min(LAST_PAUSE_SECONDS, 2 * pause)
        for row in page.rows:
            self._take_member(row)
        if self._version is None:
            self._version = ABSENT

    def _take_member(self, row: StoredRow) -> None:
        member = decode_member(row)
        if member is None:
            self.counters.add("member_rows_refused")
            if row.key not in self._bad:
                self._bad.add(row.key)
                log_line("member-row-refused", key=row.key)
            return
        if member.node == self.node:
            if self._version is None or row.version > self._version:
                self._version = row.version
                self._written = member.state
                self.remember(member.state)
            return
        self.on_member(member.node, member.address)

    # The own row.

    def want_row(self) -> None:
        """Have the own row written soon."""
        self._wanted.set()

    async def keep_row(self) -> None:
        """Write the own row whenever it is wanted, until cancelled."""
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            pause = FIRST_PAUSE_SECONDS
            while not await self.write_row():
                await asyncio.sleep(pause)
                pause = min(LAST_PAUSE_SECONDS, 2 * pause)

    def _is_written(self, state: TargetState) -> bool:
        known = self._written
        return known is not None and _strip(known) == _strip(state)

    async def write_row(self) -> bool:
        """Write the own row; return whether the store has it as it is now."""
        async with self._lock:
            if self._version is None:
                return False
            state = self.get_state()
            if self._is_written(state):
                self._row_written.set()
                return True
            row = msgspec.json.encode(MemberRow(self.node, self.address, state))
            put = Put(OWN_TABLE, self.key, row, self._version)
            try:
                self._version = await self.store.write([put])
            except (ConditionFailed, AnswerLost):
                # Whatever the row is now decides; it is this node's alone.
                await self._read_row()
                return False
            except CactusError:
                return False
            self._written = state
            self._row_written.set()
            return True

    async def _read_row(self) -> None:
        try:
            page = await self.store.read_table(OWN_TABLE, self.key)
        except CactusError:
            return
        self._version = ABSENT
        self._written = None
        for row in page.rows:
            if row.key == self.key:
                self._version = row.version
                member = decode_member(row)
                self._written = member.state if member else None

    async def remove_row(self) -> None:
        """Remove the own row: this node will not come back."""
        async with self._lock:
            if not self._version:
                return
            try:
                await self.store.write([Put(OWN_TABLE, self.key, None, self._version)])
            except CactusError as error:
                log_line("row-not-removed", cause=str(error))


def _strip(state: TargetState) -> tuple:
    """Return what the row is for: the target's identity and whether it left."""
    return (
        state.name,
        state.version,
        state.slots,
        state.born,
        state.has_left,
    )
