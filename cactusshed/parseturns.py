"""Turns in which connections parse what they have received.

A connection may read 11,000 chunks of a byte at a time. What it reads is parsed in
slices; a message that has spent its credit waits for its turn between them,
and its connection reads nothing meanwhile.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from weakref import WeakKeyDictionary

import attrs

from .policy.parsework import SLICE_BYTES, ParseCredit

__all__ = ["PacedReader"]


@attrs.define(eq=False)
class _Turns:
    """Readers that wait; each iteration of the loop serves the first of them."""

    _waiting: deque["PacedReader"] = attrs.Factory(deque)
    _is_scheduled: bool = False

    def add(self, reader: "PacedReader") -> None:
        """Give a reader a turn after those that wait already."""
        self._waiting.append(reader)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._serve_first)

    def _serve_first(self) -> None:
        self._is_scheduled = False
        reader = self._waiting.popleft()
        if self._waiting:
            self._schedule()
        reader.take_turn()


_turns_by_loop: WeakKeyDictionary[asyncio.AbstractEventLoop, _Turns] = (
    WeakKeyDictionary()
)


def _get_turns() -> _Turns:
    return _turns_by_loop.setdefault(asyncio.get_running_loop(), _Turns())


@attrs.define(eq=False)
class PacedReader:
    """What one connection has received and not parsed yet."""

    parse: Callable[[bytes], None]
    """Parses a slice; calls `stop` if nothing may follow it."""
    may_read: Callable[[], bool] = lambda: True
    """Returns whether to resume reading once everything is parsed."""
    transport: asyncio.Transport | None = None
    credit: ParseCredit = attrs.Factory(ParseCredit)
    """Credit of the message that is being parsed."""
    whole_bytes: int = 0
    """Bytes that are the rest of a body of known length: they have no chunks, and are
    parsed at once."""
    _data: bytes = b""
    _offset: int = 0
    is_waiting: bool = False
    """Whether a part of the received bytes is not parsed yet; reading is paused."""
    _is_stopped: bool = False

    def start_message(self) -> None:
        """Give the message that begins a credit of its own."""
        self.credit = ParseCredit()

    def receive(self, data: bytes) -> None:
        """Parse received bytes, now or in turns."""
        if self._is_stopped:
            return
        if self.is_waiting:
            # The protocol resumed reading for a reason of its own.
            self._data = self._data[self._offset :] + data
            self._offset = 0
            self.transport.pause_reading()
            return
        self._data = data
        self._offset = 0
        self._advance()

    def take_turn(self) -> None:
        """Parse a slice, and what else may be parsed without a turn."""
        if self._is_stopped:
            return
        self._parse_slice()
        self.is_waiting = False
        self._advance()
        if not self.is_waiting and (self._is_stopped or self.may_read()):
            self.transport.resume_reading()

    def _advance(self) -> None:
        while self._offset < len(self._data) and not self._is_stopped:
            if self.credit.is_spent:
                self.is_waiting = True
                self.transport.pause_reading()
                _get_turns().add(self)
                return
            self._parse_slice()
        self._data = b""

    def _parse_slice(self) -> None:
        start = self._offset
        size = max(SLICE_BYTES, self.whole_bytes)
        self._offset = start + size
        if not start and len(self._data) <= size:
            self.parse(self._data)
        else:
            self.parse(self._data[start : self._offset])

    def stop(self) -> None:
        """Drop what is not parsed and all that follows."""
        self._is_stopped = True
        self._data = b""
        if self.is_waiting:
            self.is_waiting = False
            self.transport.resume_reading()
