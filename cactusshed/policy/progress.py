"""Progress of a move: the share that the new version gets, as time passes."""

import attrs

from .verdict import Verdict

__all__ = ["Plan", "Progress", "advance_move", "is_watched", "plan_share"]

MARGIN = 0.2
"""Part of the time that is left over, so that a move ends before its time."""
GROWTH = 2.0
STEP_SECONDS = 1.0
"""Least time between two steps of a move that is late."""
HOLD_SECONDS = 2.0
"""Time at the full share before a move is done."""
SPARE_SECONDS = 2.0
"""Least time left over after the hold, for looks and writes."""
WATCH_SECONDS = 120.0
"""Time after a move is done in which a bad version is still taken back."""


@attrs.frozen
class Plan:
    """What the operator asked for; times are wall seconds."""

    move_id: str
    to: str
    start: float
    by: float
    first_share: float


@attrs.frozen
class Progress:
    """How far a move is; `since` is the wall time of the last step."""

    move_id: str
    to: str
    share: float
    state: str
    since: float
    reason: str = ""


def plan_share(plan: Plan, now: float) -> float:
    """Return the share due at `now`: geometric growth in doubling steps."""
    whole = plan.by - plan.start
    length = whole - max(MARGIN * whole, HOLD_SECONDS + SPARE_SECONDS)
    if length <= 0:
        return 1.0
    part = min(1.0, max(0.0, (now - plan.start) / length))
    share = plan.first_share
    for step in _list_steps(plan.first_share):
        if part < step[0]:
            break
        share = step[1]
    return share


def _list_steps(first: float) -> list[tuple[float, float]]:
    """Return (part of the time, share) of each step after the first share."""
    shares = []
    share = first
    while share * GROWTH < 1.0:
        share *= GROWTH
        shares.append(share)
    shares.append(1.0)
    return [((i + 1) / len(shares), share) for i, share in enumerate(shares)]


def _choose_next(share: float, due: float, first: float) -> float:
    """Return the next step towards `due`; a late move skips no step."""
    if share <= 0.0:
        return min(due, first)
    return min(due, share * GROWTH)


def advance_move(
    progress: Progress, plan: Plan, now: float, verdict: Verdict, has_targets: bool
) -> Progress:
    """Return the progress after one look; the same object if nothing changes."""
    if progress.state == "reversed" or progress.move_id != plan.move_id:
        return progress
    if verdict.bad:
        return attrs.evolve(
            progress, share=0.0, state="reversed", since=now, reason=verdict.reason
        )
    if progress.state == "done":
        return progress
    if not has_targets:
        return _wait_for_targets(progress, plan)
    if progress.share >= 1.0:
        if now - progress.since < HOLD_SECONDS:
            return progress
        return attrs.evolve(progress, state="done", since=now, reason="")
    due = plan_share(plan, now)
    share = _choose_next(progress.share, due, plan.first_share)
    if share <= progress.share or (
        progress.share and now - progress.since < STEP_SECONDS
    ):
        return progress
    return attrs.evolve(progress, share=share, since=now, reason="")


def _wait_for_targets(progress: Progress, plan: Plan) -> Progress:
    reason = f"no ready target of {plan.to}"
    if progress.reason == reason:
        return progress
    return attrs.evolve(progress, reason=reason)


def is_watched(progress: Progress, now: float) -> bool:
    """Return whether a move still needs looking after."""
    if progress.state == "running":
        return True
    return progress.state == "done" and now - progress.since < WATCH_SECONDS
