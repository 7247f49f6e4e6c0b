"""Clients of the emulator: they arrive at random, wait as told, and retry."""

import asyncio
import itertools
import random
from collections.abc import Iterator

import attrs

from ..clock import read_monotonic
from .load import RequestClass
from .world import World, send

__all__ = ["Ending", "play"]

NOT_RUN, OK = 503, 200
NO_CONNECTION, TIMED_OUT = 0, -1
"""Instead of a status, when no answer came."""
UNTOUCHED = frozenset({NO_CONNECTION, NOT_RUN})
"""Endings after which also what must not run twice may be sent again."""
MAX_WAIT_PART = 1 / 3
"""Part of the time left for which clients follow advice to wait."""
CLIENT_SECONDS = 0.001
"""Time between a client and its node, one way."""
SETTLE_SECONDS = 3.0
"""Time after the last arrival in which what is running ends."""


@attrs.frozen
class Ending:
    """What became of one request; `took` is `None` unless it was served."""

    kind: str
    data_centre: str
    at: float
    took: float | None
    is_refused: bool
    tries: int


async def play(world: World, rng: random.Random) -> list[Ending]:
    """Play the load and return every request's ending."""
    endings: list[Ending] = []
    tasks = world.start()
    numbers = itertools.count(1)
    async with asyncio.TaskGroup() as group:
        for kind in world.load.classes.values():
            for centre in world.load.data_centres:
                if kind.per_second:
                    group.create_task(
                        _arrive(world, kind, centre, rng, numbers, endings)
                    )
    await asyncio.sleep(SETTLE_SECONDS)
    for task in tasks:
        task.cancel()
    return sorted(endings, key=lambda ending: ending.at)


async def _arrive(
    world: World,
    kind: RequestClass,
    centre: str,
    rng: random.Random,
    numbers: Iterator[int],
    endings: list[Ending],
) -> None:
    """Send requests of one kind from one data centre until the load ends."""
    rate = kind.per_second / len(world.load.data_centres)
    async with asyncio.TaskGroup() as group:
        while True:
            await asyncio.sleep(rng.expovariate(rate))
            if read_monotonic() >= world.load.seconds:
                return
            identity = b"c%d" % next(numbers)
            group.create_task(_request(world, kind, centre, identity, rng, endings))


async def _request(
    world: World,
    kind: RequestClass,
    centre: str,
    identity: bytes,
    rng: random.Random,
    endings: list[Ending],
) -> None:
    """Send one request, again as often as its kind retries, and note its end."""
    at = read_monotonic()
    end = at + kind.deadline
    status, tries = NO_CONNECTION, 0
    for number in range(1 + kind.retries):
        tries = number + 1
        name = identity if not number else b"%s-%d" % (identity, number)
        status, advice = await _try_once(world, kind, centre, name, end, rng)
        left = end - read_monotonic()
        if status == OK or left <= 0:
            break
        if not kind.repeatable and status not in UNTOUCHED:
            break
        await asyncio.sleep(min(advice, MAX_WAIT_PART * left))
    took = read_monotonic() - at if status == OK else None
    is_refused = status in UNTOUCHED
    endings.append(Ending(kind.name, centre, at, took, is_refused, tries))


async def _try_once(
    world: World,
    kind: RequestClass,
    centre: str,
    identity: bytes,
    end: float,
    rng: random.Random,
) -> tuple[int, float]:
    """Return the status and the advice to wait, in seconds."""
    nodes = world.list_nodes(centre)
    await asyncio.sleep(CLIENT_SECONDS)
    if not nodes:
        return NO_CONNECTION, 0.0
    left = end - read_monotonic()
    try:
        async with asyncio.timeout(left):
            response = await send(rng.choice(nodes), kind, identity, left)
    except TimeoutError:
        return TIMED_OUT, 0.0
    await asyncio.sleep(CLIENT_SECONDS)
    headers = dict(response.headers)
    return response.status, float(headers.get(b"retry-after", b"0"))
