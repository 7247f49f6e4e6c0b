"""Checks of the documented guarantees against what clients and targets observed."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator

import attrs

from .clients import DEADLINE_SECONDS, Record
from .faults import InjectedFault
from .fleet import (
    APPLY_SECONDS,
    COLD_FACTOR,
    COLD_RATE,
    COLD_SLACK,
    DRAIN_SECONDS,
    EVACUATION_SECONDS,
    LIMIT_EXCESS_FACTOR,
    LIMIT_SLACK,
    LIMIT_WINDOW_SECONDS,
    STABLE_SECONDS,
    Fleet,
)
from .target import LimitPeriod, Run, SoakTarget

__all__ = ["Observations", "Violation", "count_statuses", "find_violations"]

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses which guarantee that the request has not run."""
LOST_STATUSES = frozenset({0, 502})
"""No answer, or a node's own in place of one that its target has begun to make."""
AFTEREFFECT_SECONDS = 3.0
"""Time after the end of a fault in which an answer may still be lost because of it; the
recovery is checked after this time."""
OVERRUN_SECONDS = 0.5
"""Tolerated delay of an answer beyond its deadline."""


@attrs.frozen
class Violation:
    """A violated guarantee."""

    guarantee: str
    text: str


@attrs.frozen
class Observations:
    """All that clients, targets and the fault injector recorded in one soak."""

    fleet: Fleet
    records: list[Record]
    injected_faults: list[InjectedFault]
    evacuations: list[tuple[str, float, float]]
    added_routes: dict[str, float] = attrs.Factory(dict)
    """Time at which each route was added, by its name."""

    @property
    def targets(self) -> list[SoakTarget]:
        """Return the targets of all nodes."""
        return [node.target for node in self.fleet.nodes]

    @property
    def runs(self) -> list[Run]:
        """Return the runs of all targets."""
        return [run for target in self.targets for run in target.run_log]

    def map_nodes(self) -> dict[str, str]:
        """Return the node at which each request began, by its id."""
        return {record.request_id: record.node for record in self.records}


def _check_runs(observations: Observations) -> Iterator[Violation]:
    counts = Counter(run.request_id for run in observations.runs)
    sent_ids = {record.request_id for record in observations.records}
    for record in observations.records:
        count = counts[record.request_id]
        is_unsafe = record.path.startswith("/write")
        if is_unsafe and count > 1:
            yield Violation("at-most-once", f"{record.request_id} ran {count} times")
        if is_unsafe and count and record.status in NOT_RUN_STATUSES:
            text = f"{record.request_id} ran but was answered {record.status}"
            yield Violation("true-refusal", text)
    for request_id in counts.keys() - sent_ids:
        yield Violation("asked-for", f"{request_id} ran, but no client sent it")


def _check_answers(observations: Observations) -> Iterator[Violation]:
    for record in observations.records:
        if record.status == 200 and record.body != record.request_id.encode():
            text = f"{record.request_id} got {record.body[:40]!r}"
            yield Violation("own-answer", text)
        took = record.ended - record.sent
        is_late = record.status and took > DEADLINE_SECONDS + OVERRUN_SECONDS
        if is_late and not _overlaps_fault(observations, record, kinds=("pause",)):
            text = f"{record.request_id} was answered after {took:.2f} s"
            yield Violation("in-time", text)


def _check_leaves(observations: Observations) -> Iterator[Violation]:
    for target in observations.targets:
        leave_times = dict(target.leaves)
        for run in target.run_log:
            left_at = leave_times.get(run.instance)
            if left_at is not None and run.started_at > left_at + DRAIN_SECONDS:
                text = (
                    f"{run.request_id} reached {run.instance} "
                    f"{run.started_at - left_at:.2f} s after its leave"
                )
                yield Violation("leave", text)


def _check_evacuations(observations: Observations) -> Iterator[Violation]:
    for centre, began, ended in observations.evacuations:
        for target in observations.targets:
            if target.data_centre != centre:
                continue
            for run in target.run_log:
                if began + EVACUATION_SECONDS < run.started_at < ended:
                    if _is_isolated(observations, target.node, run.started_at):
                        continue
                    text = (
                        f"{run.request_id} ran in {centre} "
                        f"{run.started_at - began:.2f} s after its evacuation"
                    )
                    yield Violation("evacuation", text)


def _check_cold(observations: Observations) -> Iterator[Violation]:
    limit = COLD_RATE * COLD_FACTOR + COLD_SLACK
    for target in observations.targets:
        starts = [run.started_at for run in target.run_log if run.is_cold]
        first = 0
        for index, started_at in enumerate(starts):
            while starts[first] <= started_at - 1.0:
                first += 1
            if index - first + 1 > limit:
                text = f"{target.node}: {index - first + 1} starts in one second"
                yield Violation("cold", text)
                break


def _find_limited_starts(
    observations: Observations, target: SoakTarget, period: LimitPeriod
) -> Iterator[float]:
    """Yield the starts for which the limit counts that a target named."""
    nodes = observations.map_nodes()
    for run in target.run_log:
        is_limited = period.began + STABLE_SECONDS <= run.started_at < period.ended
        if run.instance != period.instance or not is_limited:
            continue
        node = nodes.get(run.request_id)
        if not _was_restarted(observations, node, period.began, run.started_at):
            yield run.started_at


def _check_limits(observations: Observations) -> Iterator[Violation]:
    """Find targets that got more requests than the limit allows that they named."""
    for target in observations.targets:
        for period in target.limit_periods:
            starts = list(_find_limited_starts(observations, target, period))
            highest = max(
                (
                    sum(
                        start <= other < start + LIMIT_WINDOW_SECONDS
                        for other in starts
                    )
                    for start in starts
                ),
                default=0,
            )
            allowed = LIMIT_EXCESS_FACTOR * period.rate * LIMIT_WINDOW_SECONDS
            if highest > allowed + LIMIT_SLACK:
                text = f"{period.instance}: {highest} starts at {period.rate} a second"
                yield Violation("limit", text)


def _check_stated_leaves(observations: Observations) -> Iterator[Violation]:
    """Find requests of a node that had passed on an answer of a leaving target."""
    answered = {r.request_id: r for r in observations.records if r.ended}
    for target in observations.targets:
        passed_on: dict[tuple[str, str], float] = {}
        for run in target.run_log:
            stated_at = target.stated_leaves.get(run.instance, float("inf"))
            record = answered.get(run.request_id)
            if record is None or run.started_at < stated_at:
                continue
            key = (run.instance, record.node)
            known_at = passed_on.get(key, float("inf"))
            if record.sent > known_at + DRAIN_SECONDS and not _was_restarted(
                observations, record.node, known_at, run.started_at
            ):
                text = (
                    f"{run.request_id} reached {run.instance} "
                    f"{record.sent - known_at:.2f} s after its leave was known"
                )
                yield Violation("stated-leave", text)
            if record.status == 200:
                passed_on[key] = min(known_at, record.ended)


def _check_configuration(observations: Observations) -> Iterator[Violation]:
    """Find routes that a node process refuses after it has served them."""
    served: dict[tuple[str, int, str], float] = {}
    for record in sorted(observations.records, key=lambda record: record.sent):
        key = (record.node, record.incarnation, record.path)
        if record.status == 200:
            served.setdefault(key, record.ended)
        elif record.status == 404 and record.sent > served.get(key, float("inf")):
            text = (
                f"{record.request_id}: {record.path} no longer served by {record.node}"
            )
            yield Violation("no-return", text)


def _check_activation(observations: Observations) -> Iterator[Violation]:
    """Find added routes not in force in time although no unplanned fault overlaps."""
    for record in observations.records:
        added_at = observations.added_routes.get(
            record.path.split("/")[1], float("inf")
        )
        if record.status != 404 or record.sent <= added_at + APPLY_SECONDS:
            continue
        if not _overlaps_fault(observations, attrs.evolve(record, sent=added_at)):
            text = (
                f"{record.request_id}: {record.path} unknown after "
                f"{record.sent - added_at:.2f} s"
            )
            yield Violation("in-force", text)


def _check_lost_answers(observations: Observations) -> Iterator[Violation]:
    """Find answers that were lost without an unplanned fault."""
    for record in observations.records:
        if not record.was_sent or not record.ended:
            continue
        if record.status not in LOST_STATUSES:
            continue
        if not _overlaps_fault(observations, record):
            cause = record.cause or f"status {record.status}"
            text = f"{record.request_id} at {record.node}: {cause}"
            yield Violation("lost", text)


def _check_exits(observations: Observations) -> Iterator[Violation]:
    """Find processes that exited without being stopped."""
    for node in observations.fleet.nodes:
        if node.unexpected_exits:
            text = f"{node.name} exited {node.unexpected_exits} times"
            yield Violation("own-end", f"{text}, statuses {node.exit_statuses}")


def _check_recovery(observations: Observations) -> Iterator[Violation]:
    """Check that requests are served again once the faults are over."""
    recovery_start = (
        max((i.ended for i in observations.injected_faults), default=0.0)
        + AFTEREFFECT_SECONDS
    )
    later = [r for r in observations.records if r.sent > recovery_start and r.ended]
    if not later:
        yield Violation("recovery", "no request was sent after the faults")
        return
    served_count = sum(record.status == 200 for record in later)
    if served_count < 0.9 * len(later):
        statuses = Counter(record.status for record in later)
        text = f"{served_count} of {len(later)} served: {dict(statuses)}"
        yield Violation("recovery", text)


def _overlaps_fault(
    observations: Observations, record: Record, kinds: Iterable[str] = ()
) -> bool:
    """Return whether a fault of `kinds` (default: all unplanned) overlaps a request."""
    return any(
        fault.began <= record.ended and record.sent <= fault.ended + AFTEREFFECT_SECONDS
        for fault in observations.injected_faults
        if (fault.kind in kinds if kinds else not fault.is_planned)
    )


def _is_isolated(observations: Observations, node: str, moment: float) -> bool:
    """Return whether a fault may have kept a node from reading an evacuation order."""
    kinds = ("pause", "kill", "term")
    return any(
        fault.began <= moment and moment <= fault.ended + EVACUATION_SECONDS
        for fault in observations.injected_faults
        if (fault.node == node and fault.kind in kinds)
        or fault.kind.startswith("store-")
    )


def _was_restarted(
    observations: Observations, node: str | None, since: float, until: float
) -> bool:
    """Return whether a node was stopped or paused in some time."""
    kinds = ("pause", "kill", "term")
    return any(
        fault.began <= until and since <= fault.ended
        for fault in observations.injected_faults
        if fault.node == node and fault.kind in kinds
    )


def find_violations(observations: Observations) -> list[Violation]:
    """Return all violated guarantees."""
    checks = (
        _check_runs,
        _check_answers,
        _check_leaves,
        _check_evacuations,
        _check_cold,
        _check_limits,
        _check_stated_leaves,
        _check_configuration,
        _check_activation,
        _check_lost_answers,
        _check_exits,
        _check_recovery,
    )
    return [violation for check in checks for violation in check(observations)]


def count_statuses(records: Iterable[Record]) -> dict[str, int]:
    """Return how many requests ended with each status."""
    counts: dict[str, int] = defaultdict(int)
    for record in records:
        if not record.ended:
            continue
        counts[str(record.status) if record.was_sent else "no connection"] += 1
    return dict(counts)
