"""Nodes that read the store are cut off; the others learn of changes in time."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from cactusshed.clock import read_monotonic
from cactusshed.options import Address
from cactusshed.policy.readtimes import compute_read_times
from standins.meshfleet import BOUNDS, MeshFleet, make_document, wait_for
from standins.relay import Relay

from .meshes import run_async

ROUTES = {"/read/": {}}


@asynccontextmanager
async def open_fleet(*names):
    """Yield a function that writes a version, and nodes and relays by name.

    Each node reaches the store through a relay of its own.
    """
    fleet = await MeshFleet.open()
    store = fleet.store_address
    relays = {}

    def configure(version):
        fleet.store.put_json("op", "config", make_document(version, ROUTES, ["a"]))

    configure(1)
    try:
        nodes = {}
        for name in names:
            relays[name] = Relay()
            relays[name].port = store.port
            fleet.store_address = Address(*relays[name].address)
            nodes[name] = await fleet.start(name)
        for node in nodes.values():
            await wait_for(node.is_reachable_and_ready)
            await node.announce()
        await wait_for(lambda: fleet.are_all_connected(list(nodes.values())))
        yield configure, nodes, relays
    finally:
        await fleet.close()
        for relay in relays.values():
            relay.close()


async def await_version(nodes, version):
    """Wait until all of `nodes` have a version; return the seconds that it took."""
    started = read_monotonic()
    await wait_for(
        lambda: all(n.sidecar.records.table.version >= version for n in nodes)
    )
    return read_monotonic() - started


def is_followed(node, reader):
    """Return whether a node relies on another to read the store."""
    return not node.sidecar.relay.is_reader() and reader.sidecar.relay.is_reader()


def test_followers_apply_a_change_in_time_while_both_readers_are_cut_off():
    """Nodes that reach the store had a change over three seconds late."""

    async def work():
        async with open_fleet("a1", "a2", "b1", "b2") as (configure, nodes, relays):
            await wait_for(
                lambda: (
                    is_followed(nodes["a2"], nodes["a1"])
                    and is_followed(nodes["b2"], nodes["b1"])
                )
            )
            configure(2)
            await await_version(nodes.values(), 2)
            await asyncio.sleep(0.3)
            relays["a1"].is_cut = relays["b1"].is_cut = True
            await asyncio.sleep(0.1)
            configure(3)
            return await await_version([nodes["a2"], nodes["b2"]], 3)

    assert_that(run_async(work), LessThan(BOUNDS.apply))


def test_node_whose_link_from_the_reader_is_silent_has_a_change_in_time():
    """The nodes before it in the turns tried first, though they were not concerned."""

    async def work():
        names = [f"a{number}" for number in range(1, 10)]
        async with open_fleet(*names) as (configure, nodes, _):
            reader, last = nodes["a1"], nodes["a9"]
            await wait_for(lambda: is_followed(last, reader))
            configure(2)
            await await_version(nodes.values(), 2)
            await asyncio.sleep(2 * reader.sidecar.read_times.heartbeat)
            (link,) = (
                link
                for link in reader.sidecar.peers.list_accepted()
                if link.peer == "a9"
            )
            link.send = lambda _frame: True
            configure(3)
            return await await_version([last], 3)

    assert_that(run_async(work), LessThan(BOUNDS.apply))


def test_lone_node_notices_a_silent_connection_in_time():
    """With no other node in its data centre, a node must find out by itself."""

    async def work():
        async with open_fleet("a1") as (configure, nodes, relays):
            configure(2)
            await await_version(nodes.values(), 2)
            relays["a1"].silence_open()
            configure(3)
            return await await_version(nodes.values(), 3)

    assert_that(run_async(work), LessThan(BOUNDS.apply))


@pytest.mark.parametrize("bound", [0.5, 2.0, 30.0])
def test_times_of_reads_add_up_to_less_than_the_bound(bound):
    """Constants kept a bound of two seconds at best, whatever the settings said."""
    times = compute_read_times(None, bound, 2 * bound)
    assert_that(times.lost, LessThan(bound))
    assert_that(times.feed, LessThan(times.lost))
    assert_that(times.silent + times.heartbeat, LessThan(bound))


def test_times_without_a_bound_are_those_of_the_default():
    """A deployment without the bound must start all the same."""
    assert_that(compute_read_times(None), Equals(compute_read_times(2.0)))
