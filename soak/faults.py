"""Faults that the soak injects, each a function chosen by its name."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import attrs

from .crowds import crowd_listener
from .fleet import (
    APPLY_SECONDS,
    DRAIN_SECONDS,
    LIMIT_WINDOW_SECONDS,
    STABLE_SECONDS,
)
from .node import Node
from .processfaults import PROCESS_FAULTS
from .proxy import Impairment
from .usage import LEASE_SECONDS

if TYPE_CHECKING:
    from .injector import Injector

__all__ = ["FAULTS"]

ODD_ROWS = [("op", f"{kind}/odd") for kind in ("evacuate", "rollout", "unknown")]
ODD_ROWS += [("cactusshed", f"{kind}/odd") for kind in ("member", "move", "unknown")]
_DEEP = b"[" * 20_000 + b"]" * 20_000
ODD_VALUES = (
    _DEEP,
    b'{"unknown":' + _DEEP + b"}",
    b"\xff{",
    b"7" * 5000,
    b"x" * 65_536,
)
"""Values of other writers that can't be read: deep, no text, too large, too long."""
MOMENT_SHARE, MAX_MOMENT_SECONDS = 0.5, 0.3
"""Share of the returns of the store after which the operator needs a moment to write
its changes again, and the longest moment."""
LIMITS = (0.5, 2.0, 7.5)
"""Limits in requests per second that targets name, far below the load on a target."""


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


async def _return_store(injector: "Injector", _node: Node) -> None:
    """Let the store come back from a copy, without what was written since.

    The operator's changes are written again at once or a moment later.
    """
    store = injector.fleet.store
    era, copy = store.era, store.take_copy()
    await asyncio.sleep(injector.draw_duration())
    store.fault = "busy"
    await asyncio.sleep(injector.rng.uniform(0.0, 0.5))
    store.fault = "up"
    if store.era != era:
        return
    lost = store.return_to(copy)
    if injector.rng.random() < MOMENT_SHARE:
        await asyncio.sleep(injector.rng.uniform(0.0, MAX_MOMENT_SECONDS))
    store.rewrite(lost)


async def _put_store_behind(injector: "Injector", _node: Node) -> None:
    """Keep changes from the feed, drop the history, and answer reads from a copy."""
    store = injector.fleet.store
    copy = store.take_copy()
    store.is_deaf = True
    await asyncio.sleep(1.0)
    store.stale = copy
    store.drop_history()
    store.is_deaf = False
    await asyncio.sleep(injector.draw_duration())
    store.stale = None


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


async def _change_keys(injector: "Injector", node: Node) -> None:
    """Add a key of a tenant, and remove it again."""
    key = injector.fleet.keys.add(injector.rng.random())
    await _configure(injector, node)
    key.added = time.monotonic()
    await asyncio.sleep(APPLY_SECONDS + injector.draw_duration())
    key.is_valid = False
    await _configure(injector, node)
    key.removed = time.monotonic()


def _at_holder(kind: str) -> Callable:
    """Return a fault at the holder of the duty, longer than its lease if it lasts."""

    async def inject(injector: "Injector", node: Node) -> None:
        longer = attrs.evolve(injector, min_duration=LEASE_SECONDS)
        nodes = {n.name: n for n in injector.fleet.nodes}
        await longer.inject(kind, nodes.get(injector.fleet.usage.holder, node))

    return inject


async def _cut_api(injector: "Injector", node: Node) -> None:
    choices = (Impairment.SILENT, Impairment.UP_ONLY)
    node.api_proxy.impairment = injector.rng.choice(choices)
    await asyncio.sleep(injector.draw_duration())
    node.api_proxy.impairment = Impairment.NONE
    node.api_proxy.reset()


async def _refuse_reports(injector: "Injector", _node: Node) -> None:
    # Longer than a lease, so that a holder without one still has something to send.
    usage = injector.fleet.usage
    usage.refusing += 1
    usage.api.status = 503
    await asyncio.sleep(LEASE_SECONDS + injector.draw_duration())
    usage.refusing -= 1
    if not usage.refusing:
        usage.api.status = 204


async def _add_route(injector: "Injector", _node: Node) -> None:
    name = f"v{injector.fleet.version}"
    injector.clients.added_routes[name] = float("inf")
    await _configure(injector, _node)
    injector.clients.added_routes[name] = time.monotonic()


async def _write_odd_rows(injector: "Injector", _node: Node) -> None:
    """Write rows that can't be read beside every kind of row, and remove them."""
    store, value = injector.fleet.store, injector.rng.choice(ODD_VALUES)
    for table, key in ODD_ROWS:
        store.put(table, key, value)
    await asyncio.sleep(APPLY_SECONDS + injector.draw_duration())
    for table, key in ODD_ROWS:
        store.put(table, key, None)


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
    **PROCESS_FAULTS,
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
    "store-returns": _return_store,
    "store-behind": _put_store_behind,
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
    "odd-rows": _write_odd_rows,
    "keys": _change_keys,
    "api-cut": _cut_api,
    "api-busy": _refuse_reports,
    "holder-kill": _at_holder("kill"),
    "holder-term": _at_holder("term"),
    "holder-pause": _at_holder("pause"),
    "holder-store-cut": _at_holder("store-cut"),
    "holder-api-cut": _at_holder("api-cut"),
    "crowd": crowd_listener,
}
"""Function that injects each fault, by name."""
