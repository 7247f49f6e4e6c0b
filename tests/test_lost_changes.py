"""Accepted changes of the product that the platform loses by returning from a copy."""

import copy

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cactusshed.errors import PlatformUnavailable
from cactusshed.store.acceptance import load_head, load_tree_at, read_changes
from cactusshed.tree.branch import build_tree
from cactusshed.tree.edit import Edit

from .test_poll import accept, make_poller

CHANGES = 50


async def accept_slots(port, poller, number):
    """Accept a change on the poller's node, and let it read the head."""
    await accept(port, poller, f"c{number}", [Edit("/", {"slots": str(number)})])
    await poller.poll()


async def lose_changes(port, edits, kept):
    """Accept changes, let the platform lose those after `kept`; return the poller."""
    poller = make_poller(port)
    await accept(port, poller, "first", edits)
    await poller.poll()
    saved = copy.deepcopy(port.store)
    for number in range(2, CHANGES + 1):
        if number == kept + 1:
            saved = copy.deepcopy(port.store)
        await accept_slots(port, poller, number)
    port.store = saved
    return poller


@pytest.mark.parametrize("kept", [1, CHANGES - 3])
def test_changes_that_the_platform_lost_are_written_again(port, edits, kept):
    """Nodes served them, but no node could accept any further change."""

    async def work():
        poller = await lose_changes(port, edits, kept)
        await poller.poll()
        await accept_slots(port, poller, 99)
        head = await load_head(port)
        tree, _ = await load_tree_at(port, build_tree(0, ()), head)
        numbers = [c.number for c in await read_changes(port, 0, head.number)]
        return numbers, tree.digest == poller.current.tree.digest

    assert_that(anyio.run(work), Equals((list(range(1, CHANGES + 2)), True)))


def test_change_on_top_of_lost_ones_is_refused_as_unwritten(port, edits):
    """It was refused as a damaged update, as if the operator could not try again."""

    async def work():
        poller = await lose_changes(port, edits, CHANGES - 1)
        with pytest.raises(PlatformUnavailable):
            await accept(port, poller, "c99", [Edit("/", {"slots": "9"})])
        return (await load_head(port)).number

    assert_that(anyio.run(work), Equals(CHANGES - 1))


def test_changes_of_another_history_are_not_overwritten(port, edits):
    """A node that started after the return may have accepted a change meanwhile."""

    async def work():
        poller = await lose_changes(port, edits, CHANGES - 3)
        other = make_poller(port)
        await other.poll()
        await accept(port, other, "other", [Edit("/", {"slots": "7"})])
        before = await load_head(port)
        await poller.poll()
        return await load_head(port) == before, poller.current.number

    assert_that(anyio.run(work), Equals((True, CHANGES)))
