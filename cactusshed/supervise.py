"""Supervision of background tasks: failed tasks are counted and restarted."""

import random
from collections.abc import Awaitable, Callable

import anyio

from .observe.counters import Counters
from .observe.events import log_event

__all__ = ["supervise"]

FIRST_PAUSE_SECONDS = 0.1
LONGEST_PAUSE_SECONDS = 10.0
"""Seconds before a restart; the pause doubles from the first to the longest."""


async def supervise(
    name: str, run: Callable[[], Awaitable[None]], counters: Counters
) -> None:
    """Run the task `name` until it returns; restart it with backoff after errors."""
    pause = FIRST_PAUSE_SECONDS
    while True:
        try:
            await run()
            return
        except Exception as error:
            counters.add("tasks_failed")
            log_event("task-failed", task=name, error=repr(error))
        await anyio.sleep(pause * random.uniform(0.5, 1.0))  # noqa: S311
        pause = min(LONGEST_PAUSE_SECONDS, 2 * pause)
