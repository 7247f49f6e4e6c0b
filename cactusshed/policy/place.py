"""Choice of a target: the one that is expected to answer first.

Load pattern: targets of one service differ in speed and load, and reports of
their load are as old as their last answer. Own calls since that answer are added
to it, so that a burst from one node does not all go to the same target.
"""

import random
from collections.abc import Iterable

import attrs

__all__ = ["Candidate", "LoadView", "order_candidates"]

FRESH_SECONDS = 1.0
"""Age above which a report of load says nothing; a queue drains well within it."""
SPREAD = 0.1
"""Random part of an estimate, so that nodes do not all choose alike."""
FAILURE_PENALTY = 4.0
"""Service times that a target is set back for failing every request."""
SMOOTHING = 0.1
"""Weight of one outcome in a target's failure rate."""


@attrs.define
class LoadView:
    """What one node knows of one target's load; times in monotonic seconds."""

    busy: int = 0
    limit: int = 1
    mean: float = 0.0
    at: float = float("-inf")
    own: int = 0
    """Calls of this node that are on their way."""
    sent_since: int = 0
    """Calls that this node sent since the report."""
    failures: float = 0.0
    """Share of recent calls that failed."""

    def report(self, busy: int, limit: int, mean: float, now: float) -> None:
        """Take over a report that came with an answer."""
        self.busy = busy
        self.limit = max(1, limit)
        self.mean = mean
        self.at = now
        self.sent_since = 0

    def note_outcome(self, *, failed: bool) -> None:
        """Count an outcome."""
        self.failures += SMOOTHING * (failed - self.failures)

    def estimate_wait(self, now: float, usual: float) -> float:
        """Return the seconds until a call that is sent now would start."""
        busy = self.own
        if now - self.at < FRESH_SECONDS:
            busy = max(busy, self.busy + self.sent_since)
        over = busy + 1 - self.limit
        return max(0, over) * (self.mean or usual) / self.limit


@attrs.frozen
class Candidate:
    """A target that may be chosen; `name` is its node, `extra` seconds of distance."""

    name: str
    view: LoadView
    extra: float
    is_cold: bool


COLD_SECONDS = 0.1
"""Set-back of a cold target: it is slow, and bears a bounded rate."""


def order_candidates(
    candidates: Iterable[Candidate], usual: float, now: float, rng: random.Random
) -> list[tuple[float, Candidate]]:
    """Return the expected wait and each candidate, the soonest answer first."""
    scored = []
    for candidate in candidates:
        view = candidate.view
        wait = view.estimate_wait(now, usual)
        service = view.mean or usual
        cost = wait + service * (1 + FAILURE_PENALTY * view.failures) + candidate.extra
        cost += COLD_SECONDS if candidate.is_cold else 0.0
        cost *= 1 + SPREAD * rng.random()
        scored.append((cost, wait, candidate))
    scored.sort(key=lambda entry: entry[0])
    return [(wait, candidate) for _, wait, candidate in scored]
