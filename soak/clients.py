"""Soak clients: each follows one behaviour, and all record every request."""

import asyncio
import itertools
import random
import time

import attrs

from standins.meshfleet import render_request

from .answers import ANSWERS, LONG_SHAPE
from .connection import Connection, Paced, compute_digest, open_connection
from .fleet import Fleet
from .node import Node
from .records import ROUTES, Record, Run, is_unsafe

__all__ = ["Client", "Clients", "make_headers", "render"]

PAUSE_SECONDS = 0.1
"""Mean pause between two requests of one client."""
MAX_IDLE_SECONDS = 4.0
"""Idle time up to which a connection is reused: four fifths of the configured time, as
on the users' platform. Near the whole of it, a request may cross the node's close."""
BODY_BYTES = (0, 0, 1, 100, 60_000, 65_536)
"""Sizes of the bodies of submissions; the largest travels in parts between nodes."""
WORK_MS = (5, 5, 5, 20, 60, 60, 200, 600)
"""Times that targets work on requests, so that planned stops meet some."""
PLAIN_SHARE = 0.8
"""Share of the requests that ask for a short answer by length."""
PROBE_SECONDS = 0.5
"""Pause between two readiness probes of the nodes."""
LONG_SECONDS = 4.0
"""Deadline of requests on the routes with a long timeout."""


class Clients:
    """Clients that each send requests to the nodes of a fleet."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        """Prepare clients of `fleet`."""
        self.records: list[Record] = []
        self.turns: dict[str, int] = {}
        """Number of turns by the name of the behaviour."""
        self.added_routes: dict[str, float] = {}
        """Monotonic time at which each route was added, the oldest first."""
        self.fleet = fleet
        self.is_closed = False
        self._rng = rng
        self._clients: list[Client] = []
        self._request_numbers = itertools.count(1)
        self.ready_nodes: set[str] = set()
        for node in fleet.nodes:
            caller = self.open_client("calls", node.name)
            node.target.call = caller.make_call

    def open_client(self, kind: str, home: str = "") -> "Client":
        """Return a client with a plan of its own; `home` names its only node."""
        client = Client(self, kind, random.Random(self._rng.random()), home)
        if kind != "calls":
            lasting = self.fleet.keys.lasting
            client.key = lasting[len(self._clients) % len(lasting)].text
        self._clients.append(client)
        return client

    def close(self) -> None:
        """Close all kept connections, and keep no further ones."""
        self.is_closed = True
        for client in self._clients:
            client.close()

    async def probe(self) -> None:
        """Update the set of ready nodes until cancelled."""
        while True:
            for node in self.fleet.nodes:
                if await self.fleet.is_ready(node):
                    self.ready_nodes.add(node.name)
                else:
                    self.ready_nodes.discard(node.name)
            await asyncio.sleep(PROBE_SECONDS)

    def make_id(self) -> str:
        """Return the id of a new request."""
        return f"r{next(self._request_numbers)}"


@attrs.define(eq=False)
class Client:
    """One client; its draws don't depend on the answers, so a seed repeats them."""

    clients: Clients
    kind: str
    rng: random.Random
    home: str = ""
    """Node that it keeps to, ready or not; empty for any that is ready."""
    key: str = ""
    """Key of its tenant; calls of targets carry none."""
    connections: dict[str, Connection] = attrs.Factory(dict)

    async def run(self, take_turn, pause: float = PAUSE_SECONDS) -> None:
        """Take turns until cancelled."""
        turns = self.clients.turns
        while True:
            await take_turn(self)
            turns[self.kind] = turns.get(self.kind, 0) + 1
            await asyncio.sleep(pause * self.rng.uniform(0.5, 1.5))

    def close(self) -> None:
        """Close all kept connections."""
        for connection in self.connections.values():
            connection.close()
        self.connections.clear()

    def choose_node(self) -> Node | None:
        """Return its own node, or a random one that is ready, if there is one."""
        point = self.rng.random()
        nodes = self.clients.fleet.nodes
        if self.home:
            return next(node for node in nodes if node.name == self.home)
        ready = [node for node in nodes if node.name in self.clients.ready_nodes]
        return ready[int(point * len(ready))] if ready else None

    def choose_path(self, routes: tuple[str, ...] = (), shape: str = "") -> str:
        """Return the path of a new request, on one of `routes` if there are any."""
        route_point, shape_point = self.rng.random(), self.rng.random()
        drawn_shape = self.rng.choice([name for name in ANSWERS if name != LONG_SHAPE])
        work_ms = self.rng.choice(WORK_MS)
        if not routes:
            added = (f"/{name}/" for name in list(self.clients.added_routes)[-2:])
            routes = (
                "/read/",
                "/read/",
                "/write/",
                "/other/",
                "/post/",
                "/long/",
                *added,
            )
        route = routes[int(route_point * len(routes))]
        shape = shape or ("plain" if shape_point < PLAIN_SHARE else drawn_shape)
        return f"{route}{shape}/{work_ms}"

    def draw_body(self, path: str) -> bytes:
        """Return the body of a new request."""
        size, start = self.rng.choice(BODY_BYTES), self.rng.randrange(1 << 16)
        pattern = start.to_bytes(2, "big") + b"body"
        return (pattern * (size // 6 + 1))[:size] if is_unsafe(path) else b""

    def make_record(self, node: Node, path: str, body: bytes = b"", **fields) -> Record:
        """Return the record of a new request to a node."""
        own = {"request_id": self.clients.make_id(), "kind": self.kind}
        fields = {**own, "key": self.key, **fields}
        if ROUTES.get(f"/{path.split('/')[1]}/", {}).get("timeout"):
            fields.setdefault("deadline", LONG_SECONDS)
        record = Record(
            path=path,
            node=node.name,
            incarnation=node.start_count,
            sent=time.monotonic(),
            body_digest=compute_digest(body),
            **fields,
        )
        self.clients.records.append(record)
        return record

    async def connect(
        self, node: Node, records: list[Record], receive_bytes: int = 0
    ) -> Connection | None:
        """Return the kept connection to a node or a new one, `None` if it failed."""
        connection = self.connections.pop(node.name, None)
        if connection is not None:
            is_fresh = time.monotonic() - connection.idle_since <= MAX_IDLE_SECONDS
            if is_fresh and connection.is_usable:
                return connection
            connection.close()
        try:
            return await open_connection(node.caller_address, receive_bytes)
        except (OSError, TimeoutError) as error:
            for record in records:
                record.cause, record.was_sent = repr(error), False
                record.ended = time.monotonic()
            return None

    async def send(
        self,
        node: Node,
        records: list[Record],
        parts: list[bytes | float | None],
        pace: Paced | None = None,
        receive_bytes: int = 0,
    ) -> None:
        """Write the parts of requests and read their answers; keep the connection."""
        connection = await self.connect(node, records, receive_bytes)
        if connection is None:
            return
        try:
            await connection.exchange(records, parts, pace)
        except asyncio.CancelledError:
            connection.close()
            raise
        is_kept = node.name not in self.connections and not self.clients.is_closed
        if connection.is_usable and is_kept:
            self.connections[node.name] = connection
        else:
            connection.close()

    async def request(
        self, node: Node, path: str, body: bytes | None = None, **fields
    ) -> Record:
        """Send a request with a body by length; return its record."""
        body = self.draw_body(path) if body is None else body
        record = self.make_record(node, path, body, **fields)
        await self.send(node, [record], [render(record, body)])
        return record

    async def make_call(self, run: Run, left: float) -> bool:
        """Send the call of a run through the target's own node."""
        self.clients.turns["calls"] = self.clients.turns.get("calls", 0) + 1
        if left <= 0:
            return False
        node, path = self.choose_node(), "/other/plain/5"
        if node.settings["service"] == "b":
            path = "/read/plain/5"
        call_id = f"{run.request_id}.{self.clients.make_id()}"
        record = self.make_record(node, path, request_id=call_id, deadline=left)
        await self.send(node, [record], [render(record, b"")])
        return record.status == 200


def render(record: Record, body: bytes, **headers: str) -> bytes:
    """Return an encoded request; one on an unsafe route submits a body by length."""
    method = b"POST" if is_unsafe(record.path) else b"GET"
    return render_request(method, record.path, make_headers(record, headers), body)


def make_headers(record: Record, headers: dict) -> dict:
    """Return the headers that every request has, and `headers`."""
    return {
        "x_attempt_id": record.request_id,
        "x_deadline_ms": str(int(1000 * record.deadline)),
        **({"x_credential": record.key} if record.key else {}),
        **headers,
    }
