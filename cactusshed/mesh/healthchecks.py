"""Health checks of the local target after signs of a restart."""

import asyncio

import attrs

from ..clock import read_monotonic
from ..errors import CactusError
from ..observe.lines import log_line
from ..platform import headers as header_names
from .announcements import Announcements
from .gate import Gate
from .records import Records
from .targetclient import request_health
from .upstream import Answer, NotSent

__all__ = ["HealthChecks"]

CHECK_INTERVAL_SECONDS = 0.1
"""Interval of health requests to a target that is suspected of a restart."""


@attrs.define(eq=False)
class HealthChecks:
    """Finds out whether the target runs, which process it is and whether it is cold."""

    gate: Gate
    records: Records
    announcements: Announcements
    _requested: asyncio.Event = attrs.Factory(asyncio.Event)

    def request(self) -> None:
        """Request a check."""
        self._requested.set()

    def suspect_restart(self) -> None:
        """Request a check because the target may have restarted."""
        self.request()
        self.announcements.refresh()

    async def run(self) -> None:
        """Check the target after each request until it answers."""
        while True:
            await self._requested.wait()
            self._requested.clear()
            while (pause := await self._check()) is not None:
                await asyncio.sleep(pause)
            self.announcements.refresh()

    async def _check(self) -> float | None:
        """Send one health request.

        Returns the pause before the next one in seconds, `None` if no further one is
        needed.
        """
        service = self.records.table.services.get(self.gate.service)
        if service is None:
            return CHECK_INTERVAL_SECONDS
        sent_at = read_monotonic()
        try:
            answer = await request_health(self.gate.pool, service.health_path)
        except NotSent as error:
            self._handle_unreachable(error)
            return CHECK_INTERVAL_SECONDS
        except CactusError:
            return max(CHECK_INTERVAL_SECONDS, self._count_request())
        self._count_request()
        self._read_answer(answer, sent_at)
        return None

    def _count_request(self) -> float:
        """Count a health request against the limit that the target has named.

        Returns the mean time between two requests that the limit allows, in seconds.
        """
        limit = self.gate.notices.rate_limit
        limit.bucket.take(read_monotonic())
        return limit.interval

    def _read_answer(self, answer: Answer, sent_at: float) -> None:
        known = self.announcements.state.name
        if not known:
            # The target has not announced itself yet: there is no name to compare.
            return
        instance = (answer.find(header_names.INSTANCE) or b"").decode("latin-1")
        if instance != known:
            self.announcements.record_crash()
            self.gate.set_close_reason("target-unknown", True)
            log_line("target-replaced", known=known, found=instance)
            return
        self.gate.notices.read_health(answer, sent_at)
        cold_ms = header_names.read_milliseconds(answer.find(header_names.COLD_MS))
        self.gate.set_close_reason("target-down", False)
        self.gate.set_close_reason("target-unknown", False)
        self.announcements.update_cold((cold_ms or 0) / 1000)

    def _handle_unreachable(self, error: NotSent) -> None:
        if self.gate.set_close_reason("target-down", True):
            name = self.announcements.state.name
            log_line("target-down", instance=name, cause=error.message)
        self.announcements.record_crash()
        self.announcements.refresh()
