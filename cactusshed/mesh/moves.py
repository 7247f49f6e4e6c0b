"""Moves of services between versions, as every node follows them."""

import random
from collections.abc import Callable

import attrs
import msgspec

from ..clock import read_monotonic
from ..observe.lines import log_line
from ..platform.rows import ABSENT
from ..policy.ramp import CLOSING, COMPLETE, RETURNED, Move, choose_version
from .frames import Evidence, MoveNews, TargetState
from .gate import Gate
from .peers import Peers
from .records import Order, Records

__all__ = ["Known", "Moves", "decode_move", "encode_move"]


@attrs.define(eq=False)
class Known:
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
    """The moves that this node has heard of; `reports` are the gates' last counts."""

    node: str
    service: str
    records: Records
    gate: Gate
    peers: Peers
    get_state: Callable[[], TargetState]
    rng: random.Random = attrs.Factory(random.Random)
    known: dict[str, Known] = attrs.Factory(dict)
    reports: dict[str, tuple[Evidence, float]] = attrs.Factory(dict)

    def choose_version(self, service: str) -> str:
        """Return the version that a call goes to; empty when there is only one."""
        known = self.known.get(service)
        order = self.records.orders.get(service)
        if known is not None:
            # Also while nobody has begun to carry out a later order.
            return choose_version(known.move, self.rng)
        return self.find_source(service, order)

    def find_source(self, service: str, order: Order | None) -> str:
        """Return the version that was in force before any move."""
        targets = self.list_targets(service)
        versions = {state.version for state in targets if state.version}
        if order is not None and len(versions) > 1:
            versions.discard(order.order.to)
        if not versions or (len(versions) == 1 and order is None):
            return ""

        def weigh(version: str) -> tuple[int, int]:
            born = [s.born for s in targets if s.version == version]
            return len(born), -min(born)

        return max(versions, key=weigh)

    def list_targets(self, service: str) -> list[TargetState]:
        """Return the targets of a service, also those that take nothing now."""
        members = self.peers.members.values()
        targets = [member.state for member in members if member.service == service]
        if service == self.service:
            targets.append(self.get_state())
        return targets

    def get_share(self, service: str) -> float:
        """Return the share that a move gives to the new version; 0 without one."""
        known = self.known.get(service)
        return known.move.share if known is not None else 0.0

    def find_fallback(self, service: str, version: str) -> str:
        """Return the old version if calls meant for `version` may go there.

        The other way round is not allowed: it would raise the new one's share.
        """
        known = self.known.get(service)
        if known is None or known.move.state in (CLOSING, COMPLETE):
            return ""
        return known.move.source if version == known.move.to else ""

    def take_news(self, news: MoveNews) -> None:
        """Take over a move as another node knows it."""
        move = decode_move(news.value)
        if move is not None:
            self.take(move, news.version)

    def take(self, move: Move, version: int) -> bool:
        """Take over a move whose row is at `version`; return whether it is news."""
        known = self.known.get(move.service)
        if known is None:
            known = self.known[move.service] = Known(move, seen=read_monotonic())
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
        known = self.known.get(self.service)
        version = self.gate.version
        closed = False
        if known is not None and version:
            move = known.move
            closed = (move.state == RETURNED and version == move.to) or (
                move.state in (CLOSING, COMPLETE) and version == move.source
            )
        self.gate.set_closure("version-closed", closed)

    def greet(self, send) -> None:
        """Tell a node that was just found of all moves."""
        for known in self.known.values():
            send(MoveNews(encode_move(known.move), known.version))

    def take_evidence(self, evidence: Evidence) -> None:
        """Keep the last report of a gate."""
        self.reports[evidence.node] = (evidence, read_monotonic())

    def report(self) -> None:
        """Send the own gate's counts to whoever holds the move."""
        known = self.known.get(self.service)
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


def _supersedes(known: Known, move: Move, version: int) -> bool:
    if move.order != known.move.order:
        return move.order > known.move.order
    if move.state == RETURNED and not known.move.has_ended:
        return True
    return version > known.version


def encode_move(move: Move) -> bytes:
    """Return a move as rows and messages hold it."""
    return msgspec.json.encode(move)


def decode_move(value: bytes) -> Move | None:
    """Return the move in a row or message; `None` for one that can't be read."""
    try:
        return msgspec.json.decode(value, type=Move)
    except (msgspec.DecodeError, ValueError) as error:
        log_line("move-row-refused", cause=str(error))
        return None
