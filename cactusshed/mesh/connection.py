"""Server side of one HTTP/1.1 connection: strict parsing within size limits."""

import asyncio
import contextlib
from typing import TYPE_CHECKING

import httptools

from ..observe.lines import log_line
from ..parseturns import PacedReader
from ..policy.bodybudget import RETRY_SECONDS
from ..requestparser import RequestParser, has_unknown_coding
from ..sockets import count_unread_bytes, count_unsent_bytes
from .messages import Request, Response, make_response
from .pipeline import Pipeline
from .requestmeter import RequestMeter, TooManyBytes
from .responses import encode_response
from .upstream import Headers

if TYPE_CHECKING:
    from .listener import Listener

__all__ = ["Connection"]

LINGER_SECONDS = 0.5
"""Time for which data of a refused client is read and dropped before the connection
closes, so that the client can read the refusal."""


class Connection(asyncio.Protocol):
    """One connection of a client to a listener."""

    def __init__(self, listener: "Listener") -> None:
        """Create a connection that serves requests for `listener`."""
        self._listener = listener
        self._parser = RequestParser(
            lambda: httptools.HttpRequestParser(self),
            lambda: (self._url, self._headers),
        )
        self._transport: asyncio.Transport | None = None
        self._reader = PacedReader(self._parse, lambda: not self._is_paused)
        self._pipeline = Pipeline(
            listener.serve,
            listener.is_safe,
            lambda: listener.is_closing,
            self._write,
            self._release,
            self._handle_idle,
        )
        self._is_discarding = False
        self._is_paused = False
        self._meter = RequestMeter(listener.limits, listener.body_budget)
        self._reset()
        self.idle_since = 0.0
        self.request_started: float | None = None

    def _reset(self) -> None:
        self._url = b""
        self._headers: Headers = []
        self._body = bytearray()
        self._counted_bytes = 0
        self._chunk_count = 0
        self._in_body = False
        self._refusal_status = 0

    @property
    def is_busy(self) -> bool:
        """Return whether a request is being served or waits for another one."""
        return self._pipeline.is_busy

    @property
    def has_work(self) -> bool:
        """Return whether a request is being served or read.

        Requests that wait for a client that does not read count only once it does.
        """
        return self._pipeline.has_work or self.has_pending_input

    def count_unsent_bytes(self) -> int:
        """Return the bytes of responses that the client has not received."""
        return count_unsent_bytes(self._transport)

    @property
    def has_partial_request(self) -> bool:
        """Return whether part of a request has arrived."""
        return self.request_started is not None

    def connection_made(self, transport) -> None:
        """Store the transport and register with the listener."""
        self._transport = self._reader.transport = transport
        self.idle_since = self._listener.loop.time()
        self._listener.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the requests being served and drop the waiting ones."""
        self._listener.connections.discard(self)
        self._reader.stop()
        self._meter.release()
        self._pipeline.cancel()

    def pause_writing(self) -> None:
        """Dispatch no further request while the client does not read."""
        self._pipeline.hold(True)

    def resume_writing(self) -> None:
        """Resume after `pause_writing`."""
        self._pipeline.hold(False)

    def eof_received(self) -> bool:
        """Close the connection when the client has closed its sending side.

        A client that still waits for answers can't be told from one that has left, and
        work for the latter must end at once.
        """
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received data within the limits."""
        if not self._is_discarding:
            self._reader.receive(data)

    def _parse(self, data: bytes) -> None:
        if self.request_started is None:
            self.request_started = self._listener.loop.time()
        self._meter.add_received(len(data), in_body=self._in_body)
        try:
            self._parser.feed_data(data)
            self._count_body()
            if self.request_started is not None:
                self._meter.check(in_body=self._in_body)
        except (TooManyBytes, httptools.HttpParserError):
            self._refuse(self._meter.refusal_status or self._refusal_status or 400)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._reset()
        self._meter.start_request()
        self._reader.start_message()
        self.request_started = self.request_started or self._listener.loop.time()

    def on_url(self, url: bytes) -> None:
        """Store a part of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers have the same limit and are dropped."""
        self._reader.credit.take(1)
        if self._in_body:
            self._meter.add_trailer(name, value)
        else:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the head against the limits before the body arrives."""
        if self._parser.has_offer:
            return
        self._in_body = True
        if has_unknown_coding(self._headers):
            self._reject(501)
        self._meter.check_head(self._url, self._headers)
        hosts = [value for name, value in self._headers if name == b"host"]
        if len(hosts) > 1:
            self._reject(400)
        for name, value in self._headers:
            if name == b"content-length":
                self._meter.reserve(int(value))
        for name, value in self._headers:
            if name == b"expect" and value.lower() == b"100-continue":
                self._send_continue()

    def _send_continue(self) -> None:
        # Behind other requests it would precede their answers; the client then sends
        # the body unasked.
        if not self.is_busy:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _reject(self, status: int) -> None:
        self._refusal_status = status
        raise ValueError(status)

    def on_body(self, data: bytes) -> None:
        """Append a chunk of the body."""
        self._body += data
        self._chunk_count += 1

    def _count_body(self) -> None:
        """Count the chunks since the last call; refuse a body that is too large."""
        if self._chunk_count:
            size = len(self._body) - self._counted_bytes
            self._reader.credit.take(self._chunk_count, size)
            self._meter.add_body(size)
            self._counted_bytes += size
            self._chunk_count = 0

    def on_message_complete(self) -> None:
        """Hand the complete request to the pipeline."""
        if self._parser.has_offer:
            return
        self._count_body()
        request = Request(
            self._parser.get_method(),
            self._url,
            self._headers,
            bytes(self._body),
            self._listener.loop.time(),
            self.request_started,
            self._meter.end_request(),
        )
        keep_alive = self._parser.should_keep_alive()
        self.request_started = None
        self._reset()
        self._pipeline.add(request, keep_alive=keep_alive)
        if self._pipeline.is_full and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()

    # Callbacks of the pipeline.

    def _write(
        self, request: Request | None, response: Response, keep_alive: bool
    ) -> None:
        if request is not None:
            self._release(request)
        is_head = request is not None and request.method == b"HEAD"
        self._transport.write(
            encode_response(response, keep_alive=keep_alive, is_head=is_head)
        )
        if not keep_alive:
            self._shut_down()
        elif self._is_paused and not self._pipeline.is_full:
            self._is_paused = False
            if not self._reader.is_waiting:
                self._transport.resume_reading()

    def _release(self, request: Request) -> None:
        self._listener.body_budget.release(request.reserved_bytes)

    def _handle_idle(self) -> None:
        self.idle_since = self._listener.loop.time()

    def _refuse(self, status: int) -> None:
        """Refuse unreadable input after the requests before it, and close."""
        self._is_discarding = True
        self._reader.stop()
        self._meter.release()
        self._listener.on_refused(status)
        headers = []
        if status == 503:
            log_line("no-memory", path=self._url[:80])
            headers.append((b"retry-after", b"%.3f" % RETRY_SECONDS))
        self._pipeline.add_refusal(make_response(status, headers=headers))

    def _shut_down(self) -> None:
        """Close the sending side now, and the connection after `LINGER_SECONDS`."""
        self._is_discarding = True
        self._reader.stop()
        self._meter.release()
        if self._transport.can_write_eof() and not self._transport.is_closing():
            # The client may have reset the connection a moment ago.
            with contextlib.suppress(OSError):
                self._transport.write_eof()
        self._listener.loop.call_later(LINGER_SECONDS, self._close_once_received)

    def _close_once_received(self) -> None:
        """Close the connection once the client has received its last response."""
        if self.count_unsent_bytes() and not self._transport.is_closing():
            loop = self._listener.loop
            loop.call_later(LINGER_SECONDS, self._close_once_received)
        else:
            self._transport.close()

    def time_out(self) -> None:
        """Refuse a request that arrives too slowly."""
        if not self._is_discarding:
            self._refuse(408)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being served or can be read.

        After a delay of the process, a request may wait to be read.
        """
        is_unread = not self._is_discarding and count_unread_bytes(self._transport)
        if not self.is_busy and not is_unread:
            self._transport.close()

    @property
    def has_pending_input(self) -> bool:
        """Return whether a request is partly read."""
        return self.request_started is not None or self._reader.is_waiting
