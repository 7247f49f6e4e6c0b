"""The move duty: one controller for one move, and the collected tallies."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cactusshed.clock import read_wall
from cactusshed.duty.moves import MoveController, choose_candidates
from cactusshed.duty.tallies import ServiceTallies, subtract_tallies
from cactusshed.errors import LeaseLost
from cactusshed.member.records import Member
from cactusshed.member.view import View
from cactusshed.observe.counters import Counters
from cactusshed.policy.comparison import Sample
from cactusshed.policy.progress import Plan, Progress
from cactusshed.store.lease import acquire_lease


class StubDuty:
    """A duty whose move comes from a script, one entry for each check."""

    def __init__(self, port, moves):
        """Return each of `moves` once, then always the last."""
        self.port = port
        self.view = View(Member("n", "r", "d", "ip", 1, 2, 1), lambda _member: None)
        self.counters = Counters()
        self.editor = self
        self._moves = list(moves)

    def get_progress(self, _service):
        """Return the next progress."""
        move = self._moves.pop(0) if len(self._moves) > 1 else self._moves[0]
        return Progress(move, "v2", 0.5, "running", 0.0)

    def make_plan(self, _service, start):
        """Return a plan that ends in ten minutes."""
        return Plan("m1", "v2", start, read_wall() + 600, 0.05)

    async def accept_proposal(self, _proposal):
        """Accept a step without storing it."""

    async def collect(self, _service):
        """Return no tallies."""
        return ServiceTallies({}, 0)


async def run_controller(port, moves):
    """Run a controller for at most three seconds; return whether it ended itself."""
    lease = await acquire_lease(port, "move-s", "n")
    duty = StubDuty(port, moves)
    with anyio.move_on_after(3.0) as scope:
        await MoveController(duty, "s", lease, duty).run()
    return not scope.cancelled_caught


def test_controller_ends_with_its_move(port):
    """A controller ends when its service starts another move.

    If it continued, it would count failures during the first move against the
    version of the second.
    """
    assert_that(anyio.run(run_controller, port, ["m1", "m2"]), Equals(True))


async def run_after_takeover(port):
    """Run a controller whose lease has been taken by another holder."""
    duty = StubDuty(port, ["m1"])
    lease = await acquire_lease(port, "move-s", "n")
    await acquire_lease(port, "move-s", "other", wall=lambda: read_wall() + 60)
    await MoveController(duty, "s", lease, duty).run()


def test_controller_stops_when_its_lease_is_taken(port):
    """A controller stops with `LeaseLost` when another holder has its lease."""
    with pytest.raises(LeaseLost):
        anyio.run(run_after_takeover, port)


def test_candidates_are_few_and_equal_on_every_node():
    """The candidates for a lease do not depend on the order of the nodes."""
    nodes = [f"n{index}" for index in range(50)]
    assert_that(
        choose_candidates("s", nodes), Equals(choose_candidates("s", nodes[::-1]))
    )
    assert_that(len(choose_candidates("s", nodes)), Equals(3))


def test_tallies_of_restarted_node_count_from_zero():
    """The tallies of a new incarnation count from zero."""
    times = (5, 0)
    before = ServiceTallies(
        {("n", 1, "v2", "r", "t"): Sample("r", "t", 5, 1, times)}, 0
    )
    later = ServiceTallies(
        {("n", 2, "v2", "r", "t"): Sample("r", "t", 2, 0, (2, 0))}, 0
    )
    increase = subtract_tallies(later, before).list_version("v2")
    assert_that([sample.calls for sample in increase], Equals([2]))
