"""Graceful shutdown of a node: drain its requests, then close its connections.

An answer counts as delivered once its reader has received it, not once it is written.
"""

import asyncio

from ..clock import read_monotonic
from ..observe.lines import log_line
from ..policy.plannedstop import PlannedStop, ReaderProgress
from .inbound import Inbound
from .listener import Listener
from .storesync import StoreSync

__all__ = [
    "EXIT_SECONDS",
    "STOP_MARGIN_SECONDS",
    "await_readers",
    "drain",
    "remove_row",
]

STOP_MARGIN_SECONDS = 1.3
"""Time before SIGKILL that is reserved for the last answers and one call to the
store."""
UNREADY_NOTICE_SECONDS = 2.3
"""Time after which clients have seen that the node is not ready: two probes."""
MIN_IDLE_SECONDS = 0.1
"""Idle time below which a connection stays open, as a request may be about to
arrive."""
LAST_ANSWERS_SECONDS = 0.3
"""Time for the last refusals; part of the margin before SIGKILL."""
EXIT_SECONDS = 0.4
"""Time for the process to exit; part of the same margin. Covers a scheduling period
of a slow host and the closing of the connections."""
ACCEPT_SECONDS = 2.9
"""Time after which all new requests are refused. Before, those are refused whose
deadline lies beyond the grace period."""
POLL_SECONDS = 0.02
"""Interval between checks for running requests: far below a client's timeout."""
QUIET_POLLS = 2
"""Checks in a row that must find nothing. After a delay of the process, the first one
may run before the requests that arrived meanwhile are read."""


async def drain(
    listener: Listener, inbound: Inbound, stop: PlannedStop, readers: ReaderProgress
) -> None:
    """Drain the running requests until `stop.answer_by` at the latest."""
    started = read_monotonic()
    listener.is_closing = True
    end = stop.answer_by
    quiet_polls = 0
    while read_monotonic() < end:
        now = read_monotonic()
        spent = now - started
        reading = readers.count_reading(now)
        stop.is_closed = spent >= ACCEPT_SECONDS
        if spent >= UNREADY_NOTICE_SECONDS:
            listener.close_idle(MIN_IDLE_SECONDS)
            is_busy = listener.count_busy() or inbound.running or reading
            quiet_polls = 0 if is_busy else quiet_polls + 1
            if quiet_polls == QUIET_POLLS:
                break
        await asyncio.sleep(POLL_SECONDS)
    # What still arrives over open connections and links gets a refusal.
    stop.is_closed = True
    listener.stop()
    end = min(end, read_monotonic()) + LAST_ANSWERS_SECONDS
    quiet_polls = 0
    while quiet_polls < QUIET_POLLS and read_monotonic() < end:
        listener.close_idle(MIN_IDLE_SECONDS)
        quiet_polls = 0 if listener.connections else quiet_polls + 1
        await asyncio.sleep(POLL_SECONDS)
    listener.close_idle()
    log_line("drained", requests=listener.count_busy(), calls=inbound.running)


async def await_readers(readers: ReaderProgress, killed_at: float) -> None:
    """Wait for clients that still read, until the process must exit.

    `killed_at` is the monotonic time of the SIGKILL.
    """
    while (now := read_monotonic()) < killed_at - EXIT_SECONDS:
        if not readers.count_reading(now):
            return
        await asyncio.sleep(POLL_SECONDS)


async def remove_row(store_sync: StoreSync, killed_at: float) -> None:
    """Remove this node's row, if there is time before the SIGKILL at `killed_at`."""
    remaining = killed_at - EXIT_SECONDS - read_monotonic()
    try:
        async with asyncio.timeout(remaining):
            await store_sync.remove_row()
    except TimeoutError:
        log_line("row-not-removed", cause="no time left before SIGKILL")
