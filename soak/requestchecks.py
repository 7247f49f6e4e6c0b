"""Checks of single requests, each worded after a sentence of the users' rules."""

from collections.abc import Iterator

from .behaviours import CROSSING_KINDS
from .node import GRACE_SECONDS
from .observations import Observations, Violation, find_excuse, overlaps_fault
from .records import ROUTES, Record, Run, is_unsafe

__all__ = ["check_answers", "check_lost_answers", "check_runs"]

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses which guarantee that the request has not run."""
OWN_FAILURES = frozenset({500, 502, 504})
"""A node's own answers in place of one that a target makes, besides the refusals."""
HELD_UP_KINDS = ("pause", "slow-host", "starved")
OVERRUN_SECONDS = 0.5
"""Tolerated delay of an answer beyond its deadline."""
LOSS_SLACK_SECONDS = 0.2
"""Time after its last byte in which a request may cross the close of a node."""
ACCEPT_SECONDS = 3.0
"""Time after SIGTERM within which a request must be sent to be excused by its work in
the last sixth of the grace period."""


def check_runs(observations: Observations) -> Iterator[Violation]:
    """Check TWICE, REFUSED and UNASKED.

    A request that isn't idempotent runs more than once; or is answered 429 or 503 (or
    408, 421) and has run, or runs later. A target runs a request whose id no client
    sent, or one with path or body changed.
    """
    runs = observations.map_runs()
    records = {record.request_id: record for record in observations.records}
    for name, record in records.items():
        count = len(runs.get(name, ()))
        if is_unsafe(record.path) and count > 1:
            yield Violation("at-most-once", f"{name} ran {count} times", name)
        if is_unsafe(record.path) and count and record.status in NOT_RUN_STATUSES:
            text = f"{name} ran but was answered {record.status}"
            yield Violation("true-refusal", text, name)
    for name, located_runs in runs.items():
        record = records.get(name)
        if record is None:
            yield Violation("asked-for", f"{name} ran, but no client sent it", name)
            continue
        for _, run in located_runs:
            if (run.path, run.body_digest) != (record.path, record.body_digest):
                text = f"{name} ran with another path or body: {run.path}"
                yield Violation("asked-for", text, name)


def check_answers(observations: Observations) -> Iterator[Violation]:
    """Check MIXED, and that answers come in time.

    A client gets a success without the seal, or with a body that isn't the target's
    whole body, or where the target had answered with a failure; a failure bears a seal
    and another status than the target gave.
    """
    runs = observations.map_runs()
    for record in observations.records:
        answers = {
            (run.status, run.answer_digest)
            for _, run in runs.get(record.request_id, ())
        }
        got = (record.status, record.answer_digest)
        is_success = 200 <= record.status < 300
        if (is_success or (record.status and record.is_sealed)) and (
            got not in answers or not record.is_sealed
        ):
            text = f"{record.request_id} ({record.kind}) got {got}, not of {answers}"
            yield Violation("own-answer", text, record.request_id)
        # A client may read slowly, or send its body slowly.
        took = (record.answered or record.ended) - record.sent
        is_late = record.was_sent and took > record.deadline + OVERRUN_SECONDS
        if is_late and any(
            began <= record.ended and record.sent <= ended
            for began, ended in observations.fleet.stalls
        ):
            continue  # The client or its target was late, not the node.
        if is_late and not overlaps_fault(observations, record, HELD_UP_KINDS):
            text = f"{record.request_id} was answered after {took:.2f} s"
            yield Violation("in-time", text, record.request_id)


def check_lost_answers(observations: Observations) -> Iterator[Violation]:
    """Check LOST.

    A process has read a whole request and the connection ends without a complete
    answer, once it has been passed on to a target, or later than `loss_slack` after its
    last byte was sent; or it breaks off a request at which its target is at work and
    gives an answer of its own in its place. Not counted: the target broke off, or the
    deadline or the route's timeout was reached.
    """
    runs = observations.map_runs()
    for record in observations.records:
        located_runs = runs.get(record.request_id, [])
        if not _is_lost(record, [run for _, run in located_runs]):
            continue
        if _worked_in_last_sixth(observations, record, located_runs):
            continue
        nodes = [node for node, _ in located_runs]
        if find_excuse(observations, record, nodes) is None:
            cause = record.cause or f"status {record.status}"
            text = f"{record.request_id} ({record.kind}) at {record.node}: {cause}"
            yield Violation("lost", text, record.request_id)


def _is_lost(record: Record, runs: list[Run]) -> bool:
    if not record.was_sent or not record.ended or record.has_left:
        return False
    if "Timeout" in record.cause:
        return True
    timeout = ROUTES.get(f"/{record.route}/", {}).get("timeout", "1s")
    if record.ended >= record.sent + min(record.deadline, float(timeout[:-1])):
        return False
    if any(run.status in NOT_RUN_STATUSES for run in runs):
        return False  # The target broke off, by a status that denies its run.
    if not record.status:
        is_late = record.ended > record.written + LOSS_SLACK_SECONDS
        was_whole = record.written and (runs or is_late)
        return bool(was_whole or record.kind not in CROSSING_KINDS)
    if record.is_sealed:
        return False
    is_at_work = any(
        run.started_at < record.ended < run.ended and run.status for run in runs
    )
    is_refused = record.status in NOT_RUN_STATUSES
    return record.status in OWN_FAILURES or (is_refused and is_at_work)


def _worked_in_last_sixth(observations, record: Record, located_runs) -> bool:
    """Return whether a target worked late in the grace period of a planned stop.

    The request was sent no later than 3 s after the SIGTERM.
    """
    for fault in observations.injected_faults:
        if fault.node != record.node or fault.kind != "term":
            continue
        was_sent_early = 0 <= record.sent - fault.began <= ACCEPT_SECONDS
        last_sixth = fault.began + GRACE_SECONDS * 5 / 6
        if was_sent_early and any(run.ended >= last_sixth for _, run in located_runs):
            return True
    return False
