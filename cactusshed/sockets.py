"""Options of a connection's socket, and what the kernel tells of it."""

import asyncio
import fcntl
import resource
import socket
import struct
import sys
import termios

__all__ = [
    "OPEN_TURNS",
    "count_unread_bytes",
    "count_unsent_bytes",
    "discard_unsent",
    "enable_keepalive",
    "open_server_socket",
    "read_descriptor_limit",
    "stop_listening",
]

KEEPALIVE_IDLE_SECONDS = 1
"""Idle time before the kernel's first TCP keepalive probe."""
PROBE_COUNT = 2
"""Unanswered probes, one second apart, after which a connection is dead."""
USER_TIMEOUT_MS = 3000
"""Time for which sent bytes may stay unacknowledged: idle time plus probes."""
MAX_QUEUED = 4096
"""Connections taken from one accept queue; the backlogs are shorter."""
OPEN_TURNS = 4
"""Turns of the event loop after which asyncio has opened what it has accepted: one each
for its task, its transport and its protocol, and one more."""
_INT_BYTES = 4


def open_server_socket(ip: str, port: int, backlog: int) -> socket.socket:
    """Return a listening socket; raise `OSError`."""
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    sock = socket.create_server((ip, port), family=family, backlog=backlog)
    # asyncio sets this only on connections of sockets that it has opened itself.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def stop_listening(
    loop: asyncio.AbstractEventLoop, listener: socket.socket
) -> list[socket.socket]:
    """Refuse new connections to a socket of an asyncio server; return those queued.

    The kernel resets the connections of the accept queue when the socket is closed,
    although their clients may have sent whole requests. What is connected between the
    last `accept` and `shutdown` is still reset.

    The server must be closed `OPEN_TURNS` turns later: until then it has connections
    that it has accepted and not opened, and drops them once it is closed.
    """
    loop.remove_reader(listener)
    queued = []
    # Without a bound, clients that connect without end would hold up the caller.
    while len(queued) < MAX_QUEUED:
        try:
            connection, _ = listener.accept()
        except ConnectionAbortedError:
            continue
        except OSError:
            # The queue is empty, or there are no descriptors left.
            break
        connection.setblocking(False)
        queued.append(connection)
    listener.shutdown(socket.SHUT_RD)
    return queued


def count_unsent_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes written to `transport` that the peer has not acknowledged.

    Where the kernel does not count its part, only that of the transport is included.
    """
    return transport.get_write_buffer_size() + _query(transport, termios.TIOCOUTQ)


def count_unread_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes that the kernel has received and `transport` has not read."""
    return _query(transport, termios.FIONREAD)


def _query(transport: asyncio.Transport, request: int) -> int:
    """Return the kernel's answer to an ioctl request; 0 if there is none."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    try:
        answer = fcntl.ioctl(sock.fileno(), request, bytes(_INT_BYTES))
    except OSError:
        return 0
    return int.from_bytes(answer, sys.byteorder)


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


def discard_unsent(transport: asyncio.Transport, after_seconds: float) -> None:
    """Make the kernel drop what it holds when the connection is closed, or is cut.

    By default the kernel goes on sending the data of a closed connection, and delivers
    it when a cut ends, perhaps long after the sender has lost the right to send it.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    milliseconds = max(1, int(after_seconds * 1000))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


def read_descriptor_limit() -> int:
    """Return how many descriptors this process may have open."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if limit == resource.RLIM_INFINITY else limit
