"""Who reads the store for a data centre: one node, also while the store is away."""

import random

import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from cactusshed.clock import set_monotonic
from cactusshed.mesh.frames import ReaderHeartbeat
from cactusshed.mesh.relay import Relay
from cactusshed.mesh.table import EMPTY_TABLE
from cactusshed.policy.readtimes import compute_read_times

STEP_SECONDS = 0.1
APPLY_SECONDS = 2.0
"""Time in which the users of the base sites want a change to be in force."""
TIMES = compute_read_times(APPLY_SECONDS)


@attrs.define
class FakeMember:
    """Another node, always up."""

    node: str
    link_mbps: float
    data_centre: str = "dc"
    is_up: bool = True
    is_leaving: bool = False
    last_change: int = 0
    version: int = 0


@attrs.define
class FakeRecords:
    """Rows that never change."""

    table: object = EMPTY_TABLE
    last_change: int = 0


@attrs.define(eq=False)
class FakeLink:
    """Delivers a frame to the node that has dialled."""

    peer: str
    sender: str
    fleet: "Fleet"

    def send(self, frame):
        """Deliver `frame` at once."""
        back = FakeLink(self.sender, self.peer, self.fleet)
        self.fleet.relays[self.peer].handle(back, frame)


@attrs.define(eq=False)
class FakePeers:
    """The other nodes of one node."""

    fleet: "Fleet"
    node: str

    @property
    def members(self):
        """Return the other nodes by name."""
        return {n: m for n, m in self.fleet.members.items() if n != self.node}

    def list_accepted(self):
        """Return a link to every other node."""
        return [FakeLink(name, self.node, self.fleet) for name in self.members]


class Fleet:
    """The relays of one data centre in steps of virtual time, and their store."""

    def __init__(self, count, times=TIMES):
        """Start `count` nodes; the store answers all.

        Calls of nodes in `hanging` are not answered; calls of `refused` ones fail.
        """
        self.now = 100.0
        self.members = {f"n{i:03}": FakeMember(f"n{i:03}", 10.0) for i in range(count)}
        self.relays = {
            name: Relay(
                name,
                "dc",
                10.0,
                FakePeers(self, name),
                FakeRecords(),
                lambda: False,
                times,
            )
            for name in self.members
        }
        self.times = times
        self.refused = set()
        self.hanging = set()
        self.paused = set()
        self.calls = 0
        self.heard_at = 0.0

    def step(self):
        """Let every node act for one step."""
        self.now += STEP_SECONDS
        beat_steps = max(1, round(self.times.heartbeat / STEP_SECONDS))
        beats = round(self.now / STEP_SECONDS) % beat_steps
        for name, relay in self.relays.items():
            if name in self.paused:
                continue
            if relay.is_reader():
                self.calls += 1
                if name in self.refused:
                    relay.note_store_failure()
                elif name not in self.hanging:
                    relay.note_store_answer()
            if not beats:
                relay.send_heartbeats()

    def run(self, seconds):
        """Run for a time; return the calls to the store."""
        before = self.calls
        for _ in range(round(seconds / STEP_SECONDS)):
            self.step()
        return self.calls - before

    def list_readers(self):
        """Return the nodes that read the store and are answered."""
        return [
            name
            for name, relay in self.relays.items()
            if name not in self.refused | self.hanging | self.paused
            and relay.is_reader()
        ]


@pytest.fixture
def make_fleet():
    """Return a function that starts a fleet and lets it settle."""
    previous = []

    def make(count, times=TIMES):
        fleet = Fleet(count, times)
        previous.append(set_monotonic(lambda: fleet.now))
        for relay in fleet.relays.values():
            relay.started_at = fleet.now
        fleet.run(4.0)
        return fleet

    yield make
    set_monotonic(previous[0])


def test_one_node_reads_for_its_data_centre(make_fleet):
    """With the store well, one node reads, whatever the number of nodes."""
    fleet = make_fleet(24)
    assert_that(fleet.list_readers(), Equals(["n000"]))


def test_calls_to_a_lost_store_do_not_grow_with_the_fleet(make_fleet):
    """While the whole store is away a few nodes at a time query it."""
    counts = []
    for size in (24, 96):
        fleet = make_fleet(size)
        fleet.refused = set(fleet.relays)
        counts.append(fleet.run(9.0))
    assert_that(counts[1], LessThan(1.1 * counts[0]))


@pytest.mark.parametrize("seed", range(20))
def test_a_reader_is_found_while_the_store_turns_many_away(make_fleet, seed):
    """The store turns away a third, the reader among them; another one takes over."""
    fleet = make_fleet(24)
    others = [name for name in fleet.relays if name != "n000"]
    fleet.refused = {"n000", *random.Random(seed).sample(others, 8)}
    fleet.run(APPLY_SECONDS)
    assert_that(len(fleet.list_readers()), Equals(1))
    assert_that(fleet.run(5.0), LessThan(5.0 / STEP_SECONDS * 2.2))


def test_reader_that_regains_the_store_is_the_only_one_again(make_fleet):
    """The node that stood in for it stops within a second."""
    fleet = make_fleet(24)
    fleet.refused = {"n000"}
    fleet.run(5.0)
    fleet.refused = set()
    fleet.run(1.0)
    assert_that(fleet.list_readers(), Equals(["n000"]))


def test_lost_reader_is_replaced(make_fleet):
    """The next node reads soon after the reader is gone."""
    fleet = make_fleet(24)
    del fleet.members["n000"]
    del fleet.relays["n000"]
    fleet.run(APPLY_SECONDS)
    assert_that(fleet.list_readers(), Equals(["n001"]))


@pytest.mark.parametrize("apply", [1.0, 2.0, 5.0])
def test_reader_whose_calls_hang_is_replaced_before_a_change_is_late(make_fleet, apply):
    """Its heartbeats went on, so that the other nodes kept an old version."""
    fleet = make_fleet(24, compute_read_times(apply))
    fleet.run(7.0)
    fleet.hanging = {"n000"}
    fleet.run(0.9 * apply)
    assert_that(len(fleet.list_readers()), Equals(1))


def test_reader_that_pauses_after_its_calls_hang_is_replaced_in_time(make_fleet):
    """The time without the store and that without heartbeats must not add up."""
    fleet = make_fleet(24)
    fleet.run(7.0)
    fleet.hanging = {"n000"}
    fleet.run(1.2)
    fleet.paused = {"n000"}
    fleet.run(0.6)
    assert_that(len(fleet.list_readers()), Equals(1))


def test_heartbeat_of_another_data_centre_is_no_reader(make_fleet):
    """Only a reader of the own data centre keeps the others from reading."""
    fleet = make_fleet(3)
    fleet.members["far"] = FakeMember("far", 10.0, "other")
    fleet.refused = {"n000", "n001", "n002"}
    link = FakeLink("far", "n001", fleet)
    for _ in range(20):
        fleet.relays["n001"].handle(link, ReaderHeartbeat(0, 0))
        fleet.step()
    assert_that(fleet.list_readers(), Equals([]))
    fleet.refused = {"n000"}
    fleet.run(APPLY_SECONDS)
    assert_that(len(fleet.list_readers()), Equals(1))
