"""Faults of the soak: drawn from a seed, in series that overlap."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable

import attrs

from .clients import Clients
from .fleet import DRAIN_SECONDS, Fleet, Node
from .proxy import Harm

__all__ = ["FAULTS", "Injector", "Injury"]

PLANNED = frozenset({"term", "hup", "configure", "add-route"})
"""Faults that must not cost a client its answer."""
PAUSE_SECONDS = (0.1, 1.2)
"""Time between the starts of two faults of one series; they last up to 3 s."""
LAST_SECONDS = (0.4, 3.0)


@attrs.define
class Injury:
    """One fault; times in monotonic seconds."""

    kind: str
    node: str
    began: float
    ended: float = float("inf")

    @property
    def is_planned(self) -> bool:
        """Return whether clients must not notice it."""
        return self.kind in PLANNED


@attrs.define(eq=False)
class Injector:
    """Carries out faults and keeps a record of them."""

    fleet: Fleet
    clients: Clients
    rng: random.Random
    kinds: tuple[str, ...] = attrs.Factory(lambda: tuple(FAULTS))
    injuries: list[Injury] = attrs.Factory(list)
    evacuations: list[tuple[str, float, float]] = attrs.Factory(list)
    """Data centre, when it was taken out, and when it was taken back."""
    _busy: set[str] = attrs.Factory(set)
    """Nodes whose process is being ended, started or paused."""

    async def play(self, until: float) -> None:
        """Inject one series of faults until the time `until`."""
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < until:
                kind = self.rng.choice(self.kinds)
                node = self.rng.choice(self.fleet.nodes)
                group.create_task(self._inflict(kind, node))
                await asyncio.sleep(self.rng.uniform(*PAUSE_SECONDS))

    async def _inflict(self, kind: str, node: Node) -> None:
        injury = Injury(kind, node.name, time.monotonic())
        self.injuries.append(injury)
        try:
            await FAULTS[kind](self, node)
        finally:
            injury.ended = time.monotonic()

    def draw_seconds(self) -> float:
        """Return how long a fault lasts."""
        return self.rng.uniform(*LAST_SECONDS)

    async def with_process(self, node: Node, work: Awaitable[None]) -> None:
        """Do `work` unless the node's process is being dealt with already."""
        if node.name in self._busy:
            work.close()
            return
        self._busy.add(node.name)
        try:
            await work
        finally:
            self._busy.discard(node.name)


async def _restart(injector: Injector, node: Node, number: int, pause: float) -> None:
    await node.end(number)
    await asyncio.sleep(pause)
    node.start()
    await injector.fleet.wait_open(node)


async def _term(injector: Injector, node: Node) -> None:
    work = _restart(injector, node, signal.SIGTERM, 0.1)
    await injector.with_process(node, work)


async def _kill(injector: Injector, node: Node) -> None:
    work = _restart(injector, node, signal.SIGKILL, injector.rng.uniform(0.1, 1.0))
    await injector.with_process(node, work)


async def _pause(injector: Injector, node: Node) -> None:
    async def work() -> None:
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(injector.draw_seconds())
        node.signal(signal.SIGCONT)

    await injector.with_process(node, work())


async def _hup(_injector: Injector, node: Node) -> None:
    if node.process is not None and node.process.poll() is None:
        node.signal(signal.SIGHUP)


def _harm_store(harm: Harm) -> Callable:
    async def inflict(injector: Injector, node: Node) -> None:
        node.to_store.harm = harm
        await asyncio.sleep(injector.draw_seconds())
        node.to_store.harm = Harm.NONE

    return inflict


def _harm_target(harm: Harm) -> Callable:
    async def inflict(injector: Injector, node: Node) -> None:
        node.to_target.harm = harm
        await asyncio.sleep(injector.draw_seconds())
        node.to_target.harm = Harm.NONE
        # What was dropped is missing from these streams for good.
        node.to_target.reset()

    return inflict


async def _reset(_injector: Injector, node: Node) -> None:
    node.to_target.reset()
    node.to_store.reset()


async def _forget(_injector: Injector, node: Node) -> None:
    node.to_target.forget()
    node.to_store.forget()
    # The connections stay silent; what runs over them is disturbed for a while.
    await asyncio.sleep(2.0)


def _fail_store(fault: str) -> Callable:
    async def inflict(injector: Injector, _node: Node) -> None:
        injector.fleet.store.fault = fault
        await asyncio.sleep(injector.draw_seconds())
        injector.fleet.store.fault = "up"

    return inflict


async def _compact(injector: Injector, _node: Node) -> None:
    injector.fleet.store.forget_history()


async def _lose_answers(injector: Injector, node: Node) -> None:
    node.target.lose_share = 0.2
    await asyncio.sleep(injector.draw_seconds())
    node.target.lose_share = 0.0


async def _cross_answers(injector: Injector, node: Node) -> None:
    node.target.cross_share = 0.2
    await asyncio.sleep(injector.draw_seconds())
    node.target.cross_share = 0.0


async def _crash_target(injector: Injector, node: Node) -> None:
    if not node.target.is_up or node.target.state != "ready":
        return
    node.target.crash()
    await asyncio.sleep(injector.draw_seconds())
    await node.target.begin(is_cold=True)


async def _drain_target(injector: Injector, node: Node) -> None:
    target = node.target
    if not target.is_up or target.state != "ready":
        return
    await target.leave()
    await asyncio.sleep(DRAIN_SECONDS + 0.5)
    target.crash()
    await asyncio.sleep(0.3)
    await target.begin(is_cold=True)


async def _configure(injector: Injector, _node: Node) -> None:
    injector.fleet.configure(**{name: {} for name in injector.clients.added})


async def _add_route(injector: Injector, _node: Node) -> None:
    name = f"v{injector.fleet.version}"
    injector.clients.added[name] = float("inf")
    await _configure(injector, _node)
    injector.clients.added[name] = time.monotonic()


async def _evacuate(injector: Injector, node: Node) -> None:
    if any(end == float("inf") for *_, end in injector.evacuations):
        return
    centre, began = node.data_centre, time.monotonic()
    injector.fleet.store.put_json("op", f"evacuate/{centre}", {})
    index = len(injector.evacuations)
    injector.evacuations.append((centre, began, float("inf")))
    await asyncio.sleep(6.5)
    injector.evacuations[index] = (centre, began, time.monotonic())
    injector.fleet.store.put("op", f"evacuate/{centre}", None)


FAULTS: dict[str, Callable[[Injector, Node], Awaitable[None]]] = {
    "term": _term,
    "kill": _kill,
    "pause": _pause,
    "hup": _hup,
    "store-cut": _harm_store(Harm.SILENT),
    "store-slow": _harm_store(Harm.DELAY),
    "store-one-way": _harm_store(Harm.UP_ONLY),
    "target-cut": _harm_target(Harm.SILENT),
    "target-slow": _harm_target(Harm.DELAY),
    "target-one-way": _harm_target(Harm.UP_ONLY),
    "target-requests-lost": _harm_target(Harm.DOWN_ONLY),
    "reset": _reset,
    "forget": _forget,
    "store-busy": _fail_store("busy"),
    "store-silent": _fail_store("silent"),
    "store-loses": _fail_store("lose"),
    "store-late": _fail_store("late"),
    "store-compact": _compact,
    "answers-lost": _lose_answers,
    "answers-crossed": _cross_answers,
    "target-crash": _crash_target,
    "target-drain": _drain_target,
    "configure": _configure,
    "add-route": _add_route,
    "evacuate": _evacuate,
}
"""Faults by name."""
