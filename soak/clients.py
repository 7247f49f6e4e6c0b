"""Clients of the soak: kept connections, repeated loads, one record a request."""

import asyncio
import itertools
import random
import time

import attrs

from cactusshed.errors import CactusError
from cactusshed.mesh.upstream import Upstream, open_upstream
from standins.meshfleet import render

from .fleet import Fleet, Node

__all__ = ["Clients", "Record"]

DEADLINE_SECONDS = 1.0
WAIT_SECONDS = 2.5
"""Time for an answer: the deadline, and far more than a node may overrun it."""
PAUSE_SECONDS = 0.05
"""Time between two requests of one client."""
PROBE_SECONDS = 0.5
"""Time between two looks whether a node is ready."""


@attrs.define
class Record:
    """One request; `status` is 0 if its connection ended without an answer.

    `was_sent` is false if no connection was found for it, and `ended` is 0 while
    it waits.
    """

    request: str
    path: str
    node: str
    life: int
    sent: float
    ended: float = 0.0
    status: int = 0
    body: bytes = b""
    was_sent: bool = True
    cause: str = ""


class Clients:
    """A number of clients, each with one request at a time."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        """Send to the nodes of `fleet`."""
        self.records: list[Record] = []
        self.added: dict[str, float] = {}
        """Routes that were added, the oldest first, and when in monotonic seconds."""
        self._fleet = fleet
        self._rng = rng
        self._numbers = itertools.count(1)
        self._ready: set[str] = set()

    async def probe(self) -> None:
        """Keep up which nodes are ready, until cancelled."""
        while True:
            for node in self._fleet.nodes:
                if await self._fleet.is_ready(node):
                    self._ready.add(node.name)
                else:
                    self._ready.discard(node.name)
            await asyncio.sleep(PROBE_SECONDS)

    async def run(self) -> None:
        """Send requests until cancelled; open connections are kept."""
        kept: dict[str, Upstream] = {}
        while True:
            node = self._choose()
            if node is not None:
                await self._request(node, kept)
            await asyncio.sleep(PAUSE_SECONDS * self._rng.uniform(0.5, 1.5))

    def _choose(self) -> Node | None:
        nodes = [n for n in self._fleet.nodes if n.name in self._ready]
        return self._rng.choice(nodes) if nodes else None

    def _choose_path(self) -> str:
        paths = ["/read/x", "/read/y", "/write/z"]
        paths.extend(f"/{name}/x" for name in list(self.added)[-2:])
        return self._rng.choice(paths)

    async def _request(self, node: Node, kept: dict[str, Upstream]) -> None:
        path = self._choose_path()
        name = f"r{next(self._numbers)}"
        record = Record(name, path, node.name, node.lives, time.monotonic())
        self.records.append(record)
        try:
            await self._exchange(node, kept, record)
        except (CactusError, TimeoutError) as error:
            record.cause = getattr(error, "message", "") or "no answer in time"
            record.was_sent = getattr(error, "code", "") != "not-sent"
            kept.pop(node.name, None)
        record.ended = time.monotonic()

    async def _exchange(self, node: Node, kept: dict, record: Record) -> None:
        upstream = kept.get(node.name)
        if upstream is None or not upstream.is_usable():
            upstream = kept[node.name] = await open_upstream(node.callers)
        method = b"POST" if record.path.startswith("/write") else b"GET"
        data = render(
            method,
            record.path,
            {
                "x_attempt_id": record.request,
                "x_deadline_ms": str(int(1000 * DEADLINE_SECONDS)),
            },
        )
        async with asyncio.timeout(WAIT_SECONDS):
            answer = await upstream.exchange(data)
        record.status, record.body = answer.status, answer.body
