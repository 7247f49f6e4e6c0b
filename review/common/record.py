"""Record of what a case sent, what was answered and what ran."""

import time
from pathlib import Path

__all__ = ["Record"]


class Record:
    """Lines of `record.txt`, each with the seconds since the start of the case."""

    def __init__(self, path):
        """Open the record at `path`, replacing an earlier one."""
        self._started = time.monotonic()
        self._path = Path(path)
        self._path.write_text("", encoding="utf-8")

    def write(self, text):
        """Write one line."""
        seconds = time.monotonic() - self._started
        with self._path.open("a", encoding="utf-8") as out:
            out.write(f"{seconds:8.3f} {text}\n")
