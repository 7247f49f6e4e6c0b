"""The soak's checks of tenants' keys and usage reports, on made-up observations."""

from pathlib import Path
from types import SimpleNamespace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from soak.observations import Observations
from soak.records import InjectedFault, Record, Run
from soak.target import SoakTarget
from soak.usage import Keys, UsageWatch
from soak.usagechecks import USAGE_CHECKS
from standins.usageapi import UsageReport

NO_LOG = Path("no-log")
RUNS = 100
"""Runs of a tenant in window 2, which lasts from 10 to 15 s."""


def make_call(at=16.0, holder="a", token=1, window=2, count=RUNS, status=204):
    """Return a report of a window as the API got it."""
    return UsageReport(holder, token, window, {"pulo": count}, status, at)


def make_row(at=15.5, holder="a", token=1):
    """Return a write of the duty's row."""
    return at, holder, token


def find_violated(
    calls=None, rows=None, faults=(), records=(), keys=(), stalls=(), log_path=NO_LOG
):
    """Return the violated rules; without arguments, all rules are kept."""
    usage = UsageWatch(clock_offset=0.0)
    usage.api.calls = [make_call()] if calls is None else list(calls)
    usage.rows = [make_row()] if rows is None else list(rows)
    all_keys = Keys()
    all_keys.changing = list(keys)
    starts = [10.2 + 4.6 * number / RUNS for number in range(RUNS)]
    target = SoakTarget(node="a")
    target.run_log = [
        Run(f"r{number}", "/read/x", "i", start, False, tenant="pulo")
        for number, start in enumerate(starts)
    ]
    node = SimpleNamespace(name="a", target=target, log_path=log_path)
    fleet = SimpleNamespace(
        nodes=[node], keys=all_keys, usage=usage, stalls=list(stalls)
    )
    end = InjectedFault("hup", "a", 19.0, 19.0)
    observations = Observations(fleet, list(records), [*faults, end], [])
    return {name for name, check in USAGE_CHECKS.items() if list(check(observations))}


def make_record(status=200, **fields):
    """Return the record of a request sent at 10 s with a key of pulo."""
    values = {"key": "key-of-pulo-9", "ended": 10.1, "is_sealed": status == 200}
    return Record("r", "/read/x", "a", 1, 10.0, status=status, **{**values, **fields})


def make_key(removed):
    """Return a key of pulo that was removed."""
    (key,) = [Keys().add(0.0)]
    key.text, key.added, key.removed = "key-of-pulo-9", 1.0, removed
    return key


def test_kept_rules_yield_nothing():
    """Guards against checks that report what is allowed."""
    assert_that(find_violated(), Equals(set()))


@pytest.mark.parametrize(
    ("rule", "observations"),
    [
        ("one-count", {"calls": [make_call(), make_call(16.5, count=101)]}),
        (
            "token",
            {"rows": [make_row(11.0, "b"), make_row()]},
        ),
        (
            "token",
            {
                "calls": [
                    make_call(15.6, token=2),
                    make_call(15.7, token=1),
                ],
                "rows": [make_row(15.5, token=2), make_row(15.65, token=1)],
            },
        ),
        (
            "turns",
            {
                "calls": [
                    make_call(16.0),
                    make_call(17.0, "b", 2),
                    make_call(18.0, "a", 3),
                ],
                "rows": [
                    make_row(15.9),
                    make_row(16.9, "b", 2),
                    make_row(17.9, "a", 3),
                ],
            },
        ),
        ("lease", {"calls": [make_call(18.6)]}),
        ("lease", {"rows": []}),
        ("lease", {"rows": [make_row(), make_row(15.9, "b", 2)]}),
        ("reported", {"calls": []}),
        ("reported", {"calls": [make_call(status=503)]}),
        ("reported", {"calls": [make_call(25.1)], "rows": [make_row(25.0)]}),
        ("usage-off", {"calls": [make_call(count=92)]}),
        ("usage-off", {"calls": [make_call(count=107)]}),
        (
            "usage-off",
            {
                "calls": [make_call(19.1, count=60)],
                "rows": [make_row(19.0)],
                "faults": [InjectedFault("pause", "a", 14.9, 17.8)],
            },
        ),
        ("removed-key", {"records": [make_record()], "keys": [make_key(4.9)]}),
    ],
)
def test_each_broken_rule_is_detected(rule, observations):
    """Observations that break one rule yield exactly that rule."""
    assert_that(find_violated(**observations), Equals({rule}))


def test_key_in_a_log_is_detected(tmp_path):
    """Guards against a key that only the operator of a node would see."""
    path = tmp_path / "a.log"
    path.write_text('{"event":"x","key":"key-of-pulo-9"}\n')
    found = find_violated(keys=[make_key(1.0)], log_path=path)
    assert_that(found, Equals({"secret"}))


@pytest.mark.parametrize(
    "observations",
    [
        # A call that was on its way when its sender was frozen, and one that was stuck.
        {
            "calls": [make_call(), make_call(18.9)],
            "faults": [InjectedFault("pause", "a", 16.1, 18.7)],
        },
        {"calls": [make_call(), make_call(18.9)], "stalls": [(16.1, 18.7)]},
        # The counts of a node that was killed, and calls to a target that ran none.
        {
            "calls": [make_call(count=85)],
            "faults": [InjectedFault("kill", "a", 14.8, 15.0)],
        },
        # A node that was silent when the window had to be fixed, as the rules allow.
        {
            "calls": [make_call(19.1, count=0)],
            "rows": [make_row(19.0)],
            "faults": [InjectedFault("pause", "a", 14.9, 18.8)],
        },
        {
            "calls": [make_call(count=107)],
            "records": [make_record(502)],
            "keys": [make_key(float("inf"))],
        },
        # The API was down for all nodes when the report was due.
        {
            "calls": [make_call(26.0)],
            "rows": [make_row(25.0)],
            "faults": [InjectedFault("api-busy", "a", 15.0, 18.0)],
        },
        {"records": [make_record()], "keys": [make_key(5.1)]},
        {"records": [make_record(401)], "keys": [make_key(1.0)]},
    ],
)
def test_allowed_cases_are_no_violations(observations):
    """Guards against checks that blame a node for what the rules excuse."""
    assert_that(find_violated(**observations), Equals(set()))
