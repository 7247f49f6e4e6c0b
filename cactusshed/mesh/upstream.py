"""HTTP/1.1 client connections, each with one request at a time.

An answer is matched to its request by an id that the server echoes, so that a late
or extra answer never reaches the wrong caller.
"""

import asyncio

import attrs
import httptools

from ..errors import CactusError
from ..options import Address
from ..parseturns import PacedReader
from ..policy.bodybudget import BodyBudget
from ..readbuffer import SharedBufferProtocol
from ..requestparser import has_unknown_coding
from ..sockets import discard_unsent, enable_keepalive
from ..statuscodes import is_final
from .answermeter import MAX_ANSWER_BYTES, AnswerMeter, TooManyBytes

__all__ = [
    "HOP_BY_HOP_HEADERS",
    "Answer",
    "Headers",
    "NotSent",
    "Upstream",
    "UpstreamFailed",
    "open_upstream",
]

Headers = list[tuple[bytes, bytes]]

CONNECT_TIMEOUT_SECONDS = 1.0
"""Timeout for connecting; long enough for one retransmitted SYN on these networks."""
NO_BODY_STATUSES = (204, 304)
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"transfer-encoding",
        b"content-length",
        b"upgrade",
        b"trailer",
        b"te",
    }
)
"""Hop-by-hop headers and `content-length`, which each hop sets for itself."""


class NotSent(CactusError):
    """No byte of the request has been sent."""

    code = "not-sent"
    status = 503


class UpstreamFailed(CactusError):
    """The request was sent, but no complete answer was received."""

    code = "answer-missing"
    status = 502


@attrs.define
class Answer:
    """A complete answer; header names are in lower case."""

    status: int
    headers: Headers
    body: bytes

    def find(self, name: bytes) -> bytes | None:
        """Return the value of the first header `name`, or `None`."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class Upstream(SharedBufferProtocol):
    """One connection; `identity` names the header in which answers echo the id."""

    def __init__(
        self,
        identity: bytes = b"",
        budget: BodyBudget | None = None,
        heads: BodyBudget | None = None,
    ) -> None:
        """Create a protocol that is not connected yet.

        `budget` limits the bodies of all answers that are being received, `heads` their
        long heads.
        """
        super().__init__()
        self._identity = identity
        self._budget = budget or BodyBudget(MAX_ANSWER_BYTES)
        self._heads = heads
        self._meter = AnswerMeter(self._budget, heads)
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._waiter: asyncio.Future | None = None
        self._reader = PacedReader(self._parse)
        self._expected = b""
        self._is_head = self._has_head = self._must_close = False
        self._headers: Headers = []
        self._body = bytearray()
        self._counted_bytes = 0
        self._chunk_count = 0
        self.is_closed = False
        self.idle_since = 0.0
        self.idle_seconds = 0.0
        """Time for which the connection was idle before the present request."""
        self.keep_alive_seconds: float | None = None
        self.on_closed = lambda _upstream: None

    def connection_made(self, transport) -> None:
        """Store the transport and enable TCP keepalive."""
        self._transport = self._reader.transport = transport
        enable_keepalive(transport)
        self.idle_since = asyncio.get_running_loop().time()

    def data_received(self, data: bytes) -> None:
        """Parse received data; close the connection if no request is pending."""
        self._reader.receive(data)

    def _parse(self, data: bytes) -> None:
        if self._waiter is None or self._waiter.done():
            self.abort()
            return
        try:
            self._parser.feed_data(data)
            self._count_body()
            if not self._waiter.done():
                self._meter.add_received(len(data), has_head=self._has_head)
        except TooManyBytes as error:
            self._fail(str(error))
        except httptools.HttpParserError as error:
            self._fail(self._meter.violation or f"malformed answer: {error}")

    def eof_received(self) -> bool:
        """Complete an answer whose body is delimited by the end of the connection."""
        if self._has_head and self._is_close_delimited():
            self._complete(keep_alive=False)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the pending request, if any."""
        self.is_closed = True
        self._fail(f"connection ended: {error or 'closed by peer'}")
        self.on_closed(self)

    def _is_close_delimited(self) -> bool:
        framing = (b"content-length", b"transfer-encoding")
        return not any(name in framing for name, _ in self._headers)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Reset the state for a new answer."""
        if self._waiter is None or self._waiter.done():
            # Its end would be taken for the start of the next answer.
            self._must_close = True
        self._headers = []
        self._body = bytearray()
        self._counted_bytes = 0
        self._has_head = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; drop a trailer."""
        self._reader.credit.take(1)
        self._meter.add_header(name, value)
        if not self._has_head:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Record the end of the head; complete an answer to HEAD, which has no body."""
        self._has_head = is_final(self._parser.get_status_code())
        if not self._has_head:
            self._meter.add_interim()
        elif has_unknown_coding(self._headers):
            raise ValueError("transfer coding is not supported")
        elif self._is_head:
            self._complete(keep_alive=False)

    def on_body(self, data: bytes) -> None:
        """Append a chunk of the body."""
        self._body += data
        self._chunk_count += 1

    def _count_body(self) -> None:
        """Count the chunks that were appended since the last call."""
        if self._chunk_count:
            size = len(self._body) - self._counted_bytes
            self._reader.credit.take(self._chunk_count, size)
            self._meter.add_body(size, self._chunk_count)
            self._counted_bytes += size
            self._chunk_count = 0

    def on_message_complete(self) -> None:
        """Complete the pending request, unless the answer belongs to another one."""
        self._count_body()
        if not self._has_head:
            return
        if self._waiter is None or self._waiter.done():
            self._must_close = True
            return
        if self._is_close_delimited() and not self._is_bodyless():
            return
        self._complete(keep_alive=self._parser.should_keep_alive())

    def _is_bodyless(self) -> bool:
        return self._parser.get_status_code() in NO_BODY_STATUSES

    def _complete(self, *, keep_alive: bool) -> None:
        waiter = self._waiter
        if waiter is None or waiter.done():
            return
        status = self._parser.get_status_code()
        answer = Answer(status, self._headers, bytes(self._body))
        if self._identity:
            echoed = answer.find(self._identity) or b""
            if echoed != self._expected:
                # A late answer to an earlier request; the expected one follows. The
                # answer to a health request, which has no id, names none.
                self._must_close = True
                return
        if not keep_alive or self._transport.get_write_buffer_size():
            self._must_close = True
        self._read_keep_alive(answer)
        waiter.set_result(answer)

    def _read_keep_alive(self, answer: Answer) -> None:
        text = answer.find(b"keep-alive") or b""
        for part in text.split(b","):
            name, _, value = part.strip().partition(b"=")
            if name == b"timeout" and value.isdigit():
                self.keep_alive_seconds = float(value)

    def _fail(self, cause: str) -> None:
        if self._waiter is not None and not self._waiter.done():
            error = UpstreamFailed(cause, step="wait for answer")
            self._waiter.set_exception(error)
        self.abort()

    async def exchange(
        self, data: bytes, expected: bytes = b"", *, is_head: bool = False
    ) -> Answer:
        """Send the bytes of a request and return its answer.

        Raises `NotSent` if the connection is already closed, and `UpstreamFailed` if
        it ends before a complete answer. Cancelling the call closes the connection.
        """
        if self.is_closed or self._transport.is_closing():
            raise NotSent("connection is closed", step="send")
        self._parser = httptools.HttpResponseParser(self)
        self._expected = expected
        self._is_head = is_head
        self._has_head = False
        self._meter = AnswerMeter(self._budget, self._heads)
        self._counted_bytes = self._chunk_count = 0
        self._reader.start_message()
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        self._transport.write(data)
        try:
            answer = await self._waiter
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            self._waiter = None
            self._parser = None
            self._body = bytearray()
            self._meter.release()
            self.idle_since = loop.time()
        if self._must_close or self._reader.is_waiting:
            self.abort()
        return answer

    def is_usable(self) -> bool:
        """Return whether another request can be sent."""
        return not (self.is_closed or self._must_close or self._transport.is_closing())

    def discard_unsent(self, after_seconds: float) -> None:
        """Send nothing once closed, nor if unacknowledged for `after_seconds`."""
        discard_unsent(self._transport, after_seconds)

    def abort(self) -> None:
        """Close the connection immediately."""
        self.is_closed = True
        self._reader.stop()
        if self._transport is not None:
            self._transport.abort()


async def open_upstream(
    address: Address,
    identity: bytes = b"",
    budget: BodyBudget | None = None,
    heads: BodyBudget | None = None,
) -> Upstream:
    """Open a connection; raise `NotSent`."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            _, upstream = await loop.create_connection(
                lambda: Upstream(identity, budget, heads), address.ip, address.port
            )
    except (OSError, TimeoutError) as error:
        cause = str(error) or "timed out"
        raise NotSent(cause, step="connect", peer=str(address)) from error
    return upstream
