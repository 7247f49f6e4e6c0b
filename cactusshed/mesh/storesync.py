"""Tasks that read the store: the operator's feed and the rows of the members."""

import asyncio
import random
from collections.abc import Callable

import attrs

from ..clock import read_monotonic
from ..errors import CactusError
from ..observe.counters import Counters
from ..observe.lines import log_line
from ..platform.rowkeys import MEMBER_PREFIX, OPERATOR_TABLE, SYSTEM_TABLE
from ..platform.rows import HistoryGone, RowStore, StoredRow
from ..policy.readtimes import ReadTimes
from ..store.versions import get_era
from .frames import TargetState
from .memberrow import (
    MAX_BACKOFF_SECONDS,
    MIN_BACKOFF_SECONDS,
    OwnRow,
    decode_member,
)
from .records import Records

__all__ = ["StoreSync"]

DISCOVERY_SECONDS = 0.15
"""Time for a starting node to find other nodes: some calls to the store."""
OLDER_READ_PAUSE_SECONDS = 0.2
"""Pause after a read of the whole table that was older than what is known, or than the
changes that the store still has. Reads may be some seconds behind."""
READER_CHECK_SECONDS = 0.1
"""Interval at which a follower checks whether it must read the store itself."""
FIRST_UPDATE_SECONDS = 0.6
"""Time for the first update from the reader: a complete document over the slowest
known links."""
MEMBERS_INTERVAL_SECONDS = 20.0
"""Interval between a reader's reads of the member rows; in between, nodes learn of new
members from their `Hello`."""
RESTORE_SECONDS = 1.0
"""Range of the random delay with which nodes read their rows after a return of the
store: all of them need to, and the store takes a limited number of calls a second."""
FOLLOWER_MEMBERS_SECONDS = 100.0
"""The same for the other nodes: less than the time after which a node is forgotten."""


@attrs.define(eq=False)
class StoreSync:
    """Follows the operator's feed and reads the members, this node's row included."""

    store: RowStore
    records: Records
    row: OwnRow
    times: ReadTimes
    counters: Counters
    on_member: Callable[[str, str], None]
    restore_state: Callable[[TargetState], None]
    is_reader: Callable[[], bool]
    """Returns whether this node must read the operator's rows itself."""
    note_store_answer: Callable[[], None]
    """Called each time the store has answered a read of the operator's rows."""
    note_store_failure: Callable[[], None]
    """Called each time such a read has failed."""
    has_read_store: asyncio.Event = attrs.Factory(asyncio.Event)
    is_reachable: bool = True
    _feed_seconds: float = 0.0
    """Long-poll time of the next feed call. The first call of a reader is answered at
    once, which shows the other nodes that it reads."""
    _has_followed: bool = False
    """Whether the feed has answered since all rows were last read."""
    _era: int | None = None
    """The store's era as of the last look at the records."""
    _settles_at: float | None = None
    """Time of the read that shows what is still missing after a return of the store."""
    _waiting_since: float | None = None
    """Start of the wait for the first update from the reader."""
    _refused_keys: set[str] = attrs.Factory(set)

    async def follow(self) -> None:
        """Keep the records up to date until cancelled."""
        # An existing reader may be found in this time, which saves a call.
        await asyncio.sleep(DISCOVERY_SECONDS)
        pause = MIN_BACKOFF_SECONDS
        is_full = self.records.revision == 0
        while True:
            if self.records.revision:
                self._note_era(get_era(self.records.revision))
            if self.records.revision and not self.is_reader():
                await asyncio.sleep(READER_CHECK_SECONDS)
                is_full = False
                self._feed_seconds = 0.0
                continue
            try:
                is_full = await self._read_operator_rows(
                    is_full or not self.records.revision
                )
                pause = MIN_BACKOFF_SECONDS
                self._note_reachable(True)
            except HistoryGone:
                log_line("history-gone", revision=self.records.revision)
                is_full = True
                if not self._has_followed:
                    await asyncio.sleep(OLDER_READ_PAUSE_SECONDS)
            except CactusError as error:
                self.note_store_failure()
                self._note_reachable(False, str(error))
                self._feed_seconds = 0.0
                await asyncio.sleep(pause * random.uniform(0.5, 1.0))  # noqa: S311
                pause = min(MAX_BACKOFF_SECONDS, 2 * pause)

    async def _read_operator_rows(self, is_full: bool) -> bool:
        if is_full and not self.is_reader() and not self._has_waited_for_reader():
            # The reader of this data centre is expected to send its update.
            await asyncio.sleep(READER_CHECK_SECONDS)
            return True
        if is_full or self._is_settled():
            if await self._read_all_rows():
                return False
            await asyncio.sleep(OLDER_READ_PAUSE_SECONDS)
            return True
        after = self.records.revision
        wait = self._feed_seconds
        if self._settles_at is not None:
            wait = min(wait, max(0.0, self._settles_at - read_monotonic()))
        page = await self.store.wait_for_changes(OPERATOR_TABLE, after, wait)
        self._feed_seconds = self.times.feed
        self._has_followed = True
        self.note_store_answer()
        self.records.apply_changes(page.rows, page.version)
        return False

    async def _read_all_rows(self) -> bool:
        """Read all rows; return false if they are older than what is known.

        The feed can't go on then: it may have passed changes of which it did not tell.
        """
        self._has_followed = False
        is_due = self._is_settled()
        # The version of this write makes other nodes take over the rows that follow.
        changed_at = await self.store.mark_era() if is_due else 0
        page = await self.store.read_table(OPERATOR_TABLE)
        self.note_store_answer()
        self.has_read_store.set()
        self._note_era(get_era(page.version))
        if self._settles_at is not None and not (is_due and self._is_settled()):
            return self.records.add_all(page.rows, page.version)
        if not self.records.replace_all(page.rows, page.version, changed_at):
            return False
        self._settles_at = None
        return True

    def _note_era(self, era: int) -> None:
        """Note the store's era, which another node may have been the first to see."""
        self.store.eras.note(era)
        if self._era is not None and era > self._era:
            self._settles_at = read_monotonic() + self.times.settle
            delay = random.uniform(0.0, RESTORE_SECONDS)  # noqa: S311
            asyncio.get_running_loop().call_later(delay, self.row.request_write)
        self._era = max(era, self._era or 0)

    def _is_settled(self) -> bool:
        """Return whether the read is due that ends the time after a return."""
        return self._settles_at is not None and read_monotonic() >= self._settles_at

    def _has_waited_for_reader(self) -> bool:
        """Return whether the reader's time for sending a first update is over."""
        if self._waiting_since is None:
            self._waiting_since = read_monotonic()
        return read_monotonic() - self._waiting_since > FIRST_UPDATE_SECONDS

    def _note_reachable(self, reachable: bool, cause: str = "") -> None:
        if reachable == self.is_reachable:
            return
        self.is_reachable = reachable
        event = "store-regained" if reachable else "store-lost"
        log_line(event, cause=cause, revision=self.records.revision)

    async def keep_members(self) -> None:
        """Read the member rows at startup and at intervals, until cancelled.

        The second read follows the write of this node's row, so that of two nodes that
        start together at least one finds the other.
        """
        await self._read_members()
        self.row.request_write()
        await self.row.is_stored.wait()
        read_at = float("-inf")
        while True:
            age = read_monotonic() - read_at
            if age >= FOLLOWER_MEMBERS_SECONDS or self.is_reader():
                await self._read_members()
                read_at = read_monotonic()
            await asyncio.sleep(MEMBERS_INTERVAL_SECONDS)

    async def _read_members(self) -> None:
        pause = MIN_BACKOFF_SECONDS
        while True:
            try:
                page = await self.store.read_table(SYSTEM_TABLE, MEMBER_PREFIX)
                break
            except CactusError:
                # The task that follows the feed logs that the store is unreachable.
                await asyncio.sleep(pause)
                pause = min(MAX_BACKOFF_SECONDS, 2 * pause)
        for row in page.rows:
            self._apply_member_row(row)
        self.row.note_absent(get_era(page.version))

    def _apply_member_row(self, row: StoredRow) -> None:
        member = decode_member(row)
        if member is None:
            self.counters.add("member_rows_refused")
            if row.key not in self._refused_keys:
                self._refused_keys.add(row.key)
                log_line("member-row-refused", key=row.key)
            return
        if member.node == self.row.node:
            if self.row.note(row.version, member.state):
                self.restore_state(member.state)
            return
        self.on_member(member.node, member.address)
