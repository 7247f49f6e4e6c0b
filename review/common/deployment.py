"""A small deployment: a store, and nodes with a backend each."""

import asyncio
import time

from .backend import Backend
from .document import make_document
from .node import Node
from .ports import choose_port
from .store import Store

__all__ = ["Deployment"]

CONNECT_SECONDS = 3.0
"""Time for the nodes to find each other and their backends."""


class Deployment:
    """The store, nodes and backends of one case."""

    def __init__(self, folder):
        """Create an empty deployment; settings and logs are kept in `folder`."""
        self.folder = folder
        self.store = Store()
        self.nodes = []
        self.backends = []
        self.memory_mb = 300

    async def open(self, services, rules, work, **limits):
        """Start one node for each entry of `services`, and the configuration.

        `rules` are those of `make_document`, `work` is that of all backends.
        """
        ip = "127.0.0.1"
        await self.store.open(ip, choose_port(ip))
        names = list(dict.fromkeys(services))
        self.store.put("op", "config", make_document(7, rules, names, **limits))
        for number, service in enumerate(services):
            ip = f"127.0.3.{number + 1}"
            zone = f"zone-{'abc'[number % 3]}"
            backend = Backend(service, zone, ip, choose_port(ip), work)
            node = Node(
                self.folder,
                f"sidecar-{zone}-{number}",
                zone,
                ip,
                service,
                backend.address,
                self.store.address,
            )
            node.settings["limits"]["memory_mb"] = self.memory_mb
            backend.control = node.listen["control"]
            self.nodes.append(node)
            self.backends.append(backend)
            node.start()
        for node in self.nodes:
            await node.wait_ready()
        for backend in self.backends:
            await backend.start()
        await asyncio.sleep(CONNECT_SECONDS)

    def list_runs(self, request_id):
        """Return the runs of one request at all backends."""
        return [
            run
            for backend in self.backends
            for run in backend.runs
            if run.request_id == request_id
        ]

    def close(self):
        """End all processes and backends."""
        for node in self.nodes:
            node.kill()
        for backend in self.backends:
            if backend.is_up:
                backend.crash()


async def wait_until(moment):
    """Sleep until a monotonic time."""
    await asyncio.sleep(max(0.0, moment - time.monotonic()))
