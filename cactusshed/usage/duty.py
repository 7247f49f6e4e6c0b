"""The duty to report usage: its lease, and the windows fixed in its row.

The row is both the lease and the record of the counts. The holder renews it by
conditional writes, each of which also fixes the counts of the windows that are final
and removes those that the platform has acknowledged.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

import attrs

from ..clock import read_monotonic
from ..errors import AnswerLost, CactusError, ConditionFailed
from ..mesh.member import Member
from ..nodesettings import UsageSettings
from ..observe.counters import Counters
from ..observe.lines import log_line
from ..platform.rows import ABSENT, RowStore
from ..policy.leases import choose_next_token
from ..policy.truetime import TrueTime
from ..policy.usagelease import (
    DutyWatch,
    LeaseTimes,
    find_rank,
    is_minority,
    rank_nodes,
)
from ..policy.usagewindows import MAX_KEPT_WINDOWS, WindowTotals, find_final_windows
from ..store.lease import Lease
from ..store.versions import get_era
from .dutyrow import DUTY_KEY, DutyRow, read_duty, write_duty
from .frames import UsageHolder

__all__ = ["UsageDuty"]

STEP_SECONDS = 0.1
"""Interval at which the holder looks for work: a fiftieth of a window."""
RETRY_SECONDS = 0.5
"""Pause after a failed call to the store."""


@attrs.define(eq=False)
class UsageDuty:
    """Takes and keeps the duty on one node.

    `list_members` returns the other nodes, `broadcast` sends a frame to them all.
    `get_fleet_time` returns the true time most nodes agree on at a boot time, or `None`
    while too few have stated theirs.
    """

    node: str
    start_time: int
    settings: UsageSettings
    store: RowStore
    list_members: Callable[[], Iterable[Member]]
    broadcast: Callable[[UsageHolder], object]
    clock: TrueTime
    totals: WindowTotals
    get_fleet_time: Callable[[float], float | None]
    counters: Counters
    read_boottime: Callable[[], float]
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
    is_leaving: bool = False
    watch: DutyWatch = attrs.field(init=False)
    lease: Lease | None = None
    row: DutyRow | None = None
    """The row as of `lease.row_version`."""
    acknowledged: set[int] = attrs.Factory(set)
    """Windows in the row that the platform has acknowledged."""
    unreachable_since: float | None = None
    """When the first of several reports without any answer was sent."""
    _pending: tuple[DutyRow, float] | None = None
    """The last row whose write may take effect, and when the write started."""
    _writes: int = 0
    _must_read: bool = False
    _is_weak: bool = False
    """Whether the duty was taken without reaching half of the fleet."""
    _acquired_at: float = 0.0
    _written_at: float = float("-inf")
    """Start of the last attempt to write the row."""
    _retry_at: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        """Start watching the row."""
        self.watch = DutyWatch(LeaseTimes(self.settings.lease), self.read_boottime())

    # The lease.

    async def keep_lease(self) -> None:
        """Renew the lease, or take it over when it is due, until cancelled."""
        while True:
            await self.sleep(STEP_SECONDS)
            try:
                await self._step()
            except CactusError as error:
                log_line("duty-step-failed", cause=str(error))
                self._retry_at = self.read_boottime() + RETRY_SECONDS

    async def _step(self) -> None:
        now = self.read_boottime()
        if now < self._retry_at:
            return
        if self.lease is None:
            await self._take_over_if_due(now)
            return
        cause = self._find_resign_cause(now)
        if cause:
            self._lose_lease(cause)
            self.watch.rest(now)
            return
        if self._must_read:
            await self._reload()
        elif now - self._written_at >= self.watch.times.renew:
            await self._renew(now)

    def _find_resign_cause(self, now: float) -> str:
        """Return why another node should have the duty; empty if none should.

        The lease is never released early: the other nodes wait for its end.
        """
        if self.is_leaving:
            return "leaving"
        up, known = self._count_nodes()
        if not self._is_weak and is_minority(up, known):
            return "cut off from most nodes"
        since = self.unreachable_since
        if since is not None and now - since > self.watch.times.unreachable and up > 1:
            return "platform unreachable"
        return ""

    def _count_nodes(self) -> tuple[int, int]:
        members = list(self.list_members())
        return 1 + sum(member.is_up for member in members), 1 + len(members)

    def _list_candidates(self) -> list[str]:
        return [m.node for m in self.list_members() if m.is_up and not m.is_leaving]

    def note_holder(self, frame: UsageHolder) -> bool:
        """Record what another node says of the row; return whether it is news."""
        now = self.read_boottime()
        if not self.watch.note(
            frame.holder, frame.token, frame.version, now, frame.first
        ):
            return False
        if self.lease is not None and frame.token > self.lease.epoch:
            self._lose_lease("taken over")
        return True

    async def _take_over_if_due(self, now: float) -> None:
        if self.is_leaving:
            return
        names = self._list_candidates()
        up, known = self._count_nodes()
        is_weak = is_minority(up, known)
        rank = find_rank(self.node, names)
        if not self.watch.is_due(now, rank, is_weak=is_weak):
            return
        self.watch.postpone(now, 1 + len(names))
        version, row = await read_duty(self.store)
        now = self.read_boottime()
        if version != ABSENT:
            first = row.find_unreported()
            if self.watch.note(row.holder, row.token, version, now, first):
                # The holder may be well, but out of this node's reach; other nodes in
                # the same place need not read the row.
                self.broadcast(UsageHolder(row.holder, row.token, version, first))
                return
            if not self.watch.may_take(version, now):
                return
        row = row or DutyRow(self.node, self.start_time, 0)
        token = choose_next_token(max(row.token, self.watch.token))
        self._is_weak = is_weak
        self.acknowledged.clear()
        self.unreachable_since = None
        # The standby has the other nodes' counts already.
        first, fixed = self._choose_content(row, now, 0.0)
        await self._write(first, fixed, token, version)

    async def _renew(self, now: float) -> None:
        first, fixed = self._choose_content(self.row, now, now - self._acquired_at)
        await self._write(first, fixed, self.row.token, self.lease.row_version)

    def _choose_content(
        self, row: DutyRow, now: float, held_for: float
    ) -> tuple[int, dict[int, dict[str, int]]]:
        """Return the first window that the next write does not fix, and the fixed ones.

        `held_for` is the time for which this node has had the duty.
        """
        fixed = {w: c for w, c in row.fixed.items() if w not in self.acknowledged}
        # After a return of the store the row may be older than what nodes know of it.
        known_first = max(row.first, self.watch.first)
        final = self._find_final(known_first, len(fixed), now, held_for)
        return max(final) + 1 if final else known_first, {**fixed, **final}

    def _find_final(
        self, known_first: int, held: int, now: float, held_for: float
    ) -> dict[int, dict[str, int]]:
        """Return the counts of the windows that can be fixed by the next write."""
        if not self.clock.is_settled(now):
            return {}
        true_time = now + self.clock.get_offset()
        seconds = self.settings.window
        current = int(true_time // seconds)
        own_start = int((self.clock.started_at + self.clock.get_offset()) // seconds)
        found = self.totals.find_first()
        first = known_first or min(own_start, own_start if found is None else found)
        awaited = [m.node for m in self.list_members() if self._is_awaited(m)]
        return find_final_windows(
            self.totals,
            first=max(first, current - MAX_KEPT_WINDOWS),
            held=held,
            now=true_time,
            seconds=seconds,
            due=self.settings.due,
            nodes=[self.node, *awaited],
            held_for=held_for,
        )

    def _is_awaited(self, member: Member) -> bool:
        """Return whether a node's counts may come, perhaps after a short cut."""
        lost_for = 0.0 if member.is_up else read_monotonic() - member.last_seen
        return lost_for < self.settings.due and (member.is_up or not member.is_leaving)

    async def _write(
        self, first: int, fixed: dict[int, dict[str, int]], token: int, version: int
    ) -> None:
        """Write the row in order to take or renew the lease.

        A write that may take effect later is followed by a read before the next step.
        """
        started = self._written_at = self.read_boottime()
        self._writes += 1
        row = DutyRow(
            self.node,
            self.start_time,
            token,
            first,
            self._writes,
            fixed,
            self.store.era,
        )
        self._pending = (row, started)
        try:
            written = await write_duty(self.store, row, version)
        except (ConditionFailed, AnswerLost):
            self._must_read = True
            await self._reload()
            return
        self._adopt(row, written, started)

    async def _reload(self) -> None:
        """Read the row after a write whose effect is unknown."""
        version, row = await read_duty(self.store)
        self._must_read = False
        if self._is_lost(row):
            log_line("duty-row-lost", row=version, known=self.lease.row_version)
            await self._write(self.row.first, self.row.fixed, self.row.token, version)
            return
        if not self._is_own(row):
            if row is not None:
                now = self.read_boottime()
                first = row.find_unreported()
                self.watch.note(row.holder, row.token, version, now, first)
            self._lose_lease("overtaken")
            return
        pending, started = self._pending
        if row == pending:
            self._adopt(row, version, started)
        else:
            # An earlier write of this node has taken effect, at an unknown time.
            self._written_at = float("-inf")
            self._adopt(row, version, None)

    def _is_lost(self, row: DutyRow | None) -> bool:
        """Return whether the store has come back without this node's last write.

        Once the lease has ended, another node's write may have been lost, too, unless
        the row is an earlier one of this node.
        """
        lease = self.lease
        if lease is None or self.store.era == get_era(lease.row_version):
            return False
        if row is not None and (row == self._pending[0] or row.era == self.store.era):
            return False
        return self._is_own(row) or lease.is_live(self.read_boottime())

    def _is_own(self, row: DutyRow | None) -> bool:
        """Return whether this process has written a row."""
        return row is not None and (row.holder, row.start_time) == (
            self.node,
            self.start_time,
        )

    def _adopt(self, row: DutyRow, version: int, started: float | None) -> None:
        """Hold the lease of a row of this node, whose write began at `started`."""
        before = self.lease
        valid_until = before.valid_until if before is not None else float("-inf")
        if started is not None:
            act_end = self.watch.times.terms.compute_act_end(started)
            valid_until = max(valid_until, act_end)
        self.lease = Lease(DUTY_KEY, self.node, row.token, version, valid_until)
        self.row = row
        self.acknowledged &= row.fixed.keys()
        now = self.read_boottime()
        first = row.find_unreported(self.acknowledged)
        self.watch.note(self.node, row.token, version, now, first)
        self.totals.drop_before(first)
        if before is None:
            self._acquired_at = now
            self.counters.add("duty_taken")
            log_line("duty-taken", token=row.token, row=version, held=len(row.fixed))
        self.broadcast_state(now)

    def broadcast_state(self, now: float) -> None:
        """Tell all nodes which version of the row this node has written."""
        fleet_time = self.get_fleet_time(now)
        candidates = rank_nodes(self._list_candidates())
        self.broadcast(
            UsageHolder(
                self.node,
                self.row.token,
                self.lease.row_version,
                self.row.find_unreported(self.acknowledged),
                candidates[0] if candidates else "",
                0 if fleet_time is None else int(fleet_time * 1000),
            )
        )

    def _lose_lease(self, cause: str) -> None:
        if self.lease is not None:
            self.counters.add("duty_lost")
            log_line("duty-lost", cause=cause, token=self.lease.epoch)
        self.lease = self.row = None
        self._must_read = False
