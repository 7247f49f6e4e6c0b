"""Requests that reach a stopping node just before its end are refused, not dropped."""

import asyncio
import socket
import time

import pytest
from testtools.assertions import assert_that
from testtools.matchers import StartsWith

from cactusshed.mesh.shutdown import LAST_ANSWERS_SECONDS, UNREADY_NOTICE_SECONDS
from standins.meshfleet import MeshFleet, make_document, render_request, wait_for

from .meshes import run_async

HELD_UP_SECONDS = 0.3
"""Time for which the machine gives the process no time; above `loss_slack`, the time
after which an unanswered request counts as lost."""
BEFORE_END_SECONDS = 0.1


@pytest.mark.parametrize("work_seconds", [0.0, LAST_ANSWERS_SECONDS + 0.4])
def test_request_that_came_while_the_stopping_node_was_held_up_is_answered(
    work_seconds,
):
    """A client's connection was reset, 0.3 s after its request had been sent.

    The node ended with connections that it had only just accepted, and whatever ran
    longer than its last refusals may take.
    """

    async def work():
        fleet = await MeshFleet.open()
        document = make_document(1, {"/read/": {}}, ["a"])
        fleet.store.put_json("op", "config", document)
        try:
            (node,) = await fleet.start_connected("n1")
            await wait_for(node.is_reachable_and_ready)
            node.target.work_seconds = work_seconds
            stopping = asyncio.create_task(node.shut_down())
            await asyncio.sleep(UNREADY_NOTICE_SECONDS - BEFORE_END_SECONDS)
            callers = node.settings.callers
            with socket.create_connection((callers.ip, callers.port)) as client:
                client.sendall(render_request(b"GET", "/read/x", {}))
                time.sleep(HELD_UP_SECONDS)
                await stopping
                # The process would end now.
                client.setblocking(False)
                try:
                    return client.recv(1000)
                except OSError:
                    # Reset, or nothing received yet.
                    return b""
        finally:
            await fleet.close()

    assert_that(run_async(work), StartsWith(b"HTTP/1.1 "))
