"""Explanation of the choice among the targets of one version of a service."""

from collections.abc import Iterator

import attrs

from ..mesh.candidates import Candidates
from ..mesh.member import Member
from ..policy.placement import (
    RISK_JITTER,
    Candidate,
    LoadView,
    RiskParts,
    assess_candidates,
)
from .messages import ExplainedTarget, Risk
from .snapshot import copy_candidates

__all__ = ["ChoiceInputs", "explain_targets"]


@attrs.frozen
class ChoiceInputs:
    """What the choice depends on besides the targets; times are in seconds."""

    body_bytes: int
    answer_bytes: int
    """Size of the route's answers if they are large, else 0."""
    baseline_latency: float
    time_left: float
    now: float


def explain_targets(
    candidates: Candidates, service: str, version: str, inputs: ChoiceInputs
) -> list[ExplainedTarget]:
    """Return the targets of a service in the order in which they would be tried."""
    candidates = copy_candidates(candidates)
    listed = list(
        candidates.list_open(service, version, inputs.body_bytes, inputs.answer_bytes)
    )
    assessed = assess_candidates(
        [candidate for candidate, _ in listed],
        inputs.baseline_latency,
        inputs.time_left,
        inputs.now,
    )
    entries = [
        (RiskParts(*parts), candidate, member)
        for parts, (candidate, member) in zip(assessed, listed, strict=True)
    ]
    entries.sort(key=lambda entry: entry[0].risk)
    explained = []
    for order, (parts, candidate, member) in enumerate(entries, 1):
        limit = entries[0][0].risk * (1 + RISK_JITTER)
        may_be_first = order == 1 or parts.risk < limit
        explained.append(
            _explain_open(
                candidates, candidate, member, parts, order, may_be_first, inputs.now
            )
        )
    explained.extend(_explain_others(candidates, service, version, inputs.now))
    return explained


def _explain_open(
    candidates: Candidates,
    candidate: Candidate,
    member: Member | None,
    parts: RiskParts,
    order: int,
    may_be_first: bool,
    now: float,
) -> ExplainedTarget:
    return ExplainedTarget(
        **_describe(candidates, member, candidate.view, now),
        obstacle="",
        transfer_seconds=candidate.transfer_seconds,
        order=order,
        may_be_first=may_be_first,
        risk=Risk(**parts._asdict()),
    )


def _explain_others(
    candidates: Candidates, service: str, version: str, now: float
) -> Iterator[ExplainedTarget]:
    """Yield the targets of a service that get no calls."""
    members: list[Member | None] = sorted(
        (m for m in candidates.peers.members.values() if m.service == service),
        key=lambda member: member.node,
    )
    if service == candidates.gate.service:
        members.append(None)
    for member in members:
        if member is None:
            obstacle = candidates.find_local_obstacle(version)
            candidates.refresh_local_view(now)
            view = candidates.local_view
        else:
            obstacle = "link-down"
            if member.is_up:
                obstacle = candidates.find_obstacle(member, version, now)
            view = member.view
        if obstacle:
            yield ExplainedTarget(
                **_describe(candidates, member, view, now),
                obstacle=obstacle,
                transfer_seconds=0.0,
                order=None,
                may_be_first=False,
                risk=None,
            )


def _describe(
    candidates: Candidates, member: Member | None, view: LoadView, now: float
) -> dict:
    """Return the fields that don't depend on the request."""
    age = now - view.reported_at
    gate = candidates.gate
    if member is None:
        fields = {
            "node": candidates.node,
            "target": gate.instance,
            "data_centre": candidates.data_centre,
            "version": gate.version,
            "slots": gate.queue.slots,
            "learned_limit": gate.queue.learned_limit,
            "is_cold": gate.cold.is_cold(now),
            "rate_limit": gate.notices.rate_limit.rate or 0.0,
        }
    else:
        fields = {
            "node": member.node,
            "target": member.state.name,
            "data_centre": member.data_centre,
            "version": member.state.version,
            "slots": member.state.slots,
            "learned_limit": None,
            "is_cold": member.state.is_cold,
            "rate_limit": member.state.rate_limit,
        }
    return {
        **fields,
        "is_local": member is None,
        "is_far": fields["data_centre"] != candidates.data_centre,
        "busy": view.busy,
        "sent_since_report": view.sent_since_report,
        "in_flight": view.in_flight,
        "report_age": age if age != float("inf") else None,
        "limit": view.limit,
        "mean_seconds": view.mean_seconds,
        "host_pace": view.host_pace.estimate(now),
        "failure_rate": view.failure_rate,
    }
