"""Execution of the operator's orders to move a service to another version.

The row of a move in the store serves as its lease: the holder advances the move by
conditional writes to the row, and any node takes over a row that is no longer
renewed. A move to a version that fails the comparison is rolled back at once, even
while the store is unavailable; the row is written when the store is reachable again.
"""

import asyncio

import attrs

from ..clock import read_monotonic
from ..errors import CactusError, ConditionFailed
from ..observe.lines import log_line
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
from ..policy.comparison import compare_versions
from ..policy.rollout import CLOSING, COMPLETE, REVERTED, Move, advance_move
from .frames import MoveUpdate
from .gate import Gate
from .moves import Moves, TrackedMove, decode_move, encode_move
from .peers import Peers
from .records import Records, StoredOrder
from .tallies import make_samples

__all__ = ["MoveController"]

STEP_SECONDS = 0.25
"""Interval of the interim checks: a twentieth of the time allowed for a rollback."""
RENEW_SECONDS = 1.0
"""Interval at which the holder renews a row that has not changed."""
TAKEOVER_SECONDS = 2.5
"""Age of a row at which another node takes over the move: two missed renewals."""
RANK_DELAY_SECONDS = 0.5
"""Additional delay per rank of the node, so that two nodes don't take over one move."""
MIN_CLOSING_SECONDS = 0.6
"""Minimum time for which the old version is closed before the move completes: the
time for one update of the move and two reports of the gates."""
MAX_REPORT_AGE_SECONDS = 1.5
"""Age above which the report of a gate counts as missing."""
MOVE_ROW_PREFIX = "move/"


@attrs.define(eq=False)
class MoveController:
    """Executes the moves that this node holds, and takes over abandoned ones."""

    node: str
    service: str
    store: RowStore
    records: Records
    gate: Gate
    peers: Peers
    moves: Moves
    _orders_seen: dict[str, tuple[int, float]] = attrs.Factory(dict)
    """Version of each service's order, and the monotonic time it was first seen."""

    async def run(self) -> None:
        """Execute orders until cancelled."""
        while not self.records.orders:
            # Without orders there are no moves to read from the store.
            await asyncio.sleep(STEP_SECONDS)
            self.moves.apply_to_gate()
        await self._load_moves()
        while True:
            await asyncio.sleep(STEP_SECONDS)
            self.moves.apply_to_gate()
            now = read_monotonic()
            for service, order in list(self.records.orders.items()):
                if self._orders_seen.get(service, (0, 0.0))[0] != order.version:
                    self._orders_seen[service] = (order.version, now)
                try:
                    await self._process_order(service, order)
                except CactusError as error:
                    log_line("move-step-failed", service=service, cause=str(error))
            self.moves.report()

    def _get_node_rank(self) -> int:
        """Return the number of live nodes whose names sort before this one's."""
        names = [m.node for m in self.peers.members.values() if m.is_up]
        return sum(name < self.node for name in names)

    async def _process_order(self, service: str, order: StoredOrder) -> None:
        now = read_monotonic()
        tracked = self.moves.tracked.get(service)
        is_current = tracked is not None and tracked.move.order >= order.version
        if is_current and tracked.move.has_ended:
            if (
                tracked.move.state == REVERTED
                and tracked.written_at < tracked.updated_at
            ):
                await self._write_rollback(tracked)
            return
        if is_current and tracked.move.holder == self.node:
            await self._advance(tracked, order)
            return
        since = tracked.updated_at if is_current else self._orders_seen[service][1]
        takeover_delay = TAKEOVER_SECONDS if is_current else 0.0
        if now - since < takeover_delay + RANK_DELAY_SECONDS * self._get_node_rank():
            return
        await self._take_over(service, order)

    async def _take_over(self, service: str, order: StoredOrder) -> None:
        """Read the row, then start or continue the move as its holder."""
        page = await self.store.read_table(SYSTEM_TABLE, f"{MOVE_ROW_PREFIX}{service}")
        rows = [row for row in page.rows if row.key == f"{MOVE_ROW_PREFIX}{service}"]
        version = rows[0].version if rows else ABSENT
        stored = decode_move(rows[0].value) if rows else None
        is_newer = stored is not None and self.moves.merge_move(stored, version)
        if is_newer and stored.order >= order.version:
            # Another node has advanced or ended the move in the meantime.
            return
        tracked = self.moves.tracked.get(service)
        if tracked is not None and tracked.move.order >= order.version:
            move = attrs.evolve(tracked.move, holder=self.node)
            tracked.version = version
        else:
            move = self._start_move(service, order, tracked)
            if tracked is None:
                tracked = self.moves.tracked[service] = TrackedMove(move)
            tracked.version = version
            tracked.checks = 0
        await self._write(tracked, move)

    def _start_move(
        self, service: str, order: StoredOrder, tracked: TrackedMove | None
    ) -> Move:
        request = order.order
        source = self.moves.find_source(service, order)
        if tracked is not None:
            previous = tracked.move
            source = previous.to if previous.state == COMPLETE else previous.source
        self.moves.reports.clear()
        return Move(
            service=service,
            to=request.to,
            source=source,
            order=order.version,
            seconds=request.seconds,
            holder=self.node,
        )

    async def _advance(self, tracked: TrackedMove, order: StoredOrder) -> None:
        now = read_monotonic()
        move = tracked.move
        elapsed = move.elapsed + now - tracked.updated_at
        elapsed = max(elapsed, now - self._orders_seen[move.service][1])
        reason = self._compare_versions(tracked)
        advanced = advance_move(
            move,
            elapsed,
            reason=reason,
            has_targets=self._has_targets(move),
            is_drained=self._is_drained(tracked),
        )
        if advanced.state == REVERTED:
            self._roll_back(tracked, advanced)
            await self._write_rollback(tracked)
            return
        is_changed = (advanced.state, advanced.share) != (move.state, move.share)
        if is_changed or now - tracked.written_at > RENEW_SECONDS:
            await self._write(tracked, advanced)

    def _compare_versions(self, tracked: TrackedMove) -> str:
        """Return the reason to reject the new version, or '' if there is none."""
        move = tracked.move
        now = read_monotonic()
        reports = [
            report
            for report, received in self.moves.reports.values()
            if report.service == move.service
        ]
        old = make_samples([r for r in reports if r.version == move.source])
        new = make_samples([r for r in reports if r.version == move.to])
        tracked.checks += 1
        comparison = compare_versions(old, new, tracked.checks)
        if comparison.bad:
            log_line(
                "version-bad",
                service=move.service,
                version=move.to,
                reason=comparison.reason,
                look=tracked.checks,
                oldest_report_ms=int(
                    1000
                    * max(
                        (now - received for _, received in self.moves.reports.values())
                    )
                ),
            )
        return comparison.reason if comparison.bad else ""

    def _has_targets(self, move: Move) -> bool:
        return any(
            state.is_open and state.version == move.to
            for state in self.moves.list_targets(move.service)
        )

    def _is_drained(self, tracked: TrackedMove) -> bool:
        """Return whether all gates of the old version report no running calls."""
        move = tracked.move
        now = read_monotonic()
        if move.state != CLOSING:
            tracked.last_open_at = now
            return False
        if now - tracked.last_open_at < MIN_CLOSING_SECONDS:
            return False
        names = [
            member.node
            for member in self.peers.list_connected(move.service)
            if member.state.version == move.source
            and not member.state.leave_acknowledged
        ]
        if move.service == self.service and self.gate.version == move.source:
            names.append(self.node)
        for name in names:
            report, received = self.moves.reports.get(name, (None, 0.0))
            if (
                report is None
                or now - received > MAX_REPORT_AGE_SECONDS
                or report.running
            ):
                return False
        return True

    def _roll_back(self, tracked: TrackedMove, move: Move) -> None:
        """Stop using a bad version on all nodes, before the row is written."""
        tracked.move = move
        tracked.updated_at = read_monotonic()
        log_line("move", service=move.service, state=REVERTED, reason=move.reason)
        self._broadcast_move(tracked)
        self.moves.apply_to_gate()

    def _broadcast_move(self, tracked: TrackedMove) -> None:
        self.peers.broadcast(MoveUpdate(encode_move(tracked.move), tracked.version))

    async def _write_rollback(self, tracked: TrackedMove) -> None:
        if tracked.move.holder != self.node:
            takeover_delay = TAKEOVER_SECONDS * (1 + self._get_node_rank())
            if read_monotonic() - tracked.updated_at < takeover_delay:
                return
        page = await self.store.read_table(
            SYSTEM_TABLE, f"{MOVE_ROW_PREFIX}{tracked.move.service}"
        )
        for row in page.rows:
            tracked.version = row.version
            stored = decode_move(row.value)
            is_same = stored is not None and stored.order == tracked.move.order
            if is_same and stored.has_ended:
                tracked.written_at = read_monotonic()
                tracked.updated_at = min(tracked.updated_at, tracked.written_at)
                tracked.move = stored
                self.moves.apply_to_gate()
                return
        await self._write(tracked, attrs.evolve(tracked.move, holder=self.node))

    async def _write(self, tracked: TrackedMove, move: Move) -> None:
        """Write the move's row and the operator's status row, then broadcast the move.

        A write that fails or loses its condition is followed by a read of the row.
        """
        puts = [
            ConditionalPut(
                SYSTEM_TABLE,
                f"{MOVE_ROW_PREFIX}{move.service}",
                encode_move(move),
                tracked.version,
            )
        ]
        status = _choose_status(move)
        is_new = tracked.version == ABSENT or tracked.move.order != move.order
        if is_new or move.has_ended or tracked.status_version is None:
            version = await self._read_status(move.service)
            key = make_status_key(move.service)
            puts.append(
                ConditionalPut(
                    STATUS_TABLE, key, encode_status(status, move.to), version
                )
            )
        try:
            tracked.version = await self.store.write(puts)
        except ConditionFailed:
            log_line("move-overtaken", service=move.service, state=move.state)
            tracked.updated_at = read_monotonic()
            tracked.status_version = None
            await self._reload_row(tracked)
            return
        except CactusError:
            # The write may still take effect: read the row before the next step.
            tracked.status_version = None
            await self._reload_row(tracked)
            raise
        tracked.status_version = tracked.version
        tracked.written_at = read_monotonic()
        if move.state == REVERTED:
            tracked.updated_at = min(tracked.updated_at, tracked.written_at)
        state = (tracked.move.state, tracked.move.share)
        tracked.move = move
        if move.state != REVERTED:
            tracked.updated_at = tracked.written_at
        if state != (move.state, move.share):
            log_line(
                "move",
                service=move.service,
                to=move.to,
                source=move.source,
                state=move.state,
                share=move.share,
                elapsed=round(move.elapsed, 2),
                row=tracked.version,
            )
        self._broadcast_move(tracked)
        self.moves.apply_to_gate()

    async def _reload_row(self, tracked: TrackedMove) -> None:
        service = tracked.move.service
        page = await self.store.read_table(SYSTEM_TABLE, f"{MOVE_ROW_PREFIX}{service}")
        for row in page.rows:
            stored = decode_move(row.value)
            if row.key == f"{MOVE_ROW_PREFIX}{service}" and stored is not None:
                if tracked.move.state != REVERTED or stored.has_ended:
                    tracked.move = stored
                tracked.version = row.version
                tracked.updated_at = read_monotonic()
        self.moves.apply_to_gate()

    async def _read_status(self, service: str) -> int:
        key = make_status_key(service)
        page = await self.store.read_table(STATUS_TABLE, key)
        return next((row.version for row in page.rows if row.key == key), ABSENT)

    async def _load_moves(self) -> None:
        """Read all moves from the store, retrying until it is reachable.

        Until then this node learns of moves from other nodes.
        """
        while True:
            try:
                page = await self.store.read_table(SYSTEM_TABLE, MOVE_ROW_PREFIX)
                break
            except CactusError:
                # The task that follows the feed logs that the store is unreachable.
                self.moves.apply_to_gate()
                self.moves.report()
                await asyncio.sleep(STEP_SECONDS)
        for row in page.rows:
            move = decode_move(row.value)
            if move is not None:
                self.moves.merge_move(move, row.version)


def _choose_status(move: Move) -> str:
    if move.state == COMPLETE:
        return STATUS_COMPLETE
    return STATUS_RETURNED if move.state == REVERTED else STATUS_RUNNING
