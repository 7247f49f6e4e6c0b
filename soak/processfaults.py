"""Faults of processes and planned stops, each a function chosen by its name."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from .fleet import DRAIN_SECONDS
from .node import Node
from .proxy import Impairment
from .records import InjectedFault
from .target import LEAVE_TRIES

if TYPE_CHECKING:
    from .injector import Injector

__all__ = ["PROCESS_FAULTS"]

STOP_INTERVAL_SECONDS = (0.1, 1.5)
"""Range of the time between two stops of a series."""
TURN_SECONDS = (0.02, 0.12)
"""Range of the times for which a slow host runs and stands still in turns."""


async def _restart(
    injector: "Injector", node: Node, signal_number: int, downtime: float
) -> None:
    await node.stop(signal_number)
    await asyncio.sleep(downtime)
    node.start()
    await injector.fleet.wait_ready(node)


async def _term(injector: "Injector", node: Node) -> None:
    operation = _restart(injector, node, signal.SIGTERM, 0.1)
    await injector.run_exclusively(node, operation)


def _stop_series(has_part: Callable[[Node, Node], bool]) -> Callable:
    """Return a fault that stops up to half of some nodes, one soon after the other."""

    async def inject(injector: "Injector", node: Node) -> None:
        others = [n for n in injector.fleet.nodes if n is not node]
        group = [node, *(n for n in others if has_part(node, n))]
        async with asyncio.TaskGroup() as tasks:
            for member in group[: max(2, (len(group) + 1) // 2)]:
                tasks.create_task(injector.inject("term", member))
                await asyncio.sleep(injector.rng.uniform(*STOP_INTERVAL_SECONDS))

    return inject


async def _end_host(injector: "Injector", node: Node) -> None:
    """End a target as planned, then its node, and start both again."""
    target = node.target
    if not target.is_steady:
        return
    if not await target.leave(LEAVE_TRIES):
        # It ends anyway, as one that crashes: its node does not know.
        now = time.monotonic()
        crash = InjectedFault("target-crash", node.name, now, now + DRAIN_SECONDS + 1.0)
        injector.injected_faults.append(crash)
    await asyncio.sleep(DRAIN_SECONDS + 1.0)
    await target.end()
    await injector.inject("term", node)
    await target.start(is_cold=True)


async def _slow_host(injector: "Injector", node: Node) -> None:
    async def operation() -> None:
        end_time = time.monotonic() + injector.draw_duration()
        while time.monotonic() < end_time:
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(injector.rng.uniform(*TURN_SECONDS))
            node.signal(signal.SIGCONT)
            await asyncio.sleep(injector.rng.uniform(*TURN_SECONDS))

    await injector.run_exclusively(node, operation())


async def _restart_store(injector: "Injector", node: Node) -> None:
    """Stop and start the store, and a node meanwhile."""
    proxies = [n.store_proxy for n in injector.fleet.nodes]
    for proxy in proxies:
        proxy.impairment = Impairment.REFUSED
        proxy.reset()
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(injector.inject("term", node))
        await asyncio.sleep(injector.draw_duration())
        for proxy in proxies:
            proxy.impairment = Impairment.NONE


async def _kill(injector: "Injector", node: Node) -> None:
    operation = _restart(injector, node, signal.SIGKILL, injector.rng.uniform(0.1, 1.0))
    await injector.run_exclusively(node, operation)


async def _pause(injector: "Injector", node: Node) -> None:
    async def operation() -> None:
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(injector.draw_duration())
        node.signal(signal.SIGCONT)

    await injector.run_exclusively(node, operation())


async def _hup(_injector: "Injector", node: Node) -> None:
    if node.process is not None and node.process.poll() is None:
        node.signal(signal.SIGHUP)


PROCESS_FAULTS: dict[str, Callable[["Injector", Node], Awaitable[None]]] = {
    "term": _term,
    "kill": _kill,
    "pause": _pause,
    "hup": _hup,
    "stop-service": _stop_series(lambda a, b: a.target.service == b.target.service),
    "stop-centre": _stop_series(lambda a, b: a.data_centre == b.data_centre),
    "end-host": _end_host,
    "slow-host": _slow_host,
    "store-restart": _restart_store,
}
