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
from ..platform.rows import ABSENT, RowStore
from ..policy.errorevidence import ErrorEvidence
from ..policy.leases import LeaseTerms
from ..policy.rollout import COMPLETE, REVERTED, Move, advance_move
from .frames import MoveUpdate
from .moveevidence import MoveEvidence
from .moverows import read_move, read_moves, write_move
from .moves import Moves, TrackedMove, encode_move
from .peers import Peers
from .records import Records, StoredOrder

__all__ = ["MoveController"]

STEP_SECONDS = 0.25
"""Interval of the interim checks: a twentieth of the time allowed for a rollback."""
RENEW_SECONDS = 1.0
"""Interval at which the holder renews a row that has not changed."""
TAKEOVER_SECONDS = 2.5
"""Age of a row at which another node takes over the move: two missed renewals."""
RANK_DELAY_SECONDS = 0.5
"""Additional delay per rank of the node, so that two nodes don't take over one move."""


@attrs.define(eq=False)
class MoveController:
    """Executes the moves that this node holds, and takes over abandoned ones."""

    node: str
    store: RowStore
    records: Records
    peers: Peers
    moves: Moves
    evidence: MoveEvidence
    _orders_seen: dict[str, tuple[int, float]] = attrs.Factory(dict)
    """Version of each service's order, and the monotonic time it was first seen."""
    _era_seen: tuple[int, float] = (0, 0.0)
    """The store's era, and the monotonic time it was first seen."""

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
            if self._era_seen[0] != self.store.era:
                self._era_seen = (self.store.era, now)
            for service, order in list(self.records.orders.items()):
                self._note_order(service, order, now)
                try:
                    await self._process_order(service, order)
                except CactusError as error:
                    log_line("move-step-failed", service=service, cause=str(error))
            self.moves.report()

    def _note_order(self, service: str, order: StoredOrder, now: float) -> None:
        """Record when an order was first seen, in whatever era of the store."""
        version, seen_at = self._orders_seen.get(service, (ABSENT, now))
        if version != order.version:
            is_same = self.moves.renumber(service, order)
            self._orders_seen[service] = (order.version, seen_at if is_same else now)

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
            elif tracked.kept_in_era != self.store.era:
                await self._restore_row(tracked, now)
            return
        if is_current and tracked.move.holder == self.node:
            await self._advance(tracked, order)
            return
        since = tracked.updated_at if is_current else self._orders_seen[service][1]
        # An order that no node has begun to execute has no holder to wait for.
        length = TAKEOVER_SECONDS if is_current else 0.0
        terms = LeaseTerms(length, rank_delay=RANK_DELAY_SECONDS)
        is_abandoned = is_current and terms.may_take_over(since, now)
        if is_abandoned and now - tracked.read_at >= RENEW_SECONDS:
            # The holder may be well, but out of this node's reach.
            tracked.read_at = now
            _, has_advanced = await self._read_row(service, order)
            if has_advanced:
                return
        if not terms.may_take_over(since, now, self._get_node_rank()):
            return
        await self._take_over(service, order)

    async def _read_row(self, service: str, order: StoredOrder) -> tuple[int, bool]:
        """Return the row's version, and whether another node has advanced the move."""
        version, stored = await read_move(self.store, service)
        is_newer = stored is not None and self.moves.merge_move(stored, version)
        self.moves.renumber(service, order)
        tracked = self.moves.tracked.get(service)
        return version, is_newer and tracked.move.order >= order.version

    async def _take_over(self, service: str, order: StoredOrder) -> None:
        """Read the row, then start or continue the move as its holder."""
        version, has_advanced = await self._read_row(service, order)
        if has_advanced:
            return
        tracked = self.moves.tracked.get(service)
        if tracked is not None and tracked.move.order >= order.version:
            elapsed = self._get_elapsed(tracked)
            move = attrs.evolve(tracked.move, holder=self.node, elapsed=elapsed)
            tracked.version = version
        else:
            move = self._start_move(service, order, tracked)
            if tracked is None:
                tracked = self.moves.tracked[service] = TrackedMove(move)
            tracked.version = version
            tracked.checks = 0
            tracked.errors = ErrorEvidence()
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

    def _get_elapsed(self, tracked: TrackedMove) -> float:
        since_order = read_monotonic() - self._orders_seen[tracked.move.service][1]
        return max(tracked.get_elapsed(), since_order)

    async def _advance(self, tracked: TrackedMove, order: StoredOrder) -> None:
        now = read_monotonic()
        move = tracked.move
        advanced = advance_move(
            move,
            self._get_elapsed(tracked),
            reason=self.evidence.find_reason(tracked),
            has_targets=self.evidence.has_targets(move),
            is_drained=self.evidence.is_drained(tracked),
        )
        if advanced.state == REVERTED:
            self._roll_back(tracked, advanced)
            await self._write_rollback(tracked)
            return
        is_changed = _get_step(advanced) != _get_step(move)
        if is_changed or now - tracked.written_at > RENEW_SECONDS:
            await self._write(tracked, advanced)

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
            terms = LeaseTerms(TAKEOVER_SECONDS, rank_delay=TAKEOVER_SECONDS)
            now, rank = read_monotonic(), self._get_node_rank()
            if not terms.may_take_over(tracked.updated_at, now, rank):
                return
        version, stored = await read_move(self.store, tracked.move.service)
        tracked.version = version
        is_same = stored is not None and stored.order == tracked.move.order
        if is_same and stored.has_ended:
            tracked.written_at = read_monotonic()
            tracked.updated_at = min(tracked.updated_at, tracked.written_at)
            tracked.move = stored
            tracked.note_row(version)
            self.moves.apply_to_gate()
            return
        await self._write(tracked, attrs.evolve(tracked.move, holder=self.node))

    async def _restore_row(self, tracked: TrackedMove, now: float) -> None:
        """Write the end of a move again if the store has come back without it."""
        if tracked.move.holder != self.node:
            terms = LeaseTerms(TAKEOVER_SECONDS, rank_delay=TAKEOVER_SECONDS)
            rank = self._get_node_rank()
            if not terms.may_take_over(self._era_seen[1], now, rank):
                return
        version, stored = await read_move(self.store, tracked.move.service)
        tracked.version = version
        has_ended = stored is not None and stored.has_ended
        if has_ended and tracked.is_known(stored, version):
            tracked.note_row(version)
            self._broadcast_move(tracked)
        else:
            await self._write(tracked, attrs.evolve(tracked.move, holder=self.node))

    async def _write(self, tracked: TrackedMove, move: Move) -> None:
        """Write the move's row and the operator's status row, then broadcast the move.

        A write that fails or loses its condition is followed by a read of the row.
        """
        move = attrs.evolve(move, era=self.store.era)
        is_new = tracked.version == ABSENT or tracked.move.order != move.order
        with_status = is_new or move.has_ended or tracked.status_version is None
        try:
            version = await write_move(
                self.store, move, tracked.version, with_status=with_status
            )
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
        tracked.status_version = version
        tracked.written_at = read_monotonic()
        if move.state == REVERTED:
            tracked.updated_at = min(tracked.updated_at, tracked.written_at)
        step = _get_step(tracked.move)
        tracked.move = move
        tracked.note_row(version)
        if move.state != REVERTED:
            tracked.updated_at = tracked.written_at
        if step != _get_step(move):
            log_line(
                "move",
                service=move.service,
                to=move.to,
                source=move.source,
                state=move.state,
                stage=move.stage,
                share=move.share,
                elapsed=round(move.elapsed, 2),
                row=tracked.version,
            )
        self._broadcast_move(tracked)
        self.moves.apply_to_gate()

    async def _reload_row(self, tracked: TrackedMove) -> None:
        version, stored = await read_move(self.store, tracked.move.service)
        tracked.version = version
        if stored is not None and tracked.is_older_than(stored, version):
            if tracked.move.state != REVERTED or stored.has_ended:
                tracked.move = stored
                tracked.note_row(version)
            # The time of a row that is known runs since it was received.
            tracked.updated_at = read_monotonic()
        self.moves.apply_to_gate()

    async def _load_moves(self) -> None:
        """Read all moves from the store, retrying until it is reachable.

        Until then this node learns of moves from other nodes.
        """
        while True:
            try:
                stored = await read_moves(self.store)
                break
            except CactusError:
                # The task that follows the feed logs that the store is unreachable.
                self.moves.apply_to_gate()
                self.moves.report()
                await asyncio.sleep(STEP_SECONDS)
        for move, version in stored:
            self.moves.merge_move(move, version)


def _get_step(move: Move) -> tuple[str, int, float]:
    return move.state, move.stage, move.share
