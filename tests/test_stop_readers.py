"""Planned stops: which readers of unsent answers a stopping node still waits for."""

import asyncio
from types import SimpleNamespace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cactusshed.mesh.frames import Load, Result
from cactusshed.mesh.link import Link
from cactusshed.mesh.peers import Peers
from cactusshed.observe.counters import Counters
from cactusshed.policy.bodybudget import BodyBudget
from cactusshed.policy.plannedstop import STALL_SECONDS, ReaderProgress
from cactusshed.policy.uplink import Uplink
from cactusshed.uplink.scheduler import UplinkScheduler

from .meshes import run_async

ANSWER_BYTES = 400_000
BYTES_PER_SECOND = 100_000


class FakeTransport(asyncio.Transport):
    """A transport that sends everything at once."""

    def write(self, data):
        """Send the data."""

    def get_write_buffer_size(self):
        """Return 0."""
        return 0

    def is_closing(self):
        """Return False."""
        return False

    def abort(self):
        """Do nothing."""

    def set_write_buffer_limits(self, high=None, low=None):
        """Do nothing."""


def open_peers(links):
    """Return peers whose links were dialled by other nodes."""
    peers = Peers(
        lambda _target: SimpleNamespace(node="n1"),
        lambda _link, _frame: None,
        lambda _member: None,
        lambda _hello: None,
        lambda _link: None,
        Counters(),
        BodyBudget(0),
        BodyBudget(0),
        BodyBudget(0),
    )
    peers._accepted.update(links)
    return peers


def test_pause_of_the_process_is_no_stall_of_its_readers():
    """A process that was stopped and continued took all of its readers for stalled.

    It ended with answers that had not been sent, since it sent nothing in the pause.
    """
    unsent = {"reader": 900}
    readers = ReaderProgress([unsent.items])
    times = [0.0, 0.1, 5.0, 5.3, 5.6]
    counts = [readers.count_reading(time) for time in times]
    assert_that(counts, Equals([1, 1, 1, 1, 0]))


@pytest.mark.parametrize("held_links", [0, 1, 3])
def test_link_whose_answer_waits_behind_others_is_not_slow(held_links):
    """A link was taken for one that does not read, though nothing was sent to it.

    Large answers are sent one after the other, so on a slow uplink the last ones wait
    for longer than a reader may be without progress. A link whose transport holds
    unsent bytes waits for the other side.
    """

    async def work():
        scheduler = UplinkScheduler(Uplink(BYTES_PER_SECOND))
        links = []
        for _ in range(3):
            link = Link(lambda *_: None, lambda _: None, scheduler=scheduler)
            link.connection_made(FakeTransport())
            link.takes_parts = True
            load = Load(0, 0, 1, 0.0)
            link.send(Result(1, 0, load, 200, [], bytes(ANSWER_BYTES)))
            links.append(link)
        for link in links[:held_links]:
            link.pause_writing()
        peers = open_peers(links)
        readers = ReaderProgress([peers.list_unsent], peers.list_waiting)
        times = [0.0, STALL_SECONDS / 2, STALL_SECONDS]
        counts = [readers.count_reading(time) for time in times]
        for link in links:
            link.close()
        return counts

    assert_that(run_async(work), Equals([3, 3, 3 - held_links]))
