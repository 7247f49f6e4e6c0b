"""Announcements of the local target, and what they make of its gate."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs
import msgspec

from ..clock import read_monotonic
from ..errors import CactusError, Malformed
from ..observe.counters import Counters
from ..observe.lines import log_line
from ..platform import headers as names
from ..platform.instance import (
    BEAT,
    LEAVE,
    Announcement,
    decode_announcement,
    read_born,
    read_call,
)
from .frames import Strike, TargetState
from .gate import Gate
from .messages import Request, Response, make_response
from .records import Records
from .sending import ask_health
from .suspects import Suspects

__all__ = ["Announcements"]

HEALTH_PAUSE_SECONDS = 0.1
"""Time between two health requests to a target whose state is in doubt."""
PERSIST_SECONDS = 0.7
"""Time to record a leave; the acknowledgement is due within a second."""


@attrs.define(eq=False)
class Announcements:
    """The local target as it announced itself."""

    gate: Gate
    records: Records
    suspects: Suspects
    counters: Counters
    persist: Callable[[], Awaitable[None]]
    """Records the target's state where the node's next life finds it."""
    want_row: Callable[[], None]
    """Has the same done soon, without waiting."""
    tell: Callable[[], None]
    """Tells the other nodes of a change."""
    spread: Callable[[list[Strike]], None]
    state: TargetState = attrs.Factory(TargetState)
    _number: int = -1
    _left: dict[str, int] = attrs.Factory(dict)
    """Birth of targets whose leave was acknowledged, also before they were known
    here; 0 if they did not tell it."""
    _doubted: asyncio.Event = attrs.Factory(asyncio.Event)

    # State.

    def set_state(self, **changes) -> None:
        """Change what the other nodes are told of the target."""
        fields = {**msgspec.structs.asdict(self.state), **changes}
        fields["revision"] = self.state.revision + 1
        state = TargetState(**fields)
        if state.is_open != self.state.is_open:
            log_line("target-open", open=state.is_open, instance=state.name)
        self.state = state
        self.tell()

    def refresh(self) -> None:
        """Tell the other nodes if the gate has opened, closed, warmed or cooled."""
        is_open = self.gate.is_open
        is_cold = self.gate.cold.is_cold(read_monotonic())
        if (is_open, is_cold) != (self.state.is_open, self.state.is_cold):
            self.set_state(is_open=is_open, is_cold=is_cold)

    def remember(self, state: TargetState) -> None:
        """Take over what an earlier life of this node had acknowledged."""
        if self.state.name or not state.name:
            return
        has_left = state.has_left or self._has_left(state.name, state.born)
        self.set_state(
            name=state.name,
            version=state.version,
            slots=state.slots,
            born=state.born,
            has_left=has_left,
        )
        self.gate.room.limit = max(1, state.slots)
        self.gate.version = state.version
        self.gate.instance = state.name
        self.gate.set_closure("target-left", has_left)
        log_line("target-remembered", instance=state.name, left=has_left)
        self._doubted.set()

    # Announcements.

    async def serve(self, request: Request) -> Response:
        """Serve one announcement."""
        call, name = read_call(request.path.decode("latin-1"))
        if call == BEAT:
            return await self._take_beat(name, request.body)
        if call == LEAVE:
            return await self._take_leave(name, read_born(request.body))
        return make_response(404)

    async def _take_beat(self, name: str, body: bytes) -> Response:
        try:
            said = decode_announcement(name, body)
        except Malformed as error:
            self.counters.add("announcements_refused")
            log_line("announcement-refused", instance=name, cause=str(error))
            return make_response(400)
        if said.service != self.gate.service:
            self.counters.add("announcements_refused")
            log_line("announcement-refused", instance=name, service=said.service)
            return make_response(400)
        if self._is_old(said):
            self.counters.add("announcements_old")
            log_line("announcement-old", instance=name, number=said.number)
            return make_response(200, b"{}")
        self._number = said.number
        is_new = (said.name, said.born) != (self.state.name, self.state.born)
        if is_new:
            self._take_new(said)
        self._take_cold(said.cold_seconds)
        if said.is_leaving and not self.state.has_left:
            await self._close_for_good("announced")
        self.refresh()
        return make_response(200, b"{}")

    def _is_old(self, said: Announcement) -> bool:
        """Return whether an announcement was overtaken by a later one."""
        if said.born and self.state.born and said.born != self.state.born:
            return said.born < self.state.born
        return said.name == self.state.name and said.number < self._number

    def _take_new(self, said: Announcement) -> None:
        now = read_monotonic()
        has_left = self._has_left(said.name, said.born)
        restarted = bool(self.state.name)
        log_line(
            "target-found",
            instance=said.name,
            version=said.version,
            born=said.born,
            slots=said.slots,
            cold_seconds=said.cold_seconds,
            before=self.state.name,
        )
        if restarted:
            self.spread(self.suspects.condemn(now))
        gate = self.gate
        gate.cold.doubt(now)
        gate.instance = said.name
        gate.version = said.version
        gate.room.limit = said.slots
        self.set_state(
            name=said.name,
            version=said.version,
            slots=said.slots,
            born=said.born,
            has_left=has_left,
        )
        gate.set_closure("target-left", has_left or said.is_leaving)
        if not has_left and not said.is_leaving:
            gate.set_closure("target-unknown", False)
            gate.set_closure("target-down", False)
        self.want_row()

    def _take_cold(self, seconds: float) -> None:
        now = read_monotonic()
        was_cold = self.gate.cold.is_cold(now)
        self.gate.cold.hear(seconds, now)
        if was_cold != self.gate.cold.is_cold(now):
            log_line("target-cold" if seconds else "target-warm", seconds=seconds)
        self.gate.advance()

    def _has_left(self, name: str, born: int) -> bool:
        """Return whether the leave of this life of a target was acknowledged."""
        left = self._left.get(name)
        return left is not None and (not left or born <= left)

    async def _take_leave(self, name: str, born: int) -> Response:
        # A node that has just started may learn only later that this is its own.
        self._left[name] = born
        if not self.state.name:
            self.set_state(name=name)
            self.gate.instance = name
        if name != self.state.name:
            self.counters.add("announcements_old")
            log_line("leave-of-another", instance=name, known=self.state.name)
            return make_response(200, b"{}")
        if not self.state.has_left:
            await self._close_for_good("left")
        return make_response(200, b"{}")

    async def _close_for_good(self, cause: str) -> None:
        """Close the gate, then make that binding, before it is acknowledged."""
        self.gate.set_closure("target-left", True)
        self.set_state(has_left=True, is_open=False)
        started = read_monotonic()
        try:
            async with asyncio.timeout(PERSIST_SECONDS):
                await self.persist()
            persisted = True
        except TimeoutError:
            persisted = False
        log_line(
            "target-left",
            instance=self.state.name,
            cause=cause,
            recorded=persisted,
            after_ms=int((read_monotonic() - started) * 1000),
        )

    # Health.

    def doubt(self) -> None:
        """Ask the target for its state soon."""
        self._doubted.set()
        self.refresh()

    async def ask(self) -> None:
        """Ask a target whose state is in doubt until it answers."""
        while True:
            await self._doubted.wait()
            self._doubted.clear()
            while not await self._ask_once():
                await asyncio.sleep(HEALTH_PAUSE_SECONDS)
            self.refresh()

    async def _ask_once(self) -> bool:
        """Return whether nothing about the target is in doubt any longer."""
        service = self.records.table.services.get(self.gate.service)
        if service is None:
            return False
        try:
            answer = await ask_health(self.gate.pool, service.health_path)
        except CactusError as error:
            if error.code == "not-sent":
                self._note_down(error)
            return False
        instance = (answer.find(names.INSTANCE) or b"").decode("latin-1")
        if not self.state.name:
            # A target that this node has never known has yet to announce itself.
            return True
        if instance != self.state.name:
            self.spread(self.suspects.condemn(read_monotonic()))
            self.gate.set_closure("target-unknown", True)
            log_line("target-replaced", known=self.state.name, found=instance)
            return True
        cold_ms = answer.find(names.COLD_MS) or b"0"
        seconds = int(cold_ms) / 1000 if cold_ms.isdigit() else 0.0
        self.gate.set_closure("target-down", False)
        self.gate.set_closure("target-unknown", False)
        self._take_cold(seconds)
        return True

    def _note_down(self, error: CactusError) -> None:
        if self.gate.set_closure("target-down", True):
            log_line("target-down", instance=self.state.name, cause=error.message)
        self.spread(self.suspects.condemn(read_monotonic()))
        self.refresh()

    async def watch(self) -> None:
        """Tell the other nodes when the target has warmed up."""
        while True:
            await asyncio.sleep(HEALTH_PAUSE_SECONDS)
            self.refresh()
