"""HTTP listeners: uvicorn servers that share one process and handle no signals."""

import asyncio
import contextlib
import functools
import logging
import socket
from collections.abc import Hashable, Iterator

import anyio
import uvicorn

from ..connections.served import ServedHolders
from ..options import Address
from ..policy.productmemory import OPERATOR_DESCRIPTORS, make_product_budgets
from ..settings import Settings
from ..sockets import OPEN_TURNS, count_unsent_bytes, stop_listening
from .protocol import Protocol

__all__ = ["Listener", "open_socket"]

BACKLOG = 1024
ACCEPTED_AT_ONCE = 8
"""Connections that are taken from the kernel before any of them can be closed."""
KEEP_ALIVE_SECONDS = 30
MAX_CONTROL_CONNECTIONS = 200
TLS_SECONDS = 0.5
"""Time for the TLS handshake of a connection that was not accepted before a stop; part
of the time that a stop leaves for the last answers."""


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the process."""

    def capture_signals(self):
        """Install no signal handlers."""
        return contextlib.nullcontext()

    async def startup(self, sockets=None) -> None:
        """Start to serve; asyncio has set the kernel's backlog to what it takes."""
        await super().startup(sockets)
        for sock in sockets or ():
            sock.listen(BACKLOG)

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

    def _make_ending_protocol(self) -> Protocol:
        """Return the protocol of a connection that closes after its first response."""
        protocol = self.config.http_protocol_class(
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
        holders: ServedHolders | None = None,
        descriptors: float = OPERATOR_DESCRIPTORS,
    ) -> None:
        """Bind `address` for the ASGI `app`; use the TLS settings of peers if `tls`.

        `holders` are the connections of all listeners of the process, `descriptors` is
        the fraction of the process's descriptors that this one may use.
        """
        holders = holders or ServedHolders(
            make_product_budgets(settings.memory_bytes, settings.max_body)
        )
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
            http=functools.partial(Protocol, holders, str(address), descriptors),
            loop="asyncio",
            ws="none",
            lifespan="off",
            interface="asgi3",
            access_log=False,
            log_config=None,
            proxy_headers=False,
            server_header=False,
            backlog=ACCEPTED_AT_ONCE,
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
