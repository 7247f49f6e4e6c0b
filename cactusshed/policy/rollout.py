"""Stepwise move of a service to another version in `mesh`.

Load pattern: the new version is bad immediately, after some seconds, or only
under load. It first gets a small share, long enough for slow answers to become
visible. The share then grows in steps, so that a bad version gets less than a
tenth of all requests before the last step. The last step leaves time to close
the old version.
"""

import random

import attrs

from ..decoding import Count, FiniteNumber

__all__ = [
    "CLOSING",
    "COMPLETE",
    "REVERTED",
    "RUNNING",
    "Move",
    "advance_move",
    "choose_version",
    "compute_share",
]

RUNNING = "running"
CLOSING = "closing"
COMPLETE = "complete"
REVERTED = "returned"

SHARE_STEPS = ((0.0, 0.04), (0.45, 0.12), (0.53, 0.4), (0.6, 1.0))
"""Pairs of (fraction of the time, share of the new version from then on).

Before the last step the new version gets 0.04 * 0.45 + 0.12 * 0.08
+ 0.4 * 0.07 = 0.056 of the requests; a bad version may get up to a tenth."""
CLOSING_FRACTION = 0.75
"""Fraction of the time after which the old version gets no new requests."""


@attrs.frozen
class Move:
    """A move of a service from one version to another.

    `order` is the version of the operator's row; it distinguishes a later order
    for the same service. `elapsed` is the time since the order, in seconds.
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

    @property
    def has_ended(self) -> bool:
        """Return whether the move is complete or rolled back."""
        return self.state in (COMPLETE, REVERTED)


def compute_share(fraction: float) -> float:
    """Return the new version's share after `fraction` of the time."""
    return [share for start, share in SHARE_STEPS if fraction >= start][-1]


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
    fraction = elapsed / move.seconds if move.seconds > 0 else 1.0
    share = compute_share(fraction)
    if move.state == CLOSING and is_drained:
        return attrs.evolve(move, state=COMPLETE, share=1.0, elapsed=elapsed)
    state = CLOSING if fraction >= CLOSING_FRACTION else RUNNING
    return attrs.evolve(move, state=state, share=share, elapsed=elapsed)


def choose_version(move: Move, rng: random.Random) -> str:
    """Return the version that a call is sent to."""
    if move.state == REVERTED:
        return move.source
    if move.state in (CLOSING, COMPLETE):
        return move.to
    return move.to if rng.random() < move.share else move.source
