"""Helpers for tests that run fleets of processes."""

import threading

from testtools.assertions import assert_that
from testtools.matchers import Equals

from cactusshed.tree.edit import parse_tree_file
from standins.process import wait_for

__all__ = [
    "EDITS",
    "read_running",
    "sees_all_alive",
    "start_call",
    "start_nodes",
    "wait_version",
]

TREE = """
[/]
timeout-ms = 4000
[/*/*/texts]
version = v1
[/*/*/texts/read]
prefix = /texts
[/*/*/responses]
version = v1
[/*/*/responses/submit]
prefix = /responses
methods = POST
"""
EDITS = {path: dict(found) for path, found in parse_tree_file(TREE).items()}


def start_nodes(fleet, names, **options):
    """Start nodes named `DATA_CENTRE-NUMBER` and apply the tree."""
    for name in names:
        fleet.start_node(name, name.partition("-")[0], **options)
    fleet.wait_ready()
    wait_for("members", lambda: all(sees_all_alive(fleet, name) for name in names))
    assert_that(fleet.submit(names[0], "first", EDITS, {}).status, Equals(200))
    wait_version(fleet, 1)


def sees_all_alive(fleet, name):
    """Return whether a node lists every node of the fleet as alive."""
    members = fleet.get_json(name, "/v1/status")["members"]
    return sum(m["state"] == "alive" for m in members) == len(fleet.nodes)


def wait_version(fleet, number, *names):
    """Wait until the given nodes, by default all, have at least version `number`."""
    for name in names or fleet.nodes:
        wait_for(
            f"version {number} at {name}",
            lambda name=name: fleet.get_json(name, "/v1/status")["number"] >= number,
        )


def start_call(fleet, node, path, body):
    """Send a submission in a thread; return the thread and its list of answers."""
    answers = []

    def send():
        answers.append(fleet.call(node, path, "POST", body))

    thread = threading.Thread(target=send)
    thread.start()
    return thread, answers


def read_running(fleet, target_node):
    """Return how many calls the targets of a node are running."""
    return fleet.fetch_metrics(target_node)["cactusshed_running"]
