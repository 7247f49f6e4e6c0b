"""Pool of idle connections to one address.

A connection is discarded before the server's keep-alive time ends, so that a request
is not sent on a connection that the server is closing.
"""

import asyncio
from collections import deque

from ..options import Address
from ..policy.bodybudget import BodyBudget
from .upstream import Upstream, open_upstream

__all__ = ["ConnectionPool"]

KEEP_ALIVE_FRACTION = 0.7
"""Fraction of the announced keep-alive time for which a connection is reused."""
DEFAULT_KEEP_ALIVE_SECONDS = 4.0
"""Maximum idle time if the server announces none; common servers close after 5 s."""
MAX_FRESH_IDLE_SECONDS = 1.0
"""Idle time above which a request that can't be retried gets a new connection."""


class ConnectionPool:
    """Idle connections to one address, newest first."""

    def __init__(
        self, address: Address, identity: bytes, budget: BodyBudget | None = None
    ) -> None:
        """Create an empty pool; `budget` limits the answers being received."""
        self.address = address
        self._budget = budget
        self.opened = 0
        self._identity = identity
        self._idle: deque[Upstream] = deque()

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
            idle = now - upstream.idle_since
            if idle > max_idle:
                upstream.abort()
                continue
            if requires_fresh and idle > MAX_FRESH_IDLE_SECONDS:
                self._idle.append(upstream)
                break
            return upstream
        self.opened += 1
        return await open_upstream(self.address, self._identity, self._budget)

    def release(self, upstream: Upstream) -> None:
        """Return a connection to the pool if another request can be sent on it."""
        if upstream.is_usable():
            self._idle.append(upstream)

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().abort()
