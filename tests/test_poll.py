"""Polling of the head: hints during a poll, and an outage of the platform."""

import anyio
import attrs
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cactusshed.member.records import Member
from cactusshed.member.view import View
from cactusshed.observe.counters import Counters
from cactusshed.settings import parse_settings
from cactusshed.spread.activeversion import ActiveVersion
from cactusshed.spread.poller import Poller
from cactusshed.store.acceptance import Proposal, accept_change
from cactusshed.tree.edit import Edit

from .test_settings import GOOD


async def no_pause():
    """Do not wait between attempts."""


def make_poller(port):
    """Return the poller of a single node that polls once a minute."""
    settings = attrs.evolve(parse_settings(GOOD), poll_interval=60.0)
    view = View(Member("n1", "r", "d", "127.0.0.1", 1, 2, 1), lambda _member: None)
    current = ActiveVersion("r", "d", Counters())
    return Poller(settings, port, current, view, Counters())


async def accept(port, poller, change_id, edits):
    """Accept a change and send the poller a hint."""
    proposal = Proposal(change_id, "tests", tuple(edits), {})
    change, _ = await accept_change(
        port, proposal, lambda: poller.current.tree, no_pause
    )
    poller.hint(change.number)


async def run_hinted(port, edits):
    """Accept a second change during the poll for the first; return the version."""
    poller = make_poller(port)
    read = port.get

    async def get_then_accept(key):
        row = await read(key)
        port.get = read
        await accept(port, poller, "second", [Edit("/", {"slots": "3"})])
        return row

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(poller.run)
        await anyio.wait_all_tasks_blocked()
        await accept(port, poller, "first", edits)
        port.get = get_then_accept
        with anyio.move_on_after(3.0):
            while poller.current.number < 2:
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    return poller.current.number


def test_hint_during_a_poll_is_not_lost(port, edits):
    """A hint that arrives during a poll causes another poll immediately after it."""
    assert_that(anyio.run(run_hinted, port, edits), Equals(2))


async def run_outage(port, edits):
    """Poll before and during an outage; return the version and the readiness."""
    poller = make_poller(port)
    proposal = Proposal("first", "tests", edits, {})
    await accept_change(port, proposal, lambda: poller.current.tree, no_pause)
    await poller.poll()
    port.down = True
    await poller.poll()
    return poller.current.number, poller.current.ready


def test_outage_changes_nothing(port, edits):
    """The active version stays active while the platform is unavailable."""
    assert_that(anyio.run(run_outage, port, edits), Equals((1, True)))
