"""Soak fleet: nodes as processes on loopback; store and targets in this process."""

import asyncio
import random
import signal
import time
from pathlib import Path

from cactusshed.errors import CactusError
from cactusshed.options import Address
from standins.meshfleet import make_document, send_request
from standins.ports import choose_port
from standins.rowstore import RowStoreApp, open_row_store
from standins.usageapi import open_usage_api

from .node import GRACE_SECONDS, Node
from .proxy import FaultProxy
from .records import ROUTES, InjectedFault
from .target import SoakTarget
from .usage import USAGE_BOUNDS, Keys, UsageWatch

__all__ = [
    "APPLY_SECONDS",
    "DRAIN_SECONDS",
    "EVACUATION_SECONDS",
    "LIMIT_EXCESS_FACTOR",
    "LIMIT_SLACK",
    "LIMIT_WINDOW_SECONDS",
    "MEMORY_MB",
    "STABLE_SECONDS",
    "Fleet",
]

DRAIN_SECONDS = 2.0
"""Time after an acknowledged leave in which a target may still get requests."""
EVACUATION_SECONDS = 5.0
"""Time within which an evacuated data centre gets no more requests."""
APPLY_SECONDS = 2.0
"""Time within which a new configuration is in force."""
STABLE_SECONDS = 3.0
"""Time after which a limit that a target has named must be kept."""
LIMIT_WINDOW_SECONDS, LIMIT_EXCESS_FACTOR, LIMIT_SLACK = 4.0, 1.5, 5
"""In any such time, a target may get what its limit allows times the factor, plus the
slack, as the users' rules state it."""
COLD_FACTOR, COLD_SLACK = 1.5, 5.0
"""Limit of starts at a cold target in one second: its rate times the factor, plus the
slack; both as on the users' smaller sites."""
COLD_RATE = 10.0
"""Starts per second that a cold target can take: a quarter of the load on a target."""
START_SECONDS = 15.0
"""Time within which all nodes must be ready at the start."""
HEADER_TIMEOUT = "3s"
"""Time within which a request must arrive; clients stop for less in a body."""
MEMORY_MB = 300
"""Memory of a node process, as on the users' machines."""
WATCH_SECONDS = 0.25
"""Interval between two looks at all processes."""
STALL_SECONDS = 0.2
"""Delay of a look from which on the soak itself counts as held up; a node does if it
has waited for a processor for so long between two looks, as the kernel counts it."""


def _make_settings(
    node: str, data_centre: str, service: str, ip: str, ports: dict
) -> dict:
    return {
        "node": node,
        "zone": data_centre,
        "region": "r",
        "service": service,
        "listen": {name: f"{ip}:{port}" for name, port in ports.items()},
        "heartbeat": "500ms",
        "limits": {"memory_mb": MEMORY_MB, "link_mbps": 1000.0},
        "platform": {"row_bytes": 65536},
        "cloud": {"duties": ["usage"]},
        "bounds": {
            **USAGE_BOUNDS,
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
        """Create a fleet without nodes; settings and logs go to `folder`."""
        self.store = store
        self.store_address: Address | None = None
        self.nodes: list[Node] = []
        self.version = 1
        self.keys = Keys()
        self.usage = UsageWatch()
        self.api_address: Address | None = None
        self.stalls: list[tuple[float, float]] = []
        """Times in which the soak, with its clients and targets, was held up."""
        self.starvations: list[InjectedFault] = []
        """Times in which the host held up a node, which count as unplanned faults."""
        self._folder = folder
        self._rng = rng
        self._tasks: list[asyncio.Task] = []

    @classmethod
    async def open(cls, count: int, folder: Path, rng: random.Random) -> "Fleet":
        """Return a fleet of `count` nodes in three data centres once all are ready."""
        address = Address("127.0.0.1", choose_port())
        store, _ = await open_row_store(address)
        store.era = 1
        fleet = cls(store, folder, rng)
        fleet.store_address = address
        fleet.api_address = Address("127.0.0.1", choose_port())
        fleet.usage.api, _ = await open_usage_api(fleet.api_address)
        store.on_write = fleet.usage.note_write
        fleet.configure()
        try:
            for number in range(count):
                await fleet._add_node(number)
            for node in fleet.nodes:
                node.start()
            async with asyncio.timeout(START_SECONDS):
                for node in fleet.nodes:
                    await fleet.wait_ready(node)
        except BaseException:
            await fleet.close()
            raise
        fleet._tasks.append(asyncio.create_task(fleet._watch()))
        return fleet

    async def _watch(self) -> None:
        """Look at the processes; start those again that have ended by themselves."""
        while True:
            began = time.monotonic()
            await asyncio.sleep(WATCH_SECONDS)
            ended = time.monotonic()
            if ended > began + WATCH_SECONDS + STALL_SECONDS:
                self.stalls.append((began, ended))
            for node in self.nodes:
                node.note_memory()
                if node.read_wait() > STALL_SECONDS:
                    starved = InjectedFault("starved", node.name, began, ended)
                    self.starvations.append(starved)
                if node.note_exit():
                    node.start()

    def configure(self, **routes: dict) -> None:
        """Publish the next version of the configuration, with `routes` added."""
        self.version += 1
        added_routes = {f"/{name}/": fields for name, fields in routes.items()}
        all_routes = {**ROUTES, **added_routes}
        document = make_document(self.version, all_routes, ["a", "b"])
        document["limits"]["header_timeout"] = HEADER_TIMEOUT
        for cluster in document["clusters"]:
            cluster["cold_per_s"] = COLD_RATE
        document["tenants"] = self.keys.render()
        self.store.put_json("op", "config", document)

    async def _add_node(self, number: int) -> None:
        name, centre = f"n{number}", f"dc-{number % 3}"
        ip, service = f"127.0.1.{number + 1}", "ab"[number % 2]
        target = SoakTarget(node=name, data_centre=centre, service=service)
        target.rng = random.Random(self._rng.random())
        await target.start(is_cold=False)
        store_proxy = FaultProxy(lambda: self.store_address)
        target_proxy = FaultProxy(lambda: target.address)
        api_proxy = FaultProxy(lambda: self.api_address)
        for proxy in (store_proxy, target_proxy, api_proxy):
            await proxy.open(ip)
        names = ("inbound", "outbound", "ready", "control")
        ports = {n: choose_port() for n in names}
        settings = _make_settings(name, centre, service, ip, ports)
        settings["app_addr"] = str(target_proxy.address)
        settings["platform"]["address"] = str(store_proxy.address)
        settings["cloud"]["address"] = str(api_proxy.address)
        ip, _, port = settings["listen"]["control"].rpartition(":")
        target.announce_address = Address(ip, int(port))
        folder = self._folder
        node = Node(
            name,
            centre,
            settings,
            folder / f"{name}.json",
            folder / f"{name}.log",
            target,
            store_proxy,
            target_proxy,
            api_proxy,
        )
        self.nodes.append(node)
        self._tasks.append(asyncio.create_task(target.keep_announcing()))

    async def is_ready(self, node: Node) -> bool:
        """Return whether the readiness endpoint of a node answers 200."""
        ip, _, port = node.settings["listen"]["ready"].rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                answer = await send_request(
                    Address(ip, int(port)), b"GET", "/cactusshed/readyz", {}
                )
        except (CactusError, OSError, TimeoutError):
            # A node that does not answer is not ready, whatever the reason.
            return False
        return answer.status == 200

    async def wait_ready(self, node: Node) -> None:
        """Wait until a node is ready; restart it if it exits unexpectedly."""
        while not await self.is_ready(node):
            if node.note_exit():
                node.start()
            await asyncio.sleep(0.05)

    async def close(self) -> None:
        """Stop all processes, proxies, targets and tasks of this fleet."""
        for task in self._tasks:
            task.cancel()
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
            if node.process is not None:
                node.process.wait()
            for proxy in (node.store_proxy, node.target_proxy, node.api_proxy):
                proxy.close()
            if node.target.is_up:
                node.target.crash()
