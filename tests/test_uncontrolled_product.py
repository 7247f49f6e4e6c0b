"""Crowds of clients that keep to no rule, at the listeners of `serve/`.

Guards against processes that run out of memory or descriptors, as
`test_uncontrolled_clients` does for the nodes of the mesh. Run the module alone, one
test at a time.
"""

import asyncio
import os
import resource
from contextlib import AsyncExitStack
from pathlib import Path

import httpcore
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from cactusshed.options import Address
from standins.crowd import CROWDS, make_reads, open_crowd
from standins.fleet import open_fleet
from standins.process import IP, fetch

from .fleets import start_nodes

MEMORY_MB = 96
"""Memory of the node in its settings, and the bound of its peak. An idle node takes
55 MB."""
CROWD_SIZE = 800
CROWD_SECONDS = 2.0
READERS = 60
PIPELINED = 30
MAX_DESCRIPTORS = 150
MAX_CONNECTIONS = 100
"""Limit of connections in the settings of a node with few descriptors."""
SILENT = 300
TEST_SECONDS = 60.0
WAIT_SECONDS = 8.0
CALL_SECONDS = 3.0
LISTENERS = ("callers", "calls", "operators")
PARTIAL = ("large-chunks", "length", "short-lines", "folded-lines", "extensions")
OTHER_CROWDS = ("large-chunks", "trailers")


async def wait_served(fleet):
    """Wait until an ordinary request is answered with 200."""

    def is_served():
        try:
            url = fleet.nodes["d-1"].callers_url + "/texts/1"
            return fetch("GET", url, timeout=CALL_SECONDS).status == 200
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ):
            return False

    async with asyncio.timeout(WAIT_SECONDS):
        while not await asyncio.to_thread(is_served):
            await asyncio.sleep(0.05)


def run_crowds(folder, crowds, descriptors=0):
    """Return exit status, peak memory in MB and descriptors of a node after crowds.

    For each listener there are crowds as in `test_uncontrolled_clients`.
    """

    async def work(fleet):
        process = fleet.processes["d-1"].popen
        node = fleet.nodes["d-1"]
        async with AsyncExitStack() as open_:
            for listener, of_listener in crowds.items():
                address = Address(IP, getattr(node, f"{listener}_port"))
                for crowd in of_listener:
                    await open_.enter_async_context(open_crowd(address, *crowd))
            await asyncio.sleep(CROWD_SECONDS)
            count = len(os.listdir(f"/proc/{process.pid}/fd"))
            await wait_served(fleet)
        await wait_served(fleet)
        lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
        (peak,) = (line.split()[1] for line in lines if line.startswith("VmHWM:"))
        return process.poll(), int(peak) / 1024, count

    async def limited(fleet):
        async with asyncio.timeout(TEST_SECONDS):
            return await work(fleet)

    extra = {"memory-mb": str(MEMORY_MB)}
    if descriptors:
        extra["max-connections"] = str(MAX_CONNECTIONS)
    with open_fleet(folder) as fleet:
        start_nodes(fleet, ["d-1"], extra=extra)
        fleet.start_target("texts-1", "d-1", "texts")
        fleet.wait_targets("d-1", "texts", 1)
        if descriptors:
            pid = fleet.processes["d-1"].popen.pid
            resource.prlimit(pid, resource.RLIMIT_NOFILE, (descriptors, descriptors))
        return asyncio.run(limited(fleet))


def check(result, max_descriptors=1 << 20):
    """Check that the process lives, within its memory and descriptors."""
    status, peak_mb, descriptors = result
    print(f"peak {peak_mb:.0f} MB, {descriptors} descriptors")
    assert_that(status, Equals(None))
    assert_that(peak_mb, LessThan(MEMORY_MB))
    assert_that(descriptors, LessThan(max_descriptors))


@pytest.mark.parametrize("name", [*PARTIAL, "trailers"])
def test_partial_requests_stay_within_the_memory(tmp_path, name):
    """Requests that never end were bounded one by one, not together."""
    check(run_crowds(tmp_path, {"callers": [(CROWDS[name], CROWD_SIZE)]}))


@pytest.mark.parametrize("listener", ["calls", "operators", "control"])
@pytest.mark.parametrize("name", OTHER_CROWDS)
def test_other_listeners_stay_within_the_memory(tmp_path, listener, name):
    """The listeners of other nodes and of operators take no less than callers'."""
    check(run_crowds(tmp_path, {listener: [(CROWDS[name], CROWD_SIZE)]}))


@pytest.mark.parametrize("read_size", [0, 1024])
def test_unread_answers_stay_within_the_memory(tmp_path, read_size):
    """Pages of metrics that clients read slowly or never were held without bound."""
    reads = make_reads("/metrics", PIPELINED * 10)
    check(run_crowds(tmp_path, {"operators": [(reads, READERS, read_size)]}))


@pytest.mark.parametrize("listener", [*LISTENERS, "control"])
def test_silent_connections_leave_descriptors(tmp_path, listener):
    """Silent connections took all descriptors, and nobody else was served."""
    crowds = {listener: [(CROWDS["silent"], SILENT)]}
    check(run_crowds(tmp_path, crowds, MAX_DESCRIPTORS), MAX_DESCRIPTORS)


def test_crowds_at_all_listeners_stay_within_the_memory(tmp_path):
    """Bounds that hold for each listener added up to more than the memory."""
    crowds = [(data, CROWD_SIZE // len(CROWDS)) for data in CROWDS.values()]
    check(run_crowds(tmp_path, dict.fromkeys(LISTENERS, crowds)))
