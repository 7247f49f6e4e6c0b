"""Nodes that start in separate groups, which learn of each other by the seed rows."""

import random
from contextlib import asynccontextmanager

import anyio
import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cactusshed.clock import read_monotonic
from cactusshed.member import joiner as joiner_module
from cactusshed.member.joiner import Joiner, make_sync_replies
from cactusshed.member.records import Member, load_member
from cactusshed.member.rumors import Rumors
from cactusshed.member.view import View
from cactusshed.observe.counters import Counters
from cactusshed.policy.quarantine import Quarantine
from cactusshed.serve.crashes import CrashTracker
from cactusshed.serve.messages import Call
from cactusshed.wire import control_pb2 as pb

GOSSIP_ROUNDS = 6
"""Rounds of gossip, each 0.4 to 0.6 s by default: far fewer than the 20 s in which a
node that waits for anti-entropy would learn of the others."""
FAN_OUT = 3


class Node:
    """The view and the rumours of one node, without sockets."""

    def __init__(self, name, number):
        """Start alone."""
        member = Member(name, "r", "d", "127.0.0.1", 1, 100 + number, 1)
        self.rumors = Rumors(lambda: len(self.view))
        self.view = View(member, self.rumors.add_member)
        self.tracker = CrashTracker(Quarantine(), self.rumors, Counters())


class FakeStub:
    """Answers `Sync` from the view of the node at an address."""

    def __init__(self, node):
        """Answer for `node`."""
        self._node = node

    async def Sync(self, request, **_options):  # noqa: N802
        """Merge the sender, as the servicer does, and yield the node's records."""
        self._node.view.merge(load_member(request.sender), 0.0)
        replies = make_sync_replies(
            self._node.view, request, self._node.tracker.list_strikes()
        )
        for reply in replies:
            yield reply


@pytest.fixture
def nodes(monkeypatch):
    """Return ten nodes in two groups of five, each group knowing only itself."""
    groups = [
        [Node(f"{g}{n}", 10 * i + n) for n in range(5)] for i, g in enumerate("ab")
    ]
    for group in groups:
        for node in group:
            for other in group:
                node.view.merge(other.view.local_member, 0.0, propagate=False)
    nodes = [node for group in groups for node in group]
    by_address = {node.view.local_member.control_address: node for node in nodes}

    @asynccontextmanager
    async def open_stub(_settings, address):
        yield FakeStub(by_address[address])

    monkeypatch.setattr(joiner_module, "open_stub", open_stub)
    monkeypatch.setattr(joiner_module, "make_metadata", lambda _settings: ())
    return nodes


def run_gossip(nodes, rng):
    """Deliver the pending rumours of every node to some of its neighbours."""
    by_name = {node.view.local_member.node: node for node in nodes}
    for node in nodes:
        others = [m for m in node.view.list_live("d") if by_name[m.node] is not node]
        packet = node.rumors.fill(pb.Packet())
        for member in rng.sample(others, min(FAN_OUT, len(others))):
            for rumor in packet.rumors:
                by_name[member.node].view.merge(load_member(rumor), 0.0)


@pytest.mark.parametrize("seed", range(10))
def test_groups_that_meet_list_each_other_soon(nodes, counters, seed):
    """After one node has met the other group, gossip carries both groups to all."""
    joiner = Joiner(None, None, nodes[0].view, counters)
    address = nodes[5].view.local_member.control_address
    anyio.run(joiner._merge_group, address)
    rng = random.Random(seed)
    for _ in range(GOSSIP_ROUNDS):
        run_gossip(nodes, rng)
    known = {len(node.view.list_live("d")) for node in nodes}
    assert_that(known, Equals({10}))


def make_call(path):
    """Return a call whose fingerprint depends on `path`."""
    fields = dict.fromkeys(f.name for f in attrs.fields(Call) if f.init)
    return Call(
        **{
            **fields,
            "call_id": path,
            "path": path.encode(),
            "method": "GET",
            "body": b"",
        }
    )


def is_suspected(node, call):
    """Return whether a node runs a call alone."""
    fingerprint = call.compute_fingerprint()
    return node.tracker.quarantine.evaluate(fingerprint, read_monotonic()).alone


def test_node_that_joins_learns_which_requests_crash_targets(nodes, counters):
    """Gossip spreads each strike once: a node that started later let them through."""
    crashing, cleared = make_call("/a"), make_call("/b")
    for call in (crashing, cleared):
        nodes[5].tracker.record_crash(call)
    nodes[5].tracker.clear(cleared)
    joiner = Joiner(
        None,
        None,
        nodes[0].view,
        counters,
        on_strike=nodes[0].tracker.receive_strike,
    )
    address = nodes[5].view.local_member.control_address
    anyio.run(joiner._sync, address, [])
    known = [is_suspected(nodes[0], call) for call in (crashing, cleared)]
    assert_that(known, Equals([True, False]))


def test_answer_clears_a_call_at_the_other_nodes(nodes):
    """An answer cleared a call only at the node that had received it."""
    call = make_call("/a")
    nodes[0].tracker.record_crash(call)
    deliver_strikes(nodes[0], nodes[1])
    assert_that(is_suspected(nodes[1], call), Equals(True))
    nodes[0].tracker.clear(call)
    deliver_strikes(nodes[0], nodes[1])
    assert_that(is_suspected(nodes[1], call), Equals(False))


def deliver_strikes(sender, receiver):
    """Deliver the pending strikes of a node to another one."""
    for strike in sender.rumors.fill(pb.Packet()).strikes:
        receiver.tracker.receive_strike(strike)
