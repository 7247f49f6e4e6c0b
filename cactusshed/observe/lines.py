"""Structured log lines on standard output that never block and stay bounded.

Each kind of line has a rate; lines above it are counted and told later. What
standard output does not take at once waits in a bounded buffer, then is dropped
and counted.
"""

import os
import sys
from collections import deque
from typing import Any

import msgspec

from ..clock import read_monotonic, read_wall

__all__ = ["LineLog", "get_log", "log_line", "open_lines"]

LINES_PER_SECOND = 20
"""Lines of one kind: ten kinds at once stay below 200 lines a second."""
BURST = 40
"""Lines of one kind at once."""
MAX_WAITING = 500
"""Lines that wait for a slow reader: two and a half seconds of the most."""


class LineLog:
    """Writes lines to a descriptor that is set not to block."""

    def __init__(self) -> None:
        """Start closed: lines are dropped until `open` is called."""
        self._fd: int | None = None
        self._node = ""
        self._waiting: deque[bytes] = deque()
        self._levels: dict[str, list[float]] = {}
        self.suppressed = 0
        self.dropped = 0

    def open(self, fd: int, node: str) -> None:
        """Write to `fd` and name `node` in every line."""
        os.set_blocking(fd, False)
        self._fd = fd
        self._node = node

    def write(self, kind: str, fields: dict[str, Any]) -> None:
        """Write one line of `kind`, unless its rate is used up."""
        if self._fd is None:
            return
        skipped = self._take(kind)
        if skipped is None:
            self.suppressed += 1
            return
        line = {
            "time": round(read_wall(), 4),
            "mono": round(read_monotonic(), 4),
            "node": self._node,
            "event": kind,
            **fields,
        }
        if skipped:
            line["suppressed"] = skipped
        self._waiting.append(msgspec.json.encode(line, enc_hook=str) + b"\n")
        if len(self._waiting) > MAX_WAITING:
            # The first may have been written in part.
            del self._waiting[1]
            self.dropped += 1
        self.flush()

    def _take(self, kind: str) -> int | None:
        """Return the lines skipped since the last of `kind`; `None` to skip it."""
        now = read_monotonic()
        level = self._levels.setdefault(kind, [float(BURST), now, 0])
        level[0] = min(BURST, level[0] + (now - level[1]) * LINES_PER_SECOND)
        level[1] = now
        if level[0] < 1:
            level[2] += 1
            return None
        level[0] -= 1
        skipped, level[2] = level[2], 0
        return int(skipped)

    def flush(self) -> None:
        """Write what waits as far as the reader takes it."""
        while self._waiting:
            line = self._waiting[0]
            try:
                sent = os.write(self._fd, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody can read any more, and there is nowhere else to say so.
                self._fd = None
                self._waiting.clear()
                return
            if sent < len(line):
                self._waiting[0] = line[sent:]
                return
            self._waiting.popleft()


_log = LineLog()


def open_lines(node: str) -> LineLog:
    """Write log lines to standard output from now on."""
    _log.open(sys.stdout.fileno(), node)
    return _log


def get_log() -> LineLog:
    """Return the log of this process."""
    return _log


def log_line(kind: str, **fields: Any) -> None:
    """Write one line about a decision or a change of belief."""
    for name, value in fields.items():
        if isinstance(value, bytes):
            fields[name] = value.decode("latin-1")
    _log.write(kind, fields)
