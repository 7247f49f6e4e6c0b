"""Soak clients: they reuse connections and record every request."""

import asyncio
import itertools
import random
import time

import attrs

from cactusshed.errors import CactusError
from cactusshed.mesh.upstream import Upstream, open_upstream
from standins.meshfleet import render_request

from .fleet import Fleet, Node

__all__ = ["ANSWER_TIMEOUT_SECONDS", "DEADLINE_SECONDS", "Clients", "Record"]

DEADLINE_SECONDS = 1.0
ANSWER_TIMEOUT_SECONDS = 2.5
"""Client timeout; it exceeds the deadline by far more than a node may overrun it."""
PAUSE_SECONDS = 0.05
"""Mean pause between two requests of one client."""
MAX_IDLE_SECONDS = 4.0
"""Idle time up to which a connection is reused: four fifths of the configured time, as
on the users' platform. Near the whole of it, a request may cross the node's close."""
BODY_BYTES = (0, 0, 100, 60_000)
"""Sizes of the bodies of submissions; the largest travels in parts between nodes."""
PROBE_SECONDS = 0.5
"""Pause between two readiness probes of the nodes."""


@attrs.define
class Record:
    """One request and its answer; `status` is 0 if there was no answer.

    `was_sent` is false if no connection could be opened, and `ended` is 0 until the
    request has ended. `incarnation` numbers the processes of the node.
    """

    request_id: str
    path: str
    node: str
    incarnation: int
    sent: float
    ended: float = 0.0
    status: int = 0
    body: bytes = b""
    was_sent: bool = True
    cause: str = ""


class Clients:
    """Clients that each send one request at a time to a ready node."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        """Prepare clients of `fleet`; each call of `run` is one client."""
        self.records: list[Record] = []
        self.added_routes: dict[str, float] = {}
        """Monotonic time at which each route was added, the oldest first."""
        self._fleet = fleet
        self.rng = rng
        self._request_numbers = itertools.count(1)
        self._ready_nodes: set[str] = set()

    async def probe(self) -> None:
        """Update the set of ready nodes until cancelled."""
        while True:
            for node in self._fleet.nodes:
                if await self._fleet.is_ready(node):
                    self._ready_nodes.add(node.name)
                else:
                    self._ready_nodes.discard(node.name)
            await asyncio.sleep(PROBE_SECONDS)

    async def run(self) -> None:
        """Send requests until cancelled; connections are reused."""
        connections: dict[str, Upstream] = {}
        while True:
            node = self.choose_node()
            if node is not None:
                await self._send_request(node, connections)
            await asyncio.sleep(PAUSE_SECONDS * self.rng.uniform(0.5, 1.5))

    def choose_node(self) -> Node | None:
        """Return a random node that is ready, if there is one."""
        nodes = [n for n in self._fleet.nodes if n.name in self._ready_nodes]
        return self.rng.choice(nodes) if nodes else None

    def _choose_path(self) -> str:
        paths = ["/read/x", "/read/y", "/write/z"]
        paths.extend(f"/{name}/x" for name in list(self.added_routes)[-2:])
        return self.rng.choice(paths)

    def make_record(self, node: Node, path: str = "/read/x") -> Record:
        """Return the record of a new request to a node."""
        request_id = f"r{next(self._request_numbers)}"
        record = Record(request_id, path, node.name, node.start_count, time.monotonic())
        self.records.append(record)
        return record

    async def _send_request(self, node: Node, connections: dict[str, Upstream]) -> None:
        record = self.make_record(node, self._choose_path())
        try:
            await self._exchange(node, connections, record)
        except (CactusError, TimeoutError) as error:
            record.cause = getattr(error, "message", "") or "no answer in time"
            record.was_sent = getattr(error, "code", "") != "not-sent"
            connections.pop(node.name, None)
        record.ended = time.monotonic()

    async def _exchange(self, node: Node, connections: dict, record: Record) -> None:
        upstream = connections.get(node.name)
        if upstream is not None and _is_idle_too_long(upstream):
            upstream.abort()
        if upstream is None or not upstream.is_usable():
            upstream = connections[node.name] = await open_upstream(node.caller_address)
        method, body = b"GET", b""
        if record.path.startswith("/write"):
            method, body = b"POST", b"x" * self.rng.choice(BODY_BYTES)
        data = render_request(
            method,
            record.path,
            {
                "x_attempt_id": record.request_id,
                "x_deadline_ms": str(int(1000 * DEADLINE_SECONDS)),
            },
            body,
        )
        async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
            answer = await upstream.exchange(data)
        record.status, record.body = answer.status, answer.body


def _is_idle_too_long(upstream: Upstream) -> bool:
    return asyncio.get_running_loop().time() - upstream.idle_since > MAX_IDLE_SECONDS
