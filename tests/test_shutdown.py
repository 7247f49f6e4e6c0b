"""Planned stops of several nodes that overlap: no call is cut off."""

import asyncio
from contextlib import asynccontextmanager

from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from standins.meshfleet import MeshFleet, make_document, wait_for

from .meshes import run_async

ROUTES = {"/read/": {}, "/write/": {"kind": "unsafe"}}
WORK_SECONDS = 0.3
"""Long enough that calls run at the moment at which the stopping node ends."""
SEND_INTERVAL_SECONDS = 0.03


@asynccontextmanager
async def open_stopping_fleet():
    """Yield a node that clients use, and two nodes with the targets of its calls."""
    fleet = await MeshFleet.open()
    fleet.store.put_json("op", "config", make_document(1, ROUTES, ["a", "b"]))
    try:
        leaving, other = await fleet.start_connected("n1", "n2")
        for node in (leaving, other):
            node.target.work_seconds = WORK_SECONDS
            node.sidecar.gate.queue.limit = 40
        first = await fleet.start("n3", "b")
        await wait_for(first.is_reachable_and_ready)
        await wait_for(lambda: len(first.sidecar.peers.list_connected("a")) == 2)
        yield fleet, first, leaving
    finally:
        await fleet.close()


async def send_until_ended(first, leaving, before_each=lambda: None):
    """Send requests to `first` until `leaving` has ended; return their statuses."""
    senders = []
    while not leaving.task.done():
        before_each()
        for path, method in (("/read/x", b"GET"), ("/write/x", b"POST")):
            senders.append(asyncio.create_task(first.request(path, method)))
        await asyncio.sleep(SEND_INTERVAL_SECONDS)
    return [answer.status for answer in await asyncio.gather(*senders)]


def test_node_that_starts_during_a_planned_stop_learns_of_it():
    """A restarted node sent calls to a node that was stopping, which cut them off.

    Only the nodes that were connected when the stop began were told of it.
    """

    async def work():
        async with open_stopping_fleet() as (fleet, first, leaving):
            leaving.stop.set()
            await asyncio.sleep(0.1)
            await first.kill()
            first = await fleet.restart(first)
            await wait_for(first.is_reachable_and_ready)
            await wait_for(lambda: len(first.sidecar.peers.list_connected("a")) == 2)
            before = leaving.target.runs.total()
            statuses = await send_until_ended(first, leaving)
            return statuses, leaving.target.runs.total() - before

    statuses, run_by_leaving = run_async(work)
    assert_that(len(statuses), GreaterThan(20))
    assert_that((set(statuses), run_by_leaving), Equals(({200}, 0)))


def test_stopping_node_refuses_the_calls_that_it_could_not_finish():
    """A node that does not know of the stop gets a refusal, and tries another target.

    The calls of such nodes, of an earlier build for example, were cut off at the end.
    """

    async def work():
        async with open_stopping_fleet() as (_, first, leaving):
            leaving.stop.set()
            member = first.sidecar.peers.members[leaving.settings.node]

            def forget_stop():
                member.is_leaving = False

            statuses = await send_until_ended(first, leaving, forget_stop)
            return statuses, leaving.target.aborted

    statuses, cut_off = run_async(work)
    assert_that(len(statuses), GreaterThan(40))
    assert_that((set(statuses), cut_off), Equals(({200}, 0)))
