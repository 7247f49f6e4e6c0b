"""Connections of the listeners of `serve/`, as holders of memory and descriptors."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from ..policy.bodybudget import BodyBudget
from ..policy.clientmemory import (
    count_evicted,
    is_stalled,
    is_stuck,
    list_oldest,
)
from ..policy.productmemory import ProductBudgets

if TYPE_CHECKING:
    from ..serve.memory import ConnectionMemory

__all__ = ["ServedHolders"]

RESCAN_SECONDS = 0.05
"""Pause after a scan of all connections that found nobody to evict."""


@attrs.define(eq=False)
class ServedHolders:
    """The connections of all listeners of one process; they share its memory."""

    budgets: ProductBudgets
    on_evicted: Callable[[str], None] = lambda _reason: None
    """Called with the reason of each eviction: `partial`, `unread` or `excess`."""
    _connections: dict[str, set["ConnectionMemory"]] = attrs.Factory(dict)
    """By the name of the listener."""
    _loop: asyncio.AbstractEventLoop | None = None
    _scan_after: float = 0.0

    def read_time(self) -> float:
        """Return the time of the running loop."""
        if self._loop is None:
            self._loop = asyncio.get_running_loop()
        return self._loop.time()

    def add(self, newest: "ConnectionMemory", limit: int) -> None:
        """Add a connection; unused ones of its listener are closed from `limit` on.

        Closed are those that have never sent a whole request, then idle ones, each from
        the longest unused one on.
        """
        connections = self._connections.setdefault(newest.listener, set())
        connections.add(newest)
        if len(connections) <= limit:
            return
        unused = [
            ((c.has_served, c.last_received), c)
            for c in connections
            if c is not newest and c.is_unused
        ]
        count = len(connections) - limit - 1 + count_evicted(limit)
        for connection in list_oldest(unused, count):
            self._evict(connection, "excess")

    def discard(self, connection: "ConnectionMemory") -> None:
        """Remove a closed connection."""
        self._connections.get(connection.listener, set()).discard(connection)

    def _list_connections(self) -> list["ConnectionMemory"]:
        return [c for found in self._connections.values() for c in found]

    def reserve(
        self, newest: "ConnectionMemory", budget: BodyBudget, size: int
    ) -> bool:
        """Reserve memory, for which partial requests without progress are refused."""
        if budget.reserve(size):
            return True
        now = self.read_time()
        if now < self._scan_after or size > budget.limit:
            return False
        wanted = min(budget.limit, size + count_evicted(budget.limit))
        partial = [
            (c.started, c)
            for c in self._list_connections()
            if c is not newest
            and c.can_refuse
            and is_stalled(now, c.started, c.last_received)
        ]
        for connection in list_oldest(partial):
            if budget.has_room(wanted):
                break
            self.on_evicted("partial")
            connection.refuse()
        if not budget.has_room(size):
            self._scan_after = now + RESCAN_SECONDS
        return budget.reserve(size)

    def relieve_output(self, newest: "ConnectionMemory") -> None:
        """Close clients that have not read their responses for the longest time."""
        output = self.budgets.output
        now = self.read_time()
        unread = [c for c in self._list_connections() if c.unread_bytes]
        for connection in unread:
            connection.refresh_unread()
        stuck = [
            (c.progressed_at, c.unread_bytes, c)
            for c in unread
            if c is not newest and c.unread_bytes and is_stuck(now, c.progressed_at)
        ]
        for connection in list(output.choose_evicted(stuck)):
            self._evict(connection, "unread")

    def _evict(self, connection: "ConnectionMemory", reason: str) -> None:
        self.on_evicted(reason)
        self.discard(connection)
        connection.abort()
