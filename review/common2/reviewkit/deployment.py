"""A small deployment: the store, machines with backends, and clients."""

import asyncio
import itertools
import os
import random
import shutil
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .backend import Backend
from .http import Head, request
from .node import Node
from .proxy import Proxy
from .store import Store

__all__ = ["HOST", "Deployment", "Machine", "make_config", "make_rule", "run_case"]

HOST = "shop.example"
START_SECONDS = 20.0
COULD_NOT_RUN = 2
"""Exit status of a case that could not be played."""


def make_rule(prefix: str, service: str, kind: str = "safe", **action: object) -> dict:
    """Return one rule of the configuration."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "kind": kind,
        "target_latency": "400ms",
        "priority": 1,
        "match": {"prefix": prefix},
        "action": {"service": service, "timeout": "1000ms", "attempts": 2, **action},
    }


def make_config(version: int, services: list[str], rules: list[dict]) -> dict:
    """Return a configuration."""
    return {
        "version": version,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
        "listeners": [{"host": HOST, "rules": rules}],
        "clusters": [
            {
                "name": name,
                "health_path": "/healthz",
                "max_conns": 110,
                "cold_start": "3s",
                "cold_per_s": 12.0,
            }
            for name in services
        ],
    }


class Machine:
    """A node, its backend, and the proxy between the node and the store."""

    def __init__(self, node: Node, backend: Backend, store_proxy: Proxy) -> None:
        """Store the parts of a machine."""
        self.node = node
        self.backend = backend
        self.store_proxy = store_proxy

    async def is_ready(self) -> bool:
        """Return whether the platform's readiness question gets 200."""
        address = self.node.listen["ready"]
        answer = await request(
            address, "GET", "/cactusshed/readyz", {"Host": address}, timeout=1.0
        )
        return answer is not None and answer.status == 200


class Deployment:
    """All machines, and what the backends ran.

    Entries of `runs` are time, backend and id, those of `paths` time, backend and path.
    """

    def __init__(self, record_path: Path) -> None:
        """Create an empty deployment that writes to `record_path`."""
        self.store = Store()
        self.machines: dict[str, Machine] = {}
        self.runs: list[tuple[float, Backend, str]] = []
        self.paths: list[tuple[float, Backend, str]] = []
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.started = time.monotonic()
        self._net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self._hosts = itertools.count(2)
        self._attempts = itertools.count(1)
        self._record = record_path.open("w")

    def note(self, text: str) -> None:
        """Write one line with the time to the record."""
        self._record.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self._record.flush()

    def _note_run(self, backend: Backend, head: Head) -> None:
        attempt = head.headers.get("x-attempt-id", "")
        self.runs.append((time.monotonic(), backend, attempt))
        self.paths.append((time.monotonic(), backend, head.first[1]))
        self.note(f"run {attempt} {backend.instance} {backend.service}")

    async def open(self) -> None:
        """Start the store, or move it to another address."""
        await self.store.open(f"{self._net}.1")

    async def add(
        self, name: str, zone: str, zones: list[str], service: str, **options: object
    ) -> Machine:
        """Add a machine; its node is not started yet. `options` are of its backend."""
        ip = f"{self._net}.{next(self._hosts)}"
        backend = Backend(f"i-{name}", service, zone, self._note_run, **options)
        await backend.open(ip)
        # Connections to the store's former address stay there when it moves.
        address = self.store.address
        proxy = Proxy(lambda: address)
        await proxy.open(ip)
        node = Node(
            name,
            ip,
            zone,
            zones,
            service,
            proxy.address,
            backend.address,
            self.folder,
        )
        machine = self.machines[name] = Machine(node, backend, proxy)
        return machine

    async def start_all(self) -> bool:
        """Start all nodes and backends; return whether all nodes became ready."""
        for machine in self.machines.values():
            machine.node.start()
            machine.backend.start_beats(machine.node.listen["control"])
        end = time.monotonic() + START_SECONDS
        while time.monotonic() < end:
            ready = [await machine.is_ready() for machine in self.machines.values()]
            if all(ready):
                return True
            await asyncio.sleep(0.2)
        return False

    async def send(
        self,
        machine: Machine,
        path: str,
        method: str = "GET",
        deadline_ms: int = 1000,
        body: bytes = b"",
    ) -> tuple[str, float, Head | None]:
        """Send one client request; return its id, its time and its answer."""
        attempt = f"c{next(self._attempts):06d}"
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(deadline_ms),
        }
        sent = time.monotonic()
        self.note(f"sent {attempt} {method} {path} at {machine.node.name}")
        answer = await request(
            machine.node.listen["outbound"],
            method,
            path,
            headers,
            body,
            deadline_ms / 1000 + 1.0,
        )
        status = answer.status if answer else "none"
        self.note(f"answer {attempt} {status}")
        return attempt, sent, answer

    def close(self) -> None:
        """End all processes and remove the temporary folder."""
        for machine in self.machines.values():
            machine.node.end()
        self._record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


Play = Callable[[Deployment, bool], Awaitable[int]]


def run_case(play: Play, record_path: Path) -> int:
    """Play a case, without its trouble if `TROUBLE` is 0; return the exit status."""

    async def run() -> int:
        deployment = Deployment(record_path)
        try:
            return await play(deployment, os.environ.get("TROUBLE", "1") != "0")
        except Exception:
            deployment.note(traceback.format_exc())
            return COULD_NOT_RUN
        finally:
            deployment.close()

    return asyncio.run(run())
