"""Reports of the fixed windows to the platform, while this node holds the duty."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from ..errors import CactusError, LeaseLost
from ..observe.counters import Counters
from ..observe.lines import log_line
from .duty import UsageDuty
from .dutyrow import DutyRow

__all__ = ["ReportSender", "SendReport"]

SendReport = Callable[..., Awaitable[int]]
"""Sends a report: holder, token, window, counts, time limit, and a function that is
called immediately before the request is sent. Returns the HTTP status."""

POLL_SECONDS = 0.1
"""Interval at which the row is searched for unsent windows."""
RETRY_SECONDS = 0.5
"""Pause after a report that was not acknowledged."""
REFUSED_SECONDS = 5.0
"""Time after which a report is repeated that the platform has refused by itself; later
windows are sent meanwhile."""
BUSY_STATUSES = (429, 500, 502, 503, 504)
"""Statuses that say nothing about the report itself."""
PAUSE_SECONDS = 0.05
"""Pause between reports: at most 20 a second, of the 50 that the platform accepts."""
MAX_SEND_SECONDS = 2.0
"""Longest time for a report; less if the lease ends earlier."""


@attrs.define(eq=False)
class ReportSender:
    """Sends the windows that a confirmed write of the row has fixed, oldest first."""

    duty: UsageDuty
    send_report: SendReport
    counters: Counters
    read_boottime: Callable[[], float]
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
    _refused: dict[int, float] = attrs.Factory(dict)
    """Refused windows, and when they are sent again."""

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            await self.sleep(POLL_SECONDS)
            row = self.duty.row
            if row is None:
                continue
            for window in sorted(row.fixed.keys() - self.duty.acknowledged):
                if self._refused.get(window, 0.0) > self.read_boottime():
                    continue
                if not await self._send(row, window):
                    await self.sleep(RETRY_SECONDS)
                    break
                await self.sleep(PAUSE_SECONDS)

    async def _send(self, row: DutyRow, window: int) -> bool:
        """Send one report; return whether to go on with the next one at once."""
        duty = self.duty
        lease = duty.lease
        started = self.read_boottime()
        if lease is None or lease.epoch != row.token:
            return False
        ends_at = lease.valid_until
        remaining = ends_at - started
        if remaining < duty.watch.times.min_send:
            return False

        def check_lease() -> None:
            if duty.lease is None or duty.lease.epoch != row.token:
                raise LeaseLost("the duty was lost", step="send report")
            if self.read_boottime() >= ends_at:
                raise LeaseLost("the lease has expired", step="send report")

        try:
            status = await self.send_report(
                lease.holder,
                row.token,
                window,
                row.fixed[window],
                min(MAX_SEND_SECONDS, remaining),
                check_lease,
            )
        except LeaseLost:
            return False
        except CactusError as error:
            log_line("usage-not-sent", window=window, cause=str(error))
            if duty.unreachable_since is None:
                duty.unreachable_since = started
            return False
        duty.unreachable_since = None
        if 200 <= status < 300:
            duty.acknowledged.add(window)
            self._refused.pop(window, None)
            self.counters.add("usage_reported")
            return True
        self.counters.add("usage_refused")
        log_line("usage-refused", window=window, status=status)
        if status in BUSY_STATUSES:
            return False
        self._refused[window] = self.read_boottime() + REFUSED_SECONDS
        return True
