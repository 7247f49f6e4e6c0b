"""Structured log lines on standard output that never block the process.

Each event name has a rate limit. Lines above it are dropped and counted; the next
line of the same event reports the count. Lines that standard output cannot take
at once wait in a bounded buffer; when it is full, lines are dropped and counted.
"""

import os
import sys
from collections import deque
from typing import Any

import msgspec

from ..clock import read_monotonic, read_wall

__all__ = ["LineLog", "get_log", "log_line", "open_lines"]

LINES_PER_SECOND = 20
"""Rate limit of each event; ten events at once make at most 200 lines a second."""
BURST = 40
"""Lines of one event that may be written in a burst."""
MAX_BUFFERED_LINES = 500
"""Lines buffered for a slow reader: 2.5 seconds at 200 lines a second."""


class LineLog:
    """Writes log lines to a file descriptor in non-blocking mode."""

    def __init__(self) -> None:
        """Start closed; lines are dropped until `open` is called."""
        self._fd: int | None = None
        self._node = ""
        self._buffer: deque[bytes] = deque()
        self._buckets: dict[str, list[float]] = {}
        self.suppressed = 0
        self.dropped = 0

    def open(self, fd: int, node: str) -> None:
        """Write to `fd` from now on, with `node` in every line."""
        os.set_blocking(fd, False)
        self._fd = fd
        self._node = node

    def write(self, event: str, fields: dict[str, Any]) -> None:
        """Write one line for `event`, unless it exceeds the rate limit."""
        if self._fd is None:
            return
        suppressed_count = self._take_token(event)
        if suppressed_count is None:
            self.suppressed += 1
            return
        line = {
            "time": round(read_wall(), 4),
            "mono": round(read_monotonic(), 4),
            "node": self._node,
            "event": event,
            **fields,
        }
        if suppressed_count:
            line["suppressed"] = suppressed_count
        self._buffer.append(msgspec.json.encode(line, enc_hook=str) + b"\n")
        if len(self._buffer) > MAX_BUFFERED_LINES:
            # Keeps the first line, which may be partly written.
            del self._buffer[1]
            self.dropped += 1
        self.flush()

    def _take_token(self, event: str) -> int | None:
        """Take a token from the bucket of `event`.

        Returns the number of lines suppressed since the last one, or `None` if the
        bucket is empty.
        """
        now = read_monotonic()
        bucket = self._buckets.setdefault(event, [float(BURST), now, 0])
        bucket[0] = min(BURST, bucket[0] + (now - bucket[1]) * LINES_PER_SECOND)
        bucket[1] = now
        if bucket[0] < 1:
            bucket[2] += 1
            return None
        bucket[0] -= 1
        suppressed_count, bucket[2] = bucket[2], 0
        return int(suppressed_count)

    def flush(self) -> None:
        """Write buffered lines until the descriptor would block."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._fd, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and there is no other place to report it.
                self._fd = None
                self._buffer.clear()
                return
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()


_log = LineLog()


def open_lines(node: str) -> LineLog:
    """Open the log of this process on standard output and return it."""
    _log.open(sys.stdout.fileno(), node)
    return _log


def get_log() -> LineLog:
    """Return the log of this process."""
    return _log


def log_line(event: str, **fields: Any) -> None:
    """Write one log line about a decision or a state change."""
    for name, value in fields.items():
        if isinstance(value, bytes):
            fields[name] = value.decode("latin-1")
    _log.write(event, fields)
