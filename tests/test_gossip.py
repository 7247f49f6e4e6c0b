"""Gossip: concurrent sends, forged datagrams, and merging of records."""

import anyio
import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from cactusshed.errors import Malformed
from cactusshed.member.gossip import Gossip, seal_packet, unseal_packet
from cactusshed.member.records import Member, State
from cactusshed.member.rumors import Rumors
from cactusshed.member.view import View
from cactusshed.wire import control_pb2 as pb
from standins.ports import choose_port

SECRET = "gossip-secret"
PROBE_SECONDS = 0.5
"""The default of `probe_interval`; the minimum of the setting is a tenth of it."""


def make_member(name, port, **changes):
    """Return a live member on loopback."""
    member = Member(name, "r", "d", "127.0.0.1", 1, port, 1)
    return attrs.evolve(member, **changes)


def make_gossip(name, port, counters, rng):
    """Return a gossip task with its own view."""
    rumors = Rumors(lambda: 2)
    view = View(make_member(name, port), rumors.add_member)
    return Gossip(view, rumors, counters, SECRET, 0.05, lambda _strike: None, rng)


def test_many_senders_at_once(counters, rng):
    """Concurrent sends on the UDP socket do not fail.

    Without the send queue the socket raises BusyResourceError, which ends the task.
    """
    first, second = (make_gossip(n, choose_port(), counters, rng) for n in "ab")
    first.interval = second.interval = PROBE_SECONDS
    first.view.merge(second.view.local_member, 0.0)
    second.view.merge(first.view.local_member, 0.0)

    async def run():
        async with anyio.create_task_group() as tasks:
            for gossip in (first, second):
                tasks.start_soon(gossip.run, gossip.view.local_member.control_address)
            await anyio.sleep(0.1)
            async with anyio.create_task_group() as probes:
                for _ in range(100):
                    probes.start_soon(first._run_round)
                    probes.start_soon(second._run_round)
            tasks.cancel_scope.cancel()

    anyio.run(run)
    assert_that(counters.get("datagrams_sent"), GreaterThan(200))
    assert_that(counters.get("datagrams_unsent"), Equals(0))
    assert_that(counters.get("members_suspected"), Equals(0))


def test_forged_datagram_is_refused():
    """A datagram with another secret or a changed length is refused."""
    data = seal_packet(pb.Packet(kind=pb.PING, seq=7), SECRET)
    assert_that(unseal_packet(data, SECRET).seq, Equals(7))
    for forged in (data[:-1], data + b"x", seal_packet(pb.Packet(), "other"), b""):
        with pytest.raises(Malformed):
            unseal_packet(forged, SECRET)


def test_false_death_is_refuted():
    """A live node that is declared dead refutes it with a newer record."""
    records = []
    view = View(make_member("a", 1), records.append)
    view.merge(make_member("a", 1, state=State.DEAD), 0.0)
    assert_that(view.local_member.state, Equals(State.ALIVE))
    assert_that(records[-1].seq, Equals(1))


def test_older_record_changes_nothing():
    """Late and duplicate records do not restore an older state."""
    view = View(make_member("a", 1), lambda _member: None)
    left = make_member("b", 2, seq=4, state=State.LEFT)
    view.merge(make_member("b", 2, seq=3), 0.0)
    assert_that(view.merge(left, 0.0), Equals(True))
    for late in (left, make_member("b", 2, seq=3), make_member("b", 2, seq=4)):
        assert_that(view.merge(late, 0.0), Equals(False))
    assert_that([m.node for m in view.list_live("d")], Equals(["a"]))


def test_equal_views_have_equal_buckets():
    """Views with the same records have equal bucket digests, in any order."""
    views = [View(make_member("a", 1), lambda _member: None) for _ in range(2)]
    members = [make_member(f"n{i}", 10 + i, seq=i) for i in range(50)]
    for view, order in zip(views, (members, members[::-1]), strict=True):
        for member in order:
            view.merge(member, 0.0)
    assert_that(views[0].get_bucket_digests(), Equals(views[1].get_bucket_digests()))
