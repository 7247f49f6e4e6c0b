"""Links are closed as silent only if the other side leaves a ping unanswered."""

import asyncio
import time
from contextlib import asynccontextmanager

from testtools.assertions import assert_that
from testtools.matchers import Equals

from cactusshed.mesh.pending import PING_AFTER_SECONDS, PING_TIMEOUT_SECONDS
from standins.meshfleet import MeshFleet, make_document, wait_for

from .meshes import run_async

ROUTES = {"/slow/": {"timeout": "3000ms"}}
PAUSE_SECONDS = PING_AFTER_SECONDS + PING_TIMEOUT_SECONDS + 0.1
"""Time for which the machine gives the processes no time."""
WORK_SECONDS = 1.5


@asynccontextmanager
async def open_fleet():
    """Yield a node that clients use, and the one with the target of its calls."""
    fleet = await MeshFleet.open()
    fleet.store.put_json("op", "config", make_document(1, ROUTES, ["a", "b"]))
    try:
        (node,) = await fleet.start_connected("n1")
        first = await fleet.start("n9", "b")
        await wait_for(first.is_reachable_and_ready)
        await wait_for(lambda: first.sidecar.peers.list_connected("a"))
        node.target.work_seconds = WORK_SECONDS
        yield first, node
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
        async with open_fleet() as (first, node):
            reading = await start_read(first, node)
            time.sleep(PAUSE_SECONDS)
            return (await reading).status, node.target.aborted

    assert_that(run_async(work), Equals((200, 0)))


def test_read_is_not_broken_off_while_the_other_node_is_held_up():
    """Reads got a 502 when a busy node had sent nothing for less than a second.

    No other target could take them, and their answers came well before the deadline.
    """

    async def work():
        async with open_fleet() as (first, node):
            reading = await start_read(first, node)
            transport = first.sidecar.peers.members["n1"].link._transport
            transport.pause_reading()
            await asyncio.sleep(PAUSE_SECONDS)
            if not transport.is_closing():
                transport.resume_reading()
            return (await reading).status, node.target.aborted

    assert_that(run_async(work), Equals((200, 0)))
