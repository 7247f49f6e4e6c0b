"""Shutdown helpers: wait for running calls to end, then stop listeners."""

from collections.abc import Callable

import anyio

from .clock import read_monotonic
from .observe.counters import Counters
from .observe.events import log_event
from .policy.plannedstop import ReaderProgress
from .serve.listener import Listener

__all__ = ["STOP_SECONDS", "stop_listeners", "wait_idle"]

POLL_SECONDS = 0.02
QUIET_POLLS = 2
"""Checks in a row that must find nothing. After a delay of the process, the first one
may run before the requests that arrived meanwhile are read."""
STOP_SECONDS = 2.0
"""Time for the last answers while connections are being closed."""
PAUSE_SECONDS = 0.1
"""Duration of a poll from which the process was paused: five times the usual one."""
MAX_PAUSES = 6
"""Pauses for which a stop takes longer. A host on which each poll takes as long as a
pause must not hold up the exit."""
AFTER_PAUSE_SECONDS = 0.5
"""Time for these answers after a pause of the process: the listeners notice the stop
within 0.1 s, and end within 0.2 s of their last answer."""


async def wait_idle(
    count_busy: Callable[[], int], limit: float, counters: Counters
) -> None:
    """Wait up to `limit` seconds for running calls; count and log those left."""
    quiet_polls = 0
    with anyio.move_on_after(limit):
        while True:
            quiet_polls = 0 if count_busy() else quiet_polls + 1
            if quiet_polls == QUIET_POLLS:
                break
            await anyio.sleep(POLL_SECONDS)
    remaining = count_busy()
    if remaining:
        counters.add("calls_cut", remaining)
        log_event("drain-limit", left=remaining)


async def stop_listeners(listeners: list[Listener], limit: float) -> None:
    """Stop all listeners, and wait for their connections to close.

    Waits up to `limit` seconds for callers that still read, and `STOP_SECONDS` more.
    """
    for listener in listeners:
        listener.stop()
    readers = ReaderProgress([listener.list_unsent for listener in listeners])
    now = read_monotonic()
    end = now + limit
    stop_by = now + STOP_SECONDS
    pauses = 0
    while now < stop_by:
        if all(listener.ended.is_set() for listener in listeners):
            return
        if readers.count_reading(now) and now < end:
            stop_by = now + STOP_SECONDS
        await anyio.sleep(POLL_SECONDS)
        before, now = now, read_monotonic()
        if now - before >= PAUSE_SECONDS and pauses < MAX_PAUSES:
            # What arrived in the pause is not read yet.
            pauses += 1
            stop_by = max(stop_by, now + AFTER_PAUSE_SECONDS)
