"""Buffers into which all connections of an event loop read.

asyncio otherwise allocates 256 KiB for each read and shrinks them to what was received.
The holes that this leaves between what connections hold made the process grow by
several times the bytes held.
"""

import asyncio
from weakref import WeakKeyDictionary

from .policy.parsework import SLICE_BYTES

__all__ = ["ReadBuffers", "get_read_buffers"]

BULK_BYTES = 64 << 10
"""Size of a read of bytes that are never kept for a later turn."""


class ReadBuffers:
    """The buffers of one loop. Their content is copied before the next read."""

    def __init__(self) -> None:
        """Allocate the buffers."""
        self.bulk = memoryview(bytearray(BULK_BYTES))
        self.slice = self.bulk[:SLICE_BYTES]
        """For messages that may wait for turns: bounds what waits unparsed."""


_buffers_by_loop: WeakKeyDictionary[asyncio.AbstractEventLoop, ReadBuffers] = (
    WeakKeyDictionary()
)


def get_read_buffers() -> ReadBuffers:
    """Return the buffers of the running loop."""
    loop = asyncio.get_running_loop()
    buffers = _buffers_by_loop.get(loop)
    if buffers is None:
        buffers = _buffers_by_loop[loop] = ReadBuffers()
    return buffers
