"""How a move of a service to another version goes on, step by step.

Load pattern: a version that is bad at once, after some seconds, or only under
load. A small share goes to it while lateness would show, then the load grows in
steps, so that the requests a bad version gets by the last step stay below a
tenth of all; the last step leaves time to close the old version.
"""

import random

import attrs

__all__ = [
    "CLOSING",
    "COMPLETE",
    "RETURNED",
    "RUNNING",
    "Move",
    "advance_move",
    "choose_version",
    "compute_share",
]

RUNNING = "running"
CLOSING = "closing"
COMPLETE = "complete"
RETURNED = "returned"

STEPS = ((0.0, 0.04), (0.45, 0.12), (0.53, 0.4), (0.6, 1.0))
"""From which part of the time which share goes to the new version.

Up to the last step the new version has got 0.04 * 0.45 + 0.12 * 0.08
+ 0.4 * 0.07 = 0.056 of the requests, half of what a bad one may get."""
CLOSING_PART = 0.75
"""Part of the time after which the old version takes nothing new."""


@attrs.frozen
class Move:
    """A move of a service from one version to another.

    `order` is the version of the operator's row, by which a later order for the
    same service is told apart; `elapsed` seconds have passed since the order.
    """

    service: str
    to: str
    source: str
    order: int
    seconds: float
    state: str = RUNNING
    share: float = 0.0
    elapsed: float = 0.0
    holder: str = ""
    reason: str = ""

    @property
    def has_ended(self) -> bool:
        """Return whether the move is decided for good."""
        return self.state in (COMPLETE, RETURNED)


def compute_share(part: float) -> float:
    """Return the share of the new version after `part` of the time."""
    return [share for start, share in STEPS if part >= start][-1]


def advance_move(
    move: Move,
    elapsed: float,
    *,
    reason: str,
    has_targets: bool,
    is_drained: bool,
) -> Move:
    """Return the move as it is to be after `elapsed` seconds.

    `reason` says why the new version is bad, empty if it is not; `has_targets`
    whether it has targets that take calls; `is_drained` whether nothing goes to
    the old version any longer.
    """
    if move.has_ended:
        return move
    if reason:
        return attrs.evolve(
            move, state=RETURNED, share=0.0, reason=reason, elapsed=elapsed
        )
    if not has_targets:
        return attrs.evolve(move, state=RUNNING, share=0.0, elapsed=elapsed)
    part = elapsed / move.seconds if move.seconds > 0 else 1.0
    share = compute_share(part)
    if move.state == CLOSING and is_drained:
        return attrs.evolve(move, state=COMPLETE, share=1.0, elapsed=elapsed)
    state = CLOSING if part >= CLOSING_PART else RUNNING
    return attrs.evolve(move, state=state, share=share, elapsed=elapsed)


def choose_version(move: Move, rng: random.Random) -> str:
    """Return the version that one call goes to."""
    if move.state == RETURNED:
        return move.source
    if move.state in (CLOSING, COMPLETE):
        return move.to
    return move.to if rng.random() < move.share else move.source
