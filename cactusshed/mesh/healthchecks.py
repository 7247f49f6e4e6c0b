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
            while not await self._check():
                await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self.announcements.refresh()

    async def _check(self) -> bool:
        """Send one health request; return whether no further one is needed."""
        service = self.records.table.services.get(self.gate.service)
        if service is None:
            return False
        sent_at = read_monotonic()
        try:
            answer = await request_health(self.gate.pool, service.health_path)
        except CactusError as error:
            if error.code == "not-sent":
                self._handle_unreachable(error)
            return False
        known = self.announcements.state.name
        if not known:
            # The target has not announced itself yet: there is no name to compare.
            return True
        instance = (answer.find(header_names.INSTANCE) or b"").decode("latin-1")
        if instance != known:
            self.announcements.record_crash()
            self.gate.set_close_reason("target-unknown", True)
            log_line("target-replaced", known=known, found=instance)
            return True
        self.gate.notices.read_health(answer, sent_at)
        cold_ms = answer.find(header_names.COLD_MS) or b"0"
        seconds = int(cold_ms) / 1000 if cold_ms.isdigit() else 0.0
        self.gate.set_close_reason("target-down", False)
        self.gate.set_close_reason("target-unknown", False)
        self.announcements.update_cold(seconds)
        return True

    def _handle_unreachable(self, error: CactusError) -> None:
        if self.gate.set_close_reason("target-down", True):
            name = self.announcements.state.name
            log_line("target-down", instance=name, cause=error.message)
        self.announcements.record_crash()
        self.announcements.refresh()
