"""Run of one soak: fleet, clients, fault injection and checks."""

import asyncio
import random
import time
from pathlib import Path

import attrs

from .checks import Observations, Violation, count_statuses, find_violations
from .clients import Clients
from .faults import FAULTS, Injector
from .fleet import Fleet
from .pipelined import run_pipelined

__all__ = ["Report", "run_soak"]

FAULT_SERIES = 2
"""Number of concurrent series of faults."""
CLIENTS_PER_NODE = 3
PIPELINING_CLIENTS = 2
"""Clients of the fleet that send several safe requests at once."""
RECOVERY_SECONDS = 7.0
"""Time without new faults at the end, for the check that the fleet recovers."""


@attrs.frozen
class Report:
    """Result of one soak."""

    seed: int
    violations: list[Violation]
    status_counts: dict[str, int]
    fault_counts: dict[str, int]
    runs: int


async def run_soak(
    seed: int, nodes: int, seconds: float, folder: Path, kinds: tuple[str, ...] = ()
) -> Report:
    """Run a soak that injects faults for `seconds`; the logs go to `folder`.

    `kinds` names the faults to choose from; empty means all.
    """
    rng = random.Random(seed)
    fleet = await Fleet.open(nodes, folder, random.Random(rng.random()))
    try:
        return await _run(seed, fleet, seconds, rng, kinds)
    finally:
        await fleet.close()


async def _run(seed, fleet, seconds, rng, kinds) -> Report:
    clients = Clients(fleet, random.Random(rng.random()))
    tasks = [asyncio.create_task(clients.probe())]
    tasks += [
        asyncio.create_task(clients.run())
        for _ in range(CLIENTS_PER_NODE * len(fleet.nodes))
    ]
    tasks += [
        asyncio.create_task(run_pipelined(clients)) for _ in range(PIPELINING_CLIENTS)
    ]
    injector = Injector(fleet, clients, rng, kinds or tuple(FAULTS))
    await asyncio.sleep(1.0)
    end_time = time.monotonic() + seconds
    async with asyncio.TaskGroup() as group:
        for _ in range(FAULT_SERIES):
            group.create_task(injector.run_series(end_time))
    await asyncio.sleep(RECOVERY_SECONDS)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    observations = Observations(
        fleet,
        clients.records,
        injector.injected_faults,
        injector.evacuations,
        clients.added_routes,
    )
    fault_counts: dict[str, int] = {}
    for fault in injector.injected_faults:
        fault_counts[fault.kind] = fault_counts.get(fault.kind, 0) + 1
    return Report(
        seed,
        find_violations(observations),
        count_statuses(clients.records),
        fault_counts,
        len(observations.runs),
    )
