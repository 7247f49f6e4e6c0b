"""HTTP/1.1 listening sockets and the timeouts of their connections."""

import asyncio
from collections.abc import Callable, Iterator

from ..policy.bodybudget import BodyBudget
from .connection import Connection
from .messages import Handler, Request
from .table import Limits

__all__ = ["Listener"]

SWEEP_SECONDS = 0.25
"""Interval between checks for slow and idle connections."""
CONTROL_BODY_BYTES = 1 << 20
"""Bytes of request bodies held by a listener without a budget of its own: targets'
announcements, probes and metrics have small bodies or none."""


class Listener:
    """A listening socket and its connections."""

    def __init__(
        self,
        serve: Handler,
        limits: Callable[[], Limits],
        on_refused: Callable[[int], None],
        is_safe: Callable[[Request], bool] = lambda _request: False,
        body_budget: BodyBudget | None = None,
    ) -> None:
        """Create a listener that is not open yet.

        `on_refused` is called with the status of each refused request. Requests of
        one connection run at the same time if `is_safe` returns true for them.
        """
        self.serve = serve
        self.limits = limits
        self.on_refused = on_refused
        self.is_safe = is_safe
        self.body_budget = body_budget or BodyBudget(CONTROL_BODY_BYTES)
        self.loop = asyncio.get_running_loop()
        self.connections: set[Connection] = set()
        self.is_closing = False
        self._server: asyncio.Server | None = None

    async def open(self, ip: str, port: int, backlog: int = 1024) -> None:
        """Start to listen; raise `OSError`."""
        self._server = await self.loop.create_server(
            lambda: Connection(self), ip, port, backlog=backlog
        )

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
        """Stop accepting connections; open ones stay."""
        if self._server is not None:
            self._server.close()


def _check_timeouts(connection: Connection, now: float, limits: Limits) -> None:
    if connection.is_busy:
        return
    if connection.request_started is not None:
        if now - connection.request_started > limits.header_seconds:
            connection.time_out()
    elif now - connection.idle_since > limits.idle_seconds:
        connection.close_if_idle()
