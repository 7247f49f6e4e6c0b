"""Carrying out the operator's orders to move a service to another version.

The move's row in the store is its lease: whoever advances it writes it under the
condition that nobody else has. Any node takes over a row that stands still. A
version found bad is given up at once, also while the store is away; the row
follows when the store is back.
"""

import asyncio

import attrs

from ..clock import read_monotonic
from ..errors import CactusError, ConditionFailed
from ..observe.lines import log_line
from ..platform.orders import COMPLETE as TOLD_COMPLETE
from ..platform.orders import OWN_TABLE, STATUS, encode_status, make_status_key
from ..platform.orders import RETURNED as TOLD_RETURNED
from ..platform.orders import RUNNING as TOLD_RUNNING
from ..platform.rows import ABSENT, Put, RowStore
from ..policy.ramp import CLOSING, COMPLETE, RETURNED, Move, advance_move
from ..policy.verdict import judge_version
from .evidence import make_samples
from .frames import MoveNews
from .gate import Gate
from .moves import Known, Moves, decode_move, encode_move
from .peers import Peers
from .records import Order, Records

__all__ = ["MoveKeeper"]

STEP_SECONDS = 0.25
"""Time between two looks at the evidence: a twentieth of the time to take back."""
RENEW_SECONDS = 1.0
"""Time after which the holder writes a row that has not changed."""
TAKE_OVER_SECONDS = 2.5
"""Age of a row at which another node takes the move over: two missed renewals."""
RANK_SECONDS = 0.5
"""Further wait of each next node in rank, so that they don't race."""
DRAINED_SECONDS = 0.6
"""Least time for which the old version is closed: news and two reports."""
REPORT_SECONDS = 1.5
"""Age above which a gate's report counts as missing."""
PREFIX = "move/"


@attrs.define(eq=False)
class MoveKeeper:
    """The duty of carrying out moves; any node may come to hold one."""

    node: str
    service: str
    store: RowStore
    records: Records
    gate: Gate
    peers: Peers
    moves: Moves
    _ordered: dict[str, tuple[int, float]] = attrs.Factory(dict)
    """Version of each order, and when it was first seen."""

    async def run(self) -> None:
        """Carry out orders until cancelled."""
        while not self.records.orders:
            # Without orders there are no moves, and reading them would be in vain.
            await asyncio.sleep(STEP_SECONDS)
            self.moves.apply()
        await self._load()
        while True:
            await asyncio.sleep(STEP_SECONDS)
            self.moves.apply()
            now = read_monotonic()
            for service, order in list(self.records.orders.items()):
                if self._ordered.get(service, (0, 0.0))[0] != order.version:
                    self._ordered[service] = (order.version, now)
                try:
                    await self._look_after(service, order)
                except CactusError as error:
                    log_line("move-step-failed", service=service, cause=str(error))
            self.moves.report()

    def _rank(self) -> int:
        """Return how many live nodes come before this one."""
        names = [m.node for m in self.peers.members.values() if m.is_up]
        return sum(name < self.node for name in names)

    async def _look_after(self, service: str, order: Order) -> None:
        now = read_monotonic()
        known = self.moves.known.get(service)
        is_current = known is not None and known.move.order >= order.version
        if is_current and known.move.has_ended:
            if known.move.state == RETURNED and known.written < known.seen:
                await self._write_returned(known)
            return
        if is_current and known.move.holder == self.node:
            await self._advance(known, order)
            return
        since = known.seen if is_current else self._ordered[service][1]
        patience = TAKE_OVER_SECONDS if is_current else 0.0
        if now - since < patience + RANK_SECONDS * self._rank():
            return
        await self._take_over(service, order)

    async def _take_over(self, service: str, order: Order) -> None:
        """Read the row, and begin or go on with the move as its holder."""
        page = await self.store.read_table(OWN_TABLE, f"{PREFIX}{service}")
        rows = [row for row in page.rows if row.key == f"{PREFIX}{service}"]
        version = rows[0].version if rows else ABSENT
        stored = decode_move(rows[0].value) if rows else None
        is_news = stored is not None and self.moves.take(stored, version)
        if is_news and stored.order >= order.version:
            # Somebody has advanced it meanwhile, or its end was not heard of.
            return
        known = self.moves.known.get(service)
        if known is not None and known.move.order >= order.version:
            move = attrs.evolve(known.move, holder=self.node)
            known.version = version
        else:
            move = self._begin(service, order, known)
            if known is None:
                known = self.moves.known[service] = Known(move)
            known.version = version
            known.looks = 0
        await self._write(known, move)

    def _begin(self, service: str, order: Order, known: Known | None) -> Move:
        wish = order.order
        source = self.moves.find_source(service, order)
        if known is not None:
            ended = known.move
            source = ended.to if ended.state == COMPLETE else ended.source
        self.moves.reports.clear()
        return Move(
            service=service,
            to=wish.to,
            source=source,
            order=order.version,
            seconds=wish.seconds,
            holder=self.node,
        )

    async def _advance(self, known: Known, order: Order) -> None:
        now = read_monotonic()
        move = known.move
        elapsed = move.elapsed + now - known.seen
        elapsed = max(elapsed, now - self._ordered[move.service][1])
        reason = self._judge(known)
        grown = advance_move(
            move,
            elapsed,
            reason=reason,
            has_targets=self._has_targets(move),
            is_drained=self._is_drained(known),
        )
        if grown.state == RETURNED:
            self._give_up(known, grown)
            await self._write_returned(known)
            return
        is_change = (grown.state, grown.share) != (move.state, move.share)
        if is_change or now - known.written > RENEW_SECONDS:
            await self._write(known, grown)

    def _judge(self, known: Known) -> str:
        move = known.move
        now = read_monotonic()
        reports = [
            report
            for report, at in self.moves.reports.values()
            if report.service == move.service
        ]
        old = make_samples([r for r in reports if r.version == move.source])
        new = make_samples([r for r in reports if r.version == move.to])
        known.looks += 1
        verdict = judge_version(old, new, known.looks)
        if verdict.bad:
            log_line(
                "version-bad",
                service=move.service,
                version=move.to,
                reason=verdict.reason,
                look=known.looks,
                oldest_report_ms=int(
                    1000 * max((now - at for _, at in self.moves.reports.values()))
                ),
            )
        return verdict.reason if verdict.bad else ""

    def _has_targets(self, move: Move) -> bool:
        return any(
            state.is_open and state.version == move.to
            for state in self.moves.list_targets(move.service)
        )

    def _is_drained(self, known: Known) -> bool:
        """Return whether all gates of the old version report that nothing runs."""
        move = known.move
        now = read_monotonic()
        if move.state != CLOSING:
            known.closed_at = now
            return False
        if now - known.closed_at < DRAINED_SECONDS:
            return False
        names = [
            member.node
            for member in self.peers.list_up(move.service)
            if member.state.version == move.source and not member.state.has_left
        ]
        if move.service == self.service and self.gate.version == move.source:
            names.append(self.node)
        for name in names:
            report, at = self.moves.reports.get(name, (None, 0.0))
            if report is None or now - at > REPORT_SECONDS or report.running:
                return False
        return True

    def _give_up(self, known: Known, move: Move) -> None:
        """Stop using a bad version everywhere, before the store knows."""
        known.move = move
        known.seen = read_monotonic()
        log_line("move", service=move.service, state=RETURNED, reason=move.reason)
        self._spread(known)
        self.moves.apply()

    def _spread(self, known: Known) -> None:
        self.peers.broadcast(MoveNews(encode_move(known.move), known.version))

    async def _write_returned(self, known: Known) -> None:
        if known.move.holder != self.node:
            patience = TAKE_OVER_SECONDS * (1 + self._rank())
            if read_monotonic() - known.seen < patience:
                return
        page = await self.store.read_table(OWN_TABLE, f"{PREFIX}{known.move.service}")
        for row in page.rows:
            known.version = row.version
            stored = decode_move(row.value)
            is_same = stored is not None and stored.order == known.move.order
            if is_same and stored.has_ended:
                known.written = read_monotonic()
                known.seen = min(known.seen, known.written)
                known.move = stored
                self.moves.apply()
                return
        await self._write(known, attrs.evolve(known.move, holder=self.node))

    async def _write(self, known: Known, move: Move) -> None:
        """Write the move's row and what the operator reads, then tell everybody."""
        puts = [
            Put(OWN_TABLE, f"{PREFIX}{move.service}", encode_move(move), known.version)
        ]
        status = _choose_status(move)
        is_new = known.version == ABSENT or known.move.order != move.order
        if is_new or move.has_ended or known.status_version is None:
            version = await self._read_status(move.service)
            key = make_status_key(move.service)
            puts.append(Put(STATUS, key, encode_status(status, move.to), version))
        try:
            known.version = await self.store.write(puts)
        except ConditionFailed:
            log_line("move-overtaken", service=move.service, state=move.state)
            known.seen = read_monotonic()
            known.status_version = None
            await self._reread(known)
            return
        except CactusError:
            # It may have been written or may yet be: read before the next step.
            known.status_version = None
            await self._reread(known)
            raise
        known.status_version = known.version
        known.written = read_monotonic()
        if move.state == RETURNED:
            known.seen = min(known.seen, known.written)
        state = (known.move.state, known.move.share)
        known.move = move
        if move.state != RETURNED:
            known.seen = known.written
        if state != (move.state, move.share):
            log_line(
                "move",
                service=move.service,
                to=move.to,
                source=move.source,
                state=move.state,
                share=move.share,
                elapsed=round(move.elapsed, 2),
                row=known.version,
            )
        self._spread(known)
        self.moves.apply()

    async def _reread(self, known: Known) -> None:
        service = known.move.service
        page = await self.store.read_table(OWN_TABLE, f"{PREFIX}{service}")
        for row in page.rows:
            stored = decode_move(row.value)
            if row.key == f"{PREFIX}{service}" and stored is not None:
                if known.move.state != RETURNED or stored.has_ended:
                    known.move = stored
                known.version = row.version
                known.seen = read_monotonic()
        self.moves.apply()

    async def _read_status(self, service: str) -> int:
        key = make_status_key(service)
        page = await self.store.read_table(STATUS, key)
        return next((row.version for row in page.rows if row.key == key), ABSENT)

    async def _load(self) -> None:
        """Read the moves that the store knows, once it can be read.

        Meanwhile other nodes tell what they know of moves.
        """
        while True:
            try:
                page = await self.store.read_table(OWN_TABLE, PREFIX)
                break
            except CactusError:
                # The feed's task logs that the store is away.
                self.moves.apply()
                self.moves.report()
                await asyncio.sleep(STEP_SECONDS)
        for row in page.rows:
            move = decode_move(row.value)
            if move is not None:
                self.moves.take(move, row.version)


def _choose_status(move: Move) -> str:
    if move.state == COMPLETE:
        return TOLD_COMPLETE
    return TOLD_RETURNED if move.state == RETURNED else TOLD_RUNNING
