"""Faults that the soak injects, each a function chosen by its name."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import attrs

from .fleet import DRAIN_SECONDS, LIMIT_WINDOW_SECONDS, STABLE_SECONDS, Node
from .proxy import Impairment
from .target import LEAVE_TRIES

if TYPE_CHECKING:
    from .injector import Injector

__all__ = ["DURATION_SECONDS", "FAULTS", "InjectedFault"]

PLANNED = frozenset(
    {
        "term",
        "hup",
        "configure",
        "add-route",
        "evacuate",
        "end-host",
        "stop-service",
        "stop-centre",
    }
)
"""Planned operations: no client may lose an answer through them."""
DURATION_SECONDS = (0.4, 3.0)
"""Range of the duration of a fault."""
STOP_INTERVAL_SECONDS = (0.1, 1.5)
"""Range of the time between two stops of a series."""
TURN_SECONDS = (0.02, 0.12)
"""Range of the times for which a slow host runs and stands still in turns."""
LIMITS = (0.5, 2.0, 7.5)
"""Limits in requests per second that targets name, far below the load on a target."""


@attrs.define
class InjectedFault:
    """One injected fault; times in monotonic seconds."""

    kind: str
    node: str
    began: float
    ended: float = float("inf")

    @property
    def is_planned(self) -> bool:
        """Return whether clients must not be affected."""
        return self.kind in PLANNED


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


def _impair_store(impairment: Impairment) -> Callable:
    async def inject(injector: "Injector", node: Node) -> None:
        node.store_proxy.impairment = impairment
        await asyncio.sleep(injector.draw_duration())
        node.store_proxy.impairment = Impairment.NONE

    return inject


def _impair_target(impairment: Impairment) -> Callable:
    async def inject(injector: "Injector", node: Node) -> None:
        node.target_proxy.impairment = impairment
        await asyncio.sleep(injector.draw_duration())
        node.target_proxy.impairment = Impairment.NONE
        # These streams lost bytes and can't be resumed.
        node.target_proxy.reset()

    return inject


async def _reset(_injector: "Injector", node: Node) -> None:
    node.target_proxy.reset()
    node.store_proxy.reset()


async def _forget(_injector: "Injector", node: Node) -> None:
    node.target_proxy.silence_open()
    node.store_proxy.silence_open()
    # The fault counts as active while requests on these connections may still fail.
    await asyncio.sleep(2.0)


def _fail_store(fault: str) -> Callable:
    async def inject(injector: "Injector", _node: Node) -> None:
        injector.fleet.store.fault = fault
        await asyncio.sleep(injector.draw_duration())
        injector.fleet.store.fault = "up"

    return inject


async def _compact(injector: "Injector", _node: Node) -> None:
    injector.fleet.store.drop_history()


def _spoil_answers(share_name: str, share: float) -> Callable:
    async def inject(injector: "Injector", node: Node) -> None:
        setattr(node.target, share_name, share)
        await asyncio.sleep(injector.draw_duration())
        setattr(node.target, share_name, 0.0)

    return inject


async def _crash_target(injector: "Injector", node: Node) -> None:
    if not node.target.is_steady:
        return
    node.target.crash()
    await asyncio.sleep(injector.draw_duration())
    await node.target.start(is_cold=True)


async def _drain_target(injector: "Injector", node: Node) -> None:
    target = node.target
    if not target.is_steady:
        return
    await target.leave()
    await asyncio.sleep(DRAIN_SECONDS + 0.5)
    target.crash()
    await asyncio.sleep(0.3)
    await target.start(is_cold=True)


async def _limit_target(injector: "Injector", node: Node) -> None:
    target = node.target
    if not target.is_steady or target.rate_limit:
        return
    seconds = STABLE_SECONDS + LIMIT_WINDOW_SECONDS + injector.draw_duration()
    await target.name_limit(injector.rng.choice(LIMITS), seconds)


async def _leave_without_heartbeat(injector: "Injector", node: Node) -> None:
    target = node.target
    if not target.is_steady:
        return
    target.state_leave()
    await asyncio.sleep(DRAIN_SECONDS + 1.5)
    target.crash()
    await asyncio.sleep(0.3)
    await target.start(is_cold=True)


async def _configure(injector: "Injector", _node: Node) -> None:
    injector.fleet.configure(**{name: {} for name in injector.clients.added_routes})


async def _add_route(injector: "Injector", _node: Node) -> None:
    name = f"v{injector.fleet.version}"
    injector.clients.added_routes[name] = float("inf")
    await _configure(injector, _node)
    injector.clients.added_routes[name] = time.monotonic()


async def _evacuate(injector: "Injector", node: Node) -> None:
    if any(ended == float("inf") for *_, ended in injector.evacuations):
        return
    centre, began = node.data_centre, time.monotonic()
    injector.fleet.store.put_json("op", f"evacuate/{centre}", {})
    index = len(injector.evacuations)
    injector.evacuations.append((centre, began, float("inf")))
    await asyncio.sleep(6.5)
    injector.evacuations[index] = (centre, began, time.monotonic())
    injector.fleet.store.put("op", f"evacuate/{centre}", None)


FAULTS: dict[str, Callable[["Injector", Node], Awaitable[None]]] = {
    "term": _term,
    "kill": _kill,
    "pause": _pause,
    "hup": _hup,
    "stop-service": _stop_series(lambda a, b: a.target.service == b.target.service),
    "stop-centre": _stop_series(lambda a, b: a.data_centre == b.data_centre),
    "end-host": _end_host,
    "slow-host": _slow_host,
    "store-restart": _restart_store,
    "store-cut": _impair_store(Impairment.SILENT),
    "store-slow": _impair_store(Impairment.DELAY),
    "store-one-way": _impair_store(Impairment.UP_ONLY),
    "target-cut": _impair_target(Impairment.SILENT),
    "target-slow": _impair_target(Impairment.DELAY),
    "target-one-way": _impair_target(Impairment.UP_ONLY),
    "target-requests-lost": _impair_target(Impairment.DOWN_ONLY),
    "reset": _reset,
    "forget": _forget,
    "store-busy": _fail_store("busy"),
    "store-silent": _fail_store("silent"),
    "store-loses": _fail_store("lose"),
    "store-late": _fail_store("late"),
    "store-compact": _compact,
    "answers-lost": _spoil_answers("lost_answer_share", 0.2),
    "answers-crossed": _spoil_answers("crossed_answer_share", 0.2),
    "answer-endless": _spoil_answers("endless_answer_share", 0.1),
    "answer-silent": _spoil_answers("silent_share", 0.2),
    "answers-stale": _spoil_answers("stale_answer_share", 0.2),
    "target-limited": _limit_target,
    "target-says-leaving": _leave_without_heartbeat,
    "target-crash": _crash_target,
    "target-drain": _drain_target,
    "configure": _configure,
    "add-route": _add_route,
    "evacuate": _evacuate,
}
"""Function that injects each fault, by name."""
