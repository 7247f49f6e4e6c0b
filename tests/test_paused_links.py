"""Links are closed as silent only if the other side leaves a ping unanswered."""

import asyncio
import time

from testtools.assertions import assert_that
from testtools.matchers import Equals

from cactusshed.mesh.pending import PING_AFTER_SECONDS, PING_TIMEOUT_SECONDS
from standins.meshfleet import MeshFleet, make_document, wait_for

from .meshes import run_async

ROUTES = {"/slow/": {"timeout": "3000ms"}}
PAUSE_SECONDS = PING_AFTER_SECONDS + PING_TIMEOUT_SECONDS + 0.1
"""Time for which the machine gives the processes no time."""
WORK_SECONDS = 1.5


def test_link_is_not_closed_without_an_unanswered_ping():
    """Nodes whose machine paused broke off calls: it closed links never pinged."""

    async def work():
        fleet = await MeshFleet.open()
        fleet.store.put_json("op", "config", make_document(1, ROUTES, ["a", "b"]))
        try:
            (node,) = await fleet.start_connected("n1")
            first = await fleet.start("n9", "b")
            await wait_for(first.is_reachable_and_ready)
            peers = first.sidecar.peers
            await wait_for(lambda: peers.list_connected("a"))
            node.target.work_seconds = WORK_SECONDS
            reading = asyncio.create_task(
                first.request("/slow/x", x_deadline_ms="3000")
            )
            await wait_for(lambda: node.target.running)
            time.sleep(PAUSE_SECONDS)
            return (await reading).status, node.target.aborted
        finally:
            await fleet.close()

    assert_that(run_async(work), Equals((200, 0)))
