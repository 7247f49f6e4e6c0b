"""Fault injection: a plan of faults, drawn from the seed, in overlapping series."""

import asyncio
import random
import time
from collections.abc import Awaitable, Iterator

import attrs

from .clients import Clients
from .faults import FAULTS
from .fleet import Fleet
from .node import Node
from .records import InjectedFault

__all__ = ["Injector", "PlannedFault", "plan_faults"]

INTERVAL_SECONDS = (0.1, 1.2)
"""Range of the time between the starts of two faults of one series; shorter than the
longest faults, so that faults of one series overlap too."""

DURATION_SECONDS = (0.4, 3.0)
"""Range of the duration of a fault."""


@attrs.frozen
class PlannedFault:
    """A fault of the plan; `node` is an index, `pause` the time until the next one."""

    kind: str
    node: int
    seed: float
    pause: float


def plan_faults(
    rng: random.Random, kinds: tuple[str, ...], nodes: int
) -> Iterator[PlannedFault]:
    """Yield faults without end; each kind comes once before any comes again."""
    while True:
        for kind in rng.sample(kinds, len(kinds)):
            pause = rng.uniform(*INTERVAL_SECONDS)
            yield PlannedFault(kind, rng.randrange(nodes), rng.random(), pause)


@attrs.define(eq=False)
class Injector:
    """Injects random faults and records them."""

    fleet: Fleet
    clients: Clients
    rng: random.Random
    kinds: tuple[str, ...] = tuple(FAULTS)
    injected_faults: list[InjectedFault] = attrs.Factory(list)
    evacuations: list[tuple[str, float, float]] = attrs.Factory(list)
    """Data centre, start and end of each evacuation."""
    min_duration: float = 0.0
    """Added to the duration of each fault."""
    _busy: set[str] = attrs.Factory(set)
    """Nodes whose process is being stopped, started or paused."""
    _plan: Iterator[PlannedFault] = attrs.field()

    @_plan.default
    def _make_plan(self) -> Iterator[PlannedFault]:
        return plan_faults(self.rng, self.kinds, len(self.fleet.nodes))

    async def run_series(self, end_time: float) -> None:
        """Inject one series of faults until `end_time`, from the plan of all series."""
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end_time:
                planned = next(self._plan)
                group.create_task(self._inject_planned(planned))
                await asyncio.sleep(planned.pause)

    async def _inject_planned(self, planned: PlannedFault) -> None:
        # The draws of a fault don't depend on the order in which faults end.
        injector = attrs.evolve(self, rng=random.Random(planned.seed))
        await injector.inject(planned.kind, self.fleet.nodes[planned.node])

    async def inject(self, kind: str, node: Node) -> None:
        """Inject a fault and record it."""
        fault = InjectedFault(kind, node.name, time.monotonic())
        self.injected_faults.append(fault)
        try:
            await FAULTS[kind](self, node)
        finally:
            fault.ended = time.monotonic()

    def draw_duration(self) -> float:
        """Return the random duration of a fault in seconds."""
        return self.min_duration + self.rng.uniform(*DURATION_SECONDS)

    async def run_exclusively(self, node: Node, operation: Awaitable[None]) -> None:
        """Await `operation` unless another one on the node's process is in progress."""
        if node.name in self._busy:
            operation.close()
            return
        self._busy.add(node.name)
        try:
            await operation
        finally:
            self._busy.discard(node.name)
