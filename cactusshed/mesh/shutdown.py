"""The orderly end of a node: clients go elsewhere, and what is running ends."""

import asyncio

from ..clock import read_monotonic
from ..observe.lines import log_line
from .callers import Callers
from .inbound import Inbound
from .listener import Listener
from .storekeeper import Storekeeper

__all__ = ["drain", "remove_row"]

STOP_MARGIN_SECONDS = 1.3
"""Part of the time until SIGKILL that is kept for the end itself: the last answers
and one call to the store."""
SETTLE_SECONDS = 2.3
"""Time after which clients have noticed that the node is not ready: two probes."""
FRESH_SECONDS = 0.1
"""Age below which a connection without a request may be about to bring one."""
LAST_ANSWERS_SECONDS = 0.3
"""Time for the last refusals, out of the margin before SIGKILL."""
END_SECONDS = 0.4
"""Time for the process itself to end, out of the same margin: a scheduling period
of a slow host and the closing of its connections."""
LAST_TAKEN_SECONDS = 2.9
"""Time after which requests are turned away: what came before ends in the grace."""
POLL_SECONDS = 0.02
"""Pause between two looks at what still runs: far below a client's time."""


async def drain(
    listener: Listener, callers: Callers, inbound: Inbound, grace: float
) -> None:
    """End what is running within `grace` seconds less the margin for the end."""
    started = read_monotonic()
    listener.is_closing = True
    end = started + grace - STOP_MARGIN_SECONDS
    while read_monotonic() < end:
        spent = read_monotonic() - started
        callers.is_closing = spent >= LAST_TAKEN_SECONDS
        if spent >= SETTLE_SECONDS:
            listener.close_idle(FRESH_SECONDS)
            if not listener.count_busy() and not inbound.running:
                break
        await asyncio.sleep(POLL_SECONDS)
    # What has connected already is still turned away, not cut.
    callers.is_closing = True
    listener.stop()
    end = min(end, read_monotonic()) + LAST_ANSWERS_SECONDS
    while read_monotonic() < end and listener.connections:
        listener.close_idle(FRESH_SECONDS)
        await asyncio.sleep(POLL_SECONDS)
    listener.close_idle()


async def remove_row(keeper: Storekeeper, killed_at: float) -> None:
    """Remove the own row, unless that would last until the kill at `killed_at`."""
    left = killed_at - END_SECONDS - read_monotonic()
    try:
        async with asyncio.timeout(left):
            await keeper.remove_row()
    except TimeoutError:
        log_line("row-not-removed", cause="no time left before the kill")
