"""Reads whose answer still comes are awaited unless another target takes them over."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cactusshed.policy.gateretries import GateRetryBudget
from cactusshed.policy.silence import MIN_SILENT
from standins.meshfleet import MeshFleet, make_document, wait_for

from .meshes import make_call, run_async

ROUTES = {"/slow/": {}, "/quick/": {}}
SLOW_SECONDS = 0.7
"""Time of work of the reads, well within their deadline of one second."""
QUICK_SECONDS = 0.02
OTHER_SECONDS = 2.0
"""Time of work of the requests that occupy the other target."""
SLOTS = 4


@asynccontextmanager
async def open_fleet(*names):
    """Yield a node that clients use, and those with the targets of its calls."""
    fleet = await MeshFleet.open()
    fleet.store.put_json("op", "config", make_document(1, ROUTES, ["a", "b"]))
    try:
        nodes = await fleet.start_connected(*names)
        first = await fleet.start("n9", "b")
        await wait_for(first.is_reachable_and_ready)
        peers = first.sidecar.peers
        await wait_for(lambda: len(peers.list_connected("a")) == len(nodes))
        yield first, nodes
    finally:
        await fleet.close()


def occupy(node):
    """Fill the slots of a target for longer than a read may take; return the tasks."""
    gate = node.sidecar.gate
    node.target.work_seconds = gate.queue.mean_seconds = OTHER_SECONDS
    calls = [
        make_call(f"w{n}", "/w/", service="a", remaining_ms=5000) for n in range(SLOTS)
    ]
    return [asyncio.create_task(gate.run(call)) for call in calls]


def exhaust_retry_budget(node):
    """Let a gate refuse every retry."""
    node.sidecar.gate.retry_budget = GateRetryBudget(0.0, 10.0, 0.0)


def shed(node):
    """Let a target refuse the reads."""
    node.target.script["/slow/x"] = "shed"


async def start_reads(first, node):
    """Send reads to `first` that are run beside `node`; return their tasks."""
    node.target.work_seconds = SLOW_SECONDS
    node.sidecar.gate.queue.slots = 2 * SLOTS
    reads = [asyncio.create_task(first.request("/slow/x")) for _ in range(MIN_SILENT)]
    await wait_for(lambda: node.target.running == len(reads))
    return reads


async def overtake(node):
    """Run quick requests, one after the other, at the target of a node."""
    node.target.work_seconds = QUICK_SECONDS
    for number in range(4 * SLOTS):
        call = make_call(f"o{number}", "/quick/x", service="a", route="r-quick")
        await node.sidecar.gate.run(call)


@pytest.mark.parametrize("refuse", [None, exhaust_retry_budget, shed])
def test_read_is_not_broken_off_where_no_other_target_takes_it(refuse):
    """Reads got a 502 or 503 with half of their time left, and their target at work.

    Its gate had given them up as silent, and the other gate refused them: it was full,
    without a retry in its budget, or its target turned them away.
    """

    async def work():
        async with open_fleet("n1", "n2") as (first, (node, other)):
            occupying = occupy(other)
            await wait_for(lambda: other.target.running == SLOTS)
            reads = await start_reads(first, node)
            if refuse is not None:
                refuse(other)
                for task in occupying:
                    task.cancel()
            await overtake(node)
            return [answer.status for answer in await asyncio.gather(*reads)]

    assert_that(run_async(work), Equals([200] * MIN_SILENT))


def test_read_of_the_only_target_is_not_broken_off():
    """Reads of a service with one target got a 502 while it was at work on them."""

    async def work():
        async with open_fleet("n1") as (first, (node,)):
            reads = await start_reads(first, node)
            await overtake(node)
            return [answer.status for answer in await asyncio.gather(*reads)]

    assert_that(run_async(work), Equals([200] * MIN_SILENT))


def test_read_sent_before_a_planned_stop_is_not_broken_off():
    """The first node ended with reads that their gate was still free to give up.

    Only calls sent after the stop had begun were awaited to the end.
    """

    async def work():
        async with open_fleet("n1", "n2") as (first, (node, other)):
            occupying = occupy(other)
            await wait_for(lambda: other.target.running == SLOTS)
            reads = await start_reads(first, node)
            first.stop.set()
            await overtake(node)
            statuses = [answer.status for answer in await asyncio.gather(*reads)]
            for task in occupying:
                task.cancel()
            return statuses

    assert_that(run_async(work), Equals([200] * MIN_SILENT))
