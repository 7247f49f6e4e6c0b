"""One soak from start to end."""

import asyncio
import random
import time
from pathlib import Path

import attrs

from .checks import Evidence, Finding, count_by, find_faults
from .clients import Clients
from .faults import FAULTS, Injector
from .fleet import Fleet

__all__ = ["Report", "play_soak"]

SERIES = 2
"""Series of faults that overlap."""
CLIENTS_PER_NODE = 3
CALM_SECONDS = 7.0
"""Time without new faults at the end, for the check of recovery."""


@attrs.frozen
class Report:
    """What one soak came to."""

    seed: int
    findings: list[Finding]
    endings: dict[str, int]
    faults: dict[str, int]
    runs: int


async def play_soak(
    seed: int, nodes: int, seconds: float, folder: Path, kinds: tuple[str, ...] = ()
) -> Report:
    """Play a soak of `seconds` seconds of faults; the logs go to `folder`.

    `kinds` limits the faults to these names.
    """
    rng = random.Random(seed)
    fleet = await Fleet.open(nodes, folder, random.Random(rng.random()))
    try:
        return await _play(seed, fleet, seconds, rng, kinds)
    finally:
        await fleet.close()


async def _play(seed, fleet, seconds, rng, kinds) -> Report:
    clients = Clients(fleet, random.Random(rng.random()))
    tasks = [asyncio.create_task(clients.probe())]
    tasks += [
        asyncio.create_task(clients.run())
        for _ in range(CLIENTS_PER_NODE * len(fleet.nodes))
    ]
    injector = Injector(fleet, clients, rng, kinds or tuple(FAULTS))
    await asyncio.sleep(1.0)
    until = time.monotonic() + seconds
    async with asyncio.TaskGroup() as group:
        for _ in range(SERIES):
            group.create_task(injector.play(until))
    await asyncio.sleep(CALM_SECONDS)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    seen = Evidence(
        fleet,
        clients.records,
        injector.injuries,
        injector.evacuations,
        clients.added,
    )
    faults: dict[str, int] = {}
    for injury in injector.injuries:
        faults[injury.kind] = faults.get(injury.kind, 0) + 1
    return Report(
        seed, find_faults(seen), count_by(clients.records), faults, len(seen.runs)
    )
