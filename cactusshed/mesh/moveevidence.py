"""What the holder of a move knows of both versions, from the reports of the gates."""

from collections.abc import Iterator

import attrs

from ..clock import read_monotonic
from ..observe.lines import log_line
from ..policy.comparison import Comparison, Sample, compare_versions
from ..policy.rollout import CLOSING, Move
from .gate import Gate
from .moves import Moves, TrackedMove
from .peers import Peers
from .tallies import make_samples

__all__ = ["MoveEvidence"]

MIN_CLOSING_SECONDS = 0.6
"""Minimum time for which the old version is closed before the move completes: the
time for one update of the move and two reports of the gates."""
UNREACHABLE_SECONDS = 3.0
"""Time for which a gate that can't be reached is waited for: two missed renewals of the
move, after which it reads the move's row, and one step."""
MAX_CLOSING_FRACTION = 0.9
"""Fraction of the move's time after which unreachable gates are not waited for."""
MAX_REPORT_AGE_SECONDS = 1.5
"""Age above which the report of a gate counts as missing."""


@attrs.define(eq=False)
class MoveEvidence:
    """Evaluates the reports that the gates send to the holder of a move."""

    node: str
    service: str
    gate: Gate
    peers: Peers
    moves: Moves

    def find_reason(self, tracked: TrackedMove) -> str:
        """Return the reason to reject the new version, or '' if there is none."""
        move = tracked.move
        old = self._list_samples(move.service, move.source)
        new = self._list_samples(move.service, move.to)
        tracked.checks += 1
        comparison = compare_versions(old, new, tracked.checks)
        if not comparison.bad:
            comparison = tracked.errors.evaluate(old, new, move.stage)
        if comparison.bad:
            self._log_bad(tracked, comparison)
        return comparison.reason if comparison.bad else ""

    def _list_samples(self, service: str, version: str) -> list[Sample]:
        reports = (report for report, _ in self.moves.reports.values())
        return make_samples(
            [r for r in reports if r.service == service and r.version == version]
        )

    def _log_bad(self, tracked: TrackedMove, comparison: Comparison) -> None:
        now = read_monotonic()
        received = [received for _, received in self.moves.reports.values()]
        log_line(
            "version-bad",
            service=tracked.move.service,
            version=tracked.move.to,
            reason=comparison.reason,
            look=tracked.checks,
            oldest_report_ms=int(1000 * (now - min(received))),
        )

    def has_targets(self, move: Move) -> bool:
        """Return whether the new version has a target that accepts calls."""
        return any(
            state.is_open and state.version == move.to
            for state in self.moves.list_targets(move.service)
        )

    def is_drained(self, tracked: TrackedMove) -> bool:
        """Return whether all gates of the old version report no running calls."""
        move = tracked.move
        now = read_monotonic()
        if move.state != CLOSING:
            tracked.last_open_at = now
            return False
        if now - tracked.last_open_at < MIN_CLOSING_SECONDS:
            return False
        for name in self._list_old_gates(move, now - tracked.last_open_at):
            report, received = self.moves.reports.get(name, (None, 0.0))
            if (
                report is None
                or now - received > MAX_REPORT_AGE_SECONDS
                or report.running
            ):
                return False
        return True

    def _list_old_gates(self, move: Move, closed_seconds: float) -> Iterator[str]:
        """Yield the nodes whose gates may still send calls to the old version.

        A gate without a link reads the closing from the store, or has ended.
        """
        awaits_unreachable = (
            closed_seconds < UNREACHABLE_SECONDS
            and move.elapsed < MAX_CLOSING_FRACTION * move.seconds
        )
        for member in self.peers.members.values():
            state = member.state
            is_old = member.service == move.service and state.version == move.source
            if not is_old or state.leave_acknowledged:
                continue
            if member.is_up or awaits_unreachable:
                yield member.node
        if move.service == self.service and self.gate.version == move.source:
            yield self.node
