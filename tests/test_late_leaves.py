"""Late announcements of an earlier process that had the id of the present one."""

from contextlib import asynccontextmanager

import attrs
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cactusshed.member.announcements import Announcement, TargetRegistry
from cactusshed.mesh.leaves import KnownLeaves
from standins.meshfleet import MeshFleet, make_document, wait_for

from .meshes import run_async

EARLIER, PRESENT = 1000, 2000
"""Start times of two processes with the same id."""


@asynccontextmanager
async def open_node():
    """Yield a node whose target has started again under its id."""
    fleet = await MeshFleet.open()
    fleet.store.put_json("op", "config", make_document(1, {"/read/": {}}, ["a"]))
    try:
        (node,) = await fleet.start_connected("n1")
        await node.announce(born=PRESENT, seq=1)
        yield fleet, node
    finally:
        await fleet.close()


async def leave(node, **fields):
    """Send a leave of the target and return the status."""
    return await node.send_rpc("instances.leave", msgspec.json.encode(fields))


def test_late_leave_of_an_earlier_process_leaves_the_present_one_open():
    """The gate closed for good, and the capacity of a running target was lost."""

    async def work():
        async with open_node() as (_, node):
            status = await leave(node, born=EARLIER)
            answer = await node.request("/read/x")
            return status, node.sidecar.gate.is_open, answer.status

    assert_that(run_async(work), Equals((200, True, 200)))


@pytest.mark.parametrize("fields", [{"born": PRESENT}, {"born": PRESENT + 1}, {}])
def test_leave_of_the_present_process_closes_its_gate(fields):
    """Also one that names a later start, or none."""

    async def work():
        async with open_node() as (_, node):
            await leave(node, **fields)
            return node.sidecar.gate.is_open

    assert_that(run_async(work), Equals(False))


def test_late_draining_heartbeat_of_an_earlier_process_changes_nothing():
    """Its number may be far higher than that of the present process."""

    async def work():
        async with open_node() as (_, node):
            status = await node.announce("draining", born=EARLIER, seq=900)
            return status, node.sidecar.gate.is_open

    assert_that(run_async(work), Equals((200, True)))


@pytest.mark.parametrize("fields", [{"born": EARLIER}, {}])
def test_process_that_starts_after_a_leave_under_its_id_is_used(fields):
    """A leave without a start time stood for all later processes, too."""

    async def work():
        async with open_node() as (_, node):
            await leave(node, **fields)
            await node.announce(born=PRESENT + 500, seq=1)
            return node.sidecar.gate.is_open

    assert_that(run_async(work), Equals(True))


def test_late_leave_does_not_hide_that_of_a_later_process():
    """The later process had left; a heartbeat that arrives late must not open it."""
    leaves = KnownLeaves()
    leaves.add("i-1", PRESENT)
    leaves.add("i-1", EARLIER)
    known = [leaves.has("i-1", start) for start in (EARLIER, PRESENT, PRESENT + 1)]
    assert_that(known, Equals([True, True, False]))


def test_late_leave_closes_no_gate_after_a_restart_of_the_node():
    """The restarted node knows of no target when the leave arrives."""

    async def work():
        async with open_node() as (fleet, node):
            await node.kill()
            restarted = await fleet.restart(node)
            await wait_for(restarted.is_reachable_and_ready)
            await leave(restarted, born=EARLIER)
            await restarted.announce(born=PRESENT, seq=5)
            await wait_for(lambda: restarted.sidecar.gate.is_open)

    run_async(work)


@pytest.mark.parametrize("health", ["ready", "leaving"])
def test_product_ignores_a_late_announcement_of_an_earlier_process(health):
    """It made a running target cold, or closed it until its next announcement."""
    targets = TargetRegistry(60.0, lambda _targets: None)
    present = Announcement("t1", "s", "v1", "127.0.0.1:9", 4, "life-2", uptime=2.0)
    targets.apply(present, 100.0)
    late = attrs.evolve(present, incarnation="life-1", health=health, uptime=50.0)
    target = targets.apply(late, 101.0)
    assert_that((target.incarnation, target.health), Equals(("life-2", "ready")))


def test_product_takes_the_announcement_of_a_later_process():
    """Also of one that does not tell its uptime."""
    targets = TargetRegistry(60.0, lambda _targets: None)
    present = Announcement("t1", "s", "v1", "127.0.0.1:9", 4, "life-2", uptime=2.0)
    targets.apply(present, 100.0)
    incarnations = [
        targets.apply(attrs.evolve(present, incarnation=name, uptime=uptime), now)
        for name, uptime, now in (("life-3", 0.5, 101.0), ("life-4", 0.0, 102.0))
    ]
    names = [target.incarnation for target in incarnations]
    assert_that(names, Equals(["life-3", "life-4"]))
