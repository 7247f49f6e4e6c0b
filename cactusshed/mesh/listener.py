"""HTTP/1.1 listening sockets and the timeouts of their connections."""

import asyncio
import socket
from collections.abc import Callable, Iterator

from ..connections.holders import Holders
from ..policy.bodybudget import BodyBudget
from ..policy.clientmemory import ClientBudgets, make_caller_budgets
from ..sockets import OPEN_TURNS, open_server_socket, stop_listening
from .connection import Connection
from .messages import Handler, Request, Response
from .table import Limits

__all__ = ["Listener"]

SWEEP_SECONDS = 0.25
"""Interval between checks for slow and idle connections."""
CONTROL_BODY_BYTES = 1 << 20
"""Bytes of request bodies held by a listener without a budget of its own: targets'
announcements, probes and metrics have small bodies or none."""

BACKLOG = 1024
"""Connections that the kernel accepts for the listener."""
ACCEPTED_AT_ONCE = 8
"""Connections that asyncio takes from the kernel in one iteration of the loop, before
any of them can be closed. It takes as many as the backlog that it is told of."""
DEFAULT_MEMORY, DEFAULT_DESCRIPTORS = 1 << 30, 1 << 20
"""Memory and descriptors that bound a listener without budgets of its own: such a one
is part of no node."""


class Listener:
    """A listening socket and its connections."""

    def __init__(
        self,
        serve: Handler,
        limits: Callable[[], Limits],
        on_refused: Callable[[int], None],
        is_safe: Callable[[Request], bool] = lambda _request: False,
        body_budget: BodyBudget | None = None,
        budgets: ClientBudgets | None = None,
        on_evicted: Callable[[str], None] = lambda _reason: None,
        refuse_head: Callable[[Request], Response | None] = lambda _head: None,
    ) -> None:
        """Create a listener that is not open yet.

        `on_refused` is called with the status of each refused request. Requests of
        one connection run at the same time if `is_safe` returns true for them.
        `on_evicted` is called with the reason for each client that is evicted.
        `refuse_head` is called with each request that has a body, before the body; it
        returns the response if there is one already.
        """
        self.serve = serve
        self.limits = limits
        self.on_refused = on_refused
        self.is_safe = is_safe
        self.refuse_head = refuse_head
        self.body_budget = body_budget or BodyBudget(CONTROL_BODY_BYTES)
        self.loop = asyncio.get_running_loop()
        budgets = budgets or make_caller_budgets(DEFAULT_MEMORY, DEFAULT_DESCRIPTORS)
        self.holders = Holders(budgets, on_evicted)
        self.connections: set[Connection] = self.holders.connections
        self.is_closing = False
        self._server: asyncio.Server | None = None
        self._socket: socket.socket | None = None
        self._closing: asyncio.Task | None = None

    async def open(self, ip: str, port: int, backlog: int = BACKLOG) -> None:
        """Start to listen; raise `OSError`."""
        sock = open_server_socket(ip, port, backlog)
        try:
            self._server = await self.loop.create_server(
                lambda: Connection(self), sock=sock, backlog=ACCEPTED_AT_ONCE
            )
        except BaseException:
            sock.close()
            raise
        # asyncio has set the kernel's backlog to what it takes at once.
        sock.listen(backlog)
        self._socket = sock

    async def sweep(self) -> None:
        """Time out slow requests and close idle connections until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            now = self.loop.time()
            limits = self.limits()
            for connection in list(self.connections):
                _check_timeouts(connection, now, limits)

    def close_idle(self, min_idle: float = 0.0) -> None:
        """Close the connections that have been idle for at least `min_idle` seconds.

        A connection is not idle while its client still receives a response.
        """
        now = self.loop.time()
        for connection in list(self.connections):
            if connection.is_busy or connection.has_pending_input:
                continue
            if connection.count_unsent_bytes():
                continue
            if now - connection.idle_since >= min_idle:
                connection.close_if_idle()

    def count_busy(self) -> int:
        """Return the number of connections with a request being served or read."""
        return sum(connection.has_work for connection in self.connections)

    def list_unsent(self) -> Iterator[tuple[Connection, int]]:
        """Yield each connection, and the bytes that its client has not received."""
        return ((c, c.count_unsent_bytes()) for c in self.connections)

    def stop(self) -> None:
        """Stop accepting connections; open ones stay.

        Those that the kernel has accepted are open: their clients can't tell.
        """
        if self._server is not None and self._closing is None:
            queued = stop_listening(self.loop, self._socket)
            self._closing = self.loop.create_task(self._close(queued))

    async def _close(self, queued: list[socket.socket]) -> None:
        """Open the last connections, then close the server."""
        opened = (
            self.loop.connect_accepted_socket(lambda: Connection(self), sock)
            for sock in queued
        )
        try:
            # A connection that fails has no request.
            await asyncio.gather(*opened, return_exceptions=True)
            for _ in range(OPEN_TURNS):
                await asyncio.sleep(0)
        finally:
            self._server.close()


def _check_timeouts(connection: Connection, now: float, limits: Limits) -> None:
    if connection.outgoing.unread_bytes:
        connection.outgoing.refresh()
    if connection.is_busy:
        return
    if connection.request_started is not None:
        if now - connection.request_started > limits.header_seconds:
            connection.time_out()
    elif now - connection.idle_since > limits.idle_seconds:
        connection.close_if_idle()
