"""A mesh fleet in one event loop, with a stand-in store and targets."""

import asyncio
import itertools

import attrs
import msgspec

from cactusshed.clock import read_wall
from cactusshed.mesh.sidecar import Sidecar
from cactusshed.mesh.upstream import Answer, NotSent, Upstream, open_upstream
from cactusshed.nodesettings import Bounds, Settings, UsageSettings
from cactusshed.options import Address

from .meshtarget import MeshTarget, open_mesh_target
from .ports import choose_port
from .rowstore import RowStoreApp, open_row_store

__all__ = [
    "MeshFleet",
    "MeshNode",
    "make_document",
    "open_client",
    "render_request",
    "send_request",
    "wait_for",
]

BOUNDS = Bounds(
    drain=2.0,
    grace=6.0,
    apply=2.0,
    rollback=5.0,
    retry_ratio=0.2,
    retry_window=10.0,
    retry_slack=50.0,
    exposed_share=0.1,
    exposed_slack=50.0,
    cold_factor=1.5,
    cold_slack=5.0,
)
HOST = "shop.example"
WAIT_SECONDS = 10.0
POLL_SECONDS = 0.01


def make_document(version: int, routes: dict[str, dict], services: list[str]) -> dict:
    """Return a configuration document.

    `routes` maps each path prefix to the rule fields that differ from the defaults.
    """
    rules = [
        {
            "name": f"r-{prefix.strip('/')}",
            "kind": fields.get("kind", "safe"),
            "target_latency": "300ms",
            "priority": fields.get("priority", 0),
            "match": {"prefix": prefix},
            "action": {
                "service": fields.get("service", services[0]),
                "timeout": fields.get("timeout", "1000ms"),
                "attempts": 2,
            },
        }
        for prefix, fields in routes.items()
    ]
    clusters = [
        {
            "name": name,
            "health_path": "/healthz",
            "max_conns": 100,
            "cold_start": "3s",
            "cold_per_s": 50.0,
        }
        for name in services
    ]
    limits = {
        "max_header_bytes": 4096,
        "max_body_bytes": 65536,
        "header_timeout": "500ms",
        "idle_timeout": "5s",
    }
    return {
        "version": version,
        "limits": limits,
        "listeners": [{"host": HOST, "rules": rules}],
        "clusters": clusters,
    }


@attrs.define(eq=False)
class MeshNode:
    """A node and its local target."""

    settings: Settings
    target: MeshTarget
    sidecar: Sidecar
    stop: asyncio.Event
    task: asyncio.Task
    sequence: int = 0

    async def announce(self, state: str = "ready", **fields) -> int:
        """Send a heartbeat of the target and return the HTTP status."""
        self.sequence += 1
        body = {
            "service": self.settings.service,
            "address": str(self.target.address),
            "zone": self.settings.data_centre,
            "version": "v1",
            "slots": 4,
            "state": state,
            "cold_left": "0ms",
            "seq": self.sequence,
            "born": 1000,
            **fields,
        }
        return await self.send_rpc("instances.heartbeat", msgspec.json.encode(body))

    async def send_rpc(self, call: str, body: bytes = b"{}") -> int:
        """Send an RPC from the target to its node and return the HTTP status."""
        path = f"/cactusshed/rpc?call={call}&of={self.target.instance}"
        answer = await send_request(
            self.settings.announcements, b"POST", path, {}, body
        )
        return answer.status

    async def request(self, path: str, method: bytes = b"GET", **headers) -> Answer:
        """Send a client request to the node."""
        return await send_request(self.settings.callers, method, path, headers)

    async def is_ready(self) -> bool:
        """Return whether the readiness probe of the node answers 200."""
        answer = await send_request(
            self.settings.probes, b"GET", "/cactusshed/readyz", {}
        )
        return answer.status == 200

    async def is_reachable_and_ready(self) -> bool:
        """Return whether the node accepts connections and is ready."""
        try:
            return await self.is_ready()
        except NotSent:
            return False

    async def shut_down(self) -> None:
        """Stop the node as SIGTERM does and wait until it has ended."""
        self.stop.set()
        await self.task

    async def kill(self) -> None:
        """Cancel the node without a drain, as SIGKILL does."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


_attempt_ids = itertools.count(1)


async def send_request(
    address: Address, method: bytes, path: str, headers: dict, body: bytes = b""
) -> Answer:
    """Send one request on a new connection and return the answer."""
    upstream = await open_upstream(address)
    try:
        return await upstream.exchange(render_request(method, path, headers, body))
    finally:
        upstream.abort()


def render_request(method: bytes, path: str, headers: dict, body: bytes = b"") -> bytes:
    """Return an encoded client request with the default headers."""
    all_headers = {
        "x-attempt-id": f"c{next(_attempt_ids)}",
        "x-deadline-ms": "1000",
        "host": HOST,
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    lines = [b"%s %s HTTP/1.1" % (method, path.encode())]
    lines.extend(f"{name}: {value}".encode() for name, value in all_headers.items())
    if method != b"GET":
        lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


async def open_client(node: MeshNode) -> Upstream:
    """Open a client connection to a node."""
    return await open_upstream(node.settings.callers)


class MeshFleet:
    """A store and the nodes that a test has started."""

    def __init__(self, store: RowStoreApp, listener) -> None:
        """Create a fleet without nodes."""
        self.store = store
        self.store_address: Address | None = None
        self.nodes: list[MeshNode] = []
        self.usage: UsageSettings | None = None
        self._listener = listener

    @classmethod
    async def open(cls) -> "MeshFleet":
        """Return a fleet whose store is listening."""
        address = Address("127.0.0.1", choose_port())
        store, listener = await open_row_store(address)
        fleet = cls(store, listener)
        fleet.store_address = address
        return fleet

    async def start(self, name: str, service: str = "a", **target) -> MeshNode:
        """Start a target of `service` and its node."""
        local_target = await open_mesh_target(instance=f"i-{name}", **target)
        ports = [Address("127.0.0.1", choose_port()) for _ in range(4)]
        settings = Settings(
            node=name,
            data_centre=f"zone-{name[0]}",
            region="r",
            service=service,
            callers=ports[0],
            peers=ports[1],
            probes=ports[2],
            announcements=ports[3],
            target=local_target.address,
            store=self.store_address,
            memory_bytes=300 << 20,
            link_mbps=1000.0,
            bounds=BOUNDS,
            usage=self.usage,
        )
        return await self.run(settings, local_target)

    async def run(self, settings: Settings, target: MeshTarget) -> MeshNode:
        """Start a node with `settings`, which an earlier node may have used."""
        sidecar = Sidecar(settings)
        sidecar.start_time = int(read_wall() * 1e6)
        stop = asyncio.Event()
        task = asyncio.create_task(sidecar.run(stop))
        node = MeshNode(settings, target, sidecar, stop, task)
        self.nodes.append(node)
        return node

    async def restart(self, node: MeshNode) -> MeshNode:
        """Restart a node that has ended; its target has kept running."""
        restarted = await self.run(node.settings, node.target)
        restarted.sequence = node.sequence
        return restarted

    async def start_connected(self, *names: str, service: str = "a") -> list[MeshNode]:
        """Start nodes, announce their targets, and wait until all are connected."""
        nodes = [await self.start(name, service) for name in names]
        for node in nodes:
            await wait_for(node.is_reachable_and_ready)
            await node.announce()
        await wait_for(lambda: self.are_all_connected(nodes))
        return nodes

    def are_all_connected(self, nodes: list[MeshNode]) -> bool:
        """Return whether every node is linked to all others and their open targets."""
        return all(
            sum(m.is_up and m.state.is_open for m in n.sidecar.peers.members.values())
            >= len(nodes) - 1
            for n in nodes
        )

    async def close(self) -> None:
        """Close all nodes, targets and the store."""
        for node in self.nodes:
            await node.kill()
            node.target.close()
        self._listener.stop()


async def wait_for(check) -> None:
    """Wait until `check` returns true; raise `TimeoutError` after `WAIT_SECONDS`."""
    async with asyncio.timeout(WAIT_SECONDS):
        while True:
            result = check()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(POLL_SECONDS)
