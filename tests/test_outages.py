"""Withdrawals, platform outages, paused nodes and mass restarts of processes."""

import signal
import time

from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from standins.load import Load, LoadRequest
from standins.process import wait_for

from .fleets import start_nodes, wait_version

STORM_READS_PER_NODE = 2_000 * 7 / 1_300
"""Lets 1,300 nodes restart within 7 s at 2,000 platform reads a second."""


def test_withdrawal_and_return_under_load(fleet):
    """A data centre is withdrawn and returns under load.

    No call may fail. From 2 s after the withdrawal no call may run there, although
    the platform goes down after the change; 2 s after the return all targets serve.
    """
    names = ["dakar-1", "dakar-2", "thies-1", "thies-2"]
    start_nodes(fleet, names)
    for index, name in enumerate(names):
        fleet.start_target(f"texts-{index}", name, "texts")
    fleet.wait_targets("dakar-1", "texts", 4)
    urls = [fleet.nodes[name].callers_url for name in names]
    with Load(
        urls, lambda _index: LoadRequest("GET", "/texts/1"), 200, max_running=4
    ) as load:
        time.sleep(4)
        edits = {"/sn-ouest/thies": {"withdrawn": "yes"}}
        accepted = fleet.submit("dakar-1", "withdraw", edits, {"/sn-ouest/thies": 0})
        withdrawn_at = load.get_elapsed()
        assert_that(accepted.status, Equals(200))
        fleet.inject_fault("down")
        time.sleep(4)
        fleet.inject_fault("up")
        returned_at = load.get_elapsed()
        number = accepted.decode()["number"]
        edits = {"/sn-ouest/thies": {"withdrawn": "no"}}
        return_answer = fleet.submit(
            "dakar-1", "return", edits, {"/sn-ouest/thies": number}
        )
        assert_that(return_answer.status, Equals(200))
        time.sleep(3)
    results = load.results
    assert_that({result.status for result in results}, Equals({200}))
    serving_while_withdrawn = {
        r.target for r in results if withdrawn_at + 2.0 < r.sent_at < returned_at
    }
    assert_that(serving_while_withdrawn, Equals({"texts-0", "texts-1"}))
    serving_after_return = {r.target for r in results if r.sent_at > returned_at + 2.0}
    assert_that(len(serving_after_return), Equals(4))


def test_herd_restart_while_platform_is_down(fleet):
    """All nodes of a data centre restart while the platform is down.

    They must get the tree from nodes of other data centres and serve calls. A change
    is refused during the outage and accepted after it.
    """
    names = ["dakar-1", "dakar-2", "dakar-3", "thies-1"]
    fleet.start_node("thies-1", "thies")
    seed = f"127.0.0.1:{fleet.nodes['thies-1'].control_port}"
    start_nodes(fleet, names[:3], seeds=seed)
    fleet.start_target("texts-1", "thies-1", "texts")
    fleet.wait_targets("thies-1", "texts", 1)
    fleet.inject_fault("down")
    for name in names[:3]:
        fleet.processes[name].kill()
    for name in names[:3]:
        fleet.processes[name].start()
    fleet.wait_ready(*names[:3], seconds=30)
    for name in names[:3]:
        assert_that(fleet.get_json(name, "/v1/status")["number"], Equals(1))
        assert_that(fleet.call(name, "/texts/1").status, Equals(200))
    refused = fleet.submit("dakar-1", "late", {"/": {"slots": "3"}}, {"/": 1})
    assert_that(refused.decode()["code"], Equals("platform-unavailable"))
    fleet.inject_fault("up")
    accepted = fleet.submit("dakar-1", "late", {"/": {"slots": "3"}}, {"/": 1})
    assert_that(accepted.decode()["number"], Equals(2))
    wait_version(fleet, 2)


def test_frozen_lease_holder_changes_nothing(fleet):
    """The lease holder of a move is paused until its lease has expired.

    Another node must complete the move. A stale step that the former holder writes
    after it resumes would show as a decreasing share in the log.
    """
    names = ["dakar-1", "dakar-2", "thies-1"]
    start_nodes(fleet, names)
    for name in names[:2]:
        fleet.start_target(f"texts-a-{name}", name, "texts")
        fleet.start_target(f"texts-b-{name}", name, "texts", "v2")
    fleet.wait_targets("dakar-1", "texts", 4)
    move_values = {
        "version": "v1",
        "move-to": "v2",
        "move-by": f"{time.time() + 20:.3f}",
        "move-id": "m1",
    }
    answer = fleet.submit(
        "dakar-1", "m1", {"/*/*/texts": move_values}, {"/*/*/texts": 1}
    )
    assert_that(answer.status, Equals(200))
    holder = wait_holder(fleet, names)
    fleet.processes[holder].signal(signal.SIGSTOP)
    others = [name for name in names if name != holder]
    time.sleep(9)
    fleet.processes[holder].signal(signal.SIGCONT)
    wait_for("done", lambda: is_done(fleet, others[0]), 30)
    log = fleet.get_json(others[0], "/v1/log?limit=100")
    steps = [e["edits"][0]["values"] for e in log if e["author"] == "move-duty"]
    shares = [float(step["share"]) for step in steps]
    assert_that(shares, Equals(sorted(shares)))
    assert_that([step["state"] for step in steps][-1], Equals("done"))
    assert_that(fleet.fetch_metrics(others[0])["cactusshed_version"], GreaterThan(3))


def is_done(fleet, name):
    """Return whether a node reports the only move as done."""
    return fleet.get_json(name, "/v1/status")["moves"][0]["state"] == "done"


def wait_holder(fleet, names):
    """Return the node that took the first step of the move."""

    def find():
        return [n for n in names if '"cactusshed:move"' in read_log(fleet, n)]

    wait_for("the first step of the move", find)
    return find()[0]


def read_log(fleet, name):
    """Return the log of a node."""
    return fleet.processes[name].read_log()


def test_reconnect_storm_is_bounded(fleet):
    """All nodes restart at once, with a bound on the platform reads of each.

    Without the bound a whole data centre would exceed the platform's read rate.
    """
    names = [f"dakar-{index}" for index in range(10)]
    start_nodes(fleet, names)
    before = fleet.fetch_platform_counts()["reads"]
    for name in names:
        fleet.processes[name].kill()
    for name in names:
        fleet.processes[name].start()
    fleet.wait_ready()
    wait_version(fleet, 1)
    reads = fleet.fetch_platform_counts()["reads"] - before
    assert_that(reads, LessThan(len(names) * STORM_READS_PER_NODE))
