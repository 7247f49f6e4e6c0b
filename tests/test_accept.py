"""Acceptance of changes: conflicts on a branch, lost answers and outages."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from cactusshed.errors import AnswerLost, Conflict, InvalidTree, PlatformUnavailable
from cactusshed.store.acceptance import (
    Proposal,
    accept_change,
    load_head,
    read_changes,
)
from cactusshed.tree.branch import build_tree
from cactusshed.tree.edit import Edit

EMPTY = build_tree(0, ())


async def no_pause():
    """Do not wait between attempts."""


def accept(port, change_id, edits, base, tree=EMPTY):
    """Accept a proposal on a fresh event loop."""
    proposal = Proposal(change_id, "tests", tuple(edits), base)
    return anyio.run(accept_change, port, proposal, lambda: tree, no_pause)


def count_changes(port, change_id):
    """Return how often a change id occurs in the accepted sequence."""

    async def count():
        head = await load_head(port)
        changes = await read_changes(port, 0, head.number)
        return sum(change.change_id == change_id for change in changes)

    return anyio.run(count)


@pytest.fixture
def first(port, edits):
    """Accept version 1 and return its tree."""
    return accept(port, "first", edits, {})[1]


def test_race_on_one_branch_has_one_winner(port, first):
    """The second change to a branch gets a conflict that names the first author."""
    accept(port, "a", [Edit("/", {"slots": "3"})], {"/": 1}, first)
    with pytest.raises(Conflict) as caught:
        accept(port, "b", [Edit("/", {"slots": "4"})], {"/": 1}, first)
    assert_that(str(caught.value), Contains("branch / is at version 2 by tests"))


def test_race_on_two_branches_has_two_winners(port, first):
    """A concurrent change to another branch only causes a retry."""

    async def accept_other_change():
        other = Proposal("a", "tests", (Edit("/", {"slots": "3"}),), {"/": 1})
        await accept_change(port, other, lambda: first, no_pause)

    port.before_commit = accept_other_change
    change, _ = accept(
        port, "b", [Edit("/sn-ouest", {"slots": "4"})], {"/sn-ouest": 1}, first
    )
    assert_that(change.number, Equals(3))


def test_lost_answer_is_resolved_by_reading_back(port, first):
    """A change whose answer was lost is accepted once and reported as accepted."""
    port.faults = ["lost"]
    change, _ = accept(port, "a", [Edit("/", {"slots": "3"})], {"/": 1}, first)
    assert_that((change.number, count_changes(port, "a")), Equals((2, 1)))


def test_lost_answer_then_outage_is_reported_as_unknown(port, first):
    """A change that cannot be read back is reported as unknown, not as unwritten."""
    port.faults = ["lost"]
    port.failing_reads = 40
    with pytest.raises(AnswerLost):
        accept(port, "a", [Edit("/", {"slots": "3"})], {"/": 1}, first)
    port.reads_to_fail = 0
    change, _ = accept(port, "a", [Edit("/", {"slots": "3"})], {"/": 1}, first)
    assert_that((change.number, count_changes(port, "a")), Equals((2, 1)))


def test_late_write_takes_effect_once(port, first):
    """A write that takes effect after its retry does not repeat the change."""
    port.faults = ["hang"]
    accept(port, "a", [Edit("/", {"slots": "3"})], {"/": 1}, first)
    port.apply_late_commits()
    assert_that(count_changes(port, "a"), Equals(1))


def test_outage_is_reported_as_unwritten(port, first):
    """With the platform down from the start the change is reported as unwritten."""
    port.down = True
    with pytest.raises(PlatformUnavailable):
        accept(port, "a", [Edit("/", {"slots": "3"})], {"/": 1}, first)
    port.down = False
    assert_that(count_changes(port, "a"), Equals(0))


def test_bad_version_is_not_accepted(port, first):
    """An invalid version is refused and the head stays unchanged."""
    with pytest.raises(InvalidTree):
        accept(port, "a", [Edit("/", {"slots": "0"})], {"/": 1}, first)
    assert_that(anyio.run(load_head, port).number, Equals(1))


def test_removed_branch_can_be_set_again(port, first):
    """After its removal a branch has version 0, as an absent one."""
    _, tree = accept(port, "a", [Edit("/sn-ouest", None)], {"/sn-ouest": 1}, first)
    change, _ = accept(
        port, "b", [Edit("/sn-ouest", {"slots": "4"})], {"/sn-ouest": 0}, tree
    )
    assert_that(change.number, Equals(3))
