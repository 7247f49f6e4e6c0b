"""Checks of the soak, one by one, on made-up observations; and its timelines."""

from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from soak.checks import find_violations
from soak.observations import Observations, Violation
from soak.records import InjectedFault, Record, Run
from soak.target import LimitPeriod, SoakTarget
from soak.timeline import write_timelines
from soak.usage import Keys, UsageWatch

NO_LOG = Path("no-log")


class _SingleTargetFleet:
    """Stand-in for a fleet with one target."""

    def __init__(self, target, unexpected_exits, peak_mb, log_path):
        self.name, self.peak_mb, self.log_path = "n", peak_mb, log_path
        self.unexpected_exits = unexpected_exits
        self.exit_statuses = [1] * unexpected_exits
        self.target = target
        self.keys, self.usage = Keys(), UsageWatch()
        self.nodes = [self]
        self.stalls = []


def make_observations(
    records=(),
    runs=(),
    injected_faults=(),
    evacuations=(),
    leaves=(),
    added_routes=(),
    unexpected_exits=0,
    limit_periods=(),
    stated_leaves=(),
    peak_mb=0,
    log_path=NO_LOG,
):
    """Return the observations of one target in the data centre `dc`."""
    target = SoakTarget(node="n", data_centre="dc")
    target.run_log = list(runs)
    target.leaves = list(leaves)
    target.limit_periods = list(limit_periods)
    target.stated_leaves = dict(stated_leaves)
    records = [*records, make_record("late", sent=1000.0, ended=1000.1)]
    ran = {run.request_id for run in runs}
    target.run_log += [
        make_run(record.request_id, record.path, record.sent)
        for record in records
        if record.status == 200 and record.request_id not in ran
    ]
    # A planned fault explains no violation; recovery is checked after its end.
    harmless = InjectedFault("hup", "n", 0.0, 500.0)
    injected_faults = [*injected_faults, harmless]
    return Observations(
        _SingleTargetFleet(target, unexpected_exits, peak_mb, log_path),
        records,
        injected_faults,
        list(evacuations),
        dict(added_routes),
    )


def make_record(request_id="r", path="/read/x", status=200, **fields):
    """Return the record of a request sent at 10 s; a node's own answer unless 200."""
    values = {"node": "n", "incarnation": 1, "sent": 10.0, "ended": 10.1}
    values |= {"answer_digest": request_id, "is_sealed": status == 200, **fields}
    return Record(request_id, path, status=status, **values)


def make_run(request_id="r", path="/read/x", started_at=10.0, **fields):
    """Return a run of the instance `i`."""
    values = {"is_cold": False, "status": 200, "ended": started_at + 0.05}
    values |= {"answer_digest": request_id, **fields}
    return Run(request_id, path, "i", started_at, **values)


@pytest.mark.parametrize(
    ("guarantee", "observations"),
    [
        (
            "at-most-once",
            {
                "records": [make_record(path="/write/z")],
                "runs": [make_run(path="/write/z")] * 2,
            },
        ),
        (
            "true-refusal",
            {
                "records": [make_record(path="/write/z", status=503)],
                "runs": [make_run(path="/write/z")],
            },
        ),
        ("asked-for", {"runs": [make_run("never-sent")]}),
        (
            "asked-for",
            {"records": [make_record()], "runs": [make_run(body_digest="changed")]},
        ),
        (
            "own-answer",
            {"records": [make_record(answer_digest="another")], "runs": [make_run()]},
        ),
        ("own-answer", {"records": [make_record(is_sealed=False)]}),
        (
            "own-answer",
            {
                "records": [make_record(status=500, is_sealed=True)],
                "runs": [make_run()],
            },
        ),
        ("in-time", {"records": [make_record(ended=12.0)]}),
        (
            "leave",
            {
                "records": [make_record()],
                "runs": [make_run(started_at=12.5)],
                "leaves": [("i", 10.0)],
            },
        ),
        (
            "evacuation",
            {
                "records": [make_record()],
                "runs": [make_run(started_at=16.0)],
                "evacuations": [("dc", 10.0, 20.0)],
            },
        ),
        (
            "cold",
            {
                "records": [make_record()],
                "runs": [
                    make_run(started_at=10 + n / 100, is_cold=True) for n in range(30)
                ],
            },
        ),
        (
            "limit",
            {
                "records": [make_record()],
                "runs": [make_run(started_at=10 + n / 10) for n in range(12)],
                "limit_periods": [LimitPeriod("i", 1.0, 7.0)],
            },
        ),
        (
            "stated-leave",
            {
                "records": [
                    make_record("r", sent=10.0, ended=10.1),
                    make_record("s", sent=12.2, ended=12.3),
                ],
                "runs": [make_run("r"), make_run("s", started_at=12.2)],
                "stated_leaves": [("i", 9.0)],
            },
        ),
        (
            "no-return",
            {
                "records": [
                    make_record("r", path="/v3/x"),
                    make_record("s", path="/v3/x", status=404, sent=11.0, ended=11.1),
                ],
            },
        ),
        (
            "in-force",
            {
                "records": [make_record(path="/v4/x", status=404)],
                "added_routes": [("v4", 7.5)],
            },
        ),
        (
            "lost",
            {
                "records": [make_record(status=0)],
                "injected_faults": [InjectedFault("term", "n", 9.0, 12.0)],
            },
        ),
        (
            "lost",
            {
                "records": [make_record(status=502)],
                "injected_faults": [InjectedFault("term", "n", 9.0, 12.0)],
            },
        ),
        ("lost", {"records": [make_record(status=504)]}),
        (
            "lost",
            {
                "records": [make_record(status=503)],
                "runs": [make_run(ended=10.2)],
            },
        ),
        (
            "lost",
            {
                "records": [make_record(status=0, kind="until-gone", written=10.01)],
                "runs": [make_run()],
            },
        ),
        (
            "lost",
            {
                "records": [
                    make_record(status=0, kind="until-gone", written=10.01, ended=10.25)
                ],
            },
        ),
        (
            "lost",
            {
                "records": [make_record(status=502)],
                "injected_faults": [
                    InjectedFault("store-cut", "n", 9.0, 12.0),
                    InjectedFault("answers-lost", "another", 9.0, 12.0),
                ],
                "runs": [make_run()],
            },
        ),
        ("memory", {"peak_mb": 301}),
        ("own-end", {"unexpected_exits": 1}),
        (
            "recovery",
            {
                "records": [
                    make_record(f"q{n}", status=503, sent=900.0, ended=900.1)
                    for n in range(9)
                ],
                "injected_faults": [InjectedFault("kill", "n", 9.0, 12.0)],
            },
        ),
    ],
)
def test_each_violation_is_detected(guarantee, observations):
    """Observations that violate one guarantee yield exactly that violation."""
    found = {
        violation.guarantee
        for violation in find_violations(make_observations(**observations))
    }
    assert_that(found, Equals({guarantee}))


def test_restart_of_the_first_node_excuses_it():
    """A node that has restarted need not know what answers said before."""
    observations = make_observations(
        records=[
            make_record("r", sent=10.0, ended=10.1),
            *(make_record(f"s{n}", sent=12.2, ended=12.3) for n in range(12)),
        ],
        runs=[
            make_run("r"),
            *(make_run(f"s{n}", started_at=12.2) for n in range(12)),
        ],
        limit_periods=[LimitPeriod("i", 1.0, 7.0)],
        stated_leaves=[("i", 9.0)],
        injected_faults=[InjectedFault("kill", "n", 10.5, 11.0)],
    )
    assert_that(find_violations(observations), Equals([]))


def test_unplanned_fault_excuses_a_lost_answer():
    """An answer lost right after a kill is not a violation."""
    observations = make_observations(
        records=[make_record(status=0)],
        injected_faults=[InjectedFault("kill", "n", 9.0, 9.5)],
    )
    assert_that(find_violations(observations), Equals([]))


@pytest.mark.parametrize(
    "record",
    [
        {"status": 0, "kind": "until-gone", "written": 10.01},
        {"status": 504, "ended": 11.0},
        {"status": 0, "has_left": True},
    ],
)
def test_allowed_ends_are_no_loss(record):
    """A crossing of the close, an answer at the deadline, and a client that left."""
    observations = make_observations(records=[make_record(**record)])
    assert_that(find_violations(observations), Equals([]))


def test_fault_at_a_node_that_was_tried_excuses_a_loss(tmp_path):
    """A request that ran elsewhere may be lost at the target of its second try."""
    path = tmp_path / "n.log"
    path.write_text('{"event":"call-failed","request":"r","target":"m"}\n')
    values = {
        "records": [make_record(status=502)],
        "runs": [make_run()],
        "injected_faults": [InjectedFault("target-crash", "m", 9.0, 12.0)],
    }
    excused = find_violations(make_observations(**values, log_path=path))
    assert_that(excused, Equals([]))
    found = find_violations(make_observations(**values))
    assert_that([v.guarantee for v in found], Equals(["lost"]))


def test_error_in_a_log_is_detected(tmp_path):
    """A task that failed and was started again is seen by the operator alone."""
    path = tmp_path / "n.log"
    path.write_text('{"mono":1.0,"event":"task-failed"}\n')
    found = find_violations(make_observations(log_path=path))
    assert_that([v.guarantee for v in found], Equals(["own-error"]))


def test_timeline_joins_client_node_and_target(tmp_path):
    """A violation of one request names its place in each record."""
    (tmp_path / "n.log").write_text(
        '{"mono":10.02,"node":"n","event":"call-failed","request":"r"}\n{"mo'
    )
    observations = make_observations(
        records=[make_record(status=502)],
        runs=[make_run()],
        injected_faults=[InjectedFault("term", "n", 9.0, 12.0)],
    )
    path = tmp_path / "timelines.txt"
    violations = [Violation("lost", "r at n", "r")]
    write_timelines(observations, violations, tmp_path, path)
    text = path.read_text()
    for part in ("status 502", "target of n", "call-failed", "term begins"):
        assert_that(text, Contains(part))
