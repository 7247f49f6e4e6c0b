"""Baseline for the feed: nodes that poll the head and fetch missing changes.

The nodes do not communicate with each other. All run as tasks of one process, each
with its own client and counters.
"""

import random
import time

import anyio

from cactusshed.errors import CactusError
from cactusshed.observe.counters import Counters
from cactusshed.store.acceptance import load_head, load_tree_at
from cactusshed.store.client import PlatformClient
from cactusshed.tree.branch import build_tree

__all__ = ["PollingNode", "run_polling_nodes"]

POLL_SECONDS = 1.0


class PollingNode:
    """A node that gets all changes by polling the platform."""

    def __init__(self, url: str, seed: int) -> None:
        """Create a node that polls the platform at `url`."""
        self.counters = Counters()
        self.tree = build_tree(0, ())
        self.applied_at: dict[int, float] = {}
        self._client = PlatformClient(url, 2.0, self.counters)
        self._rng = random.Random(seed)

    async def run(self) -> None:
        """Poll until cancelled."""
        try:
            while True:
                await anyio.sleep(POLL_SECONDS * self._rng.uniform(0.8, 1.2))
                await self._poll()
        finally:
            with anyio.CancelScope(shield=True):
                await self._client.aclose()

    async def _poll(self) -> None:
        try:
            head = await load_head(self._client)
            if head.number > self.tree.number:
                self.tree, _ = await load_tree_at(self._client, self.tree, head)
                self.applied_at[head.number] = time.monotonic()
        except CactusError:
            self.counters.add("polls_failed")


async def run_polling_nodes(nodes: list[PollingNode], seconds: float) -> None:
    """Run `nodes` for `seconds`."""
    with anyio.move_on_after(seconds):
        async with anyio.create_task_group() as tasks:
            for node in nodes:
                tasks.start_soon(node.run)
