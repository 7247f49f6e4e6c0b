"""What the kernel tells of a connection's socket."""

import asyncio
import fcntl
import sys
import termios

__all__ = ["count_unsent_bytes"]

_INT_BYTES = 4


def count_unsent_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes written to `transport` that the peer has not acknowledged.

    Where the kernel does not count its part, only that of the transport is included.
    """
    buffered = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return buffered
    try:
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT_BYTES))
    except OSError:
        return buffered
    return buffered + int.from_bytes(queued, sys.byteorder)
