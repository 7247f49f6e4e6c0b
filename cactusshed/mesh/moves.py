"""Moves of services between versions: who decides, and what each node does.

The move's row in the store is its lease: whoever advances it writes it under the
condition that nobody else has. Any node takes over a row that stands still. A
version found bad is given up at once, also while the store is away; the row
follows when the store is back.
"""

import asyncio
import random
from collections.abc import Callable

import attrs
import msgspec

from ..clock import read_monotonic
from ..errors import CactusError, ConditionFailed
from ..observe.lines import log_line
from ..platform.orders import (
    COMPLETE as TOLD_COMPLETE,
)
from ..platform.orders import (
    OWN_TABLE,
    STATUS,
    encode_status,
    make_status_key,
)
from ..platform.orders import (
    RETURNED as TOLD_RETURNED,
)
from ..platform.orders import (
    RUNNING as TOLD_RUNNING,
)
from ..platform.rows import ABSENT, Put, RowStore
from ..policy.ramp import (
    CLOSING,
    COMPLETE,
    RETURNED,
    Move,
    advance_move,
    choose_version,
)
from ..policy.verdict import judge_version
from .evidence import make_samples
from .frames import Evidence, MoveNews, TargetState
from .gate import Gate
from .peers import Peers
from .records import Order, Records

__all__ = ["Moves"]

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
class _Known:
    """What this node knows of one move; times are monotonic seconds."""

    move: Move
    version: int = ABSENT
    seen: float = 0.0
    written: float = 0.0
    status_version: int | None = None
    looks: int = 0
    closed_at: float = 0.0


@attrs.define(eq=False)
class Moves:
    """State of the moves that this node has heard of."""

    node: str
    service: str
    store: RowStore
    records: Records
    gate: Gate
    peers: Peers
    get_state: Callable[[], TargetState]
    rng: random.Random = attrs.Factory(random.Random)
    _known: dict[str, _Known] = attrs.Factory(dict)
    _ordered: dict[str, tuple[int, float]] = attrs.Factory(dict)
    _reports: dict[str, tuple[Evidence, float]] = attrs.Factory(dict)

    # What every node does.

    def choose_version(self, service: str) -> str:
        """Return the version that a call goes to; empty when there is only one."""
        known = self._known.get(service)
        order = self.records.orders.get(service)
        if known is not None:
            # Also while nobody has begun to carry out a later order.
            return choose_version(known.move, self.rng)
        return self._find_source(service, order)

    def _find_source(self, service: str, order: Order | None) -> str:
        """Return the version that was in force before any move."""
        targets = self._list_targets(service)
        versions = {state.version for state in targets if state.version}
        if order is not None and len(versions) > 1:
            versions.discard(order.order.to)
        if not versions or (len(versions) == 1 and order is None):
            return ""

        def weigh(version: str) -> tuple[int, int]:
            born = [s.born for s in targets if s.version == version]
            return len(born), -min(born)

        return max(versions, key=weigh)

    def _list_targets(self, service: str) -> list[TargetState]:
        """Return the targets of a service, also those that take nothing now."""
        members = self.peers.members.values()
        targets = [member.state for member in members if member.service == service]
        if service == self.service:
            targets.append(self.get_state())
        return targets

    def get_share(self, service: str) -> float:
        """Return the share that a move gives to the new version; 0 without one."""
        known = self._known.get(service)
        return known.move.share if known is not None else 0.0

    def find_fallback(self, service: str, version: str) -> str:
        """Return the old version if calls meant for `version` may go there.

        The other way round is not allowed: it would raise the new one's share.
        """
        known = self._known.get(service)
        if known is None or known.move.state in (CLOSING, COMPLETE):
            return ""
        return known.move.source if version == known.move.to else ""

    def take_news(self, news: MoveNews) -> None:
        """Take over a move as another node knows it."""
        move = _decode(news.value)
        if move is not None:
            self._take(move, news.version)

    def _take(self, move: Move, version: int) -> bool:
        known = self._known.get(move.service)
        if known is None:
            known = self._known[move.service] = _Known(move, seen=read_monotonic())
        elif not _supersedes(known, move, version):
            return False
        elif known.move.order == move.order and known.move.state == RETURNED:
            # Found bad, which the row may not yet say; that stands.
            known.version = max(known.version, version)
            return False
        before = known.move
        known.move = move
        known.version = max(known.version, version)
        known.seen = read_monotonic()
        if (before.state, before.share) != (move.state, move.share):
            log_line(
                "move",
                service=move.service,
                to=move.to,
                state=move.state,
                share=move.share,
                reason=move.reason,
                holder=move.holder,
                row=version,
            )
        self.apply()
        return True

    def apply(self) -> None:
        """Close or open the own gate as the moves of its service say."""
        known = self._known.get(self.service)
        version = self.gate.version
        closed = False
        if known is not None and version:
            move = known.move
            closed = (move.state == RETURNED and version == move.to) or (
                move.state in (CLOSING, COMPLETE) and version == move.source
            )
        self.gate.set_closure("version-closed", closed)

    # Evidence.

    def take_evidence(self, evidence: Evidence) -> None:
        """Keep the last report of a gate."""
        self._reports[evidence.node] = (evidence, read_monotonic())

    def _report(self) -> None:
        """Send the own gate's counts to whoever holds the move."""
        known = self._known.get(self.service)
        if known is None or known.move.has_ended:
            if known is None or self.gate.evidence.is_on:
                self.gate.evidence.stop()
            return
        if not self.gate.evidence.is_on:
            self.gate.evidence.restart()
        report = self.gate.evidence.report(
            self.node,
            self.service,
            self.gate.version,
            self.gate.room.running + self.gate.room.waiting,
        )
        holder = known.move.holder
        if holder == self.node:
            self.take_evidence(report)
            return
        member = self.peers.members.get(holder)
        if member is not None and member.is_up:
            member.link.send(report)

    # What the holder does.

    async def run(self) -> None:
        """Carry out orders until cancelled."""
        await self._load()
        while True:
            await asyncio.sleep(STEP_SECONDS)
            self.apply()
            now = read_monotonic()
            for service, order in list(self.records.orders.items()):
                if self._ordered.get(service, (0, 0.0))[0] != order.version:
                    self._ordered[service] = (order.version, now)
                try:
                    await self._look_after(service, order)
                except CactusError as error:
                    log_line("move-step-failed", service=service, cause=str(error))
            self._report()

    def _rank(self) -> int:
        """Return how many live nodes come before this one."""
        names = [m.node for m in self.peers.members.values() if m.is_up]
        return sum(name < self.node for name in names)

    async def _look_after(self, service: str, order: Order) -> None:
        now = read_monotonic()
        known = self._known.get(service)
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
        stored = _decode(rows[0].value) if rows else None
        is_news = stored is not None and self._take(stored, version)
        if is_news and stored.order >= order.version:
            # Somebody has advanced it meanwhile, or its end was not heard of.
            return
        known = self._known.get(service)
        if known is not None and known.move.order >= order.version:
            move = attrs.evolve(known.move, holder=self.node)
            known.version = version
        else:
            move = self._begin(service, order, known)
            if known is None:
                known = self._known[service] = _Known(move)
            known.version = version
            known.looks = 0
        await self._write(known, move)

    def _begin(self, service: str, order: Order, known: _Known | None) -> Move:
        wish = order.order
        source = self._find_source(service, order)
        if known is not None:
            ended = known.move
            source = ended.to if ended.state == COMPLETE else ended.source
        self._reports.clear()
        return Move(
            service=service,
            to=wish.to,
            source=source,
            order=order.version,
            seconds=wish.seconds,
            holder=self.node,
        )

    async def _advance(self, known: _Known, order: Order) -> None:
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

    def _judge(self, known: _Known) -> str:
        move = known.move
        now = read_monotonic()
        reports = [
            report
            for report, at in self._reports.values()
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
                    1000 * max((now - at for _, at in self._reports.values()))
                ),
            )
        return verdict.reason if verdict.bad else ""

    def _has_targets(self, move: Move) -> bool:
        return any(
            state.is_open and state.version == move.to
            for state in self._list_targets(move.service)
        )

    def _is_drained(self, known: _Known) -> bool:
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
            report, at = self._reports.get(name, (None, 0.0))
            if report is None or now - at > REPORT_SECONDS or report.running:
                return False
        return True

    def _give_up(self, known: _Known, move: Move) -> None:
        """Stop using a bad version everywhere, before the store knows."""
        known.move = move
        known.seen = read_monotonic()
        log_line("move", service=move.service, state=RETURNED, reason=move.reason)
        self._spread(known)
        self.apply()

    def _spread(self, known: _Known) -> None:
        self.peers.broadcast(MoveNews(_encode(known.move), known.version))

    async def _write_returned(self, known: _Known) -> None:
        if known.move.holder != self.node:
            patience = TAKE_OVER_SECONDS * (1 + self._rank())
            if read_monotonic() - known.seen < patience:
                return
        page = await self.store.read_table(OWN_TABLE, f"{PREFIX}{known.move.service}")
        for row in page.rows:
            known.version = row.version
            stored = _decode(row.value)
            is_same = stored is not None and stored.order == known.move.order
            if is_same and stored.has_ended:
                known.written = read_monotonic()
                known.seen = min(known.seen, known.written)
                known.move = stored
                self.apply()
                return
        await self._write(known, attrs.evolve(known.move, holder=self.node))

    async def _write(self, known: _Known, move: Move) -> None:
        """Write the move's row and what the operator reads, then tell everybody."""
        puts = [Put(OWN_TABLE, f"{PREFIX}{move.service}", _encode(move), known.version)]
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
        self.apply()

    async def _reread(self, known: _Known) -> None:
        service = known.move.service
        page = await self.store.read_table(OWN_TABLE, f"{PREFIX}{service}")
        for row in page.rows:
            stored = _decode(row.value)
            if row.key == f"{PREFIX}{service}" and stored is not None:
                if known.move.state != RETURNED or stored.has_ended:
                    known.move = stored
                known.version = row.version
                known.seen = read_monotonic()
        self.apply()

    async def _read_status(self, service: str) -> int:
        key = make_status_key(service)
        page = await self.store.read_table(STATUS, key)
        return next((row.version for row in page.rows if row.key == key), ABSENT)

    def greet(self, send) -> None:
        """Tell a node that was just found of all moves."""
        for known in self._known.values():
            send(MoveNews(_encode(known.move), known.version))

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
                self.apply()
                self._report()
                await asyncio.sleep(STEP_SECONDS)
        for row in page.rows:
            move = _decode(row.value)
            if move is not None:
                self._take(move, row.version)


def _supersedes(known: _Known, move: Move, version: int) -> bool:
    if move.order != known.move.order:
        return move.order > known.move.order
    if move.state == RETURNED and not known.move.has_ended:
        return True
    return version > known.version


def _encode(move: Move) -> bytes:
    return msgspec.json.encode(move)


def _decode(value: bytes) -> Move | None:
    try:
        return msgspec.json.decode(value, type=Move)
    except (msgspec.DecodeError, ValueError) as error:
        log_line("move-row-refused", cause=str(error))
        return None


def _choose_status(move: Move) -> str:
    if move.state == COMPLETE:
        return TOLD_COMPLETE
    return TOLD_RETURNED if move.state == RETURNED else TOLD_RUNNING
