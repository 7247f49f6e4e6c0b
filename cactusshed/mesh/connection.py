"""Server side of one HTTP/1.1 connection: strict parsing within size limits."""

import asyncio
from typing import TYPE_CHECKING

import httptools

from ..connections.outgoing import Outgoing
from ..observe.lines import log_line
from ..parseturns import PacedReader
from ..policy.bodybudget import RETRY_SECONDS
from ..readbuffer import SharedBufferProtocol
from ..requestparser import RequestParser, inspect_head
from ..sockets import count_unread_bytes
from .messages import Request, Response, make_response
from .pipeline import Pipeline
from .requestmeter import RequestMeter, TooManyBytes
from .responses import encode_head
from .upstream import Headers

if TYPE_CHECKING:
    from .listener import Listener

__all__ = ["Connection"]


class Connection(SharedBufferProtocol):
    """One connection of a client to a listener."""

    def __init__(self, listener: "Listener") -> None:
        """Create a connection that serves requests for `listener`."""
        super().__init__()
        self._listener = listener
        self._parser = RequestParser(
            lambda: httptools.HttpRequestParser(self),
            lambda: (self._url, self._headers),
        )
        self._transport: asyncio.Transport | None = None
        self._reader = PacedReader(self._parse, lambda: not self._is_paused)
        holders = listener.holders
        self._heads, output = holders.budgets.heads, holders.budgets.output
        self.outgoing = Outgoing(output, lambda: holders.relieve_output(self))
        self._pipeline = Pipeline(
            listener.serve,
            listener.is_safe,
            lambda: listener.is_closing,
            self._write,
            self._release,
            self._handle_idle,
            self.outgoing.add_waiting,
            lambda: output.is_short,
        )
        self._meter = RequestMeter(
            listener.limits,
            listener.body_budget,
            self._heads,
            lambda budget, size: holders.make_room(self, budget, size),
        )
        self._is_paused = False
        self._reset()
        self.is_discarding = False
        """Whether all further input is dropped."""
        self.has_served = False
        """Whether a whole request has arrived."""
        self.idle_since = self.last_received = 0.0
        self.request_started: float | None = None

    def _reset(self) -> None:
        self._url = b""
        self._headers: Headers = []
        self._body = bytearray()
        self._counted_bytes = 0
        self._chunk_count = 0
        self._in_body = False
        self._length = self._reader.whole_bytes = 0
        self.read_in_bulk(False)
        self._refusal_status = 0
        self._head_response: Response | None = None
        """Response to a request whose body is not received yet."""

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
        return self.outgoing.count_unsent_bytes()

    @property
    def holds_partial_request(self) -> bool:
        """Return whether memory is held for a request that is partly received."""
        return self.request_started is not None and not self.is_discarding

    def connection_made(self, transport) -> None:
        """Store the transport and register with the listener."""
        self._transport = self._reader.transport = transport
        self.outgoing.transport = transport
        self.idle_since = self.last_received = self._listener.loop.time()
        self._listener.holders.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the requests being served and drop the waiting ones."""
        self._listener.holders.discard(self)
        self._drop_input()
        self._pipeline.cancel()
        self.outgoing.release()

    def _drop_input(self) -> None:
        """Free what is held for a request that is partly received."""
        self.is_discarding = True
        self._reader.stop()
        self._meter.release()
        self._reset()

    def pause_writing(self) -> None:
        """Dispatch no further request while the client does not read."""
        self.outgoing.pause()
        self._pipeline.hold(True)

    def resume_writing(self) -> None:
        """Resume after `pause_writing`."""
        self.outgoing.resume()
        if not self.outgoing.is_paused:
            self._pipeline.hold(False)

    def eof_received(self) -> bool:
        """Close the connection when the client has closed its sending side.

        A client that still waits for answers can't be told from one that has left, and
        work for the latter must end at once.
        """
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received data within the limits."""
        if not self.is_discarding:
            self.last_received = self._listener.loop.time()
            self._reader.receive(data)

    def _parse(self, data: bytes) -> None:
        if self.request_started is None:
            self.request_started = self.last_received
        self._meter.add_received(len(data), in_body=self._in_body)
        try:
            self._parser.feed_data(data)
            self._count_body()
            if self._length:
                self._reader.whole_bytes = self._length - self._counted_bytes
            if self._head_response is not None:
                # The body was not received with the head, and is not waited for.
                self._end_with(self._head_response)
            elif self.request_started is not None:
                self._meter.check(len(self._headers), in_body=self._in_body)
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
        status, size, length, has_body, expects = inspect_head(self._headers)
        self._refusal_status = status
        if status:
            raise ValueError(status)
        self._meter.check_head(len(self._headers), len(self._url) + size)
        if has_body:
            head = Request(self._parser.get_method(), self._url, self._headers)
            self._head_response = self._listener.refuse_head(head)
            if self._head_response is not None:
                return
        if length:
            self._meter.reserve(length)
            self.read_in_bulk(True)
            self._length = length
        if expects:
            self._send_continue()

    def _send_continue(self) -> None:
        # Behind other requests it would precede their answers; the client then sends
        # the body unasked.
        if not self.is_busy:
            self.outgoing.write(b"HTTP/1.1 100 Continue\r\n\r\n", b"")

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
            *self._meter.end_request(),
        )
        keep_alive = self._parser.should_keep_alive()
        response = self._head_response
        self.request_started = None
        self.has_served = True
        self._reset()
        self._pipeline.add(request, keep_alive=keep_alive, response=response)
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
        head = encode_head(response, keep_alive=keep_alive, is_head=is_head)
        self.outgoing.write(head, b"" if is_head else response.body)
        if not keep_alive:
            self._drop_input()
            self.outgoing.end()
        elif self._is_paused and not self._pipeline.is_full:
            self._is_paused = False
            if not self._reader.is_waiting:
                self._transport.resume_reading()

    def _release(self, request: Request) -> None:
        self._listener.body_budget.release(request.reserved_bytes)
        self._heads.release(request.head_cost)

    def _handle_idle(self) -> None:
        self.idle_since = self._listener.loop.time()

    def _refuse(self, status: int) -> None:
        """Refuse unreadable input after the requests before it, and close."""
        path = self._url[:80]
        self._listener.on_refused(status)
        headers = []
        if status == 503:
            log_line("no-memory", path=path)
            headers.append((b"retry-after", b"%.3f" % RETRY_SECONDS))
        self._end_with(make_response(status, headers=headers))

    def _end_with(self, response: Response) -> None:
        """Drop all input, and close after `response` and those before it."""
        self._drop_input()
        self._pipeline.add_refusal(response)

    def time_out(self) -> None:
        """Refuse a request that arrives too slowly."""
        if not self.is_discarding:
            self._refuse(408)

    def refuse_partial(self) -> None:
        """Refuse a request that is partly received, to free its memory."""
        self._refuse(503)

    def abort(self) -> None:
        """Close the connection at once, and free what it holds."""
        self._drop_input()
        self.outgoing.release()
        self._transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being served or can be read.

        After a delay of the process, a request may wait to be read.
        """
        is_unread = not self.is_discarding and count_unread_bytes(self._transport)
        if not self.is_busy and not is_unread:
            self._drop_input()
            self.outgoing.close()

    @property
    def has_pending_input(self) -> bool:
        """Return whether a request is partly read."""
        return self.request_started is not None or self._reader.is_waiting
