"""One request crashes the backends that run it; another page is in flight there."""

import asyncio
import sys
import time
from pathlib import Path

from reviewkit.deployment import Deployment, make_config, make_rule, run_case
from reviewkit.traffic import Sent, count_served, send_steadily

ZONES = ["z1", "z2", "z3"]
MACHINES = {
    "m1": ("z1", "textes"),
    "m2": ("z2", "textes"),
    "m3": ("z3", "textes"),
    "m4": ("z1", "avis"),
    "m5": ("z2", "avis"),
    "m6": ("z3", "avis"),
}
CLIENTS = ("m4", "m5", "m6")
POISON = "/first/poison"
WORK_SECONDS = 0.6
DEADLINE_MS = 5000
SLOTS = 18
DOWN_SECONDS = 4.0
"""Time for which a backend is down after the request has crashed it."""
STEADY_SECONDS = 6.0
"""Time after the last return at which the steady state begins: cold start included."""
WATCH_SECONDS = 25.0
MIN_REQUESTS = 20
MIN_SHARE = 0.25


async def send_poison(deployment: Deployment) -> None:
    """Send the request, and once more after a failure, as clients of safe routes do."""
    for _ in range(2):
        _, _, answer = await deployment.send(
            deployment.machines["m4"], POISON, deadline_ms=DEADLINE_MS
        )
        if answer is not None and answer.status == 200:
            return


def compute_share(deployment: Deployment, name: str, sent: Sent, since: float) -> float:
    """Return the share of the requests in steady state that were served."""
    statuses = [status for _, moment, status in sent if moment >= since]
    served = statuses.count(200)
    deployment.note(f"steady state: {served} of {len(statuses)} served on {name}")
    return served / len(statuses) if len(statuses) >= MIN_REQUESTS else 1.0


async def play(deployment: Deployment, has_trouble: bool) -> int:
    """Run the case; return the exit status."""
    await deployment.open()
    services = ["textes", "avis"]
    rules = [make_rule("/first/", "textes", timeout="5000ms")]
    deployment.store.put("op", "config", make_config(3, services, rules))
    for name, (zone, service) in MACHINES.items():
        machine = await deployment.add(
            name, zone, ZONES, service, work_seconds=WORK_SECONDS, slots=SLOTS
        )
        machine.backend.down_seconds = DOWN_SECONDS
        machine.backend.crash_path = POISON if has_trouble else ""
    if not await deployment.start_all():
        deployment.note("not all nodes became ready")
        return 2
    await asyncio.sleep(2.0)
    rules.append(make_rule("/later/", "textes", timeout="5000ms"))
    deployment.store.put("op", "config", make_config(8, services, rules))
    deployment.note("the store acknowledges version 8: /later/ is added")
    await asyncio.sleep(3.0)
    first: Sent = []
    later: Sent = []
    clients = [
        asyncio.create_task(
            send_steadily(
                deployment, deployment.machines[name], path, sent, rate, DEADLINE_MS
            )
        )
        for name in CLIENTS
        for path, sent, rate in (("/first/{}", first, 2), ("/later/decree", later, 4))
    ]
    await asyncio.sleep(6.0)
    began = time.monotonic()
    await send_poison(deployment)
    await asyncio.sleep(WATCH_SECONDS)
    for task in clients:
        task.cancel()
    await asyncio.sleep(DEADLINE_MS / 1000)
    if not (
        count_served(deployment, first, began)
        and count_served(deployment, later, began)
    ):
        return 2
    steady = began + DOWN_SECONDS + STEADY_SECONDS
    share_first = compute_share(deployment, "/first/", first, steady)
    share_later = compute_share(deployment, "/later/", later, steady)
    return 1 if share_later < MIN_SHARE * share_first else 0


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).with_name("record.txt")))
