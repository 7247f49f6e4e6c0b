"""Clients that keep to no rule: many connections that stay open and hold memory.

Each connection sends its bytes and stays open; once the server closes it, it is opened
again. What the server answers is read only if the crowd reads.
"""

import asyncio
import itertools
import socket
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager, suppress

from cactusshed.options import Address

__all__ = ["CROWDS", "SHORT_LINES", "add_key", "make_reads", "open_crowd"]

REOPEN_SECONDS = 0.2
"""Pause before a closed connection is opened again."""
RECEIVE_BYTES = 4096
"""Receive buffer of a connection that reads nothing."""
HEAD_BYTES = 4000
"""Size of the heads without end, below a `max_header_bytes` of 4096."""
LINE_BYTES = 4
"""Bytes that a listener counts for a line besides its name and its value."""
COUNTED_BYTES = 3900
"""Size of the other heads as a listener counts it."""
BODY_BYTES = 65_535
"""Size of the bodies that arrive, one byte less than a `max_body_bytes` of 65536."""
EXTENDED_CHUNKS = 1000
"""Chunks with an extension of one body."""
TINY_CHUNKS = 16_384
"""Chunks of a byte of one body; more take a node seconds to parse."""

_START = (
    b"POST /read/x HTTP/1.1\r\nhost: shop.example\r\n"
    b"x-attempt-id: crowd-@@\r\nx-deadline-ms: 1000\r\n"
)
_CHUNKED = _START + b"transfer-encoding: chunked\r\n\r\n"


def _fill(lines: Iterable[bytes]) -> bytes:
    """Return as many lines as fit into a head without end."""
    return _take(lines, HEAD_BYTES - len(_START), 0)


def _fill_counted(lines: Iterable[bytes]) -> bytes:
    """Return as many lines as fit into a complete head."""
    # Lines of these crowds have a colon and a line end, but no space.
    return _take(lines, COUNTED_BYTES - len(_START), LINE_BYTES - 3)


def _take(lines: Iterable[bytes], size: int, extra: int) -> bytes:
    taken = []
    for line in lines:
        size -= len(line) + extra
        if size < 0:
            break
        taken.append(line)
    return b"".join(taken)


_LETTERS = [bytes((c,)) for c in b"abcdefghijklmnopqrstuvwyz"]
SHORT_LINES = [b"%s%s:%s\r\n" % (a, b, a) for a in _LETTERS for b in _LETTERS] * 2
"""Header lines that cost many times their bytes once they are parsed."""
_EQUAL_LINES = [b"a:\r\n"] * HEAD_BYTES
_ODD_LINES = [
    b"o%d:%s\r\n" % (n, bytes((0x80 + n % 0x7F,)) * (1 + n % 3)) for n in range(800)
]
_FOLDED_LINES = [b"f:a\r\n b\r\n\tc\r\n"] * HEAD_BYTES
_POSTED = b"content-length: 4096\r\n\r\n"

CROWDS = {
    "large-chunks": _CHUNKED + b"10000\r\n" + b"b" * BODY_BYTES,
    "tiny-chunks": _CHUNKED + b"1\r\nb\r\n" * TINY_CHUNKS,
    "length": _START + b"content-length: 65536\r\n\r\n" + b"b" * BODY_BYTES,
    "short-lines": _START + _fill(SHORT_LINES),
    "short-lines-complete": _START + _fill_counted(SHORT_LINES) + _POSTED,
    "equal-lines": _START + _fill(_EQUAL_LINES),
    "equal-lines-complete": _START + _fill_counted(_EQUAL_LINES) + _POSTED,
    "odd-values": _START + _fill(_ODD_LINES),
    "folded-lines": _START + _fill(_FOLDED_LINES),
    "extensions": _CHUNKED + b"1;name=value\r\nb\r\n" * EXTENDED_CHUNKS,
    "trailers": _CHUNKED + b"1\r\nb\r\n0\r\n" + _fill_counted(SHORT_LINES),
    "silent": b"",
}
"""What each connection of a crowd sends; no message is complete."""
ID_PLACE = b"@@"
"""Place of a number in the data that differs on each connection."""
_numbers = itertools.count(1)


def make_reads(path: str, count: int) -> bytes:
    """Return pipelined requests."""
    return b"".join(
        b"GET %s HTTP/1.1\r\nhost: shop.example\r\nx-attempt-id: crowd-@@-%d\r\n"
        b"x-deadline-ms: 20000\r\n\r\n" % (path.encode(), number)
        for number in range(count)
    )


def add_key(data: bytes, key: str) -> bytes:
    """Return the data of a connection with the key of an organisation in each head."""
    host = b"host: shop.example\r\n"
    return data.replace(host, host + b"x-credential: %s\r\n" % key.encode())


async def _stay(address: Address, data, read_size: int) -> None:
    """Send the data; then read so much every second, until the server closes."""
    sock = socket.socket()
    sock.setblocking(False)
    # Otherwise the kernel takes megabytes of an answer that nobody reads.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    try:
        await asyncio.get_running_loop().sock_connect(sock, (address.ip, address.port))
    except BaseException:
        sock.close()
        raise
    reader, writer = await asyncio.open_connection(sock=sock, limit=RECEIVE_BYTES)
    if not read_size:
        # Only the kernel's buffer of the receiver fills up.
        writer.transport.pause_reading()
    try:
        number = next(_numbers)
        if callable(data):
            data = data(number)
        writer.write(data.replace(ID_PLACE, b"%d" % number))
        await writer.drain()
        while True:
            await asyncio.sleep(1.0)
            if read_size and not await reader.read(read_size):
                return
            if writer.transport.is_closing():
                return
    finally:
        writer.transport.abort()


@asynccontextmanager
async def open_crowd(
    address: Address,
    data: bytes | Callable[[int], bytes],
    count: int,
    read_size: int = 1024,
) -> AsyncIterator[None]:
    """Keep `count` connections of uncontrolled clients open while the context is.

    `data` is what each of them sends, or a function of the number of the connection.
    """

    async def repeat() -> None:
        while True:
            with suppress(OSError):
                await _stay(address, data, read_size)
            await asyncio.sleep(REOPEN_SECONDS)

    tasks = [asyncio.create_task(repeat()) for _ in range(count)]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
