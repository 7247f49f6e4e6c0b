"""Frames that arrive from other nodes reach the part of the node that handles them."""

from types import SimpleNamespace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cactusshed.mesh.bodyparts import BodyAssembler
from cactusshed.mesh.frames import Ping
from cactusshed.mesh.inbound import Inbound
from cactusshed.mesh.peers import Peers
from cactusshed.observe.counters import Counters
from cactusshed.policy.bodybudget import BodyBudget
from cactusshed.policy.plannedstop import PlannedStop


@pytest.mark.parametrize("is_dialled", [True, False])
def test_frame_that_no_part_handles_is_dropped(is_dialled):
    """Each of the two parts passed such a frame to the other one without end.

    The first one is that of the side which dialled the link. A new frame that one of
    them does not handle yet would end the link with a recursion error.
    """
    handled = []

    def handle(link, frame):
        handled.append(frame)
        inbound.handle(link, frame)

    peers = Peers(
        lambda _target: SimpleNamespace(node="n1"),
        handle,
        lambda _member: None,
        lambda _hello: None,
        lambda _link: None,
        Counters(),
        BodyBudget(0),
        BodyBudget(0),
        BodyBudget(0),
    )
    inbound = Inbound(
        None, None, peers.handle, BodyAssembler(BodyBudget(0)), PlannedStop()
    )
    link = SimpleNamespace(peer="n2", is_retired=False)
    (peers if is_dialled else inbound).handle(link, Ping())
    assert_that(len(handled), Equals(int(is_dialled)))
