"""Which refused calls of a request throttle its route."""

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cactusshed.clock import read_monotonic
from standins.meshfleet import MeshFleet, make_document, wait_for

from .meshes import make_call, run_async

CALLS = 24
"""Calls of one request; those that are refused would throttle its route."""


async def run_refused_calls(refuse):
    """Make calls of a running request that `refuse` lets fail; return the throttles."""
    fleet = await MeshFleet.open()
    document = make_document(1, {"/lookup/": {}}, ["a", "b"])
    fleet.store.put_json("op", "config", document)
    try:
        (node,) = await fleet.start_connected("n1")
        first = await fleet.start("n9", "b")
        await wait_for(first.is_reachable_and_ready)
        await wait_for(lambda: first.sidecar.peers.list_connected("a"))
        refuse(node)
        gate = first.sidecar.gate
        parent = make_call("p1", "/pull/", service="b", route="r-pull")
        gate.crash_tracker.begin(parent, read_monotonic() + 1, read_monotonic())
        for number in range(CALLS):
            answer = await first.request("/lookup/x", x_attempt_id=f"p1.{number}")
            assert_that(answer.status, Equals(503))
        await asyncio.sleep(0.3)
        return gate.backpressure.list_start_limits(read_monotonic())
    finally:
        await fleet.close()


def shed(node):
    """Let the target refuse what its gate admits."""
    node.target.script["/lookup/x"] = "shed"


def fill(node):
    """Let the gate have no room."""
    node.sidecar.gate.queue.mean_seconds = 100.0
    node.sidecar.gate.queue.running = node.sidecar.gate.queue.limit


@pytest.mark.parametrize(
    ("refuse", "throttled"), [(shed, []), (fill, ["r-pull"])], ids=["shed", "full"]
)
def test_only_calls_without_room_throttle_their_route(refuse, throttled):
    """A route was stopped while the targets of its calls refused half of them.

    They refused at any rate, so that throttling did not help; a third of the requests
    needed no calls and would have been served.
    """

    async def work():
        return list(await run_refused_calls(refuse))

    assert_that(run_async(work), Equals(throttled))
