"""Connection pools: the open connections of this node to one address."""

import asyncio
import contextlib
import ssl
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator

import anyio
import attrs
import httpcore

from ..clock import read_monotonic
from ..errors import CactusError
from ..observe.counters import Counters
from ..options import Address
from .connection import (
    Request,
    close_connection,
    exchange,
    open_connection,
)
from .messages import Reply

__all__ = ["AnswerMissing", "ConnectionPool", "NotSent"]

IDLE_SECONDS = 4.0
"""Idle connections are closed after this time, before middleboxes drop them."""
RECENT_SECONDS = 1.0
"""A connection that responded within this time may carry non-idempotent calls."""
_CONNECT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout, OSError)
_LOST_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.ConnectionNotAvailable,
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class NotSent(CactusError):
    """No connection could be opened, so nothing was sent."""

    code = "connect-failed"
    status = 503


class AnswerMissing(CactusError):
    """The request was sent at least in part, but no complete response arrived."""

    code = "answer-missing"
    status = 502

    def __init__(self, message: str, *, peer: str, timed_out: bool) -> None:
        """Record the cause: a timeout, or else a broken connection."""
        super().__init__(message, step="exchange", peer=peer)
        self.timed_out = timed_out


@attrs.define(eq=False)
class PooledConnection:
    """A connection, and when it was opened and last responded (monotonic seconds)."""

    connection: httpcore.AsyncConnectionInterface
    opened: float
    last_response_at: float


class ConnectionPool:
    """Connections to `address`, each used by one call at a time."""

    def __init__(
        self,
        address: Address,
        counters: Counters,
        context: ssl.SSLContext | None = None,
    ) -> None:
        """Create a pool for `address`; connections use TLS if `context` is given."""
        self.address = address
        self._counters = counters
        self._context = context
        self._idle: list[PooledConnection] = []
        self._discard_opened_until = 0.0
        self._last_used = read_monotonic()

    def is_idle(self, now: float, seconds: float) -> bool:
        """Return whether no connection is idle and no call was sent for `seconds`."""
        return not self._idle and now - self._last_used > seconds

    async def aclose(self) -> None:
        """Close every idle connection."""
        while self._idle:
            await close_connection(self._idle.pop().connection)

    async def close_idle(self, now: float) -> None:
        """Close connections that have been idle for more than `IDLE_SECONDS`."""
        stale = [
            pooled
            for pooled in self._idle
            if now - pooled.last_response_at > IDLE_SECONDS
        ]
        self._idle = [pooled for pooled in self._idle if pooled not in stale]
        for pooled in stale:
            await close_connection(pooled.connection)

    async def send(
        self,
        request: Request,
        *,
        deadline: float,
        first_byte_timeout: float,
        recent_only: bool,
        is_running: Callable[[], Awaitable[bool]] | None = None,
    ) -> Reply:
        """Send `request` and return the response.

        With `recent_only`, only a new connection or one that responded within
        `RECENT_SECONDS` is used. On a reused connection the response must arrive
        within `first_byte_timeout` seconds; otherwise the connection and all idle
        ones at least as old are closed. With `is_running`, which asks over another
        connection, the response is awaited while the request runs. Raises `NotSent`
        or `AnswerMissing`.
        """
        now = self._last_used = read_monotonic()
        pooled = await self._take_idle(now, recent_only)
        reused = pooled is not None
        if pooled is None:
            pooled = await self._open(deadline - now)
        timeout = deadline - read_monotonic()
        is_watched = reused and is_running is not None and first_byte_timeout < timeout
        if reused and not is_watched:
            timeout = min(timeout, first_byte_timeout)
        try:
            with anyio.fail_after(timeout) as scope, contextlib.ExitStack() as stack:
                if is_watched:
                    stack.enter_context(_watch(scope, first_byte_timeout, is_running))
                reply = await exchange(pooled.connection, request)
        except TimeoutError as error:
            if reused:
                await self._close_older(pooled)
            await close_connection(pooled.connection)
            raise self._make_error("timeout", timed_out=True) from error
        except _LOST_ERRORS as error:
            await close_connection(pooled.connection)
            raise self._make_error(str(error) or type(error).__name__) from error
        except BaseException:
            await close_connection(pooled.connection)
            raise
        return await self._finish_exchange(pooled, reply)

    async def _take_idle(
        self, now: float, recent_only: bool
    ) -> PooledConnection | None:
        while self._idle:
            pooled = self._idle[-1]
            if recent_only and now - pooled.last_response_at > RECENT_SECONDS:
                return None
            self._idle.pop()
            if (
                now - pooled.last_response_at > IDLE_SECONDS
                or pooled.connection.has_expired()
            ):
                self._counters.add("connections_expired")
                await close_connection(pooled.connection)
                continue
            return pooled
        return None

    async def _open(self, seconds: float) -> PooledConnection:
        try:
            connection = await open_connection(self.address, self._context, seconds)
        except _CONNECT_ERRORS as error:
            self._counters.add("connects_failed")
            raise NotSent(
                str(error) or type(error).__name__,
                step="connect",
                peer=str(self.address),
            ) from error
        self._counters.add("connections_opened")
        now = read_monotonic()
        return PooledConnection(connection, now, now)

    async def _close_older(self, unresponsive: PooledConnection) -> None:
        """Close all idle connections opened no later than the one that timed out."""
        self._counters.add("connections_unresponsive")
        self._discard_opened_until = max(
            self._discard_opened_until, unresponsive.opened
        )
        stale = [
            pooled for pooled in self._idle if pooled.opened <= unresponsive.opened
        ]
        self._idle = [
            pooled for pooled in self._idle if pooled.opened > unresponsive.opened
        ]
        for pooled in stale:
            await close_connection(pooled.connection)

    def _make_error(self, cause: str, *, timed_out: bool = False) -> AnswerMissing:
        self._counters.add("answers_missing")
        return AnswerMissing(cause, peer=str(self.address), timed_out=timed_out)

    async def _finish_exchange(self, pooled: PooledConnection, reply: Reply) -> Reply:
        if reply.rest is None:
            await self._release(pooled)
            return reply

        async def close() -> None:
            await close_connection(pooled.connection)

        reply.rest = self._stream_rest(pooled, reply.rest)
        reply.close = close
        return reply

    async def _release(self, pooled: PooledConnection) -> None:
        pooled.last_response_at = read_monotonic()
        if (
            pooled.opened <= self._discard_opened_until
            or not pooled.connection.is_available()
        ):
            await close_connection(pooled.connection)
        else:
            self._idle.append(pooled)

    async def _stream_rest(
        self, pooled: PooledConnection, rest: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        try:
            async for chunk in rest:
                yield chunk
        except _LOST_ERRORS as error:
            await close_connection(pooled.connection)
            raise self._make_error(str(error) or type(error).__name__) from error
        await self._release(pooled)


@contextlib.contextmanager
def _watch(
    scope: anyio.CancelScope, seconds: float, is_running: Callable[[], Awaitable[bool]]
) -> Iterator[None]:
    """End `scope` as timed out once `is_running`, asked at intervals, denies it."""
    loop = asyncio.get_running_loop()
    tasks: list[asyncio.Task] = []

    async def watch() -> None:
        while await is_running():
            await asyncio.sleep(seconds)
        scope.deadline = anyio.current_time()

    # A task for each exchange would cost more than most exchanges.
    timer = loop.call_later(seconds, lambda: tasks.append(loop.create_task(watch())))
    try:
        yield
    finally:
        timer.cancel()
        for task in tasks:
            task.cancel()
