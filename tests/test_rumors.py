"""Rumours: order, number of transmissions, and records that are not gossiped."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, LessThan

from cactusshed.member.records import Member
from cactusshed.member.rumors import PACKET_BYTES, SPREAD_FACTOR, Rumors
from cactusshed.member.view import View
from cactusshed.wire import control_pb2 as pb


def make_member(number, seq=0):
    """Return a member."""
    return Member(f"host-{number}", "r", "d", "127.0.0.1", 1, 2, 1, seq)


def test_new_rumours_go_first():
    """A rumour that was never sent precedes those that were."""
    rumors = Rumors(lambda: 100)
    for number in range(50):
        rumors.add_member(make_member(number))
    rumors.fill(pb.Packet())
    rumors.add_member(make_member(99))
    packet = rumors.fill(pb.Packet())
    assert_that(packet.rumors[0].node, Equals("host-99"))
    assert_that(packet.ByteSize(), LessThan(PACKET_BYTES + 1))


def test_rumours_are_dropped_after_enough_sends():
    """A rumour is dropped after a number of sends logarithmic in the mesh size."""
    rumors = Rumors(lambda: 2)
    rumors.add_member(make_member(1))
    sent = sum(len(rumors.fill(pb.Packet()).rumors) for _ in range(100))
    assert_that((sent, len(rumors)), Equals((2 * SPREAD_FACTOR, 0)))


def test_records_fetched_on_joining_are_not_gossiped():
    """Records fetched when a node joins are not gossiped.

    Otherwise a node that restarts in a mesh of 13,000 nodes queues 13,000
    rumours.
    """
    rumors = Rumors(lambda: 1_000)
    view = View(make_member(0), rumors.add_member)
    for number in range(1, 1_000):
        view.merge(make_member(number), 0.0, propagate=False)
    assert_that(rumors, HasLength(0))
    view.merge(make_member(5, seq=1), 0.0)
    assert_that(rumors, HasLength(1))
