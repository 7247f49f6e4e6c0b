"""HTTP/1.1 client connections that implement httpcore's connection interface.

Responses are parsed with httptools, which uvicorn already depends on and which
takes a fraction of h11's time; docs/DESIGN.md has the figures.
"""

import asyncio
import ssl
from collections.abc import AsyncIterator

import anyio
import httpcore
import httptools

from ..options import Address
from ..parseturns import PacedReader
from ..policy.parsework import MAX_HEAD_BYTES, get_framing_limit
from .messages import Headers, Reply
from .parsedresponse import ParsedResponse

__all__ = [
    "MAX_BUFFERED_BYTES",
    "Connection",
    "Request",
    "close_connection",
    "exchange",
    "make_request",
    "open_connection",
]

MAX_BUFFERED_BYTES = 1 << 20
"""Responses up to this size are buffered whole; larger ones are streamed."""
CONNECT_TIMEOUT_SECONDS = 1.0
CLOSE_SECONDS = 1.0
"""Time limit for closing a connection during cancellation."""
Request = httpcore.Request


class _ClientProtocol(asyncio.Protocol):
    """Feeds received bytes to the parser of the current response.

    This is an asyncio protocol because anyio's streams take one more pass through
    the event loop for each send and receive, a fifth of the time of one hop.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parsed: ParsedResponse | None = None
        self.error: Exception | None = None
        self.reader = PacedReader(self._parse, lambda: not self._is_paused)
        self._waiter: asyncio.Future | None = None
        self._is_paused = False
        self._received = 0

    def connection_made(self, transport) -> None:
        """Store the transport."""
        self.transport = self.reader.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; bytes without a pending request are an error."""
        self.reader.receive(data)

    def _parse(self, data: bytes) -> None:
        parsed = self.parsed
        if parsed is None:
            self._fail(httpcore.RemoteProtocolError("response without a request"))
            return
        try:
            parsed.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(httpcore.RemoteProtocolError(str(error)))
            return
        self._received += len(data)
        if not parsed.has_headers and self._received > MAX_HEAD_BYTES:
            self._fail(httpcore.RemoteProtocolError("response headers too large"))
        framing_bytes = self._received - parsed.body_bytes - len(data)
        if framing_bytes > get_framing_limit(parsed.body_bytes):
            self._fail(httpcore.RemoteProtocolError("response framing too large"))
        if len(parsed.body) > MAX_BUFFERED_BYTES and not self._is_paused:
            self._is_paused = True
            self.transport.pause_reading()
        self._wake()

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the pending response.

        A response without a length fails too, since it may be truncated.
        """
        cause = f"connection closed: {error}" if error else "connection closed"
        self._fail(httpcore.RemoteProtocolError(cause))

    def _fail(self, error: Exception) -> None:
        self.error = self.error or error
        self.reader.stop()
        self.transport.abort()
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def start(self, parsed: ParsedResponse, data: bytes) -> None:
        """Send the encoded request `data`; parse its response into `parsed`."""
        self.parsed = parsed
        self._received = 0
        self.transport.write(data)

    async def wait(self) -> None:
        """Resume reading, and return once bytes arrive or the connection fails."""
        if self._is_paused:
            self._is_paused = False
            if not self.reader.is_waiting:
                self.transport.resume_reading()
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            if self.error is None:
                await self._waiter
        finally:
            self._waiter = None


class Connection(httpcore.AsyncConnectionInterface):
    """One HTTP/1.1 connection, used by one call at a time."""

    def __init__(self, address: Address, protocol: _ClientProtocol) -> None:
        """Use `protocol`, which is connected to `address`."""
        self._address = address
        self._protocol = protocol
        self._is_idle = True

    async def handle_async_request(self, request: Request) -> httpcore.Response:
        """Send `request` and return the response once its headers have arrived."""
        if not self._is_idle:
            raise httpcore.ConnectionNotAvailable
        self._is_idle = False
        self._protocol.reader.start_message()
        parsed = ParsedResponse(self._protocol.reader.credit)
        body = b"".join([part async for part in request.stream])
        self._protocol.start(parsed, _encode_request_head(request) + body)
        while not parsed.has_headers:
            await self._wait(parsed.has_headers)
        is_head_request = request.method == b"HEAD"
        body = self._read_body(parsed, is_head_request)
        return httpcore.Response(parsed.status, headers=parsed.headers, content=body)

    async def _wait(self, is_received: bool) -> None:
        if self._protocol.error is not None and not is_received:
            raise self._protocol.error
        await self._protocol.wait()

    async def _read_body(
        self, parsed: ParsedResponse, is_head_request: bool
    ) -> AsyncIterator[bytes]:
        """Yield the body; the connection becomes idle only at its end."""
        while True:
            if parsed.body:
                received, parsed.body = parsed.body, bytearray()
                yield bytes(received)
                continue
            if parsed.is_complete or is_head_request:
                break
            await self._wait(parsed.is_complete)
        has_more = self._protocol.reader.is_waiting
        if is_head_request or not parsed.keeps_alive or has_more:
            await self.aclose()
            return
        self._protocol.parsed = None
        self._is_idle = True

    async def aclose(self) -> None:
        """Close the connection."""
        self._protocol.transport.abort()

    def info(self) -> str:
        """Return the address and state as text."""
        return f"{self._address}, {'idle' if self._is_idle else 'busy'}"

    def can_handle_request(self, origin: httpcore.Origin) -> bool:
        """Return whether this connection can carry requests to `origin`."""
        return origin.host == self._address.ip.encode()

    def is_available(self) -> bool:
        """Return whether the connection can take a request now."""
        return self._is_idle and not self.is_closed()

    def has_expired(self) -> bool:
        """Return whether the connection is closed and can't be reused."""
        return self.is_closed()

    def is_idle(self) -> bool:
        """Return whether no request is in progress."""
        return self._is_idle

    def is_closed(self) -> bool:
        """Return whether the connection is closed."""
        return self._protocol.error is not None or self._protocol.transport.is_closing()


def _encode_request_head(request: Request) -> bytes:
    lines = [request.method + b" " + request.url.target + b" HTTP/1.1"]
    lines.extend(name + b": " + value for name, value in request.headers)
    return b"\r\n".join(lines) + b"\r\n\r\n"


async def open_connection(
    address: Address, context: ssl.SSLContext | None, timeout: float
) -> Connection:
    """Connect to `address`; raise `OSError` or `TimeoutError` on failure."""
    with anyio.fail_after(min(timeout, CONNECT_TIMEOUT_SECONDS)):
        _, protocol = await asyncio.get_running_loop().create_connection(
            _ClientProtocol,
            address.ip,
            address.port,
            ssl=context,
            server_hostname=address.ip if context else None,
        )
    return Connection(address, protocol)


def make_request(
    address: Address, method: str, path: bytes, headers: Headers, body: bytes
) -> Request:
    """Return a request with `content-length`, and with `host` if it is absent."""
    url = httpcore.URL(
        scheme=b"http", host=address.ip.encode(), port=address.port, target=path
    )
    headers = [*headers, (b"content-length", str(len(body)).encode())]
    if not any(name == b"host" for name, _ in headers):
        headers.append((b"host", str(address).encode()))
    return Request(method, url, headers=headers, content=body)


async def exchange(connection: Connection, request: Request) -> Reply:
    """Send `request` and return its response, buffered whole if it is small."""
    response = await connection.handle_async_request(request)
    chunks = aiter(response.stream)
    body = bytearray()
    async for chunk in chunks:
        body += chunk
        if len(body) > MAX_BUFFERED_BYTES:
            return Reply(response.status, response.headers, bytes(body), chunks)
    return Reply(response.status, response.headers, bytes(body))


async def close_connection(connection: Connection) -> None:
    """Close a connection, even while the current task is being cancelled."""
    with anyio.move_on_after(CLOSE_SECONDS, shield=True):
        await connection.aclose()
