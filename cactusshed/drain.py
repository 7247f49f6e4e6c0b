"""Shutdown helpers: wait for running calls to end, then stop listeners."""

from collections.abc import Callable

import anyio

from .observe.counters import Counters
from .observe.events import log_event
from .serve.listener import Listener

__all__ = ["STOP_SECONDS", "stop_listeners", "wait_idle"]

POLL_SECONDS = 0.02
STOP_SECONDS = 2.0
"""Time for the last answers while connections are being closed."""


async def wait_idle(
    count_busy: Callable[[], int], limit: float, counters: Counters
) -> None:
    """Wait up to `limit` seconds for running calls; count and log those left."""
    with anyio.move_on_after(limit):
        while count_busy():
            await anyio.sleep(POLL_SECONDS)
    remaining = count_busy()
    if remaining:
        counters.add("calls_cut", remaining)
        log_event("drain-limit", left=remaining)


async def stop_listeners(listeners: list[Listener]) -> None:
    """Stop all listeners; wait up to `STOP_SECONDS` for connections to close."""
    for listener in listeners:
        listener.stop()
    with anyio.move_on_after(STOP_SECONDS):
        for listener in listeners:
            await listener.ended.wait()
