"""Run of one soak: fleet, clients, fault injection and checks."""

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

import attrs

from .behaviours import CLIENTS
from .checks import count_statuses, find_violations
from .clients import Clients
from .faults import FAULTS
from .fleet import Fleet
from .injector import Injector
from .observations import Observations, Violation
from .timeline import write_timelines
from .usage import DUE_SECONDS

__all__ = ["Report", "run_soak"]

FAULT_SERIES = 2
"""Number of concurrent series of faults."""
STEADY_PER_NODE = 2
"""Clients of each node that behave as most do."""
NODES_PER_CLIENT = 4
"""Nodes for each client of another behaviour."""
RARE_PAUSE_SECONDS = 0.4
"""Mean pause between two turns of a client of another behaviour."""
RECOVERY_SECONDS = 7.0
"""Time without new faults at the end, for the check that the fleet recovers."""
PROGRESS_SECONDS = 10.0
TIMELINES = "timelines.txt"


@attrs.frozen
class Report:
    """Result of one soak."""

    seed: int
    violations: list[Violation]
    status_counts: dict[str, int]
    fault_counts: dict[str, int]
    behaviour_counts: dict[str, int]
    """Turns of clients and answers of targets, by name."""
    peak_mb: float
    stall_seconds: float
    """Time for which the host held up the soak itself."""
    starved_seconds: float
    """The same for the nodes, summed."""
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
        return await _run(seed, fleet, seconds, rng, kinds, folder)
    finally:
        await fleet.close()


def _start_clients(clients: Clients) -> list[asyncio.Task]:
    count = len(clients.fleet.nodes)
    tasks = [clients.probe()]
    for kind, take_turn in CLIENTS.items():
        is_steady = kind == "steady"
        number = STEADY_PER_NODE * count if is_steady else -(-count // NODES_PER_CLIENT)
        pause = {} if is_steady else {"pause": RARE_PAUSE_SECONDS}
        for _ in range(number):
            tasks.append(clients.open_client(kind).run(take_turn, **pause))
    return [asyncio.create_task(task) for task in tasks]


async def _show_progress(clients: Clients, injector: Injector) -> None:
    started = time.monotonic()
    while True:
        await asyncio.sleep(PROGRESS_SECONDS)
        print(
            f"{time.monotonic() - started:.0f} s: {len(clients.records)} requests, "
            f"{len(injector.injected_faults)} faults",
            file=sys.stderr,
            flush=True,
        )


async def _run(seed, fleet, seconds, rng, kinds, folder) -> Report:
    clients = Clients(fleet, random.Random(rng.random()))
    injector = Injector(fleet, clients, rng, kinds or tuple(FAULTS))
    tasks = _start_clients(clients)
    tasks.append(asyncio.create_task(_show_progress(clients, injector)))
    try:
        await asyncio.sleep(1.0)
        end_time = time.monotonic() + seconds
        async with asyncio.TaskGroup() as group:
            for _ in range(FAULT_SERIES):
                group.create_task(injector.run_series(end_time))
        last_fault = time.monotonic()
        await asyncio.sleep(RECOVERY_SECONDS)
        await fleet.usage.wait_reported(last_fault, DUE_SECONDS - RECOVERY_SECONDS)
    finally:
        for task in tasks:
            task.cancel()
        ended = await asyncio.gather(*tasks, return_exceptions=True)
        clients.close()
    for error in ended:
        if not isinstance(error, asyncio.CancelledError):
            raise error  # A client that ends is a fault of the soak.
    observations = Observations(
        fleet,
        clients.records,
        [*injector.injected_faults, *fleet.starvations],
        injector.evacuations,
        clients.added_routes,
    )
    violations = find_violations(observations)
    write_timelines(observations, violations, folder, folder / TIMELINES)
    shapes = Counter(f"answer {record.shape}" for record in clients.records)
    return Report(
        seed,
        violations,
        count_statuses(clients.records),
        dict(Counter(fault.kind for fault in injector.injected_faults)),
        {**clients.turns, **shapes},
        max(node.peak_mb for node in fleet.nodes),
        sum(ended - began for began, ended in fleet.stalls),
        sum(fault.ended - fault.began for fault in fleet.starvations),
        len(observations.runs),
    )
