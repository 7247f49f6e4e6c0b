"""Nodes as processes on loopback, the store and the targets in this process."""

import asyncio
import os
import random
import signal
import subprocess
import sys
from pathlib import Path

import attrs
import msgspec

from cactusshed.errors import CactusError
from cactusshed.options import Address
from standins.meshfleet import ask, find_port, make_document
from standins.rowstore import RowStoreApp, open_row_store

from .proxy import FaultProxy
from .target import SoakTarget

__all__ = [
    "APPLY_SECONDS",
    "DRAIN_SECONDS",
    "EVACUATION_SECONDS",
    "GRACE_SECONDS",
    "Fleet",
    "Node",
]

DRAIN_SECONDS = 2.0
EVACUATION_SECONDS = 5.0
GRACE_SECONDS = 6.0
APPLY_SECONDS = 2.0
COLD_FACTOR, COLD_SLACK = 1.5, 5.0
"""Bounds that the nodes are given; those of the users' smaller sites."""
COLD_RATE = 10.0
"""Starts a second that a cold target bears: a quarter of the load on each target."""
START_SECONDS = 15.0
ROUTES = {"/read/": {}, "/write/": {"kind": "unsafe"}}


@attrs.define(eq=False)
class Node:
    """One node's process, and what stands around it."""

    name: str
    data_centre: str
    settings: dict
    path: Path
    log: Path
    target: SoakTarget
    to_store: FaultProxy
    to_target: FaultProxy
    process: subprocess.Popen | None = None
    lives: int = 0
    own_ends: int = 0
    """How often the process ended without having been told to."""

    def start(self) -> None:
        """Start the process."""
        self.path.write_bytes(msgspec.json.encode(self.settings))
        environment = {**os.environ, "CACTUSSHED_BOOT": str(self.path)}
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "cactusshed.sidecar"],
                stdout=out,
                stderr=out,
                env=environment,
            )
        self.lives += 1

    def signal(self, number: int) -> None:
        """Send a signal to this process, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def end(self, number: int) -> None:
        """End the process by a signal, by force once its grace is over."""
        self.signal(number)
        try:
            async with asyncio.timeout(GRACE_SECONDS):
                while self.process.poll() is None:
                    await asyncio.sleep(0.05)
        except TimeoutError:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()

    @property
    def callers(self) -> Address:
        """Return where clients send their requests."""
        ip, _, port = self.settings["listen"]["outbound"].rpartition(":")
        return Address(ip, int(port))


def _make_settings(node: str, data_centre: str, ip: str, ports: dict) -> dict:
    return {
        "node": node,
        "zone": data_centre,
        "region": "r",
        "service": "a",
        "listen": {name: f"{ip}:{port}" for name, port in ports.items()},
        "heartbeat": "500ms",
        "limits": {"memory_mb": 300, "link_mbps": 1000.0},
        "platform": {"row_bytes": 65536},
        "bounds": {
            "drain": f"{DRAIN_SECONDS}s",
            "grace": f"{GRACE_SECONDS}s",
            "config": f"{APPLY_SECONDS}s",
            "rollback": "5s",
            "budget_ratio": 0.2,
            "budget_window": "10s",
            "budget_slack": 50,
            "exposure_share": 0.1,
            "exposure_slack": 50,
            "cold_overage": COLD_FACTOR,
            "cold_slack": COLD_SLACK,
        },
    }


class Fleet:
    """The store, nodes and targets of one soak."""

    def __init__(self, store: RowStoreApp, folder: Path, rng: random.Random) -> None:
        """Start without nodes; logs go to `folder`."""
        self.store = store
        self.store_address: Address | None = None
        self.nodes: list[Node] = []
        self.version = 1
        self._folder = folder
        self._rng = rng
        self._tasks: list[asyncio.Task] = []

    @classmethod
    async def open(cls, count: int, folder: Path, rng: random.Random) -> "Fleet":
        """Return a fleet of `count` nodes in three data centres, in force."""
        address = Address("127.0.0.1", find_port())
        store, _ = await open_row_store(address)
        fleet = cls(store, folder, rng)
        fleet.store_address = address
        fleet.configure()
        for number in range(count):
            await fleet._add(number)
        for node in fleet.nodes:
            node.start()
        async with asyncio.timeout(START_SECONDS):
            for node in fleet.nodes:
                await fleet.wait_open(node)
        return fleet

    def configure(self, **routes: dict) -> None:
        """Put the next version of the configuration in force."""
        self.version += 1
        added = {f"/{name}/": fields for name, fields in routes.items()}
        document = make_document(self.version, {**ROUTES, **added}, ["a"])
        for cluster in document["clusters"]:
            cluster["cold_per_s"] = COLD_RATE
        self.store.put_json("op", "config", document)

    async def _add(self, number: int) -> None:
        name, centre = f"n{number}", f"dc-{number % 3}"
        ip = f"127.0.1.{number + 1}"
        target = SoakTarget(node=name, data_centre=centre, work=0.02)
        target.rng = random.Random(self._rng.random())
        await target.begin(is_cold=False)
        to_store = FaultProxy(lambda: self.store_address)
        to_target = FaultProxy(lambda: target.address)
        for proxy in (to_store, to_target):
            await proxy.open(ip)
        names = ("inbound", "outbound", "ready", "control")
        settings = _make_settings(name, centre, ip, {n: find_port() for n in names})
        settings["app_addr"] = str(to_target.address)
        settings["platform"]["address"] = str(to_store.address)
        ip, _, port = settings["listen"]["control"].rpartition(":")
        target.announcements = Address(ip, int(port))
        folder = self._folder
        node = Node(
            name,
            centre,
            settings,
            folder / f"{name}.json",
            folder / f"{name}.log",
            target,
            to_store,
            to_target,
        )
        self.nodes.append(node)
        self._tasks.append(asyncio.create_task(target.keep_announcing()))

    async def is_ready(self, node: Node) -> bool:
        """Return what a node says of itself."""
        ip, _, port = node.settings["listen"]["ready"].rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                answer = await ask(
                    Address(ip, int(port)), b"GET", "/cactusshed/readyz", {}
                )
        except (CactusError, OSError, TimeoutError):
            # Whatever the reason, a node that does not answer is not ready.
            return False
        return answer.status == 200

    async def wait_open(self, node: Node) -> None:
        """Wait until a node is ready; start it again if it has ended by itself."""
        while not await self.is_ready(node):
            if node.process.poll() is not None:
                node.own_ends += 1
                node.start()
            await asyncio.sleep(0.05)

    async def close(self) -> None:
        """End everything that this fleet has started."""
        for task in self._tasks:
            task.cancel()
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
            node.process.wait()
            node.to_store.close()
            node.to_target.close()
            if node.target.is_up:
                node.target.crash()
