"""Stepwise move of a service to another version in `mesh`.

Load pattern: the new version is bad immediately, after some seconds, or only
under load. It first gets a small share, long enough for slow answers to become
visible. A probe then sends it all requests, for a moment that every node ends by its
own clock, so that failures under load show while the version gets less than a tenth
of all requests. The last stage leaves time to close the old version.
"""

import random

import attrs

from ..decoding import Count, FiniteNumber

__all__ = [
    "CLOSING",
    "COMPLETE",
    "REVERTED",
    "RUNNING",
    "STAGES",
    "Move",
    "Stage",
    "advance_move",
    "choose_version",
    "compute_share",
    "compute_version_shares",
]

RUNNING = "running"
CLOSING = "closing"
COMPLETE = "complete"
REVERTED = "returned"


@attrs.frozen
class Stage:
    """Step of a move; `start`, `hold` and `probe` are fractions of the move's time.

    A probe gives the version its share for the time `probe` only.
    """

    start: float
    share: float
    hold: float
    """Minimum time before the next stage, also for a move that is late."""
    probe: float | None = None


STAGES = (
    Stage(0.0, 0.04, 0.1),
    Stage(0.4, 0.12, 0.05),
    Stage(0.45, 1.0, 0.12, probe=0.065),
    Stage(0.57, 1.0, 0.15),
)
"""Stages of a move. Before the last one the new version gets 0.04 * 0.4 + 0.12 * 0.05
+ 0.065 + 0.04 * 0.055 = 0.089 of the requests; a bad version may get a tenth."""
REST_SHARE = 0.04
"""Share of the new version after a probe."""
CLOSING_FRACTION = 0.75
"""Fraction of the time after which the old version gets no new requests."""
LATE_CLOSING_FRACTION = 0.84
"""Fraction of the time at which a late move closes the old version, if the last stage
has been held for `MIN_LAST_HOLD`, so that it completes before its deadline."""
MIN_LAST_HOLD = 0.04
"""Minimum time of the last stage, as a fraction of the move's time."""


@attrs.frozen
class Move:
    """A move of a service from one version to another.

    `order` is the version of the operator's row; it distinguishes a later order
    for the same service. `era` is the store's era in which the row was written; a row
    that the store still has from an earlier era keeps that era. `elapsed` is the time
    since the order, in seconds, and `stage_start` its value at the start of the stage.
    Moves are stored as JSON under these field names.
    """

    service: str
    to: str
    source: str
    order: Count
    seconds: FiniteNumber
    state: str = RUNNING
    share: FiniteNumber = 0.0
    elapsed: FiniteNumber = 0.0
    holder: str = ""
    reason: str = ""
    stage: Count = 0
    stage_start: FiniteNumber = 0.0
    era: Count = 0

    @property
    def has_ended(self) -> bool:
        """Return whether the move is complete or rolled back."""
        return self.state in (COMPLETE, REVERTED)


def _get_stage(move: Move) -> Stage:
    return STAGES[min(move.stage, len(STAGES) - 1)]


def compute_share(move: Move, elapsed: float) -> float:
    """Return the new version's share `elapsed` seconds after the order.

    A probe ends by the clock of each node, also without news of the move's holder.
    """
    stage = _get_stage(move)
    if stage.probe is None or elapsed - move.stage_start < stage.probe * move.seconds:
        return move.share
    return min(move.share, REST_SHARE)


def _advance_stage(move: Move, elapsed: float) -> Move:
    """Return the move in its next stage if it is due, with the stage's share."""
    if move.share == 0.0:
        # The version has had no targets: a stage counts from its first request.
        move = attrs.evolve(move, stage_start=elapsed)
    if move.stage + 1 < len(STAGES):
        held = elapsed - move.stage_start
        is_held = held >= _get_stage(move).hold * move.seconds
        if is_held and elapsed >= STAGES[move.stage + 1].start * move.seconds:
            move = attrs.evolve(move, stage=move.stage + 1, stage_start=elapsed)
    move = attrs.evolve(move, share=_get_stage(move).share, elapsed=elapsed)
    return attrs.evolve(move, share=compute_share(move, elapsed))


def _is_closing(move: Move) -> bool:
    if move.state == CLOSING:
        return True
    if move.stage < len(STAGES) - 1:
        return False
    start = move.stage_start / move.seconds if move.seconds > 0 else 0.0
    hold = _get_stage(move).hold
    if start + hold > LATE_CLOSING_FRACTION:
        hold = max(MIN_LAST_HOLD, LATE_CLOSING_FRACTION - start)
    closing = max(CLOSING_FRACTION, start + hold)
    return move.elapsed >= closing * move.seconds


def advance_move(
    move: Move,
    elapsed: float,
    *,
    reason: str,
    has_targets: bool,
    is_drained: bool,
) -> Move:
    """Return the state of the move after `elapsed` seconds.

    `reason` explains why the new version is bad and is empty if it is not.
    `has_targets` says whether the new version has targets that accept calls,
    `is_drained` whether the old version gets no more calls.
    """
    if move.has_ended:
        return move
    if reason:
        return attrs.evolve(
            move, state=REVERTED, share=0.0, reason=reason, elapsed=elapsed
        )
    if not has_targets:
        return attrs.evolve(move, state=RUNNING, share=0.0, elapsed=elapsed)
    if move.state == CLOSING and is_drained:
        return attrs.evolve(move, state=COMPLETE, share=1.0, elapsed=elapsed)
    advanced = _advance_stage(move, elapsed)
    state = CLOSING if _is_closing(advanced) else RUNNING
    return attrs.evolve(advanced, state=state)


def choose_version(move: Move, elapsed: float, rng: random.Random) -> str:
    """Return the version that a call is sent to `elapsed` seconds after the order."""
    if move.state == REVERTED:
        return move.source
    if move.state in (CLOSING, COMPLETE):
        return move.to
    return move.to if rng.random() < compute_share(move, elapsed) else move.source


def compute_version_shares(move: Move, elapsed: float) -> dict[str, float]:
    """Return the versions in use `elapsed` seconds after the order, and their shares.

    `choose_version` chooses among them at random.
    """
    if move.state == REVERTED:
        return {move.source: 1.0}
    if move.state in (CLOSING, COMPLETE):
        return {move.to: 1.0}
    share = compute_share(move, elapsed)
    return {move.to: share, move.source: 1.0 - share}
