"""Local state of the moves of services between versions, kept on every node."""

import random
from collections.abc import Callable

import attrs
import msgspec

from ..clock import read_monotonic
from ..decoding import decode_json
from ..errors import Malformed
from ..observe.lines import log_line
from ..platform.rows import ABSENT
from ..policy.errorevidence import ErrorEvidence
from ..policy.rollout import CLOSING, COMPLETE, REVERTED, Move, choose_version
from ..store.versions import get_era, get_number, make_version
from .frames import MoveUpdate, TargetState, VersionTallies
from .gate import Gate
from .peers import Peers
from .records import Records, StoredOrder

__all__ = ["Moves", "TrackedMove", "decode_move", "encode_move"]


@attrs.define(eq=False)
class TrackedMove:
    """Local state of one move; times are monotonic seconds."""

    move: Move
    version: int = ABSENT
    """Version of the move's row in the store."""
    written_as: int = ABSENT
    """Version that this state of the move got when it was written. Unlike `version`, it
    keeps the era of the write when the row is read in a later one."""
    kept_in_era: int = 0
    """The store's era in which the row was last known to hold this state."""
    updated_at: float = 0.0
    written_at: float = 0.0
    status_version: int | None = None
    """Store version of this node's last write; `None` makes the next write include the
    status row."""
    checks: int = 0
    """Number of interim checks of the new version."""
    last_open_at: float = 0.0
    """Last time at which the old version was still open to new requests."""
    read_at: float = 0.0
    """Last time at which this node read the row because it was not renewed."""
    errors: ErrorEvidence = attrs.Factory(ErrorEvidence)

    def get_elapsed(self) -> float:
        """Return the seconds since the order, by this node's clock."""
        return self.move.elapsed + read_monotonic() - self.updated_at

    def note_row(self, version: int) -> None:
        """Record that the row at `version` holds the known state."""
        self.version = max(self.version, version)
        self.written_as = _get_write(self.move, version)
        self.kept_in_era = get_era(version)

    def is_known(self, move: Move, version: int) -> bool:
        """Return whether a row at `version` with `move` is the one known here."""
        return _get_write(move, version) == self.written_as

    def is_older_than(self, move: Move, version: int) -> bool:
        """Return whether a row at `version` with `move` was written later."""
        return _get_write(move, version) > self.written_as


def _get_write(move: Move, version: int) -> int:
    """Return the version that a row got when it was written.

    A store that comes back from a copy still has rows of earlier eras.
    """
    return make_version(move.era, get_number(version))


@attrs.define(eq=False)
class Moves:
    """All moves known to this node.

    `tracked` is keyed by service, `reports` by the node of the reporting gate.
    """

    node: str
    service: str
    records: Records
    gate: Gate
    peers: Peers
    get_state: Callable[[], TargetState]
    rng: random.Random = attrs.Factory(random.Random)
    tracked: dict[str, TrackedMove] = attrs.Factory(dict)
    reports: dict[str, tuple[VersionTallies, float]] = attrs.Factory(dict)

    def choose_version(self, service: str) -> str:
        """Return the version that a call goes to; empty if there is only one."""
        tracked = self.tracked.get(service)
        order = self.records.orders.get(service)
        if tracked is not None:
            # This also holds while a later order is not being executed yet.
            return choose_version(tracked.move, tracked.get_elapsed(), self.rng)
        return self.find_source(service, order)

    def find_source(self, service: str, order: StoredOrder | None) -> str:
        """Return the version that was active before any move."""
        targets = self.list_targets(service)
        versions = {state.version for state in targets if state.version}
        if order is not None and len(versions) > 1:
            versions.discard(order.order.to)
        if not versions or (len(versions) == 1 and order is None):
            return ""

        def rank_version(version: str) -> tuple[int, int]:
            start_times = [s.start_time for s in targets if s.version == version]
            return len(start_times), -min(start_times)

        return max(versions, key=rank_version)

    def list_targets(self, service: str) -> list[TargetState]:
        """Return all targets of a service, including those that are not open."""
        members = self.peers.members.values()
        targets = [member.state for member in members if member.service == service]
        if service == self.service:
            targets.append(self.get_state())
        return targets

    def get_share(self, service: str) -> float:
        """Return the new version's share of calls; 0 without a move."""
        tracked = self.tracked.get(service)
        return tracked.move.share if tracked is not None else 0.0

    def get_fallback_version(self, service: str, version: str) -> str:
        """Return the old version if calls meant for `version` may go there.

        Calls meant for the old version never fall back to the new one, which would
        exceed its share.
        """
        tracked = self.tracked.get(service)
        if tracked is None or tracked.move.state in (CLOSING, COMPLETE):
            return ""
        return tracked.move.source if version == tracked.move.to else ""

    def renumber(self, service: str, order: StoredOrder) -> bool:
        """Let the known move follow its order to another era of the store.

        An order that is written again after a return of the store has another version.
        Returns whether the move has been renumbered.
        """
        tracked = self.tracked.get(service)
        if tracked is None:
            return False
        move, request = tracked.move, order.order
        if get_era(move.order) >= get_era(order.version):
            return False
        if (move.to, move.seconds) != (request.to, request.seconds):
            return False
        tracked.move = attrs.evolve(move, order=order.version)
        return True

    def handle_update(self, update: MoveUpdate) -> None:
        """Merge the state of a move sent by another node."""
        move = decode_move(update.value)
        if move is not None:
            self.merge_move(move, update.version)

    def merge_move(self, move: Move, version: int) -> bool:
        """Merge a move whose row is at `version`; return whether the move is newer."""
        tracked = self.tracked.get(move.service)
        if tracked is None:
            tracked = self.tracked[move.service] = TrackedMove(
                move, updated_at=read_monotonic()
            )
        elif not _supersedes(tracked, move, version):
            if tracked.is_known(move, version) and version > tracked.version:
                # The store still has the row after a return.
                tracked.note_row(version)
            return False
        elif tracked.move.order == move.order and tracked.move.state == REVERTED:
            # The move was rolled back and the row may not show it yet.
            tracked.version = max(tracked.version, version)
            if move.state == REVERTED and tracked.is_older_than(move, version):
                tracked.move = attrs.evolve(tracked.move, era=move.era)
                tracked.note_row(version)
            return False
        before = tracked.move
        tracked.move = move
        tracked.note_row(version)
        tracked.updated_at = read_monotonic()
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
        self.apply_to_gate()
        return True

    def apply_to_gate(self) -> None:
        """Close or reopen the local gate according to the move of its service."""
        tracked = self.tracked.get(self.service)
        version = self.gate.version
        is_closed = False
        if tracked is not None and version:
            move = tracked.move
            is_closed = (move.state == REVERTED and version == move.to) or (
                move.state in (CLOSING, COMPLETE) and version == move.source
            )
        self.gate.set_close_reason("version-closed", is_closed)

    def send_all(self, send) -> None:
        """Send all moves through `send`, the send method of a node's link."""
        for tracked in self.tracked.values():
            move = tracked.move
            if not move.has_ended:
                move = attrs.evolve(move, elapsed=tracked.get_elapsed())
            send(MoveUpdate(encode_move(move), tracked.version))

    def record_report(self, tallies: VersionTallies) -> None:
        """Store the latest report of a gate."""
        self.reports[tallies.node] = (tallies, read_monotonic())

    def report(self) -> None:
        """Send the local gate's counts to the holder of the move."""
        tracked = self.tracked.get(self.service)
        if tracked is None or tracked.move.has_ended:
            if tracked is None or self.gate.tallies.is_recording:
                self.gate.tallies.stop()
            return
        if not self.gate.tallies.is_recording:
            self.gate.tallies.restart()
        report = self.gate.tallies.report(
            self.node,
            self.service,
            self.gate.version,
            self.gate.queue.running + self.gate.queue.waiting,
        )
        holder = tracked.move.holder
        if holder == self.node:
            self.record_report(report)
            return
        member = self.peers.members.get(holder)
        if member is not None and member.is_up:
            member.link.send(report)


def _supersedes(tracked: TrackedMove, move: Move, version: int) -> bool:
    if move.order != tracked.move.order:
        return move.order > tracked.move.order
    if move.state == REVERTED and not tracked.move.has_ended:
        return True
    return tracked.is_older_than(move, version)


def encode_move(move: Move) -> bytes:
    """Return a move as JSON for a row or a message."""
    return msgspec.json.encode(move)


def decode_move(value: bytes) -> Move | None:
    """Return the move in a row or message; `None` if it can't be decoded."""
    try:
        return decode_json(value, Move, step="read move")
    except Malformed as error:
        log_line("move-row-refused", cause=str(error))
        return None
