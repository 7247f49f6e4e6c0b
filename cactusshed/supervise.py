"""Supervision of background tasks: a failed one is counted and run again."""

import random
from collections.abc import Awaitable, Callable

import anyio

from .observe.counters import Counters
from .observe.events import log_event

__all__ = ["supervise"]

FIRST_PAUSE = 0.1
LONGEST_PAUSE = 10.0


async def supervise(
    name: str, run: Callable[[], Awaitable[None]], counters: Counters
) -> None:
    """Run the task `name` for ever; after an error run it again, ever later."""
    pause = FIRST_PAUSE
    while True:
        try:
            await run()
            return
        except Exception as error:
            counters.add("tasks_failed")
            log_event("task-failed", task=name, error=repr(error))
        await anyio.sleep(pause * random.uniform(0.5, 1.0))  # noqa: S311
        pause = min(LONGEST_PAUSE, 2 * pause)
