"""Options of a connection's socket, and what the kernel tells of it."""

import asyncio
import fcntl
import resource
import socket
import sys
import termios

__all__ = ["count_unsent_bytes", "enable_keepalive", "read_descriptor_limit"]

KEEPALIVE_IDLE_SECONDS = 1
"""Idle time before the kernel's first TCP keepalive probe."""
PROBE_COUNT = 2
"""Unanswered probes, one second apart, after which a connection is dead."""
USER_TIMEOUT_MS = 3000
"""Time for which sent bytes may stay unacknowledged: idle time plus probes."""
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


def enable_keepalive(
    transport: asyncio.Transport, idle_seconds: int = KEEPALIVE_IDLE_SECONDS
) -> None:
    """Enable TCP keepalive probes, so that the kernel closes dead connections."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle_seconds)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def read_descriptor_limit() -> int:
    """Return how many descriptors this process may have open."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if limit == resource.RLIM_INFINITY else limit
