"""Tests of the control traffic: byte counts, no bounds on wall time.

The users' budget is 18 KB a second per node, whatever the size of the fleet.
"""

import time

from testtools.assertions import assert_that
from testtools.matchers import LessThan

from cactusshed.tree.edit import parse_tree_file
from standins.fleet import open_fleet
from standins.process import wait_for

from .conftest import BASIC
from .fleets import sees_all_alive, wait_version

BUDGET_BYTES_PER_SECOND = 18 * 1024
WINDOW_SECONDS = 6
SMALL, LARGE = 4, 12
GROWTH = 1.5
"""Allowed ratio of the cost per node in the large and small fleet; covers noise."""
COUNTERS = (
    "cactusshed_control_bytes_sent_total",
    "cactusshed_control_bytes_received_total",
)


def read_bytes(fleet):
    """Return the control bytes of each node since its start."""
    metrics = {name: fleet.fetch_metrics(name) for name in fleet.nodes}
    return {name: sum(m.get(c, 0.0) for c in COUNTERS) for name, m in metrics.items()}


def measure_fleet(folder, size):
    """Return control bytes per second: mean per idle node, worst node under changes."""
    with open_fleet(folder) as fleet:
        for index in range(size):
            fleet.start_node(f"n{index}", "dakar")
        fleet.wait_ready()
        wait_for(
            "members", lambda: all(sees_all_alive(fleet, n) for n in fleet.nodes), 60
        )
        edits = {path: dict(v) for path, v in parse_tree_file(BASIC).items()}
        fleet.submit("n0", "first", edits, {})
        wait_version(fleet, 1)
        wait_for("no pending rumors", lambda: has_sent_rumors(fleet), 60)
        before = read_bytes(fleet)
        time.sleep(WINDOW_SECONDS)
        idle = read_bytes(fleet)
        for number in range(WINDOW_SECONDS):
            values = {"timeout-ms": str(2000 + number)}
            fleet.submit("n0", f"c{number}", {"/": values}, {"/": number + 1})
            time.sleep(1)
        busy = read_bytes(fleet)
    mean = sum(idle[n] - before[n] for n in idle) / size / WINDOW_SECONDS
    worst = max(busy[n] - idle[n] for n in idle) / WINDOW_SECONDS
    return mean, worst


def has_sent_rumors(fleet):
    """Return whether no node has pending rumors."""
    metrics = (fleet.fetch_metrics(name) for name in fleet.nodes)
    return all(found["cactusshed_rumors"] == 0 for found in metrics)


def test_control_bytes_do_not_grow_with_the_fleet(tmp_path_factory):
    """The control traffic of a node stays the same in a fleet three times as large."""
    small, small_worst = measure_fleet(tmp_path_factory.mktemp("small"), SMALL)
    large, large_worst = measure_fleet(tmp_path_factory.mktemp("large"), LARGE)
    assert_that(large, LessThan(GROWTH * small))
    assert_that(max(small_worst, large_worst), LessThan(BUDGET_BYTES_PER_SECOND))
