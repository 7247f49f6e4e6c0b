"""The move duty: one keeper looks after one move."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cactusshed.clock import read_wall
from cactusshed.duty.evidence import Evidence, subtract_evidence
from cactusshed.duty.moves import Keeper, choose_holders
from cactusshed.errors import LeaseLost
from cactusshed.member.records import Member
from cactusshed.member.view import View
from cactusshed.observe.counters import Counters
from cactusshed.policy.progress import Plan, Progress
from cactusshed.policy.verdict import Sample
from cactusshed.store.lease import acquire_lease


class StubDuty:
    """A duty whose move is taken from a script, one entry a look."""

    def __init__(self, port, moves):
        """Show each of `moves` once, then the last for ever."""
        self.port = port
        self.view = View(Member("n", "r", "d", "ip", 1, 2, 1), lambda _member: None)
        self.counters = Counters()
        self.editor = self
        self._moves = list(moves)

    def read_progress(self, _service):
        """Return the next progress."""
        move = self._moves.pop(0) if len(self._moves) > 1 else self._moves[0]
        return Progress(move, "v2", 0.5, "running", 0.0)

    def make_plan(self, _service, start):
        """Return a plan that lasts."""
        return Plan("m1", "v2", start, read_wall() + 600, 0.05)

    async def accept_proposal(self, _proposal):
        """Accept a step without keeping it."""

    async def collect(self, _service):
        """Return no evidence."""
        return Evidence({}, 0)


async def run_keeper(port, moves):
    """Run a keeper for at most three seconds; return whether it ended by itself."""
    lease = await acquire_lease(port, "move-s", "n")
    duty = StubDuty(port, moves)
    with anyio.move_on_after(3.0) as scope:
        await Keeper(duty, "s", lease, duty).run()
    return not scope.cancelled_caught


def test_keeper_ends_with_its_move(port):
    """A new move of the service is not judged by the evidence of the one before.

    The keeper went on, and failures under the first move would have condemned
    the second at once.
    """
    assert_that(anyio.run(run_keeper, port, ["m1", "m2"]), Equals(True))


async def run_taken(port):
    """Run a keeper whose lease another takes after its first look."""
    duty = StubDuty(port, ["m1"])
    lease = await acquire_lease(port, "move-s", "n")
    await acquire_lease(port, "move-s", "other", wall=lambda: read_wall() + 60)
    await Keeper(duty, "s", lease, duty).run()


def test_keeper_stops_when_its_lease_is_taken(port):
    """A keeper that finds its lease taken does nothing more."""
    with pytest.raises(LeaseLost):
        anyio.run(run_taken, port)


def test_holders_are_few_and_the_same_everywhere():
    """Nodes agree on who may hold a lease, whatever order they know others in."""
    nodes = [f"n{index}" for index in range(50)]
    assert_that(choose_holders("s", nodes), Equals(choose_holders("s", nodes[::-1])))
    assert_that(len(choose_holders("s", nodes)), Equals(3))


def test_restarted_node_begins_at_zero():
    """Tallies of a new incarnation are not subtracted from those of the old one."""
    times = (5, 0)
    before = Evidence({("n", 1, "v2", "r", "t"): Sample("r", "t", 5, 1, times)}, 0)
    later = Evidence({("n", 2, "v2", "r", "t"): Sample("r", "t", 2, 0, (2, 0))}, 0)
    grown = subtract_evidence(later, before).list_version("v2")
    assert_that([sample.calls for sample in grown], Equals([2]))
