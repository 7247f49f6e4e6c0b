"""The feed: readiness, freshness, choice of parents and summed reports."""

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from cactusshed.errors import UpdateRefused
from cactusshed.observe.counters import Counters
from cactusshed.spread.activeversion import ActiveVersion
from cactusshed.spread.messages import Receiver, make_updates
from cactusshed.spread.reports import Reports
from cactusshed.spread.topology import FAN_OUT, choose_parents
from cactusshed.tree.edit import Edit, make_change

NODES_PER_DATA_CENTRE = 1_300


class Clock:
    """A clock that tests set by hand."""

    def __init__(self):
        """Start at 100 seconds."""
        self.now = 100.0

    def __call__(self):
        """Return the time set."""
        return self.now


@pytest.fixture
def clock():
    """Return a clock that moves only when a test sets it."""
    return Clock()


def make_current(clock):
    """Return the empty version 0 of a node."""
    return ActiveVersion("sn-ouest", "dakar", Counters(), clock)


def activate_versions(current, count):
    """Activate `count` further versions, each with its change."""
    for _ in range(count):
        change, tree = make_change(
            current.tree,
            f"c{current.number}",
            "t",
            0.0,
            [Edit("/", {"slots": str(current.number + 1)})],
        )
        current.swap(tree, [change])


def pass_updates(sender, receiver, after):
    """Apply every update of `sender` after version `after` to `receiver`."""
    update_receiver = Receiver(receiver)
    for update in make_updates(sender, after):
        update_receiver.apply(update)


def test_restarted_node_waits_for_a_later_confirmation(clock):
    """A restarted node is ready only after a confirmation later than its start.

    An earlier confirmation may be of a version older than the one it served last.
    """
    parent = make_current(clock)
    activate_versions(parent, 2)
    parent.confirm(clock.now)
    clock.now += 1.0
    child = make_current(clock)
    pass_updates(parent, child, 0)
    assert_that((child.number, child.ready), Equals((2, False)))
    clock.now += 1.0
    parent.confirm(clock.now)
    pass_updates(parent, child, 2)
    assert_that(child.ready, Equals(True))


def test_older_sender_does_not_confirm(clock):
    """A heartbeat about an older version does not confirm a newer one."""
    ahead, behind = make_current(clock), make_current(clock)
    activate_versions(ahead, 3)
    activate_versions(behind, 2)
    behind.confirm(clock.now)
    pass_updates(behind, ahead, 2)
    assert_that(ahead.confirmed_at, Equals(None))


def test_swap_refuses_equal_and_older_versions(clock):
    """An equal or older version is refused."""
    current = make_current(clock)
    activate_versions(current, 1)
    old = current.tree
    activate_versions(current, 1)
    for tree in (old, current.tree):
        with pytest.raises(UpdateRefused):
            current.swap(tree, [])


def test_far_behind_node_gets_a_snapshot(clock):
    """A node too far behind for the kept changes is updated by a snapshot."""
    parent, child = make_current(clock), make_current(clock)
    activate_versions(parent, 1)
    activate_versions(child, 1)
    activate_versions(parent, 600)
    assert_that(parent.list_changes_after(1), Equals(None))
    pass_updates(parent, child, 1)
    assert_that(child.tree.digest, Equals(parent.tree.digest))


def test_damaged_snapshot_is_refused(clock):
    """A snapshot with a changed byte is refused and changes nothing."""
    parent, child = make_current(clock), make_current(clock)
    activate_versions(parent, 600)
    update_receiver = Receiver(child)
    with pytest.raises(UpdateRefused):
        for update in make_updates(parent, 0):
            update.snapshot = update.snapshot.replace(b'"slots":"600"', b'"slots":"1"')
            update_receiver.apply(update)
    assert_that(child.number, Equals(0))


@given(st.integers(1, 3000), st.integers(0, 2999))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_parents_have_lower_ranks(count, rank):
    """The chain of first parents ends at rank 0 within the expected depth."""
    ranked = [f"n{index}" for index in range(count)]
    rank = min(rank, count - 1)
    steps = 0
    while rank:
        parents = choose_parents(ranked, ranked[rank])
        assert all(ranked.index(parent) < rank for parent in parents)
        rank = ranked.index(parents[0])
        steps += 1
    assert_that(steps, LessThan(4 if count <= NODES_PER_DATA_CENTRE else 5))


def test_fan_out_is_bounded():
    """With equal views no node is the first parent of more than `FAN_OUT` nodes."""
    ranked = [f"n{index}" for index in range(NODES_PER_DATA_CENTRE)]
    children = Counter(choose_parents(ranked, name)[0] for name in ranked[1:])
    assert_that(max(children.values()), Equals(FAN_OUT))


def test_reports_add_up(clock):
    """A summary has the lowest version, and sums nodes and running calls."""
    root, leaf = make_current(clock), make_current(clock)
    activate_versions(root, 3)
    activate_versions(leaf, 2)
    root.confirm(clock.now)
    leaf.confirm(clock.now)
    leaf_reports = Reports("leaf", leaf, lambda: 4)
    root_reports = Reports("root", root, lambda: 1)
    root_reports.store(leaf_reports.summarise())
    total = root_reports.summarise()
    assert_that((total.lowest, total.nodes, total.running), Equals((2, 2, 5)))
    assert_that([lagging.node for lagging in total.behind], Equals(["leaf"]))
