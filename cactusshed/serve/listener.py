"""HTTP listeners: uvicorn servers that share one process and handle no signals."""

import asyncio
import contextlib
import logging
import socket
from collections.abc import Hashable, Iterator

import anyio
import httptools
import uvicorn
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from ..options import Address
from ..parseturns import PacedReader
from ..policy.parsework import LINE_BYTES, MAX_HEAD_BYTES, get_framing_limit
from ..readbuffer import SharedBufferProtocol
from ..requestparser import RequestParser, has_unknown_coding
from ..settings import Settings
from ..sockets import (
    OPEN_TURNS,
    count_unread_bytes,
    count_unsent_bytes,
    stop_listening,
)
from .asgi import MAX_DISCARDED_BYTES

__all__ = ["Listener", "open_socket"]

BACKLOG = 1024
KEEP_ALIVE_SECONDS = 30
MAX_CONTROL_CONNECTIONS = 200
MIN_IDLE_SECONDS = 0.1
"""Age below which a connection without a request stays open during a stop, as its
first one may be about to arrive."""
TLS_SECONDS = 0.5
"""Time for the TLS handshake of a connection that was not accepted before a stop; part
of the time that a stop leaves for the last answers."""


class _Flow(FlowControl):
    """Does not resume reading while received bytes are not parsed."""

    def __init__(self, reader: PacedReader) -> None:
        """Control the transport of `reader`."""
        super().__init__(reader.transport)
        self._reader = reader

    def resume_reading(self) -> None:
        """Resume reading, at once or after the last turn of the reader."""
        self.read_paused = False
        if not self._reader.is_waiting:
            self._transport.resume_reading()


class _Protocol(HttpToolsProtocol, SharedBufferProtocol):
    """Ignores offers of another protocol; refuses a body in a coding besides chunks.

    Heads and framing are bounded, and messages of many parts are parsed in turns.
    """

    def __init__(self, *args, **kwargs) -> None:
        """Replace the parser of uvicorn's protocol."""
        super().__init__(*args, **kwargs)
        SharedBufferProtocol.__init__(self)
        self.read_in_bulk(False)
        self._reader = PacedReader(self._parse, lambda: not self.flow.read_paused)
        self._in_body = False
        self._received = 0
        self._body_bytes = 0
        self._chunk_count = 0
        self._discarded = 0
        self._trailer_bytes = 0
        self._opened_at = 0.0
        self.is_ending = False
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
        self.flow = _Flow(self._reader)

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
        super().connection_lost(error)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes within the limits."""
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

    def _refuse(self, cause: str) -> None:
        self._reader.stop()
        self.send_400_response(cause)

    def on_message_begin(self) -> None:
        """Start to count the bytes of a request."""
        super().on_message_begin()
        self._reader.start_message()
        self._in_body = False
        self._body_bytes = self._chunk_count = 0
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
        super().on_headers_complete()
        if self.is_ending:
            self.cycle.keep_alive = False

    def on_message_complete(self) -> None:
        """End the request, unless it is parsed again."""
        if not self.parser.has_offer:
            self._in_body = False
            self.read_in_bulk(False)
            self._received = 0
            super().on_message_complete()


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the process."""

    def capture_signals(self):
        """Install no signal handlers."""
        return contextlib.nullcontext()

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Stop accepting, and end after the running requests.

        The connections that the kernel has accepted are served first: their clients
        can't tell that the process has not.
        """
        loop = asyncio.get_running_loop()
        queued = []
        for listener in sockets:
            queued += stop_listening(loop, listener)
        opened = (
            loop.connect_accepted_socket(
                self._make_ending_protocol,
                sock,
                ssl=self.config.ssl,
                ssl_handshake_timeout=TLS_SECONDS if self.config.ssl else None,
            )
            for sock in queued
        )
        opening = asyncio.gather(*opened, return_exceptions=True)
        for _ in range(OPEN_TURNS):
            # Responses in these turns tell the callers that their connections close.
            for connection in list(self.server_state.connections):
                connection.shutdown()
            await asyncio.sleep(0)
        # A connection that fails has no request.
        await opening
        await super().shutdown(sockets)

    def _make_ending_protocol(self) -> _Protocol:
        """Return the protocol of a connection that closes after its first response."""
        protocol = _Protocol(
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )
        protocol.is_ending = True
        return protocol


def open_socket(address: Address) -> socket.socket:
    """Return a listening socket at `address`."""
    family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
    listener = socket.create_server(
        (address.ip, address.port), family=family, backlog=BACKLOG
    )
    # Accepted sockets inherit TCP_NODELAY. asyncio sets it only on sockets created
    # with an explicit protocol number. Without it, a response in two writes waits
    # for an ACK.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listener


class Listener:
    """One HTTP/1.1 listener of the node."""

    def __init__(
        self,
        app,
        address: Address,
        settings: Settings,
        *,
        connections: int = MAX_CONTROL_CONNECTIONS,
        tls: bool = False,
    ) -> None:
        """Bind `address` for the ASGI `app`; use the TLS settings of peers if `tls`."""
        logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
        self._socket = open_socket(address)
        tls_options = {}
        if tls and settings.tls_key:
            tls_options = {
                "ssl_keyfile": settings.tls_key,
                "ssl_certfile": settings.tls_cert,
                "ssl_ca_certs": settings.tls_ca,
                "ssl_cert_reqs": 2,
            }
        config = uvicorn.Config(
            app,
            http=_Protocol,
            loop="asyncio",
            ws="none",
            lifespan="off",
            interface="asgi3",
            access_log=False,
            log_config=None,
            proxy_headers=False,
            server_header=False,
            date_header=False,
            limit_concurrency=connections,
            timeout_keep_alive=KEEP_ALIVE_SECONDS,
            **tls_options,
        )
        self._server = _Server(config)
        self.ended = anyio.Event()

    async def run(self) -> None:
        """Serve until `stop` is called and the running requests have ended."""
        await self._server.serve(sockets=[self._socket])
        self.ended.set()

    def list_unsent(self) -> Iterator[tuple[Hashable, int]]:
        """Yield each connection, and the bytes that its caller has not received."""
        connections = self._server.server_state.connections
        return ((c, count_unsent_bytes(c.transport)) for c in connections)

    def stop(self) -> None:
        """Stop accepting connections, and end `run` after the running requests."""
        self._server.should_exit = True
