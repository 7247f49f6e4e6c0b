"""Client connections of the call path, behind httpcore's connection interface.

They parse with httptools, which uvicorn brings already and which costs a
fraction of h11's time; docs/DESIGN.md has the figures.
"""

import select
import ssl
from collections import deque
from collections.abc import AsyncIterator

import anyio
import anyio.abc
import httpcore
import httptools
from anyio.streams.tls import TLSStream

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
RECEIVE_BYTES = 256 << 10
FIRST_FINAL_STATUS = 200
SWITCHING = 101
Request = httpcore.Request


class _Parsed:
    """What httptools reports of one response."""

    def __init__(self) -> None:
        self.headers: Headers = []
        self.chunks: deque[bytes] = deque()
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
        self.has_head = self.parser.get_status_code() >= FIRST_FINAL_STATUS

    def on_body(self, data: bytes) -> None:
        """Keep a part of the body."""
        self.chunks.append(data)

    def on_message_complete(self) -> None:
        """Note the end of the answer, unless it is an interim one's."""
        self.is_whole = self.has_head
        self.keeps_alive = self.parser.should_keep_alive()


class Connection(httpcore.AsyncConnectionInterface):
    """One HTTP/1.1 connection, used by one call at a time."""

    def __init__(self, address: Address, stream: anyio.abc.ByteStream) -> None:
        """Talk over `stream`, which is connected to `address`."""
        self._address = address
        self._stream = stream
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        self._poll = select.poll()
        self._poll.register(raw.fileno(), select.POLLIN)
        self._is_idle = True
        self._is_closed = False

    async def handle_async_request(self, request: Request) -> httpcore.Response:
        """Send `request` and return the answer once its head is there."""
        if not self._is_idle:
            raise httpcore.ConnectionNotAvailable
        self._is_idle = False
        parsed = _Parsed()
        body = b"".join([part async for part in request.stream])
        await self._stream.send(_render_head(request) + body)
        head_bytes = 0
        while not parsed.has_head:
            head_bytes += await self._feed(parsed)
            if head_bytes > MAX_HEAD_BYTES and not parsed.has_head:
                raise httpcore.RemoteProtocolError("head is too large")
        is_head = request.method == b"HEAD"
        status = parsed.parser.get_status_code()
        body = self._read_body(parsed, is_head)
        return httpcore.Response(status, headers=parsed.headers, content=body)

    async def _feed(self, parsed: _Parsed) -> int:
        try:
            data = await self._stream.receive(RECEIVE_BYTES)
        except anyio.EndOfStream as error:
            # Also the end of an answer without a length, which may be cut short.
            raise httpcore.RemoteProtocolError("connection ended midway") from error
        try:
            parsed.parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise httpcore.RemoteProtocolError(str(error)) from error
        return len(data)

    async def _read_body(self, parsed: _Parsed, is_head: bool) -> AsyncIterator[bytes]:
        """Yield the body; the connection is free again only after its end."""
        while True:
            while parsed.chunks:
                yield parsed.chunks.popleft()
            if parsed.is_whole or is_head:
                break
            await self._feed(parsed)
        if is_head or not parsed.keeps_alive:
            await self.aclose()
        else:
            self._is_idle = True

    async def aclose(self) -> None:
        """Close the connection."""
        if not self._is_closed:
            self._is_closed = True
            await anyio.aclose_forcefully(self._stream)

    def info(self) -> str:
        """Return the address and state in words."""
        return f"{self._address}, {'idle' if self._is_idle else 'busy'}"

    def can_handle_request(self, origin: httpcore.Origin) -> bool:
        """Return whether requests to `origin` may go over this connection."""
        return origin.host == self._address.ip.encode()

    def is_available(self) -> bool:
        """Return whether a request may be sent now."""
        return self._is_idle and not self._is_closed

    def has_expired(self) -> bool:
        """Return whether the other side has closed the connection."""
        return self._is_closed or bool(self._poll.poll(0))

    def is_idle(self) -> bool:
        """Return whether no request is on its way."""
        return self._is_idle

    def is_closed(self) -> bool:
        """Return whether the connection is closed."""
        return self._is_closed


def _render_head(request: Request) -> bytes:
    lines = [request.method + b" " + request.url.target + b" HTTP/1.1"]
    lines.extend(name + b": " + value for name, value in request.headers)
    return b"\r\n".join(lines) + b"\r\n\r\n"


async def open_connection(
    address: Address, context: ssl.SSLContext | None, timeout: float
) -> Connection:
    """Return a new connection to `address`; raise `OSError` or `TimeoutError`."""
    with anyio.fail_after(min(timeout, CONNECT_SECONDS)):
        stream = await anyio.connect_tcp(address.ip, address.port)
        if context is not None:
            stream = await TLSStream.wrap(
                stream, hostname=address.ip, ssl_context=context
            )
    return Connection(address, stream)


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
