"""The end of a planned stop: calls that run end by themselves, then listeners."""

from collections.abc import Callable

import anyio

from .observe.counters import Counters
from .observe.events import log_event
from .serve.listener import Listener

__all__ = ["stop_listeners", "wait_idle"]

POLL_SECONDS = 0.02
STOP_SECONDS = 2.0


async def wait_idle(
    count_busy: Callable[[], int], limit: float, counters: Counters
) -> None:
    """Wait at most `limit` seconds until nothing is busy; report what is left."""
    with anyio.move_on_after(limit):
        while count_busy():
            await anyio.sleep(POLL_SECONDS)
    left = count_busy()
    if left:
        counters.add("calls_cut", left)
        log_event("drain-limit", left=left)


async def stop_listeners(listeners: list[Listener]) -> None:
    """Stop all listeners and wait until they have closed their connections."""
    for listener in listeners:
        listener.stop()
    with anyio.move_on_after(STOP_SECONDS):
        for listener in listeners:
            await listener.ended.wait()
