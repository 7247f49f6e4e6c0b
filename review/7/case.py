"""A request that crashes backends comes again while the nodes are restarted in turn."""

import asyncio
import itertools
import signal
import sys
import time
from pathlib import Path

from reviewkit.deployment import (
    Deployment,
    Machine,
    make_config,
    make_rule,
    run_case,
)

ZONES = ["z1", "z2", "z3", "z4"]
MACHINES = {
    "m1": ("z1", "textes"),
    "m2": ("z2", "textes"),
    "m3": ("z3", "textes"),
    "m4": ("z4", "textes"),
    "m5": ("z1", "avis"),
    "m6": ("z2", "avis"),
}
CLIENTS = ("m5", "m6")
ROLLED = ("m1", "m2", "m3", "m4")
POISON = "/page/poison"
WORK_SECONDS = 0.1
DOWN_SECONDS = 4.0
"""Time for which a backend is down after the request has crashed it."""
POISON_SECONDS = 4.0
"""Time between two requests of the client that sends it again and again."""
GAP_SECONDS = 6.0
"""Time from the start of a node to the stop of the next one."""
STABLE_SECONDS = 3.0
GRACE_SECONDS = 6.0
WATCH_SECONDS = 18.0
MAX_RETRIES = 3

Absences = dict[str, list[tuple[float, float]]]
"""For each backend's first incarnation, when its node was stopping or starting."""


async def keep_poisoning(deployment: Deployment) -> None:
    """Send the request again and again, at one machine after the other."""
    for name in itertools.cycle(CLIENTS):
        await deployment.send(deployment.machines[name], POISON)
        await asyncio.sleep(POISON_SECONDS)


async def restart(deployment: Deployment, machine: Machine) -> tuple[float, float]:
    """Stop a node as planned and start it again; return both times."""
    began = time.monotonic()
    deployment.note(f"SIGTERM {machine.node.name}")
    machine.node.send(signal.SIGTERM)
    while machine.node.process.poll() is None:
        if time.monotonic() > began + GRACE_SECONDS:
            machine.node.send(signal.SIGKILL)
        await asyncio.sleep(0.02)
    machine.node.start()
    while not await machine.is_ready():
        await asyncio.sleep(0.05)
    deployment.note(f"{machine.node.name} is ready again")
    return began, time.monotonic()


def find_retries(deployment: Deployment, absences: Absences) -> list[float]:
    """Return when the request reached backends though it had crashed three before.

    Counted are those later than `stable_window` after the third crash, passed on by
    nodes that were not stopped or started within `stable_window`.
    """
    reached = [
        (moment, backend.name)
        for moment, backend, path in deployment.paths
        if path == POISON
    ]
    if len(reached) < MAX_RETRIES:
        return []
    third = reached[MAX_RETRIES - 1][0]
    return [
        moment - third
        for moment, name in reached
        if moment > third + STABLE_SECONDS
        and not any(
            began <= moment <= ended + STABLE_SECONDS
            for began, ended in absences.get(name, [])
        )
    ]


async def play(deployment: Deployment, has_trouble: bool) -> int:
    """Run the case; return the exit status."""
    await deployment.open()
    rules = [make_rule("/page/", "textes")]
    deployment.store.put("op", "config", make_config(3, ["textes", "avis"], rules))
    for name, (zone, service) in MACHINES.items():
        machine = await deployment.add(
            name, zone, ZONES, service, work_seconds=WORK_SECONDS
        )
        machine.backend.down_seconds = DOWN_SECONDS
        machine.backend.crash_path = POISON
    if not await deployment.start_all():
        deployment.note("not all nodes became ready")
        return 2
    await asyncio.sleep(8.0)
    client = asyncio.create_task(keep_poisoning(deployment))
    await asyncio.sleep(15.0)
    absences: Absences = {}
    if has_trouble:
        for name in ROLLED:
            machine = deployment.machines[name]
            span = await restart(deployment, machine)
            absences.setdefault(machine.backend.name, []).append(span)
            await asyncio.sleep(GAP_SECONDS)
    await asyncio.sleep(WATCH_SECONDS)
    client.cancel()
    await asyncio.sleep(1.5)
    crashes = sum(path == POISON for *_, path in deployment.paths)
    retries = find_retries(deployment, absences)
    deployment.note(
        f"the request crashed backends {crashes} times; retries later than"
        f" {STABLE_SECONDS} s after the third crash, by nodes in touch:"
        f" {[round(seconds, 1) for seconds in retries]}"
    )
    if not crashes:
        return 2
    return 1 if len(retries) > MAX_RETRIES else 0


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).with_name("record.txt")))
