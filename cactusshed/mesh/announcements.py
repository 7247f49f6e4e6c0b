"""Announcements of the local target, applied to its gate."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs
import msgspec

from ..clock import read_monotonic, read_wall
from ..errors import Malformed
from ..observe.counters import Counters
from ..observe.lines import log_line
from ..platform.announcements import (
    HEARTBEAT,
    LEAVE,
    Announcement,
    decode_announcement,
    read_call,
    read_start_time,
)
from .crashes import CrashTracker
from .frames import Strike, TargetState
from .gate import Gate
from .leaves import KnownLeaves
from .messages import Request, Response, make_response

__all__ = ["Announcements"]

REFRESH_INTERVAL_SECONDS = 0.1
"""Interval of checks whether the gate's state changed."""
PERSIST_TIMEOUT_SECONDS = 0.7
"""Timeout for recording a leave; its acknowledgement is due within a second."""


@attrs.define(eq=False)
class Announcements:
    """State of the local target, as it announced it or as health checks found it."""

    gate: Gate
    crash_tracker: CrashTracker
    counters: Counters
    persist: Callable[[], Awaitable[None]]
    """Records the target's state so that the node finds it after a restart."""
    schedule_persist: Callable[[], None]
    """Schedules the recording of the target's state, without waiting for it."""
    publish_state: Callable[[], None]
    """Sends the target's state to the other nodes."""
    send_strikes: Callable[[list[Strike]], None]
    """Sends strikes to the other nodes."""
    request_check: Callable[[], None]
    """Requests a health check of the target."""
    state: TargetState = attrs.Factory(TargetState)
    _last_number: int = -1
    """Number of the last accepted announcement."""
    _leaves: KnownLeaves = attrs.Factory(KnownLeaves)
    _adopted_at: float = float("-inf")
    """Time at which the target was found to be another process than before."""
    _is_leave_recorded: bool = False
    """Whether the leave was recorded before its announcement was acknowledged."""

    # State.

    def set_state(self, **changes) -> None:
        """Change fields of the target's state and send it to the other nodes."""
        fields = {**msgspec.structs.asdict(self.state), **changes}
        fields["revision"] = self.state.revision + 1
        state = TargetState(**fields)
        if state.is_open != self.state.is_open:
            log_line("target-open", open=state.is_open, instance=state.name)
        self.state = state
        self.publish_state()

    def refresh(self) -> None:
        """Publish what other nodes need to know of the gate, if that changed."""
        changes = {
            "is_open": self.gate.is_open,
            "is_cold": self.gate.cold.is_cold(read_monotonic()),
            "rate_limit": self.gate.notices.rate_limit.rate or 0.0,
        }
        if any(getattr(self.state, name) != value for name, value in changes.items()):
            self.set_state(**changes)

    def restore_state(self, state: TargetState) -> None:
        """Restore the state from before this node restarted, unless one is known."""
        if not state.name:
            return
        if self.state.name:
            self._merge_state(state)
            return
        leave_acknowledged = state.leave_acknowledged or self._leaves.has(
            state.name, state.start_time
        )
        self.set_state(
            name=state.name,
            version=state.version,
            slots=state.slots,
            start_time=state.start_time,
            leave_acknowledged=leave_acknowledged,
        )
        self._restore_rate_limit(state.rate_limit)
        self.gate.queue.slots = max(1, state.slots)
        self.gate.version = state.version
        self.gate.instance = state.name
        self.gate.set_close_reason("target-left", leave_acknowledged)
        log_line("target-remembered", instance=state.name, left=leave_acknowledged)
        self.request_check()

    def _merge_state(self, state: TargetState) -> None:
        """Add what another node remembers of the present process of the target.

        Neither the row in the store nor a heartbeat names the limit.
        """
        identity = (self.state.name, self.state.start_time)
        if (state.name, state.start_time) != identity:
            return
        self._restore_rate_limit(state.rate_limit)
        if state.leave_acknowledged:
            self._close_for_leave("remembered")

    def _restore_rate_limit(self, rate: float) -> None:
        self.gate.notices.rate_limit.restore(rate, read_monotonic())
        self.refresh()

    # Announcements.

    async def serve(self, request: Request) -> Response:
        """Serve one heartbeat or leave request of the target."""
        call, name = read_call(request.path.decode("latin-1"))
        if call == HEARTBEAT:
            return await self._handle_heartbeat(name, request.body)
        if call == LEAVE:
            return await self._handle_leave(name, read_start_time(request.body))
        return make_response(404)

    async def _handle_heartbeat(self, name: str, body: bytes) -> Response:
        try:
            announcement = decode_announcement(name, body)
        except Malformed as error:
            self.counters.add("announcements_refused")
            log_line("announcement-refused", instance=name, cause=str(error))
            return make_response(400)
        if announcement.service != self.gate.service:
            self.counters.add("announcements_refused")
            log_line(
                "announcement-refused", instance=name, service=announcement.service
            )
            return make_response(400)
        if self._is_outdated(announcement):
            self.counters.add("announcements_old")
            log_line("announcement-old", instance=name, number=announcement.number)
            return make_response(200, b"{}")
        self._last_number = announcement.number
        is_new = (announcement.name, announcement.start_time) != (
            self.state.name,
            self.state.start_time,
        )
        if is_new:
            self._adopt_target(announcement)
        elif announcement.slots != self.state.slots:
            self._set_slots(announcement.slots)
        self.update_cold(announcement.cold_seconds)
        if announcement.is_leaving:
            await self._record_leave("announced")
        self.refresh()
        return make_response(200, b"{}")

    def _is_outdated(self, announcement: Announcement) -> bool:
        """Return whether a later announcement was already accepted."""
        known_start = self.state.start_time
        if known_start and announcement.start_time != known_start:
            # A start time ahead of this node's clock may be wrong, and outlasts none.
            return announcement.start_time < known_start <= read_wall() * 1000
        return (
            announcement.name == self.state.name
            and announcement.number < self._last_number
        )

    def _adopt_target(self, announcement: Announcement) -> None:
        now = read_monotonic()
        leave_acknowledged = self._leaves.has(
            announcement.name, announcement.start_time
        )
        restarted = bool(self.state.name)
        self._is_leave_recorded = False
        log_line(
            "target-found",
            instance=announcement.name,
            version=announcement.version,
            born=announcement.start_time,
            slots=announcement.slots,
            cold_seconds=announcement.cold_seconds,
            before=self.state.name,
        )
        if restarted:
            self.record_crash()
        gate = self.gate
        gate.cold.suspect_restart(now)
        if restarted:
            gate.notices.rate_limit.reset(now)
            self._adopted_at = now
        gate.instance = announcement.name
        gate.version = announcement.version
        gate.queue.slots = announcement.slots
        gate.exchange.concurrency.reset()
        gate.notices.host_pace.reset()
        self.set_state(
            name=announcement.name,
            version=announcement.version,
            slots=announcement.slots,
            start_time=announcement.start_time,
            leave_acknowledged=leave_acknowledged,
        )
        gate.set_close_reason(
            "target-left", leave_acknowledged or announcement.is_leaving
        )
        if not leave_acknowledged and not announcement.is_leaving:
            gate.set_close_reason("target-unknown", False)
            gate.set_close_reason("target-down", False)
        self.schedule_persist()

    def _set_slots(self, slots: int) -> None:
        """Apply a change of the target's slots while it runs."""
        log_line("target-slots", instance=self.state.name, slots=slots)
        self.gate.queue.slots = slots
        self.set_state(slots=slots)
        self.schedule_persist()
        self.gate.start_waiting()

    def update_cold(self, seconds: float) -> None:
        """Record for how long the target says that it will be cold."""
        now = read_monotonic()
        was_cold = self.gate.cold.is_cold(now)
        self.gate.cold.set_cold_time(seconds, now)
        if was_cold != self.gate.cold.is_cold(now):
            log_line("target-cold" if seconds else "target-warm", seconds=seconds)
        self.gate.start_waiting()

    async def _handle_leave(self, name: str, start_time: int) -> Response:
        # A node that has just started may not know yet that this is its target.
        if not self.state.name:
            self.set_state(name=name)
            self.gate.instance = name
        if not self._leaves.note(name, start_time, self.state):
            self.counters.add("announcements_old")
            log_line("leave-of-another", instance=name, known=self.state.name)
            return make_response(200, b"{}")
        await self._record_leave("left")
        return make_response(200, b"{}")

    async def _record_leave(self, cause: str) -> None:
        """Close the gate and record the leave, before it is acknowledged."""
        if self._is_leave_recorded:
            return
        self._is_leave_recorded = True
        self._close_for_leave(cause)
        started = read_monotonic()
        try:
            async with asyncio.timeout(PERSIST_TIMEOUT_SECONDS):
                await self.persist()
            persisted = True
        except TimeoutError:
            persisted = False
        log_line(
            "leave-recorded",
            instance=self.state.name,
            recorded=persisted,
            after_ms=int((read_monotonic() - started) * 1000),
        )

    def note_leaving(self, sent_at: float) -> None:
        """Close the gate: the answer to a request sent at `sent_at` says so.

        The target may announce its leave later than in its answers, or never.
        """
        if self.state.name and sent_at >= self._adopted_at:
            self._close_for_leave("said-in-answer")

    def _close_for_leave(self, cause: str) -> None:
        """Close the gate for this process of the target for good."""
        if self.state.leave_acknowledged:
            return
        name, start_time = self.state.name, self.state.start_time
        if not self._leaves.has(name, start_time):
            self._leaves.add(name, start_time)
        self.gate.set_close_reason("target-left", True)
        self.set_state(leave_acknowledged=True, is_open=False)
        self.schedule_persist()
        log_line("target-left", instance=name, cause=cause)

    def record_crash(self) -> None:
        """Count the crash of the target against the requests that it was running."""
        self.send_strikes(self.crash_tracker.record_crash(read_monotonic()))

    async def refresh_periodically(self) -> None:
        """Refresh the state periodically: a target becomes warm without an event."""
        while True:
            await asyncio.sleep(REFRESH_INTERVAL_SECONDS)
            self.refresh()
