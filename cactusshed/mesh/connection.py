"""Server side of one HTTP/1.1 connection: strict parsing within size limits.

One request is served at a time. Its task is cancelled when the client closes the
connection.
"""

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import httptools

from .messages import Request, Response, make_response
from .upstream import Headers

if TYPE_CHECKING:
    from .listener import Listener

__all__ = ["Connection"]

LINGER_SECONDS = 0.5
"""Time for which data of a refused client is read and dropped before the connection
closes, so that the client can read the refusal."""
MAX_PIPELINED = 8
"""Requests read ahead on one connection before reading pauses."""

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Content Too Large",
    421: "Misdirected Request",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Connection(asyncio.Protocol):
    """One connection of a client to a listener."""

    def __init__(self, listener: "Listener") -> None:
        """Create a connection that serves requests for `listener`."""
        self._listener = listener
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._requests: deque[tuple[Request, bool]] = deque()
        self._task: asyncio.Task | None = None
        self._is_discarding = False
        self._is_paused = False
        self._reset()
        self.head_bytes = 0
        self.idle_since = 0.0
        self.request_started: float | None = None

    def _reset(self) -> None:
        self._url = b""
        self._headers: Headers = []
        self._chunks: list[bytes] = []
        self._size = 0
        self._in_body = False
        self._refusal_status = 0

    @property
    def is_busy(self) -> bool:
        """Return whether a request is being served."""
        return self._task is not None

    @property
    def has_partial_request(self) -> bool:
        """Return whether part of a request has arrived."""
        return self.request_started is not None

    def connection_made(self, transport) -> None:
        """Store the transport and register with the listener."""
        self._transport = transport
        self.idle_since = self._listener.loop.time()
        self._listener.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request being served and drop the queued ones."""
        self._listener.connections.discard(self)
        if self._task is not None:
            self._task.cancel()
        self._requests.clear()

    def eof_received(self) -> bool:
        """Close the connection when the client has closed its sending side."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received data within the limits."""
        if self._is_discarding:
            return
        if self.request_started is None:
            self.request_started = self._listener.loop.time()
        if not self._in_body:
            self.head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError:
            self._refuse(self._refusal_status or 400)
        else:
            limit = self._listener.limits().header_bytes
            if not self._in_body and self.request_started and self.head_bytes > limit:
                self._refuse(431)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._reset()
        self.request_started = self.request_started or self._listener.loop.time()

    def on_url(self, url: bytes) -> None:
        """Store a part of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the head against the limits before the body arrives."""
        self._in_body = True
        limits = self._listener.limits()
        size = len(self._url) + sum(len(k) + len(v) + 4 for k, v in self._headers)
        if size > limits.header_bytes:
            self._reject(431)
        hosts = [value for name, value in self._headers if name == b"host"]
        if len(hosts) > 1:
            self._reject(400)
        for name, value in self._headers:
            if name == b"content-length" and int(value) > limits.body_bytes:
                self._reject(413)
            if name == b"expect" and value.lower() == b"100-continue":
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _reject(self, status: int) -> None:
        self._refusal_status = status
        raise ValueError(status)

    def on_body(self, data: bytes) -> None:
        """Store a chunk of the body; refuse a body that is too large."""
        self._size += len(data)
        if self._size > self._listener.limits().body_bytes:
            self._reject(413)
        self._chunks.append(data)

    def on_message_complete(self) -> None:
        """Queue the complete request; serve it if the connection is idle."""
        request = Request(
            self._parser.get_method(),
            self._url,
            self._headers,
            b"".join(self._chunks),
            self._listener.loop.time(),
        )
        keep_alive = self._parser.should_keep_alive()
        self._requests.append((request, keep_alive))
        self._in_body = False
        self.head_bytes = 0
        self.request_started = None
        self._reset()
        if self._task is None:
            self._serve_next()
        elif len(self._requests) >= MAX_PIPELINED and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()

    def _serve_next(self) -> None:
        if self._is_paused:
            self._is_paused = False
            self._transport.resume_reading()
        request, keep_alive = self._requests.popleft()
        self._task = self._listener.loop.create_task(self._run(request, keep_alive))

    async def _run(self, request: Request, keep_alive: bool) -> None:
        response = await self._listener.serve(request)
        self._task = None
        self.idle_since = self._listener.loop.time()
        keep_alive = keep_alive and not self._listener.is_closing
        self._write(response, keep_alive=keep_alive, is_head=request.method == b"HEAD")
        if not keep_alive:
            self._requests.clear()
            self._shut_down()
        elif self._requests:
            self._serve_next()

    def _write(
        self, response: Response, *, keep_alive: bool, is_head: bool = False
    ) -> None:
        status = response.status
        reason = REASON_PHRASES.get(status, "Status")
        lines = [f"HTTP/1.1 {status} {reason}".encode()]
        lines.extend(name + b": " + value for name, value in response.headers)
        if not (is_head and _has_content_length(response.headers)):
            lines.append(b"content-length: %d" % len(response.body))
        if not keep_alive:
            lines.append(b"connection: close")
        body = b"" if is_head else response.body
        self._transport.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)

    def _refuse(self, status: int) -> None:
        """Refuse unreadable input and close the connection.

        If an answer is in progress, close the connection after it without a refusal.
        """
        self._is_discarding = True
        self._listener.on_refused(status)
        if self._task is not None or self._requests:
            # The answer in progress must be complete before the connection closes.
            self._requests.clear()
            self._listener.loop.call_later(LINGER_SECONDS, self.close_if_idle)
            return
        self._write(make_response(status), keep_alive=False)
        self._shut_down()

    def _shut_down(self) -> None:
        """Close the sending side now, and the connection after `LINGER_SECONDS`."""
        self._is_discarding = True
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._listener.loop.call_later(LINGER_SECONDS, self._transport.close)

    def time_out(self) -> None:
        """Refuse a request that arrives too slowly."""
        if not self._is_discarding:
            self._refuse(408)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being served or queued."""
        if self._task is None and not self._requests:
            self._transport.close()

    @property
    def has_pending_input(self) -> bool:
        """Return whether a request is partly read or queued."""
        return self.request_started is not None or bool(self._requests)


def _has_content_length(headers: Headers) -> bool:
    return any(name == b"content-length" for name, _ in headers)
