"""HTTP listeners: uvicorn servers that share one process and handle no signals."""

import contextlib
import logging
import socket
from collections.abc import Hashable, Iterator

import anyio
import httptools
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from ..options import Address
from ..requestparser import RequestParser, has_unknown_coding
from ..settings import Settings
from ..sockets import count_unsent_bytes

__all__ = ["Listener", "open_socket"]

BACKLOG = 1024
KEEP_ALIVE_SECONDS = 30
MAX_CONTROL_CONNECTIONS = 200


class _Protocol(HttpToolsProtocol):
    """Ignores offers of another protocol; refuses a body in a coding besides chunks."""

    def __init__(self, *args, **kwargs) -> None:
        """Replace the parser of uvicorn's protocol."""
        super().__init__(*args, **kwargs)
        self.parser = RequestParser(self._make_parser, lambda: (self.url, self.headers))

    def _make_parser(self) -> httptools.HttpRequestParser:
        parser = httptools.HttpRequestParser(self)
        # As uvicorn does: data after the last request is no error of that request.
        parser.set_dangerous_leniencies(lenient_data_after_close=True)
        return parser

    def on_headers_complete(self) -> None:
        """Start the request, unless its head is parsed again."""
        if self.parser.has_offer:
            return
        if has_unknown_coding(self.headers):
            raise ValueError("transfer coding is not supported")
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """End the request, unless it is parsed again."""
        if not self.parser.has_offer:
            super().on_message_complete()


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the process."""

    def capture_signals(self):
        """Install no signal handlers."""
        return contextlib.nullcontext()


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
