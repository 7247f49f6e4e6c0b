"""Supervision of background tasks: a failed task is logged, counted and restarted."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from ..observe.counters import Counters
from ..observe.lines import log_line

__all__ = ["Task", "keep_running"]

Task = Callable[[], Awaitable[None]]

MIN_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0
"""Longest pause before a restart: the shortest time in which users require an order
to take effect."""


async def keep_running(run: Task, counters: Counters) -> None:
    """Run a task until it returns; restart it after an error with growing pauses."""
    pause = MIN_BACKOFF_SECONDS
    while True:
        try:
            await run()
            return
        except Exception as error:
            counters.add("tasks_failed")
            log_line("task-failed", task=run.__qualname__, error=repr(error))
        await asyncio.sleep(pause * random.uniform(0.5, 1.0))  # noqa: S311
        pause = min(MAX_BACKOFF_SECONDS, 2 * pause)
