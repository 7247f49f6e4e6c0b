"""Checks of the documented guarantees against what clients and targets observed."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator

import attrs

from .answers import UNSERVED_SHAPES
from .behaviours import CROSSING_KINDS
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
    MEMORY_MB,
    STABLE_SECONDS,
)
from .observations import (
    AFTEREFFECT_SECONDS,
    Observations,
    Violation,
    is_isolated,
    overlaps_fault,
    was_restarted,
)
from .records import Record
from .requestchecks import check_answers, check_lost_answers, check_runs
from .target import LimitPeriod, SoakTarget
from .usagechecks import USAGE_CHECKS

__all__ = ["count_statuses", "find_violations"]

OWN_ERRORS = (b"task-failed", b"call-crashed")
"""Events by which a node tells its operator of an error of its own."""


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
                    if is_isolated(observations, target.node, run.started_at):
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
        if not was_restarted(observations, node, period.began, run.started_at):
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
            if record.sent > known_at + DRAIN_SECONDS and not was_restarted(
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
    """Find added routes not in force in time.

    An unplanned fault excuses that while it lasts and for a while after its end.
    """
    for record in observations.records:
        added_at = observations.added_routes.get(
            record.path.split("/")[1], float("inf")
        )
        if record.status != 404 or record.sent <= added_at + APPLY_SECONDS:
            continue
        since = max(added_at, record.sent - APPLY_SECONDS)
        if not overlaps_fault(observations, attrs.evolve(record, sent=since)):
            text = (
                f"{record.request_id}: {record.path} unknown after "
                f"{record.sent - added_at:.2f} s"
            )
            yield Violation("in-force", text)


def _check_exits(observations: Observations) -> Iterator[Violation]:
    """Find processes that exited without being stopped."""
    for node in observations.fleet.nodes:
        if node.unexpected_exits:
            text = f"{node.name} exited {node.unexpected_exits} times"
            yield Violation("own-end", f"{text}, statuses {node.exit_statuses}")


def _check_logs(observations: Observations) -> Iterator[Violation]:
    """Find tasks and calls of a process that ended in an error of its own."""
    for node in observations.fleet.nodes:
        log = node.log_path.read_bytes() if node.log_path.exists() else b""
        for event in OWN_ERRORS:
            if count := log.count(b'"event":"%s"' % event):
                text = f"{node.name} logged {event.decode()} {count} times"
                yield Violation("own-error", text)


def _check_memory(observations: Observations) -> Iterator[Violation]:
    """Find processes that took more than their memory, at which the users end them."""
    for node in observations.fleet.nodes:
        if node.peak_mb > MEMORY_MB:
            yield Violation("memory", f"{node.name} took {node.peak_mb:.0f} MB")


def _check_recovery(observations: Observations) -> Iterator[Violation]:
    """Check that requests are served again once the faults are over."""
    recovery_start = (
        max(
            (i.ended for i in observations.injected_faults if i.kind != "starved"),
            default=0.0,
        )
        + AFTEREFFECT_SECONDS
    )
    later = [
        record
        for record in observations.records
        if record.sent > recovery_start
        and record.ended
        and not record.has_left
        and record.kind not in CROSSING_KINDS | {"connect", "changing-keys"}
        and record.shape not in UNSERVED_SHAPES | {"calls"}
    ]
    if not later:
        yield Violation("recovery", "no request was sent after the faults")
        return
    served_count = sum(record.status == 200 for record in later)
    if served_count < 0.9 * len(later):
        statuses = Counter(record.status for record in later)
        text = f"{served_count} of {len(later)} served: {dict(statuses)}"
        yield Violation("recovery", text)


def find_violations(observations: Observations) -> list[Violation]:
    """Return all violated guarantees."""
    checks = (
        check_runs,
        check_answers,
        _check_leaves,
        _check_evacuations,
        _check_cold,
        _check_limits,
        _check_stated_leaves,
        _check_configuration,
        _check_activation,
        check_lost_answers,
        _check_exits,
        _check_logs,
        _check_memory,
        _check_recovery,
    )
    found = [violation for check in checks for violation in check(observations)]
    for name, check in USAGE_CHECKS.items():
        found.extend(Violation(name, text) for text in check(observations))
    return found


def count_statuses(records: Iterable[Record]) -> dict[str, int]:
    """Return how many requests ended with each status."""
    counts: dict[str, int] = defaultdict(int)
    for record in records:
        if not record.ended:
            continue
        counts[str(record.status) if record.was_sent else "no connection"] += 1
    return dict(counts)
