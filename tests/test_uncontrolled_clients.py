"""Crowds of clients that keep to no rule, at a real node process.

Guards against processes that run out of memory or descriptors while clients hold
partial requests, unread answers or silent connections. Nothing here depends on the
speed of the machine: the memory in the settings and the descriptors are the bounds. Run
the module alone, one test at a time.
"""

import asyncio
import os
import resource
import subprocess
import sys
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import attrs
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from cactusshed.errors import CactusError
from cactusshed.options import Address
from standins.crowd import CROWDS, make_reads, open_crowd
from standins.meshfleet import make_document, send_request, wait_for
from standins.meshtarget import MeshTarget, open_mesh_target
from standins.ports import choose_port
from standins.rowstore import open_row_store

MEMORY_MB = 64
"""Memory of the node in its settings, and the bound of its peak. An idle node takes
26 MB."""
CROWD_SIZE = 800
"""Connections; each may have a head of 4096 bytes and a body of 64 KiB."""
CROWD_SECONDS = 2.0
"""Time for which the crowd stays before an ordinary request is sent."""
READERS = 30
PIPELINED = 30
"""Reads on one connection; the kernel takes most of a single answer."""
LONG_ANSWER = b"a" * (1 << 20)
MAX_DESCRIPTORS = 150
SILENT = 300
"""Silent connections; twice the descriptors that the node has."""
OTHER_DESCRIPTORS = 4096
TEST_SECONDS = 60.0
"""Far above what a test needs, so that only a hang fails."""
ROUTES = {"/read/": {"timeout": "20s"}, "/long/": {"timeout": "20s"}}
IP = "127.0.3.1"


@attrs.define(eq=False)
class RunningNode:
    """A node process with a stand-in target in this process."""

    process: subprocess.Popen
    settings: dict
    target: MeshTarget

    def get_address(self, name: str) -> Address:
        """Return the address of one of its listeners."""
        ip, _, port = self.settings["listen"][name].rpartition(":")
        return Address(ip, int(port))

    async def request(self) -> int:
        """Return the status of one ordinary request; 0 without an answer."""
        headers = {"x-attempt-id": "ordinary", "x-deadline-ms": "5000"}
        headers["host"] = "shop.example"
        try:
            async with asyncio.timeout(6.0):
                answer = await send_request(
                    self.get_address("outbound"), b"GET", "/read/x", headers
                )
        except (CactusError, OSError, TimeoutError):
            return 0
        return answer.status

    async def is_served(self) -> bool:
        """Return whether an ordinary request is answered with 200."""
        return await self.request() == 200

    def read_peak_mb(self) -> float:
        """Return the peak memory of the process."""
        lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        (line,) = (line for line in lines if line.startswith("VmHWM:"))
        return int(line.split()[1]) / 1024

    def count_descriptors(self) -> int:
        """Return the number of its open descriptors."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def announce(self) -> bool:
        """Announce the target; return whether the node accepted it."""
        body = {
            "service": "a",
            "address": str(self.target.address),
            "zone": "z",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "cold_left": "0ms",
            "seq": 1,
            "born": 1000,
        }
        path = f"/cactusshed/rpc?call=instances.heartbeat&of={self.target.instance}"
        try:
            answer = await send_request(
                self.get_address("control"),
                b"POST",
                path,
                {},
                msgspec.json.encode(body),
            )
        except CactusError:
            return False
        return answer.status == 200


def _make_settings(store: Address, target: Address, max_descriptors: int) -> dict:
    names = ("inbound", "outbound", "ready", "control")
    return {
        "node": "n1",
        "zone": "z",
        "service": "a",
        "listen": {name: f"{IP}:{choose_port()}" for name in names},
        "app_addr": str(target),
        "platform": {"address": str(store)},
        "limits": {"memory_mb": MEMORY_MB, "max_fds": max_descriptors},
        "bounds": {"cold_overage": 1.5, "cold_slack": 1000.0},
    }


@asynccontextmanager
async def open_node(folder: Path, max_descriptors: int = OTHER_DESCRIPTORS):
    """Yield a node process that serves ordinary requests."""
    store_address = Address("127.0.0.1", choose_port())
    store, store_listener = await open_row_store(store_address)
    document = make_document(1, ROUTES, ["a"])
    # Partial requests stay for the whole test, whatever the speed of the machine.
    document["limits"].update(header_timeout="30s", idle_timeout="30s")
    store.put_json("op", "config", document)
    target = await open_mesh_target()
    settings = _make_settings(store_address, target.address, max_descriptors)
    path = folder / "settings.json"
    path.write_bytes(msgspec.json.encode(settings))
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = min(max_descriptors, hard_limit)
    with (folder / "log").open("wb") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "cactusshed.sidecar"],
            env={**os.environ, "CACTUSSHED_BOOT": str(path)},
            stdout=log,
            stderr=log,
        )
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (limit, limit))
    node = RunningNode(process, settings, target)
    try:
        await wait_for(node.announce)
        await wait_for(node.is_served)
        yield node
    finally:
        process.kill()
        process.wait()
        target.close()
        store_listener.stop()


def run_crowd(folder, *crowds, listener="outbound", **options):
    """Return what a node looks like after crowds, and whom it also serves beside them.

    Each crowd has the data of a connection, their number, and how much each of them
    reads at a time. Returned are the exit status, the peak memory and the open
    descriptors.
    """
    max_descriptors = options.get("max_descriptors", OTHER_DESCRIPTORS)

    async def work():
        async with (
            open_node(folder, max_descriptors) as node,
            AsyncExitStack() as open_,
        ):
            node.target.body = LONG_ANSWER
            address = node.get_address(listener)
            for crowd in crowds:
                await open_.enter_async_context(open_crowd(address, *crowd))
            await asyncio.sleep(CROWD_SECONDS)
            descriptors = node.count_descriptors()
            node.target.body = b"done"
            await wait_for(node.is_served)
            await open_.aclose()
            await wait_for(node.is_served)
            return node.process.poll(), node.read_peak_mb(), descriptors

    async def limited():
        async with asyncio.timeout(TEST_SECONDS):
            return await work()

    return asyncio.run(limited())


def check(result, max_descriptors=OTHER_DESCRIPTORS):
    """Check that the process lives, within its memory and descriptors."""
    status, peak_mb, descriptors = result
    print(f"peak {peak_mb:.0f} MB, {descriptors} descriptors")
    assert_that(status, Equals(None))
    assert_that(peak_mb, LessThan(MEMORY_MB))
    assert_that(descriptors, LessThan(max_descriptors))


@pytest.mark.parametrize("name", [n for n in CROWDS if n != "silent"])
def test_partial_requests_stay_within_the_memory(tmp_path, name):
    """Requests that never end took the process over its memory."""
    check(run_crowd(tmp_path, (CROWDS[name], CROWD_SIZE)))


@pytest.mark.parametrize("read_size", [0, 1024])
def test_unread_answers_stay_within_the_memory(tmp_path, read_size):
    """Long answers that clients read slowly, or never, took it over its memory."""
    reads = make_reads("/long/x", PIPELINED)
    check(run_crowd(tmp_path, (reads, READERS, read_size)))


def test_all_crowds_at_once_stay_within_the_memory(tmp_path):
    """Bounds that hold for each kind of crowd added up to more than the memory."""
    crowds = [(data, CROWD_SIZE // len(CROWDS)) for data in CROWDS.values()]
    reads = make_reads("/long/x", PIPELINED)
    check(run_crowd(tmp_path, *crowds, (reads, READERS, 0)))


def test_silent_connections_leave_descriptors(tmp_path):
    """Silent connections took all descriptors, and nobody else was served."""
    crowd = (CROWDS["silent"], SILENT)
    result = run_crowd(tmp_path, crowd, max_descriptors=MAX_DESCRIPTORS)
    check(result, MAX_DESCRIPTORS)


@pytest.mark.parametrize("listener", ["control", "ready"])
@pytest.mark.parametrize("name", ["large-chunks", "equal-lines"])
def test_other_listeners_stay_within_the_memory(tmp_path, listener, name):
    """The listeners of announcements and probes held as much as that of callers."""
    check(run_crowd(tmp_path, (CROWDS[name], CROWD_SIZE), listener=listener))


@pytest.mark.parametrize("listener", ["control", "ready"])
def test_other_listeners_leave_descriptors(tmp_path, listener):
    """Connections to the other listeners take descriptors of the same process."""
    crowd = (CROWDS["silent"], SILENT)
    result = run_crowd(
        tmp_path, crowd, listener=listener, max_descriptors=MAX_DESCRIPTORS
    )
    check(result, MAX_DESCRIPTORS)
