"""Evictions: which clients of a listener are closed when its budgets are spent."""

import asyncio
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

import attrs

from ..policy.bodybudget import BodyBudget
from ..policy.clientmemory import (
    STALLED_SECONDS,
    ClientBudgets,
    count_evicted,
    is_stalled,
    is_stuck,
    list_oldest,
)

if TYPE_CHECKING:
    from ..mesh.connection import Connection

__all__ = ["Holders"]

RESCAN_SECONDS = 0.05
"""Pause after a scan of all connections that found nobody to evict."""


@attrs.define(eq=False)
class Holders:
    """The connections of one listener, as holders of memory and descriptors."""

    budgets: ClientBudgets
    on_evicted: Callable[[str], None]
    """Called with the reason of each eviction: `partial`, `unread` or `excess`."""
    connections: set["Connection"] = attrs.Factory(set)
    _loop: asyncio.AbstractEventLoop = attrs.Factory(asyncio.get_running_loop)
    _scan_after: float = 0.0

    def make_room(self, newest: "Connection", budget: BodyBudget, size: int) -> None:
        """Refuse partial requests without progress until there is room for `size`.

        Clients that don't read their answers follow, with the requests behind them.
        """
        now = self._loop.time()
        if now < self._scan_after or size > budget.limit:
            return
        wanted = budget.limit - size - count_evicted(budget.limit)
        partial = [
            (c.request_started, c)
            for c in self.connections
            if c is not newest
            and c.holds_partial_request
            and is_stalled(now, c.request_started, c.last_received)
        ]
        for connection in list_oldest(partial):
            if budget.used <= wanted:
                return
            self._evict(connection, "partial")
        for connection in list_oldest(self._list_unread(now, newest)):
            if budget.used <= wanted:
                return
            self._evict(connection, "unread")
        if budget.used + size > budget.limit:
            self._scan_after = now + RESCAN_SECONDS

    def _list_unread(
        self, now: float, newest: "Connection | None"
    ) -> Iterator[tuple[float, "Connection"]]:
        for connection in self.connections:
            outgoing = connection.outgoing
            if (
                connection is not newest
                and outgoing.unread_bytes
                and now - outgoing.progressed_at >= STALLED_SECONDS
            ):
                yield outgoing.progressed_at, connection

    def relieve_output(self, newest: "Connection") -> None:
        """Close clients that have not read for the longest time.

        The newest one is kept, so that an answer of any size is sent in calm.
        """
        output = self.budgets.output
        for connection in self.connections:
            # The transport doesn't tell when a short response is sent.
            if connection.outgoing.unread_bytes and connection is not newest:
                connection.outgoing.refresh()
        if not output.is_exceeded:
            return
        holders = [
            (c.outgoing.progressed_at, c.outgoing.held_bytes, c)
            for c in self.connections
            if c is not newest and c.outgoing.unread_bytes
        ]
        for connection in list(output.choose_evicted(holders)):
            self._evict(connection, "unread")

    def add(self, connection: "Connection") -> None:
        """Add an accepted connection; others are closed if there are too many.

        Closed are those that a refusal has ended, then those that have never sent a
        whole request, then idle ones, then those that don't read, each from the
        longest unused one on. If all are in use, the new one is closed.
        """
        self.connections.add(connection)
        self.budgets.connections = len(self.connections)
        limit = self.budgets.max_connections
        if len(self.connections) <= limit:
            return
        now = self._loop.time()
        ranked = [
            ((rank, c.last_received), c)
            for c in self.connections
            if c is not connection and (rank := _rank(c, now)) is not None
        ]
        count = len(self.connections) - limit - 1 + count_evicted(limit)
        evicted = list_oldest(ranked, count) or [connection]
        for other in evicted:
            self._evict(other, "excess")

    def discard(self, connection: "Connection") -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)
        self.budgets.connections = len(self.connections)

    def _evict(self, connection: "Connection", reason: str) -> None:
        self.on_evicted(reason)
        if reason == "partial":
            connection.refuse_partial()
        else:
            self.discard(connection)
            connection.abort()


def _rank(connection: "Connection", now: float) -> int | None:
    """Return how early a connection is evicted, `None` if it is in use."""
    if connection.is_discarding and not connection.is_busy:
        return 0
    if connection.is_busy:
        return None
    if connection.outgoing.unread_bytes:
        return 3 if is_stuck(now, connection.outgoing.progressed_at) else None
    return 2 if connection.has_served else 1
