"""Responses of one connection that its client has not received.

A long response is handed to the transport in pieces, so that it is not copied whole,
and what is unsent is charged to a budget that all connections share.
"""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable

from ..policy.clientmemory import OutputBudget
from ..sockets import count_unsent_bytes

__all__ = ["Outgoing"]

PIECE_BYTES = 128 << 10
"""Bytes given to the transport at a time; shorter responses are written in one go."""
LINGER_SECONDS = 0.5
"""Time for which data of a refused client is read and dropped before the connection
closes, so that the client can read the refusal."""


class Outgoing:
    """Writes responses, and knows since when the client has not read them."""

    def __init__(self, budget: OutputBudget, on_exceeded: Callable[[], None]) -> None:
        """Charge `budget`; call `on_exceeded` when unsent bytes exceed it."""
        self.transport: asyncio.Transport | None = None
        self.progressed_at = 0.0
        """Loop time at which the client last received something, or at which the oldest
        unsent response was written."""
        self.unread_bytes = 0
        """Written bytes that were not sent when they were last counted."""
        self._budget = budget
        self._on_exceeded = on_exceeded
        self._loop = asyncio.get_running_loop()
        self._queue: deque[memoryview] = deque()
        self._offset = 0
        """Bytes of the first response of the queue that the transport has."""
        self._queued_bytes = 0
        self._waiting_bytes = 0
        self.is_paused = False
        self._is_ending = False
        self._is_closing = False

    @property
    def held_bytes(self) -> int:
        """Return the bytes charged to the budget."""
        return self.unread_bytes + self._waiting_bytes

    def count_unsent_bytes(self) -> int:
        """Return the bytes of written responses that the client has not received."""
        return self._queued_bytes - self._offset + count_unsent_bytes(self.transport)

    def add_waiting(self, size: int) -> None:
        """Charge a response that waits for earlier ones; a negative size returns it."""
        self._waiting_bytes += size
        self._charge(size)

    def _charge(self, size: int) -> None:
        self._budget.used += size
        if size > 0 and self._budget.is_exceeded:
            self._on_exceeded()

    def write(self, head: bytes, body: bytes) -> None:
        """Write a response."""
        if not (self._queue or self.is_paused) and len(body) <= PIECE_BYTES:
            self.transport.write(head + body)
        else:
            self._queue.append(memoryview(head))
            self._queue.append(memoryview(body))
            self._queued_bytes += len(head) + len(body)
            self._advance()
        self.refresh()

    def pause(self) -> None:
        """Keep further pieces until `resume`."""
        self.is_paused = True

    def resume(self) -> None:
        """Write the next pieces."""
        self.is_paused = False
        self._advance()
        self.refresh()

    def _advance(self) -> None:
        while self._queue and not self.is_paused:
            data = self._queue[0]
            piece = data[self._offset : self._offset + PIECE_BYTES]
            self._offset += len(piece)
            if self._offset == len(data):
                self._queue.popleft()
                self._queued_bytes -= len(data)
                self._offset = 0
            self.transport.write(piece)
        if not self._queue and self._is_ending:
            self._write_eof()
        if not self._queue and self._is_closing:
            self.transport.close()

    def refresh(self) -> None:
        """Charge what is unread now."""
        unread = self._queued_bytes + self.transport.get_write_buffer_size()
        before = self.unread_bytes
        if unread == before:
            return
        if unread < before or not before:
            self.progressed_at = self._loop.time()
        self.unread_bytes = unread
        self._charge(unread - before)

    def release(self) -> None:
        """Drop everything that is not sent."""
        self._budget.used -= self.held_bytes
        self._queue.clear()
        self._queued_bytes = self._offset = 0
        self.unread_bytes = self._waiting_bytes = 0

    def close(self) -> None:
        """Close the connection after the written responses are sent."""
        self._is_closing = True
        if not self._queue:
            self.transport.close()

    def end(self) -> None:
        """Close the sending side now, and the connection after `LINGER_SECONDS`."""
        self._is_ending = True
        if not self._queue:
            self._write_eof()
        self._loop.call_later(LINGER_SECONDS, self._close_once_received)

    def _write_eof(self) -> None:
        self._is_ending = False
        if self.transport.can_write_eof() and not self.transport.is_closing():
            # The client may have reset the connection a moment ago.
            with contextlib.suppress(OSError):
                self.transport.write_eof()

    def _close_once_received(self) -> None:
        """Close the connection once the client has received its last response."""
        if self.count_unsent_bytes() and not self.transport.is_closing():
            self._loop.call_later(LINGER_SECONDS, self._close_once_received)
        else:
            self.transport.close()
