"""A configuration adds a route with a long prefix and moves another route."""

import asyncio
import sys
from pathlib import Path

from reviewkit.deployment import Deployment, make_config, make_rule, run_case
from reviewkit.traffic import Sent, count_served, find_late_runs, send_steadily

ZONES = ["z1", "z2"]
MACHINES = {"m1": "z1", "m2": "z1", "m3": "z2", "m4": "z2"}
SERVICES = {"m1": "old", "m2": "new", "m3": "old", "m4": "new"}
LONG_PREFIX = "/" + "consultation-2026/" * 13
SHORT_PREFIX = "/" + "consultation-2026/" * 5
LEAD_SECONDS = 8.0
CONFIG_SECONDS = 2.0
WATCH_SECONDS = 8.0


async def play(deployment: Deployment, has_trouble: bool) -> int:
    """Run the case; return the exit status."""
    await deployment.open()
    services = ["old", "new"]
    deployment.store.put(
        "op", "config", make_config(3, services, [make_rule("/page/", "old")])
    )
    for name, zone in MACHINES.items():
        await deployment.add(name, zone, ZONES, SERVICES[name])
    if not await deployment.start_all():
        deployment.note("not all nodes became ready")
        return 2
    sent: Sent = []
    clients = [
        asyncio.create_task(send_steadily(deployment, machine, "/page/1", sent))
        for machine in deployment.machines.values()
    ]
    await asyncio.sleep(LEAD_SECONDS)
    prefix = LONG_PREFIX if has_trouble else SHORT_PREFIX
    rules = [make_rule("/page/", "new"), make_rule(prefix, "new")]
    acknowledged = deployment.store.put("op", "config", make_config(8, services, rules))
    deployment.note(
        "the store acknowledges version 8: /page/ goes to new, and a prefix of"
        f" {len(prefix)} characters is added"
    )
    await asyncio.sleep(WATCH_SECONDS)
    for task in clients:
        task.cancel()
    await asyncio.sleep(1.5)
    if not count_served(deployment, sent, acknowledged):
        return 2
    late = find_late_runs(deployment, sent, "old", acknowledged, CONFIG_SECONDS)
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).with_name("record.txt")))
