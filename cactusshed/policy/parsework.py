"""Parsing of messages that take much work for their size.

Load pattern: a faulty target or client sends a body in chunks of a byte, or a head in
tiny lines, without end and as fast as it is read. Each chunk and each line calls the
handlers of the parser, whatever its size, so a few such messages would hold the loop
that serves all other requests of the process. They wait for turns instead: in each
iteration of the loop, one slice of one of them is parsed. Other messages don't wait.
"""

import attrs

__all__ = [
    "LINE_BYTES",
    "MAX_HEAD_BYTES",
    "MIN_LINE_BYTES",
    "SLICE_BYTES",
    "ParseCredit",
    "get_framing_limit",
]

PARTS_AHEAD = 512
"""Chunks and header lines that a message may have before it waits for turns, besides
those that its body pays for."""
BYTES_PER_PART = 256
"""Bytes of a body that pay for one more chunk."""
SLICE_BYTES = 8 << 10
"""Bytes that are parsed at a time: at most 1366 chunks of a byte."""
MAX_HEAD_BYTES = 64 << 10
"""Maximum size of a head, and of the framing that a message without a body may have."""
LINE_BYTES = 4
"""Bytes of a header line besides its name and its value."""
MIN_LINE_BYTES = 3
"""The same without a space: a head of legal size must pass however it is written."""
FRAMING_FACTOR = 8
"""Bytes of framing allowed per byte of a small body; chunks of one byte have five."""
SMALL_BODY_BYTES = 2 << 20
"""Size up to which a body may come in chunks of a byte."""
LARGE_BODY_FRAMING = 1 / 8
"""Bytes of framing allowed per further byte of body. Each chunk takes processor time,
so a large message may not consist of tiny ones."""


@attrs.define(eq=False)
class ParseCredit:
    """Chunks and lines that a message may still have without waiting for turns."""

    _parts: float = PARTS_AHEAD

    def take(self, parts: int, size: int = 0) -> None:
        """Count lines, or chunks with `size` bytes of the body in all."""
        self._parts = min(PARTS_AHEAD, self._parts + size / BYTES_PER_PART - parts)

    @property
    def is_spent(self) -> bool:
        """Return whether the message waits for turns."""
        return self._parts < 0


def get_framing_limit(body_bytes: int) -> float:
    """Return the bytes of framing allowed for a message with that much of its body."""
    small = min(body_bytes, SMALL_BODY_BYTES)
    large = body_bytes - small
    return MAX_HEAD_BYTES + FRAMING_FACTOR * small + LARGE_BODY_FRAMING * large
