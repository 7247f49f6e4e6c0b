"""Choice of a target: the one that is least likely to answer late.

Load pattern: targets of one service differ in speed and load, and reports of
their load are as old as their last answer. Own calls since that answer are added
to it, so that a burst from one node does not all go to the same target.
"""

import random
from collections.abc import Iterable

import attrs

__all__ = ["Candidate", "LoadView", "estimate_lateness", "order_candidates"]

FRESH_SECONDS = 1.0
"""Age above which a report of load says nothing; a queue drains well within it."""
SPREAD = 0.1
"""Random part of a risk, so that nodes do not all choose alike."""
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


FAR_RISK = 0.05
"""Chance of lateness at which another data centre is as good: its bytes cost about
a twentieth of what an answer earns."""
COLD_RISK = 0.1
"""Set-back of a cold target beyond the slowness that its answers show."""
STEEPNESS = 3.3
"""Shape of the times of the users' work: a third is late at its mean time, and
one in twenty at two and a half times the mean."""


@attrs.frozen
class Candidate:
    """A target that may be chosen; `name` is its node."""

    name: str
    view: LoadView
    is_far: bool
    is_cold: bool


def estimate_lateness(left: float, service: float) -> float:
    """Return the chance that work of `service` seconds on average takes longer."""
    if left <= 0:
        return 1.0
    return 1.0 / (1.0 + (left / max(service, 1e-6)) ** STEEPNESS)


def order_candidates(
    candidates: Iterable[Candidate],
    usual: float,
    left: float,
    now: float,
    rng: random.Random,
) -> list[tuple[float, Candidate]]:
    """Return the expected wait and each candidate, the most promising first.

    `usual` is the route's service time over all targets and `left` the time
    until its aim, both in seconds.
    """
    found = list(candidates)
    means = [c.view.mean for c in found if c.view.mean]
    typical = sum(means) / len(means) if means else 1.0
    scored = []
    for candidate in found:
        view = candidate.view
        service = usual * (view.mean / typical if view.mean else 1.0)
        wait = view.estimate_wait(now, service)
        risk = estimate_lateness(left - wait, service)
        risk = 1 - (1 - risk) * (1 - view.failures)
        risk += FAR_RISK * candidate.is_far + COLD_RISK * candidate.is_cold
        # The wait breaks ties where every target would be late.
        risk += wait / (left + wait) if left > 0 else wait
        risk *= 1 + SPREAD * rng.random()
        scored.append((risk, wait, candidate))
    scored.sort(key=lambda entry: entry[0])
    return [(wait, candidate) for _, wait, candidate in scored]
