"""Buffers into which all connections of an event loop read.

asyncio otherwise allocates 256 KiB for each read and shrinks them to what was received.
The holes that this leaves between what connections hold made the process grow by
several times the bytes held.
"""

import asyncio
from weakref import WeakKeyDictionary

from .policy.parsework import SLICE_BYTES

__all__ = ["SharedBufferProtocol"]

BULK_BYTES = 128 << 10
"""Size of a read of bytes that are never kept for a later turn."""


class _ReadBuffers:
    """The buffers of one loop. Their content is copied before the next read."""

    def __init__(self) -> None:
        """Allocate the buffers."""
        self.bulk = memoryview(bytearray(BULK_BYTES))
        self.slice = self.bulk[:SLICE_BYTES]
        """For messages that may wait for turns: bounds what waits unparsed."""


_buffers_by_loop: WeakKeyDictionary[asyncio.AbstractEventLoop, _ReadBuffers] = (
    WeakKeyDictionary()
)


def _get_read_buffers() -> _ReadBuffers:
    """Return the buffers of the running loop."""
    loop = asyncio.get_running_loop()
    buffers = _buffers_by_loop.get(loop)
    if buffers is None:
        buffers = _buffers_by_loop[loop] = _ReadBuffers()
    return buffers


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """Passes what is read into the buffers of its loop to `data_received`."""

    def __init__(self) -> None:
        """Use the buffers of the running loop."""
        self._buffers = _get_read_buffers()
        self._read_buffer = self._buffers.bulk

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        raise NotImplementedError

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self._read_buffer

    def buffer_updated(self, size: int) -> None:
        """Handle what was read into the buffer."""
        self.data_received(self._read_buffer[:size].tobytes())

    def read_in_bulk(self, is_bulk: bool) -> None:
        """Choose the size of the next reads.

        They are small unless what arrives is parsed at once, whatever it is.
        """
        buffers = self._buffers
        self._read_buffer = buffers.bulk if is_bulk else buffers.slice
