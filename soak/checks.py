"""The promises of the pages, checked from what clients and targets saw."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator

import attrs

from .clients import DEADLINE_SECONDS, Record
from .faults import Injury
from .fleet import (
    APPLY_SECONDS,
    COLD_FACTOR,
    COLD_RATE,
    COLD_SLACK,
    DRAIN_SECONDS,
    EVACUATION_SECONDS,
    Fleet,
)
from .target import Run, SoakTarget

__all__ = ["Evidence", "Finding", "count_by", "find_faults"]

REFUSED = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request has not run."""
CALM_SECONDS = 3.0
"""Time after a fault in which its after-effects excuse a cut answer."""
LATE_SECONDS = 0.5
"""Time past a deadline within which an answer is due."""


@attrs.frozen
class Finding:
    """One broken promise."""

    rule: str
    text: str


@attrs.frozen
class Evidence:
    """Everything that was seen in one soak."""

    fleet: Fleet
    records: list[Record]
    injuries: list[Injury]
    evacuations: list[tuple[str, float, float]]
    added: dict[str, float] = attrs.Factory(dict)
    """Routes that were added, and when."""

    @property
    def targets(self) -> list[SoakTarget]:
        """Return the targets."""
        return [node.target for node in self.fleet.nodes]

    @property
    def runs(self) -> list[Run]:
        """Return all runs."""
        return [run for target in self.targets for run in target.log]


def _check_runs(seen: Evidence) -> Iterator[Finding]:
    counts = Counter(run.request for run in seen.runs)
    known = {record.request for record in seen.records}
    for record in seen.records:
        count = counts[record.request]
        is_unsafe = record.path.startswith("/write")
        if is_unsafe and count > 1:
            yield Finding("at-most-once", f"{record.request} ran {count} times")
        if is_unsafe and count and record.status in REFUSED:
            text = f"{record.request} ran and was answered {record.status}"
            yield Finding("true-refusal", text)
    for request in counts.keys() - known:
        yield Finding("asked-for", f"{request} ran, and no client sent it")


def _check_answers(seen: Evidence) -> Iterator[Finding]:
    for record in seen.records:
        if record.status == 200 and record.body != record.request.encode():
            text = f"{record.request} got {record.body[:40]!r}"
            yield Finding("own-answer", text)
        took = record.ended - record.sent
        is_late = record.status and took > DEADLINE_SECONDS + LATE_SECONDS
        if is_late and not _is_disturbed(seen, record, kinds=("pause",)):
            text = f"{record.request} was answered after {took:.2f} s"
            yield Finding("in-time", text)


def _check_leaves(seen: Evidence) -> Iterator[Finding]:
    for target in seen.targets:
        left = dict(target.leaves)
        for run in target.log:
            at = left.get(run.instance)
            if at is not None and run.at > at + DRAIN_SECONDS:
                text = f"{run.request} reached {run.instance} {run.at - at:.2f} s later"
                yield Finding("leave", text)


def _check_evacuations(seen: Evidence) -> Iterator[Finding]:
    for centre, began, ended in seen.evacuations:
        for target in seen.targets:
            if target.data_centre != centre:
                continue
            for run in target.log:
                if began + EVACUATION_SECONDS < run.at < ended:
                    if _is_cut_off(seen, target.node, run.at):
                        continue
                    text = f"{run.request} ran in {centre} {run.at - began:.2f} s later"
                    yield Finding("evacuation", text)


def _check_cold(seen: Evidence) -> Iterator[Finding]:
    bound = COLD_RATE * COLD_FACTOR + COLD_SLACK
    for target in seen.targets:
        starts = [run.at for run in target.log if run.is_cold]
        first = 0
        for index, at in enumerate(starts):
            while starts[first] <= at - 1.0:
                first += 1
            if index - first + 1 > bound:
                text = f"{target.node}: {index - first + 1} starts in one second"
                yield Finding("cold", text)
                break


def _check_configuration(seen: Evidence) -> Iterator[Finding]:
    """Find routes that one life of a node refuses after it has served them."""
    served: dict[tuple[str, int, str], float] = {}
    for record in sorted(seen.records, key=lambda record: record.sent):
        key = (record.node, record.life, record.path)
        if record.status == 200:
            served.setdefault(key, record.ended)
        elif record.status == 404 and record.sent > served.get(key, float("inf")):
            text = f"{record.request}: {record.path} refused by {record.node} again"
            yield Finding("no-return", text)


def _check_in_force(seen: Evidence) -> Iterator[Finding]:
    """Find routes that were added and not known in time, with nothing disturbed."""
    for record in seen.records:
        added = seen.added.get(record.path.split("/")[1], float("inf"))
        if record.status != 404 or record.sent <= added + APPLY_SECONDS:
            continue
        if not _is_disturbed(seen, attrs.evolve(record, sent=added)):
            text = f"{record.request}: {record.path} after {record.sent - added:.2f} s"
            yield Finding("in-force", text)


def _check_lost(seen: Evidence) -> Iterator[Finding]:
    """Find answers that were lost though only planned work was done."""
    for record in seen.records:
        if record.status or not record.was_sent or not record.ended:
            continue
        if not _is_disturbed(seen, record):
            text = f"{record.request} at {record.node}: {record.cause}"
            yield Finding("lost", text)


def _check_ends(seen: Evidence) -> Iterator[Finding]:
    """Find processes that ended without having been told to."""
    for node in seen.fleet.nodes:
        if node.own_ends:
            yield Finding("own-end", f"{node.name} ended {node.own_ends} times")


def _check_recovery(seen: Evidence) -> Iterator[Finding]:
    """Find whether too little is served once the faults are over."""
    over = max((i.ended for i in seen.injuries), default=0.0) + CALM_SECONDS
    after = [r for r in seen.records if r.sent > over and r.ended]
    if not after:
        yield Finding("recovery", "nothing was sent after the faults")
        return
    good = sum(record.status == 200 for record in after)
    if good < 0.9 * len(after):
        statuses = Counter(record.status for record in after)
        text = f"{good} of {len(after)} served: {dict(statuses)}"
        yield Finding("recovery", text)


def _is_disturbed(seen: Evidence, record: Record, kinds: Iterable[str] = ()) -> bool:
    """Return whether a fault that is no planned work excuses a request."""
    return any(
        injury.began <= record.ended and record.sent <= injury.ended + CALM_SECONDS
        for injury in seen.injuries
        if (injury.kind in kinds if kinds else not injury.is_planned)
    )


def _is_cut_off(seen: Evidence, node: str, at: float) -> bool:
    """Return whether a node could not hear of an order within its bound."""
    kinds = ("pause", "kill", "term")
    return any(
        injury.began <= at and at <= injury.ended + EVACUATION_SECONDS
        for injury in seen.injuries
        if (injury.node == node and injury.kind in kinds)
        or injury.kind.startswith("store-")
    )


def find_faults(seen: Evidence) -> list[Finding]:
    """Return every broken promise."""
    checks = (
        _check_runs,
        _check_answers,
        _check_leaves,
        _check_evacuations,
        _check_cold,
        _check_configuration,
        _check_in_force,
        _check_lost,
        _check_ends,
        _check_recovery,
    )
    return [finding for check in checks for finding in check(seen)]


def count_by(records: Iterable[Record]) -> dict[str, int]:
    """Return how many requests ended with each status."""
    counts: dict[str, int] = defaultdict(int)
    for record in records:
        if not record.ended:
            continue
        counts[str(record.status) if record.was_sent else "no connection"] += 1
    return dict(counts)
