"""Explanations of real node processes, compared with where requests then went.

Requests are sent one at a time, each after its explanation. Its path marks it, and the
targets, which are stand-ins in this process, know which of them has run it.
"""

import asyncio
import os
import random
import subprocess
import sys
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from urllib.parse import urlencode

import attrs
import msgspec
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from cactusshed.errors import CactusError
from cactusshed.explain.messages import ExplainedTarget, RouteExplanation
from cactusshed.mesh.sidecar import METRICS_PORT
from cactusshed.options import Address
from standins.meshfleet import HOST, make_document, send_request, wait_for
from standins.meshtarget import MeshTarget, open_mesh_target
from standins.ports import choose_port
from standins.rowstore import open_row_store

REQUESTS = 200
MIN_EXPLAINED = 190
"""Requests that must go to the target that the explanation names first, or to one that
the random jitter can put before it."""
TEST_SECONDS = 90.0
"""Far above what the test needs, so that only a hang fails."""
LISTENERS = ("inbound", "outbound", "ready", "control")
WORK_SECONDS = {"a1": 0.02, "a2": 0.005, "a3": 0.02, "b1": 0.002}
"""Work of each node's target; the first letter of a name is that of its zone."""


@attrs.define(eq=False)
class _Node:
    """A node process and its target."""

    name: str
    ip: str
    settings: dict
    target: MeshTarget
    process: subprocess.Popen
    sequence: int = 0

    def get_address(self, listener: str) -> Address:
        ip, _, port = self.settings["listen"][listener].rpartition(":")
        return Address(ip, int(port))

    async def announce(self) -> bool:
        """Announce the target; return whether the node accepted it."""
        self.sequence += 1
        body = {
            "service": "a",
            "address": str(self.target.address),
            "zone": self.settings["zone"],
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "cold_left": "0ms",
            "seq": self.sequence,
            "born": 1000,
        }
        path = f"/cactusshed/rpc?call=instances.heartbeat&of={self.target.instance}"
        data = msgspec.json.encode(body)
        address = self.get_address("control")
        try:
            answer = await send_request(address, b"POST", path, {}, data)
        except CactusError:
            return False
        return answer.status == 200

    async def explain(self, path: str) -> list[ExplainedTarget]:
        """Return the targets to which a request would go now; none if not known."""
        query = urlencode({"host": HOST, "path": path})
        address = Address(self.ip, METRICS_PORT)
        try:
            answer = await send_request(address, b"GET", f"/explain?{query}", {})
        except CactusError:
            return []
        if answer.status != 200:
            return []
        explanation = msgspec.json.decode(answer.body, type=RouteExplanation)
        if not explanation.services:
            return []
        return explanation.services[0].versions[0].targets

    async def knows_all(self) -> bool:
        """Return whether all targets are warm and get calls from this node."""
        targets = await self.explain("/read/x")
        open_targets = [t for t in targets if t.order and not t.is_cold]
        return len(open_targets) == len(WORK_SECONDS)


async def _start_node(name: str, ip: str, store: Address, folder: Path) -> _Node:
    target = await open_mesh_target(
        instance=f"i-{name}", body=name.encode(), work_seconds=WORK_SECONDS[name]
    )
    settings = {
        "node": name,
        "zone": f"zone-{name[0]}",
        "service": "a",
        "listen": {listener: f"{ip}:{choose_port()}" for listener in LISTENERS},
        "app_addr": str(target.address),
        "platform": {"address": str(store)},
        "bounds": {"cold_overage": 1.5, "cold_slack": 1000.0},
    }
    path = folder / f"{name}.json"
    path.write_bytes(msgspec.json.encode(settings))
    with (folder / f"{name}.log").open("wb") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "cactusshed.sidecar"],
            env={**os.environ, "CACTUSSHED_BOOT": str(path)},
            stdout=log,
            stderr=log,
        )
    return _Node(name, ip, settings, target, process)


@asynccontextmanager
async def _open_nodes(folder: Path):
    """Yield nodes that know each other; each has an address of its own for metrics."""
    store_address = Address("127.0.0.1", choose_port())
    store, store_listener = await open_row_store(store_address)
    store.put_json("op", "config", make_document(1, {"/read/": {}}, ["a"]))
    rng = random.SystemRandom()
    network = f"127.{rng.randrange(16, 255)}.{rng.randrange(256)}"
    nodes: list[_Node] = []
    async with AsyncExitStack() as opened:
        opened.callback(store_listener.stop)
        for number, name in enumerate(WORK_SECONDS, 1):
            ip = f"{network}.{number}"
            node = await _start_node(name, ip, store_address, folder)
            opened.callback(node.target.close)
            opened.callback(node.process.wait)
            opened.callback(node.process.kill)
            nodes.append(node)
        for node in nodes:
            await wait_for(node.announce)
        for node in nodes:
            await wait_for(node.knows_all)
        yield nodes


def test_requests_go_where_the_explanation_says(tmp_path):
    """An explanation by other rules or other state than the choice's would mislead."""
    remote: list[bool] = []

    async def send_all():
        found = []
        async with _open_nodes(tmp_path) as nodes:
            for number in range(REQUESTS):
                node = nodes[number % len(nodes)]
                path = f"/read/{number}"
                targets = await node.explain(path)
                answer = await send_request(
                    node.get_address("outbound"), b"GET", path, {}
                )
                line = b"GET %s HTTP/1.1" % path.encode()
                runs = [
                    other.name
                    for other in nodes
                    if any(line == request[0] for request in other.target.requests)
                ]
                served = answer.body.decode()
                remote.append(served != node.name)
                found.append((answer.status, served, runs, targets))
        return found

    async def limited():
        async with asyncio.timeout(TEST_SECONDS):
            return await send_all()

    found = asyncio.run(limited())
    statuses = [status for status, *_ in found]
    assert_that(statuses, Equals([200] * REQUESTS))
    served = [(name, targets) for _, name, _, targets in found]
    assert_that([runs for _, _, runs, _ in found], Equals([[n] for n, _ in served]))
    first = sum(targets[0].node == name for name, targets in served)
    near = sum(
        any(t.node == name and t.may_be_first for t in targets)
        for name, targets in served
    )
    assert_that(near, GreaterThan(MIN_EXPLAINED - 1), f"first: {first}, near: {near}")
    # The explanation is of use only if it excludes most targets.
    marked = sum(t.may_be_first for _, targets in served for t in targets)
    assert_that(2 * REQUESTS, GreaterThan(marked))
    # Nodes that always chose their own target would prove little.
    assert_that(sum(remote), GreaterThan(0))
    print(f"first {first}, near {near}, marked {marked}, remote {sum(remote)}")
