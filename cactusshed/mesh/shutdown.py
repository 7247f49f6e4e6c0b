"""Graceful shutdown of a node: drain its requests, then close its connections.

An answer counts as delivered once its reader has received it, not once it is written.
"""

import asyncio
from collections.abc import Iterable

import attrs

from ..clock import read_monotonic
from ..observe.lines import log_line
from ..policy.plannedstop import PlannedStop, ReaderProgress
from .inbound import Inbound
from .listener import Listener
from .memberrow import OwnRow

__all__ = [
    "EXIT_SECONDS",
    "STOP_MARGIN_SECONDS",
    "await_readers",
    "close_listeners",
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
"""Checks in a row that must find nothing, and polls after a pause of the process, such
as SIGSTOP: the first check may run before what arrived meanwhile is read."""
READ_TURNS = 8
"""Turns of the event loop that a poll leaves for requests that have arrived. asyncio
takes one each to accept a connection, open its transport, start its protocol and read
from it, and the listener two to refuse the request; timers that are due run between."""
PAUSE_SECONDS = 0.1
"""Duration of a poll from which the process was paused: five times the usual one."""
MAX_LAST_POLLS = 6
"""Polls after the end of a drain. A host on which each poll takes as long as a pause
must not hold up the exit."""


@attrs.define
class _Polls:
    """Polls of a drain, and how many of them were made since the last pause."""

    since_pause: int = 0
    past_end: int = 0
    _ended_at: float = attrs.Factory(read_monotonic)

    async def wait(self) -> None:
        """Wait for an interval, and until what has arrived is read."""
        await asyncio.sleep(POLL_SECONDS)
        for _ in range(READ_TURNS):
            await asyncio.sleep(0)
        now = read_monotonic()
        was_paused = now - self._ended_at >= PAUSE_SECONDS
        self.since_pause = 0 if was_paused else self.since_pause + 1
        self._ended_at = now

    def may_continue(self, end: float) -> bool:
        """Return whether to poll again: until `end`, and after a pause."""
        now = read_monotonic()
        if now < end:
            return True
        if now - self._ended_at >= PAUSE_SECONDS:
            self.since_pause = 0
        self.past_end += 1
        return self.since_pause < QUIET_POLLS and self.past_end <= MAX_LAST_POLLS


async def drain(
    listener: Listener, inbound: Inbound, stop: PlannedStop, readers: ReaderProgress
) -> None:
    """Drain the running requests until `stop.answer_by` at the latest.

    What arrived during a pause of the process is refused also after that time.
    """
    started = read_monotonic()
    listener.is_closing = True
    end = stop.answer_by
    polls = _Polls()
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
        await polls.wait()
    # What still arrives over open connections and links gets a refusal.
    stop.is_closed = True
    listener.stop()
    end = min(end, read_monotonic()) + LAST_ANSWERS_SECONDS
    quiet_polls = 0
    while quiet_polls < QUIET_POLLS and polls.may_continue(end):
        listener.close_idle(MIN_IDLE_SECONDS)
        quiet_polls = 0 if listener.connections else quiet_polls + 1
        await polls.wait()
    listener.close_idle()
    log_line("drained", requests=listener.count_busy(), calls=inbound.running)


async def close_listeners(listeners: Iterable[Listener], killed_at: float) -> None:
    """Answer what has arrived at the listeners of targets, probes and operators.

    `killed_at` is the monotonic time of the SIGKILL.
    """
    listeners = list(listeners)
    for listener in listeners:
        listener.is_closing = True
        listener.stop()
    now = read_monotonic()
    end = min(now + LAST_ANSWERS_SECONDS, killed_at - EXIT_SECONDS)
    polls = _Polls()
    quiet_polls = 0
    while quiet_polls < QUIET_POLLS and polls.may_continue(end):
        for listener in listeners:
            listener.close_idle(MIN_IDLE_SECONDS)
        is_quiet = not any(listener.connections for listener in listeners)
        quiet_polls = quiet_polls + 1 if is_quiet else 0
        await polls.wait()


async def await_readers(readers: ReaderProgress, killed_at: float) -> None:
    """Wait for clients that still read, until the process must exit.

    `killed_at` is the monotonic time of the SIGKILL.
    """
    while (now := read_monotonic()) < killed_at - EXIT_SECONDS:
        if not readers.count_reading(now):
            return
        await asyncio.sleep(POLL_SECONDS)


async def remove_row(own_row: OwnRow, killed_at: float) -> None:
    """Remove this node's row, if there is time before the SIGKILL at `killed_at`."""
    remaining = killed_at - EXIT_SECONDS - read_monotonic()
    try:
        async with asyncio.timeout(remaining):
            await own_row.remove()
    except TimeoutError:
        log_line("row-not-removed", cause="no time left before SIGKILL")
