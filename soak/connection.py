"""Client connections of the soak: what is written when, and how answers are read."""

import asyncio
import hashlib
import socket
import time
from collections.abc import Awaitable, Callable, Iterable

import attrs
import httptools

from cactusshed.options import Address

from .records import Record

__all__ = ["Connection", "Paced", "compute_digest", "open_connection"]

CONNECT_SECONDS = 1.0
PATIENCE_SECONDS = 1.5
"""Time past the deadline after which a client closes; it exceeds by far what a node may
overrun."""
SLOW_READ_SECONDS = 5.0
"""Further time for clients that read slowly of their own accord."""
READ_BYTES = 65_536
MAX_INTERIM_STATUS = 199
Paced = Callable[[int], Awaitable[None]]
"""Awaited after each read with its size, by clients that read slowly."""


def compute_digest(body: bytes) -> str:
    """Return a short digest of a body."""
    return hashlib.blake2b(body, digest_size=8).hexdigest()


@attrs.define(eq=False)
class _Answers:
    """Callbacks of the parser; fills the records in the order of their requests."""

    records: list[Record]
    count: int = 0
    closes: bool = False
    """Whether an answer announced that the connection closes after it."""
    has_continue: asyncio.Event = attrs.Factory(asyncio.Event)
    """Set once any answer, an interim one too, has begun."""
    parser: httptools.HttpResponseParser = None
    _headers: dict[bytes, bytes] = attrs.Factory(dict)
    _body: bytearray = attrs.Factory(bytearray)

    @property
    def is_complete(self) -> bool:
        return self.count == len(self.records)

    def on_message_begin(self) -> None:
        self._headers, self._body = {}, bytearray()
        if not self.is_complete:
            self.records[self.count].answered = time.monotonic()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        self.has_continue.set()

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if self.is_complete or status <= MAX_INTERIM_STATUS:
            return
        record = self.records[self.count]
        record.status, record.ended = status, time.monotonic()
        record.answer_digest = compute_digest(self._body)
        record.is_sealed = b"x-response-seal" in self._headers
        record.retry_after = float(self._headers.get(b"retry-after", 0))
        self.closes = self.closes or not self.parser.should_keep_alive()
        self.count += 1


@attrs.define(eq=False)
class Connection:
    """A connection of a client to a node."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    idle_since: float = 0.0

    @property
    def is_usable(self) -> bool:
        """Return whether the connection has not been closed, as far as is known."""
        return not (self.reader.at_eof() or self.writer.is_closing())

    def close(self) -> None:
        """Close at once, also with unsent data."""
        self.writer.transport.abort()

    async def exchange(
        self,
        records: list[Record],
        parts: Iterable[bytes | float | None],
        pace: Paced | None = None,
    ) -> None:
        """Write `parts` and read the answers to `records`.

        A number among the parts is a pause in seconds, `None` waits for an interim
        answer for a short time. The answer may begin before all parts are written.
        """
        answers = _Answers(records)
        answers.parser = httptools.HttpResponseParser(answers)
        sending = asyncio.create_task(self._send(records, parts, answers))
        cause = "connection ended"
        patience = PATIENCE_SECONDS + (SLOW_READ_SECONDS if pace else 0.0)
        try:
            async with asyncio.timeout(records[0].deadline + patience):
                while not answers.is_complete:
                    data = await self.reader.read(READ_BYTES)
                    if not data:
                        break
                    answers.parser.feed_data(data)
                    if pace is not None:
                        await pace(len(data))
        except (OSError, TimeoutError, httptools.HttpParserError) as error:
            cause = repr(error)
        finally:
            is_whole = sending.done() and answers.is_complete and not answers.closes
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
            if not is_whole:
                self.close()
            self.idle_since = time.monotonic()
        for record in records[answers.count :]:
            record.cause, record.ended = cause, time.monotonic()
            # What lies behind an answer that closes the connection was not read.
            record.was_sent = record.was_sent and not answers.closes

    async def _send(self, records, parts, answers: _Answers) -> None:
        for part in parts:
            if part is None:
                await asyncio.wait(
                    [asyncio.create_task(answers.has_continue.wait())], timeout=0.3
                )
            elif isinstance(part, float):
                await asyncio.sleep(part)
            else:
                self.writer.write(part)
                await self.writer.drain()
        for record in records:
            record.written = time.monotonic()


async def open_connection(address: Address, receive_bytes: int = 0) -> Connection:
    """Open a connection; raise `OSError` or `TimeoutError`.

    `receive_bytes` limits what the kernel takes for a client that reads slowly.
    """
    sock = socket.socket()
    sock.setblocking(False)
    if receive_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    try:
        async with asyncio.timeout(CONNECT_SECONDS):
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, (address.ip, address.port))
    except BaseException:
        sock.close()
        raise
    streams = await asyncio.open_connection(
        sock=sock, limit=receive_bytes or READ_BYTES
    )
    return Connection(*streams, idle_since=time.monotonic())
