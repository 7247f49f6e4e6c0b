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
from standins.crowd import CROWDS, SHORT_LINES, add_key, make_reads, open_crowd
from standins.linkcrowd import LINK_CROWDS, call_over_link
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
PATHS = ("/read/", "/long/", "/hang/", "/open-head/")
ROUTES = {path: {"timeout": "20s"} for path in PATHS}
IP = "127.0.3.1"
METRICS_PORT = 9464
"""Port of the metrics, which is not among the settings."""
LINKS = 200
LINK_COUNTS = {"open-frames": 800, "open-frames-unnamed": 800, "long-results": READERS}
LINK_SLOTS = 400
"""Slots of the target for calls of links, so that not only its queue holds them."""
ANSWERED_HEADS = 100
"""Answers of the target whose heads don't end, at a time."""
OPEN_HEAD = b"HTTP/1.1 200 OK\r\n" + b"".join(SHORT_LINES * 8)[:60_000]
TENANTS = [
    {"name": "acme", "api_keys": ["key-of-acme-7f3a"], "priority": 0},
    {"name": "bolt", "api_keys": ["key-of-bolt-91c2"], "priority": 2},
]
ORDINARY_KEY, CROWD_KEY, UNKNOWN_KEY = "key-of-acme-7f3a", "key-of-bolt-91c2", "x-4d1"
OTHER_LISTENERS = ("control", "ready", "metrics", "inbound")
OTHER_CROWDS = ("large-chunks", "equal-lines", "folded-lines", "extensions", "trailers")


@attrs.define(eq=False)
class RunningNode:
    """A node process with a stand-in target in this process."""

    process: subprocess.Popen
    settings: dict
    target: MeshTarget
    key: str = ""
    slots: int = 4

    def get_address(self, name: str) -> Address:
        """Return the address of one of its listeners."""
        if name == "metrics":
            return Address(IP, METRICS_PORT)
        ip, _, port = self.settings["listen"][name].rpartition(":")
        return Address(ip, int(port))

    async def request(self) -> int:
        """Return the status of one ordinary request; 0 without an answer."""
        headers = {"x-attempt-id": "ordinary", "x-deadline-ms": "5000"}
        headers["host"] = "shop.example"
        if self.key:
            headers["x-credential"] = self.key
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

    async def is_served_over_link(self) -> bool:
        """Return whether an ordinary call of another node is answered with 200."""
        return await call_over_link(self.get_address("inbound"), "/read/x") == 200

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
            "slots": self.slots,
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
async def open_node(
    folder: Path,
    max_descriptors: int = OTHER_DESCRIPTORS,
    tenants: list[dict] | None = None,
    slots: int = 4,
):
    """Yield a node process that serves ordinary requests."""
    store_address = Address("127.0.0.1", choose_port())
    store, store_listener = await open_row_store(store_address)
    document = make_document(1, ROUTES, ["a"])
    # Partial requests stay for the whole test, whatever the speed of the machine.
    document["limits"].update(header_timeout="30s", idle_timeout="30s")
    if tenants:
        document["tenants"] = tenants
    store.put_json("op", "config", document)
    target = await open_mesh_target(
        open_head=OPEN_HEAD, script={"/hang/x": "hang", "/open-head/x": "open-head"}
    )
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
    key = ORDINARY_KEY if tenants else ""
    node = RunningNode(process, settings, target, key, slots)
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
    """Return what a node looks like after crowds at one listener; see `run_crowds`."""
    return run_crowds(folder, {listener: crowds}, **options)


def run_crowds(folder, crowds, *, with_links=False, **options):
    """Return what a node looks like after crowds, and whom it also serves beside them.

    For each listener there are crowds, each with the data of a connection, their
    number, and how much each of them reads at a time. Returned are the exit status, the
    peak memory and the open descriptors. `with_links` requires a call of another node
    to be answered as well.
    """

    async def work():
        async with open_node(folder, **options) as node, AsyncExitStack() as open_:
            node.target.body = LONG_ANSWER
            for listener, of_listener in crowds.items():
                address = node.get_address(listener)
                for crowd in of_listener:
                    await open_.enter_async_context(open_crowd(address, *crowd))
            await asyncio.sleep(CROWD_SECONDS)
            descriptors = node.count_descriptors()
            node.target.body = b"done"
            if with_links:
                await wait_for(node.is_served_over_link)
            else:
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


@pytest.mark.parametrize("listener", OTHER_LISTENERS)
@pytest.mark.parametrize("name", OTHER_CROWDS)
def test_other_listeners_stay_within_the_memory(tmp_path, listener, name):
    """The listeners of announcements and probes held as much as that of callers."""
    check(run_crowd(tmp_path, (CROWDS[name], CROWD_SIZE), listener=listener))


@pytest.mark.parametrize("listener", OTHER_LISTENERS)
def test_other_listeners_leave_descriptors(tmp_path, listener):
    """Connections to the other listeners take descriptors of the same process."""
    crowd = (CROWDS["silent"], SILENT)
    result = run_crowd(
        tmp_path, crowd, listener=listener, max_descriptors=MAX_DESCRIPTORS
    )
    check(result, MAX_DESCRIPTORS)


@pytest.mark.parametrize("key", [CROWD_KEY, UNKNOWN_KEY])
@pytest.mark.parametrize("name", ["large-chunks", "equal-lines-complete"])
def test_keys_of_organisations_bound_nothing(tmp_path, key, name):
    """Clients with a key, or with one that is refused, hold as much as others."""
    crowd = (add_key(CROWDS[name], key), CROWD_SIZE)
    check(run_crowd(tmp_path, crowd, tenants=TENANTS))


def test_unread_refusals_stay_within_the_memory(tmp_path):
    """Refusals of unknown keys wait for their readers as answers do."""
    reads = add_key(make_reads("/read/x", PIPELINED * 10), UNKNOWN_KEY)
    check(run_crowd(tmp_path, (reads, CROWD_SIZE, 0), tenants=TENANTS))


@pytest.mark.parametrize("name", LINK_CROWDS)
def test_links_stay_within_the_memory(tmp_path, name):
    """Calls of other nodes held heads, open frames and unread results without bound.

    A call of an ordinary node, over a link of its own, is answered all the same.
    """
    crowd = (LINK_CROWDS[name], LINK_COUNTS.get(name, LINKS), 0)
    slots = 4 if name == "long-results" else LINK_SLOTS
    options = {"listener": "inbound", "with_links": True, "slots": slots}
    check(run_crowd(tmp_path, crowd, **options))


def test_heads_of_answers_stay_within_the_memory(tmp_path):
    """Heads of a target's answers were bounded one by one, not together."""
    reads = make_reads("/open-head/x", 1)
    check(run_crowd(tmp_path, (reads, ANSWERED_HEADS), slots=2 * ANSWERED_HEADS))


def test_crowds_at_all_listeners_stay_within_the_memory(tmp_path):
    """Bounds that hold for each listener added up to more than the memory."""
    crowds = [(data, CROWD_SIZE // len(CROWDS)) for data in CROWDS.values()]
    reads = make_reads("/long/x", PIPELINED)
    links = [(data, LINKS // len(LINK_CROWDS), 0) for data in LINK_CROWDS.values()]
    everywhere = dict.fromkeys(OTHER_LISTENERS, crowds)
    everywhere["outbound"] = [*crowds, (reads, READERS, 0)]
    everywhere["inbound"] = [*crowds, *links]
    check(run_crowds(tmp_path, everywhere))
