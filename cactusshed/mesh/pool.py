"""Pool of idle connections to one address.

A connection is discarded before the server's keep-alive time ends, so that a request
is not sent on a connection that the server is closing.

While a connection stays open, the process at its other end is the same. Once none is
open, the server may have restarted.
"""

import asyncio
from collections import deque

from ..options import Address
from ..policy.bodybudget import BodyBudget
from ..policy.idlelimit import IdleLimit
from .upstream import Upstream, open_upstream

__all__ = ["ConnectionPool"]

KEEP_ALIVE_FRACTION = 0.7
"""Fraction of the announced keep-alive time for which a connection is reused."""
DEFAULT_KEEP_ALIVE_SECONDS = 4.0
"""Maximum idle time if the server announces none; common servers close after 5 s."""
MAX_FRESH_IDLE_SECONDS = 1.0
"""Idle time above which a request that can't be retried gets a new connection."""
MIN_RESTART_SECONDS = 0.1
"""Shortest time in which a server ends and accepts connections again."""


class ConnectionPool:
    """Idle connections to one address, newest first."""

    def __init__(
        self,
        address: Address,
        identity: bytes,
        budget: BodyBudget | None = None,
        heads: BodyBudget | None = None,
    ) -> None:
        """Create an empty pool.

        `budget` and `heads` limit the answers being received; see `Upstream`.
        """
        self.address = address
        self._budget = budget
        self._heads = heads
        self.opened = 0
        self._identity = identity
        self._idle: deque[Upstream] = deque()
        self.idle_limit = IdleLimit()
        self._open: set[Upstream] = set()
        self._disconnected_at = float("-inf")

    async def acquire(self, *, requires_fresh: bool) -> Upstream:
        """Return a reused or new connection; raise `NotSent`.

        With `requires_fresh`, reuse only a connection that was idle for a short time.
        """
        now = asyncio.get_running_loop().time()
        while self._idle:
            upstream = self._idle.pop()
            if not upstream.is_usable():
                continue
            keep_alive = upstream.keep_alive_seconds
            max_idle = (
                DEFAULT_KEEP_ALIVE_SECONDS
                if keep_alive is None
                else keep_alive * KEEP_ALIVE_FRACTION
            )
            idle = upstream.idle_seconds = now - upstream.idle_since
            if idle > min(max_idle, self.idle_limit.get(now)):
                upstream.abort()
                continue
            if requires_fresh and idle > MAX_FRESH_IDLE_SECONDS:
                self._idle.append(upstream)
                break
            return upstream
        return await self._connect()

    async def _connect(self) -> Upstream:
        self.opened += 1
        upstream = await open_upstream(
            self.address, self._identity, self._budget, self._heads
        )
        if not upstream.is_closed:
            self._open.add(upstream)
            upstream.on_closed = self._note_closed
        return upstream

    def _note_closed(self, upstream: Upstream) -> None:
        self._open.discard(upstream)
        if not self._open:
            # The server has closed the connection if it is still among the idle ones,
            # perhaps long before this process could notice.
            is_by_server = upstream in self._idle
            now = asyncio.get_running_loop().time()
            self._disconnected_at = float("-inf") if is_by_server else now

    def may_have_restarted(self) -> bool:
        """Return whether the server may have restarted since its last connection."""
        if self._open:
            return False
        now = asyncio.get_running_loop().time()
        return now - self._disconnected_at > MIN_RESTART_SECONDS

    def release(self, upstream: Upstream) -> None:
        """Return a connection to the pool if another request can be sent on it."""
        if upstream.is_usable():
            self._idle.append(upstream)

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().abort()
