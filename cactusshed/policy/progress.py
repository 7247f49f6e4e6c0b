"""Progress of a move controlled by `duty`: the new version's share over time."""

import attrs

from .comparison import Comparison

__all__ = ["Plan", "Progress", "advance_move", "needs_control", "plan_share"]

MARGIN_FRACTION = 0.2
"""Fraction of the time kept as reserve, so that a move ends before its deadline."""
GROWTH_FACTOR = 2.0
"""Growth of the share from one step to the next."""
STEP_SECONDS = 1.0
"""Minimum time between two steps of a move that is behind its schedule."""
HOLD_SECONDS = 2.0
"""Time at the full share before a move is done."""
SPARE_SECONDS = 2.0
"""Minimum reserve besides the hold time, for interim checks and store writes."""
ROLLBACK_SECONDS = 120.0
"""Time after the end of a move in which a bad version is still rolled back."""


@attrs.frozen
class Plan:
    """Move requested by the operator; times are in wall-clock seconds."""

    move_id: str
    to: str
    start: float
    by: float
    first_share: float


@attrs.frozen
class Progress:
    """Current share and state of a move; `since` is the wall time of the last step."""

    move_id: str
    to: str
    share: float
    state: str
    since: float
    reason: str = ""


def plan_share(plan: Plan, now: float) -> float:
    """Return the share planned for `now`; it doubles from step to step."""
    duration = plan.by - plan.start
    growth_seconds = duration - max(
        MARGIN_FRACTION * duration, HOLD_SECONDS + SPARE_SECONDS
    )
    if growth_seconds <= 0:
        return 1.0
    fraction = min(1.0, max(0.0, (now - plan.start) / growth_seconds))
    share = plan.first_share
    for step in _list_steps(plan.first_share):
        if fraction < step[0]:
            break
        share = step[1]
    return share


def _list_steps(first_share: float) -> list[tuple[float, float]]:
    """Return (fraction of the time, share) for each step after the first share."""
    shares = []
    share = first_share
    while share * GROWTH_FACTOR < 1.0:
        share *= GROWTH_FACTOR
        shares.append(share)
    shares.append(1.0)
    return [((i + 1) / len(shares), share) for i, share in enumerate(shares)]


def _choose_next_share(share: float, planned_share: float, first_share: float) -> float:
    """Return the next share; a move behind its schedule does not skip steps."""
    if share <= 0.0:
        return min(planned_share, first_share)
    return min(planned_share, share * GROWTH_FACTOR)


def advance_move(
    progress: Progress,
    plan: Plan,
    now: float,
    comparison: Comparison,
    has_targets: bool,
) -> Progress:
    """Return the progress after an interim check, the same object if unchanged."""
    if progress.state == "reversed" or progress.move_id != plan.move_id:
        return progress
    if comparison.bad:
        return attrs.evolve(
            progress, share=0.0, state="reversed", since=now, reason=comparison.reason
        )
    if progress.state == "done":
        return progress
    if not has_targets:
        return _wait_for_targets(progress, plan)
    if progress.share >= 1.0:
        if now - progress.since < HOLD_SECONDS:
            return progress
        return attrs.evolve(progress, state="done", since=now, reason="")
    planned_share = plan_share(plan, now)
    share = _choose_next_share(progress.share, planned_share, plan.first_share)
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


def needs_control(progress: Progress, now: float) -> bool:
    """Return whether a move is running or still subject to rollback."""
    if progress.state == "running":
        return True
    return progress.state == "done" and now - progress.since < ROLLBACK_SECONDS
