"""Background tasks of a node: a failed one is logged, counted and run again."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from ..observe.counters import Counters
from ..observe.lines import log_line

__all__ = ["Task", "keep_running"]

Task = Callable[[], Awaitable[None]]

FIRST_PAUSE_SECONDS = 0.05
LAST_PAUSE_SECONDS = 1.0
"""Longest pause: the shortest time in which the users want an order carried out."""


async def keep_running(run: Task, counters: Counters) -> None:
    """Run a task until cancelled; after an error run it again, ever later."""
    pause = FIRST_PAUSE_SECONDS
    while True:
        try:
            await run()
            return
        except Exception as error:
            counters.add("tasks_failed")
            log_line("task-failed", task=run.__qualname__, error=repr(error))
        await asyncio.sleep(pause * random.uniform(0.5, 1.0))  # noqa: S311
        pause = min(LAST_PAUSE_SECONDS, 2 * pause)
