"""Client connections of the call path, behind httpcore's connection interface.

They parse with httptools, which uvicorn brings already and which costs a
fraction of h11's time; docs/DESIGN.md has the figures.
"""

import asyncio
import ssl
from collections import deque
from collections.abc import AsyncIterator

import anyio
import httpcore
import httptools

from ..options import Address
from .messages import Headers, Reply

__all__ = [
    "HOLD_BYTES",
    "Connection",
    "Request",
    "close_connection",
    "exchange",
    "make_request",
    "open_connection",
]

HOLD_BYTES = 1 << 20
"""An answer up to this size is held until it is whole."""
CONNECT_SECONDS = 1.0
CLOSE_SECONDS = 1.0
MAX_HEAD_BYTES = 64 << 10
FIRST_FINAL_STATUS = 200
Request = httpcore.Request


class _Parsed:
    """What httptools reports of one response."""

    def __init__(self) -> None:
        self.headers: Headers = []
        self.chunks: deque[bytes] = deque()
        self.held = 0
        self.status = 0
        self.has_head = False
        self.is_whole = False
        self.keeps_alive = False
        self.parser = httptools.HttpResponseParser(self)

    def on_message_begin(self) -> None:
        """Start a message; an interim one before it is dropped."""
        self.headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Note the end of the head, unless it is an interim one's."""
        self.status = self.parser.get_status_code()
        self.has_head = self.status >= FIRST_FINAL_STATUS

    def on_body(self, data: bytes) -> None:
        """Keep a part of the body."""
        self.chunks.append(data)
        self.held += len(data)

    def on_message_complete(self) -> None:
        """Note the end of the answer, unless it is an interim one's."""
        self.is_whole = self.has_head
        self.keeps_alive = self.parser.should_keep_alive()


class _Receiver(asyncio.Protocol):
    """Feeds what arrives to the parser of the call that is on its way.

    anyio's streams would pass through the event loop once more for each send
    and receive, which is a fifth of a leg's time.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parsed: _Parsed | None = None
        self.error: Exception | None = None
        self._waiter: asyncio.Future | None = None
        self._is_paused = False
        self._head_bytes = 0

    def connection_made(self, transport) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse what arrived; anything while no call is on its way is an error."""
        parsed = self.parsed
        if parsed is None:
            self._fail(httpcore.RemoteProtocolError("answer to no request"))
            return
        try:
            parsed.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(httpcore.RemoteProtocolError(str(error)))
            return
        if not parsed.has_head:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES:
                self._fail(httpcore.RemoteProtocolError("head is too large"))
        if parsed.held > HOLD_BYTES and not self._is_paused:
            self._is_paused = True
            self.transport.pause_reading()
        self._wake()

    def connection_lost(self, error: Exception | None) -> None:
        """Note the end, also of an answer without a length: it may be cut."""
        cause = f"connection ended: {error}" if error else "connection ended"
        self._fail(httpcore.RemoteProtocolError(cause))

    def _fail(self, error: Exception) -> None:
        self.error = self.error or error
        self.transport.abort()
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def start(self, parsed: _Parsed, data: bytes) -> None:
        """Send a request whose answer goes to `parsed`."""
        self.parsed = parsed
        self._head_bytes = 0
        self.transport.write(data)

    async def wait(self) -> None:
        """Return once something more has arrived; raise when nothing will."""
        if self._is_paused:
            self._is_paused = False
            self.transport.resume_reading()
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            if self.error is None:
                await self._waiter
        finally:
            self._waiter = None


class Connection(httpcore.AsyncConnectionInterface):
    """One HTTP/1.1 connection, used by one call at a time."""

    def __init__(self, address: Address, receiver: _Receiver) -> None:
        """Talk through `receiver`, which is connected to `address`."""
        self._address = address
        self._receiver = receiver
        self._is_idle = True

    async def handle_async_request(self, request: Request) -> httpcore.Response:
        """Send `request` and return the answer once its head is there."""
        if not self._is_idle:
            raise httpcore.ConnectionNotAvailable
        self._is_idle = False
        parsed = _Parsed()
        body = b"".join([part async for part in request.stream])
        self._receiver.start(parsed, _render_head(request) + body)
        while not parsed.has_head:
            await self._wait(parsed.has_head)
        is_head = request.method == b"HEAD"
        body = self._read_body(parsed, is_head)
        return httpcore.Response(parsed.status, headers=parsed.headers, content=body)

    async def _wait(self, is_enough: bool) -> None:
        if self._receiver.error is not None and not is_enough:
            raise self._receiver.error
        await self._receiver.wait()

    async def _read_body(self, parsed: _Parsed, is_head: bool) -> AsyncIterator[bytes]:
        """Yield the body; the connection is free again only after its end."""
        while True:
            while parsed.chunks:
                chunk = parsed.chunks.popleft()
                parsed.held -= len(chunk)
                yield chunk
            if parsed.is_whole or is_head:
                break
            await self._wait(parsed.is_whole)
        if is_head or not parsed.keeps_alive:
            await self.aclose()
            return
        self._receiver.parsed = None
        self._is_idle = True

    async def aclose(self) -> None:
        """Close the connection."""
        self._receiver.transport.abort()

    def info(self) -> str:
        """Return the address and state in words."""
        return f"{self._address}, {'idle' if self._is_idle else 'busy'}"

    def can_handle_request(self, origin: httpcore.Origin) -> bool:
        """Return whether requests to `origin` may go over this connection."""
        return origin.host == self._address.ip.encode()

    def is_available(self) -> bool:
        """Return whether a request may be sent now."""
        return self._is_idle and not self.is_closed()

    def has_expired(self) -> bool:
        """Return whether the other side has closed the connection."""
        return self.is_closed()

    def is_idle(self) -> bool:
        """Return whether no request is on its way."""
        return self._is_idle

    def is_closed(self) -> bool:
        """Return whether the connection is closed."""
        return self._receiver.error is not None or self._receiver.transport.is_closing()


def _render_head(request: Request) -> bytes:
    lines = [request.method + b" " + request.url.target + b" HTTP/1.1"]
    lines.extend(name + b": " + value for name, value in request.headers)
    return b"\r\n".join(lines) + b"\r\n\r\n"


async def open_connection(
    address: Address, context: ssl.SSLContext | None, timeout: float
) -> Connection:
    """Return a new connection to `address`; raise `OSError` or `TimeoutError`."""
    with anyio.fail_after(min(timeout, CONNECT_SECONDS)):
        _, receiver = await asyncio.get_running_loop().create_connection(
            _Receiver,
            address.ip,
            address.port,
            ssl=context,
            server_hostname=address.ip if context else None,
        )
    return Connection(address, receiver)


def make_request(
    address: Address, method: str, path: bytes, headers: Headers, body: bytes
) -> Request:
    """Return a request with its length set, and a host if it names none."""
    url = httpcore.URL(
        scheme=b"http", host=address.ip.encode(), port=address.port, target=path
    )
    headers = [*headers, (b"content-length", str(len(body)).encode())]
    if not any(name == b"host" for name, _ in headers):
        headers.append((b"host", str(address).encode()))
    return Request(method, url, headers=headers, content=body)


async def exchange(connection: Connection, request: Request) -> Reply:
    """Send `request` and return its answer, held whole if it is small."""
    answer = await connection.handle_async_request(request)
    chunks = aiter(answer.stream)
    held = bytearray()
    async for chunk in chunks:
        held += chunk
        if len(held) > HOLD_BYTES:
            return Reply(answer.status, answer.headers, bytes(held), chunks)
    return Reply(answer.status, answer.headers, bytes(held))


async def close_connection(connection: Connection) -> None:
    """Close a connection, also while the current task is being cancelled."""
    with anyio.move_on_after(CLOSE_SECONDS, shield=True):
        await connection.aclose()
