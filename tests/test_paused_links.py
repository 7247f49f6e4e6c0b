"""Links are closed as silent only if the other side leaves a ping unanswered."""

import asyncio
import time
from contextlib import asynccontextmanager

from testtools.assertions import assert_that
from testtools.matchers import Equals

from cactusshed.mesh.pending import PING_AFTER_SECONDS, PING_TIMEOUT_SECONDS
from standins.meshfleet import MeshFleet, make_document, wait_for

from .meshes import run_async

ROUTES = {
    "/slow/": {"timeout": "3000ms"},
    "/write/": {"timeout": "3000ms", "kind": "unsafe"},
}
PAUSE_SECONDS = PING_AFTER_SECONDS + PING_TIMEOUT_SECONDS + 0.1
"""Time for which the machine gives the processes no time."""
WORK_SECONDS = 1.5
GONE_SECONDS = 0.2
"""Time in which a run ends that is needed no longer."""


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
        for node in nodes:
            node.target.work_seconds = WORK_SECONDS
        yield first, *nodes
    finally:
        await fleet.close()


async def start_read(first, node):
    """Send a read, and return its task once it runs."""
    reading = asyncio.create_task(first.request("/slow/x", x_deadline_ms="3000"))
    await wait_for(lambda: node.target.running)
    return reading


def test_link_is_not_closed_without_an_unanswered_ping():
    """Nodes whose machine paused broke off calls: it closed links never pinged."""

    async def work():
        async with open_fleet("n1") as (first, node):
            reading = await start_read(first, node)
            time.sleep(PAUSE_SECONDS)
            return (await reading).status, node.target.aborted

    assert_that(run_async(work), Equals((200, 0)))


def test_read_is_not_broken_off_while_the_other_node_is_held_up():
    """Reads got a 502 when a busy node had sent nothing for less than a second.

    No other target could take them, and their answers came well before the deadline.
    """

    async def work():
        async with open_fleet("n1") as (first, node):
            reading = await start_read(first, node)
            transport = first.sidecar.peers.members["n1"].link._transport
            transport.pause_reading()
            await asyncio.sleep(PAUSE_SECONDS)
            if not transport.is_closing():
                transport.resume_reading()
            return (await reading).status, node.target.aborted

    assert_that(run_async(work), Equals((200, 0)))


def test_submission_on_a_silent_link_is_answered_over_the_next_one():
    """It gets its answer though a read keeps the silent link open, and runs once."""

    async def work():
        async with open_fleet("n1") as (first, node):
            reading = await start_read(first, node)
            writing = asyncio.create_task(
                first.request("/write/x", method=b"POST", x_deadline_ms="3000")
            )
            await wait_for(lambda: node.target.running == 2)
            link = first.sidecar.peers.members["n1"].link
            link._transport.pause_reading()
            status = (await writing).status
            was_retired = link.is_retired and not link.is_closed
            reading.cancel()
            return status, was_retired, node.target.aborted

    assert_that(run_async(work), Equals((200, True, 0)))


def test_read_on_a_silent_link_is_answered_by_another_target():
    """It is tried there at once, and its run beside the silent node is cancelled."""

    async def work():
        async with open_fleet("n1", "n2") as (first, *nodes):
            reading = asyncio.create_task(
                first.request("/slow/x", x_deadline_ms="3000")
            )
            await wait_for(lambda: any(node.target.running for node in nodes))
            silent, other = sorted(nodes, key=lambda node: -node.target.running)
            other.target.work_seconds = 0.0
            silent.target.work_seconds = WORK_SECONDS
            name = silent.settings.node
            first.sidecar.peers.members[name].link._transport.pause_reading()
            status = (await reading).status
            was_running = silent.target.running
            await asyncio.sleep(GONE_SECONDS)
            return status, was_running, silent.target.aborted

    assert_that(run_async(work), Equals((200, 1, 1)))
