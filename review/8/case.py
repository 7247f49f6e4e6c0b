"""The store readers of both zones are partitioned from the store; a change follows."""

import asyncio
import sys
from pathlib import Path

from reviewkit.deployment import Deployment, make_config, make_rule, run_case
from reviewkit.traffic import Sent, count_served, find_late_runs, send_steadily

ZONES = ["z1", "z2"]
MACHINES = {"m1": "z1", "m2": "z1", "m3": "z1", "m4": "z2", "m5": "z2", "m6": "z2"}
SERVICES = {
    "m1": "old",
    "m2": "new",
    "m3": "old",
    "m4": "new",
    "m5": "old",
    "m6": "new",
}
CUT = ("m1", "m4")
"""The first machine of each zone."""
LEAD_SECONDS = 10.0
BETWEEN_SECONDS = 0.3
"""Time from an earlier change to the cut."""
CUT_SECONDS = 4.9
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
    in_touch = [m for name, m in deployment.machines.items() if name not in CUT]
    clients = [
        asyncio.create_task(send_steadily(deployment, machine, "/page/1", sent))
        for machine in in_touch
    ]
    await asyncio.sleep(LEAD_SECONDS)
    rules = [make_rule("/page/", "old"), make_rule("/more/", "old")]
    deployment.store.put("op", "config", make_config(5, services, rules))
    deployment.note("the store acknowledges version 5: /more/ is added")
    await asyncio.sleep(BETWEEN_SECONDS)
    if has_trouble:
        deployment.note(f"cut from the store: {', '.join(CUT)}")
        for name in CUT:
            deployment.machines[name].store_proxy.is_silent = True
    await asyncio.sleep(0.1)
    acknowledged = deployment.store.put(
        "op", "config", make_config(8, services, [make_rule("/page/", "new")])
    )
    deployment.note("the store acknowledges version 8: /page/ goes to new")
    await asyncio.sleep(CUT_SECONDS - 0.1)
    if has_trouble:
        deployment.note("the cut ends")
        for name in CUT:
            deployment.machines[name].store_proxy.is_silent = False
            deployment.machines[name].store_proxy.reset()
    await asyncio.sleep(WATCH_SECONDS - CUT_SECONDS)
    for task in clients:
        task.cancel()
    await asyncio.sleep(1.5)
    if not count_served(deployment, sent, acknowledged):
        return 2
    late = find_late_runs(deployment, sent, "old", acknowledged, CONFIG_SECONDS)
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).with_name("record.txt")))
