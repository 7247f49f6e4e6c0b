"""Heartbeats of other writers whose start time is missing or ahead of the clock."""

from contextlib import asynccontextmanager

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cactusshed.clock import read_wall
from standins.meshfleet import MeshFleet, make_document

from .meshes import run_async

HOUR_MS = 3_600_000


@asynccontextmanager
async def open_node():
    """Yield a node with an open target that started a second ago."""
    fleet = await MeshFleet.open()
    fleet.store.put_json("op", "config", make_document(1, {"/read/": {}}, ["a"]))
    try:
        (node,) = await fleet.start_connected("n1")
        await node.announce(born=make_start_time())
        yield node
    finally:
        await fleet.close()


def make_start_time(ahead_ms=-1000):
    """Return a start time relative to the clock."""
    return int(read_wall() * 1000) + ahead_ms


@pytest.mark.parametrize("fields", [{}, {"born": None}, {"born": 0}, {"born": "1"}])
def test_heartbeat_without_a_start_time_names_no_target(fields):
    """It was taken, and all true ones after it were outdated by its number."""

    async def work():
        async with open_node() as node:
            start_time = node.sidecar.announcements.state.start_time
            heartbeat = {
                "service": "a",
                "address": str(node.target.address),
                "zone": "z",
                "version": "v1",
                "slots": 1,
                "state": "ready",
                "cold_left": "0ms",
                "seq": 2**31,
                **fields,
            }
            body = msgspec.json.encode(heartbeat)
            status = await node.send_rpc("instances.heartbeat", body)
            slots = node.sidecar.gate.queue.limit
            await node.announce("draining", born=start_time, seq=50)
            return status, slots, node.sidecar.gate.is_open

    assert_that(run_async(work), Equals((400, 4, False)))


@pytest.mark.parametrize("ahead_ms", [10_000, HOUR_MS, 23 * HOUR_MS])
def test_start_time_ahead_of_the_clock_does_not_outlast_true_ones(ahead_ms):
    """The leave of the true target was acknowledged and ignored, for up to a day."""

    async def work():
        async with open_node() as node:
            state = node.sidecar.announcements.state
            await node.announce(born=make_start_time(ahead_ms), seq=900)
            await node.announce("draining", born=state.start_time, seq=50)
            return node.sidecar.gate.is_open

    assert_that(run_async(work), Equals(False))


def test_target_with_a_clock_ahead_is_used():
    """Clocks differ, and that of a node may jump back by seconds."""

    async def work():
        async with open_node() as node:
            start_time = make_start_time(8000)
            statuses = [
                await node.announce(born=start_time, seq=number, slots=2)
                for number in (1, 2)
            ]
            state = node.sidecar.announcements.state
            return statuses, state.start_time == start_time, state.slots

    assert_that(run_async(work), Equals(([200, 200], True, 2)))
