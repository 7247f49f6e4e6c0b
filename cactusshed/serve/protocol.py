"""HTTP/1.1 protocol of the listeners: uvicorn's, with bounds on what it holds."""

from collections.abc import Sized

import httptools
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from ..connections.served import ServedHolders
from ..parseturns import PacedReader
from ..policy.parsework import LINE_BYTES, MAX_HEAD_BYTES, get_framing_limit
from ..readbuffer import SharedBufferProtocol
from ..requestparser import RequestParser, has_unknown_coding
from ..sockets import count_unread_bytes
from .asgi import MAX_DISCARDED_BYTES
from .memory import MAX_PIPELINED, ConnectionMemory

__all__ = ["Protocol"]

MIN_IDLE_SECONDS = 0.1
"""Age below which a connection without a request stays open during a stop, as its
first one may be about to arrive."""


class _Flow(FlowControl):
    """Does not resume reading while received bytes or many requests wait."""

    def __init__(self, reader: PacedReader, pipeline: Sized) -> None:
        """Control the transport of `reader`; `pipeline` has the waiting requests."""
        super().__init__(reader.transport)
        self._reader = reader
        self._pipeline = pipeline

    def resume_reading(self) -> None:
        """Resume reading, at once or after the last turn of the reader."""
        if len(self._pipeline) >= MAX_PIPELINED:
            return
        self.read_paused = False
        if not self._reader.is_waiting:
            self._transport.resume_reading()


class Protocol(HttpToolsProtocol, SharedBufferProtocol):
    """Ignores offers of another protocol; refuses a body in a coding besides chunks.

    Heads and framing are bounded, and messages of many parts are parsed in turns.
    """

    def __init__(
        self, holders: ServedHolders, name: str, descriptors: float, *args, **kwargs
    ) -> None:
        """Replace the parser of uvicorn's protocol.

        `name` is that of the listener, which may use a fraction of the `descriptors`.
        """
        super().__init__(*args, **kwargs)
        SharedBufferProtocol.__init__(self)
        self.read_in_bulk(False)
        self._reader = PacedReader(self._parse, lambda: not self.flow.read_paused)
        self._in_body = False
        self._received = 0
        self._body_bytes = 0
        self._charged_bytes = 0
        self._chunk_count = 0
        self._discarded = 0
        self._trailer_bytes = 0
        self._opened_at = 0.0
        self.is_ending = False
        self._memory = ConnectionMemory(holders, self, name, descriptors)
        self.parser = RequestParser(self._make_parser, lambda: (self.url, self.headers))

    def _make_parser(self) -> httptools.HttpRequestParser:
        parser = httptools.HttpRequestParser(self)
        # As uvicorn does: data after the last request is no error of that request.
        parser.set_dangerous_leniencies(lenient_data_after_close=True)
        return parser

    def connection_made(self, transport) -> None:
        """Replace the flow control of uvicorn's protocol."""
        super().connection_made(transport)
        self._reader.transport = transport
        self._opened_at = self.loop.time()
        self.flow = _Flow(self._reader, self.pipeline)
        # uvicorn answers requests with 503 from its limit on.
        self._memory.open(self.limit_concurrency - 1)

    def shutdown(self) -> None:
        """Close the connection once its requests are served.

        After a delay of the process, the first one may wait to be read. On a new
        connection, it may be about to arrive.
        """
        is_idle = self.cycle is None or self.cycle.response_complete
        age = self.loop.time() - self._opened_at
        if is_idle and count_unread_bytes(self.transport):
            self.is_ending = True
        elif self.cycle is None and age < MIN_IDLE_SECONDS:
            self.is_ending = True
            self.loop.call_later(MIN_IDLE_SECONDS, self.shutdown)
        else:
            super().shutdown()

    def connection_lost(self, error: Exception | None) -> None:
        """Drop what is not parsed."""
        self._reader.stop()
        self._memory.close()
        super().connection_lost(error)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes within the limits."""
        self._memory.note_received()
        self._reader.receive(data)

    def _parse(self, data: bytes) -> None:
        self._received += len(data)
        counted_bytes = self._body_bytes
        super().data_received(data)
        size = max(0, self._body_bytes - counted_bytes)
        self._reader.credit.take(self._chunk_count, size)
        self._chunk_count = 0
        if self.transport.is_closing():
            self._reader.stop()
        elif not self._charge():
            self._memory.refuse()
        elif not self._in_body and self._received > MAX_HEAD_BYTES:
            self._refuse("Request head is too large.")
        elif self._in_body and self.cycle.response_complete:
            self._discarded += len(data)
            if self._discarded > MAX_DISCARDED_BYTES:
                self._reader.stop()
                self.transport.close()
        elif self._in_body:
            framing_bytes = self._received - self._body_bytes - len(data)
            if framing_bytes > MAX_HEAD_BYTES + get_framing_limit(self._body_bytes):
                self._refuse("Request has too much framing.")

    def _charge(self) -> bool:
        """Charge a partial request; return False if there is no memory for it."""
        if not self._memory.is_open:
            return True
        if self._in_body:
            size = self._body_bytes - self._charged_bytes
            self._charged_bytes = self._body_bytes
            return self._memory.charge_body(size)
        return self._memory.charge_head(
            len(self.headers), self._received, is_whole=False
        )

    def refuse_for_memory(self, refusal: bytes) -> None:
        """Send a refusal of the request being received, and close the connection."""
        self._reader.stop()
        if not self.transport.is_closing():
            self.transport.write(refusal)
            self.transport.close()

    def send_400_response(self, msg: str) -> None:
        """Refuse unreadable input, unless the request was refused before."""
        if not self.transport.is_closing():
            super().send_400_response(msg)

    def pause_writing(self) -> None:
        """Charge the response that the client does not read."""
        super().pause_writing()
        self._memory.note_paused()

    def resume_writing(self) -> None:
        """Go on with the response."""
        super().resume_writing()
        self._memory.refresh_unread()

    def on_response_complete(self) -> None:
        """Return the memory of the request that was answered."""
        self._memory.release_oldest()
        super().on_response_complete()

    def _refuse(self, cause: str) -> None:
        self._reader.stop()
        self.send_400_response(cause)

    def on_message_begin(self) -> None:
        """Start to count the bytes of a request."""
        super().on_message_begin()
        self._memory.start_request()
        self._reader.start_message()
        self._in_body = False
        self._body_bytes = self._chunk_count = self._charged_bytes = 0
        self._discarded = self._trailer_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; drop a trailer."""
        self._reader.credit.take(1)
        if not self._in_body:
            super().on_header(name, value)
            return
        self._trailer_bytes += len(name) + len(value) + LINE_BYTES
        if self._trailer_bytes > MAX_HEAD_BYTES:
            raise ValueError("trailers are too large")

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        self._chunk_count += 1
        self._body_bytes += len(body)
        super().on_body(body)

    def on_headers_complete(self) -> None:
        """Start the request, unless its head is parsed again."""
        if self.parser.has_offer:
            return
        self._in_body = True
        if has_unknown_coding(self.headers):
            raise ValueError("transfer coding is not supported")
        # A body of known length has no chunks that wait for turns.
        self.read_in_bulk(any(n == b"content-length" for n, _ in self.headers))
        if not self._memory.charge_head(
            len(self.headers), self._received, is_whole=True
        ):
            self._memory.refuse()
            raise ValueError("no memory")
        super().on_headers_complete()
        if self.is_ending:
            self.cycle.keep_alive = False

    def on_message_complete(self) -> None:
        """End the request, unless it is parsed again."""
        if not self.parser.has_offer:
            if not self._charge():
                self._memory.refuse()
                raise ValueError("no memory")
            self._in_body = False
            self.read_in_bulk(False)
            self._received = 0
            self._memory.end_request()
            super().on_message_complete()
