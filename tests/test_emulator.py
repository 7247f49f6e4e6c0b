"""Tests of the emulator: load files, virtual time and runs of whole loads."""

import asyncio
import os
import random
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, LessThan

from cactusshed.clock import read_monotonic
from cactusshed.control import main
from cactusshed.emulator.clients import run_load
from cactusshed.emulator.fleet import EmulatedFleet
from cactusshed.emulator.load import InvalidLoad, read_load
from cactusshed.emulator.report import aggregate_outcomes
from cactusshed.emulator.virtualtime import run_in_virtual_time

RECOVERY = Path(__file__).parent.parent / "examples" / "recovery.load"
SMALL = """
[load]
seconds = 3
data-centres = a, b
[service s]
slots = 4
speeds = 1.0, 0.5
[class read]
service = s
per-second = {rate}
work-ms = 50
aim-ms = 200
deadline-ms = 500
"""
POWER_LOSS = """
[load]
seconds = 3
data-centres = a, b, c
[outage power]
at = 1
seconds = 0.5
data-centre = a
[service s]
slots = 16
[service t]
slots = 16
[class read]
service = s
per-second = 300
work-ms = 90
calls = lookup
call-count = 2
calls-at-once = yes
[class lookup]
service = t
work-ms = 30
retries = 0
"""


def emulate_load(path, seed=1):
    """Run a load file; return the load, its fleet and the outcomes."""
    load = read_load(path)

    async def main():
        fleet = EmulatedFleet(load, random.Random(seed))
        return fleet, await run_load(fleet, random.Random(seed + 1))

    return load, *run_in_virtual_time(main)


@pytest.fixture
def write_load(tmp_path):
    """Return a function that writes a load file and returns its path."""

    def write(text):
        path = tmp_path / "test.load"
        path.write_text(text)
        return path

    return write


def test_virtual_sleep_takes_no_real_time():
    """A sleep of an hour returns at once, and the monotonic clock advances by it."""

    async def main():
        before = read_monotonic()
        await asyncio.sleep(3600)
        return read_monotonic() - before

    assert_that(run_in_virtual_time(main), Equals(3600.0))


def test_all_errors_of_a_load_are_reported(write_load):
    """One message lists a bad value and an unknown option, each with its section."""
    path = write_load(SMALL.format(rate="many") + "colour = red\ncalls = nothing\n")
    with pytest.raises(InvalidLoad) as caught:
        read_load(path)
    assert_that(str(caught.value), Contains("[class read] per-second: 'many'"))
    assert_that(str(caught.value), Contains("[class read] colour: unknown"))


def test_unknown_service_is_refused(write_load):
    """A class whose service has no section makes the load invalid."""
    text = SMALL.format(rate=1).replace("service = s", "service = other")
    with pytest.raises(InvalidLoad):
        read_load(write_load(text))


def test_light_load_is_served_in_time(write_load):
    """Far below capacity no request is refused or fails."""
    load, _, outcomes = emulate_load(write_load(SMALL.format(rate=20)))
    (row,) = aggregate_outcomes(outcomes, load, lambda _outcome: "all").values()
    assert_that(row.refused + row.failed, Equals(0))
    assert_that(row.earned_share, GreaterThan(0.9))


def test_same_seed_gives_the_same_outcomes(write_load):
    """Two runs of a load with one seed have identical outcomes."""
    path = write_load(SMALL.format(rate=150))
    assert_that(emulate_load(path)[2], Equals(emulate_load(path)[2]))


def test_same_seed_gives_the_same_report_in_every_process(write_load):
    """Two processes with other hash seeds and memory addresses report the same.

    Guards against sets of tasks, which are ordered by address: a data centre loses
    power while clients of the others have requests there, which are aborted in turn.
    """
    path = write_load(POWER_LOSS)
    reports = [
        subprocess.run(  # noqa: S603
            [sys.executable, "-m", "cactusshed.control", "emulate", str(path)],
            cwd=RECOVERY.parent.parent,
            env={**os.environ, "PYTHONHASHSEED": seed, "PYTHONMALLOC": allocator},
            capture_output=True,
            check=True,
            text=True,
        ).stdout
        for seed, allocator in (("1", "pymalloc"), ("2", "malloc"))
    ]
    assert_that(reports[0], Contains("read"))
    assert_that(reports[1], Equals(reports[0]))


def test_command_prints_classes_and_seconds(write_load):
    """The report has a row for the class and a line for each second of arrival."""
    path = write_load(SMALL.format(rate=150))
    result = CliRunner().invoke(main, ["emulate", str(path)])
    assert_that(result.exit_code, Equals(0))
    assert_that(result.output, Contains("read"))
    assert_that(result.output, Contains("    2 0."))


def test_cold_targets_are_not_overloaded_after_an_outage():
    """All targets restart cold under full traffic, and clients retry.

    Guards against overload that keeps the fleet from recovering after an outage.
    """
    load, fleet, outcomes = emulate_load(RECOVERY)
    # Cold rate in the load file, times `COLD_FACTOR`, plus `COLD_SLACK`.
    bound = 47 * 1.5 + 5
    peak_cold_rate = max(node.target.peak_cold_rate for node in fleet.nodes)
    assert_that(peak_cold_rate, LessThan(bound + 1))
    # The targets are warm by then, so most requests must succeed again.
    later = [o for o in outcomes if o.arrived_at >= 8.0]
    (row,) = aggregate_outcomes(later, load, lambda _outcome: "all").values()
    assert_that(row.earned_share, GreaterThan(0.5))
