"""Links: the open connections of this node to one address."""

import ssl
from collections.abc import AsyncIterator

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

__all__ = ["AnswerMissing", "Links", "NotSent"]

IDLE_SECONDS = 4.0
"""An idle connection is closed after this, before middle boxes forget it."""
PROVEN_SECONDS = 1.0
"""A connection that answered this recently is trusted with any call."""
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
    """No connection could be opened: nothing was sent."""

    code = "connect-failed"
    status = 503


class AnswerMissing(CactusError):
    """The request was sent, in part at least, and no whole answer came."""

    code = "answer-missing"
    status = 502

    def __init__(self, message: str, *, peer: str, timed_out: bool) -> None:
        """Keep whether time ran out, rather than the connection broke."""
        super().__init__(message, step="exchange", peer=peer)
        self.timed_out = timed_out


@attrs.define(eq=False)
class Link:
    """One connection; times are monotonic seconds."""

    connection: httpcore.AsyncConnectionInterface
    opened: float
    answered: float


class Links:
    """Idle connections to `address`, each used by one call at a time."""

    def __init__(
        self,
        address: Address,
        counters: Counters,
        context: ssl.SSLContext | None = None,
    ) -> None:
        """Open connections to `address`, with TLS if `context` is given."""
        self.address = address
        self._counters = counters
        self._context = context
        self._idle: list[Link] = []
        self._condemned = 0.0
        self._used = read_monotonic()

    def is_idle(self, now: float, seconds: float) -> bool:
        """Return whether there was no call and no open connection for `seconds`."""
        return not self._idle and now - self._used > seconds

    async def aclose(self) -> None:
        """Close every idle connection."""
        while self._idle:
            await close_connection(self._idle.pop().connection)

    async def retire(self, now: float) -> None:
        """Close connections that have been idle for long."""
        old = [link for link in self._idle if now - link.answered > IDLE_SECONDS]
        self._idle = [link for link in self._idle if link not in old]
        for link in old:
            await close_connection(link.connection)

    async def send(
        self, request: Request, *, deadline: float, first_byte: float, once: bool
    ) -> Reply:
        """Send `request` and return the answer.

        `once` asks for a connection that is fresh or has just answered. On one
        that was used before, the answer must come within `first_byte` seconds,
        else all connections of that age are closed. Raises `NotSent` or
        `AnswerMissing`.
        """
        now = self._used = read_monotonic()
        link = await self._take_idle(now, once)
        reused = link is not None
        if link is None:
            link = await self._open(deadline - now)
        limit = deadline - read_monotonic()
        if reused:
            limit = min(limit, first_byte)
        try:
            with anyio.fail_after(limit):
                reply = await exchange(link.connection, request)
        except TimeoutError as error:
            if reused:
                await self._condemn(link)
            await close_connection(link.connection)
            raise self._miss("timeout", timed_out=True) from error
        except _LOST_ERRORS as error:
            await close_connection(link.connection)
            raise self._miss(str(error) or type(error).__name__) from error
        except BaseException:
            await close_connection(link.connection)
            raise
        return await self._finish(link, reply)

    async def _take_idle(self, now: float, once: bool) -> Link | None:
        while self._idle:
            link = self._idle[-1]
            if once and now - link.answered > PROVEN_SECONDS:
                return None
            self._idle.pop()
            if now - link.answered > IDLE_SECONDS or link.connection.has_expired():
                self._counters.add("connections_expired")
                await close_connection(link.connection)
                continue
            return link
        return None

    async def _open(self, seconds: float) -> Link:
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
        return Link(connection, now, now)

    async def _condemn(self, silent: Link) -> None:
        """Close all idle connections that are as old as a silent one, or older."""
        self._counters.add("connections_condemned")
        self._condemned = max(self._condemned, silent.opened)
        old = [link for link in self._idle if link.opened <= silent.opened]
        self._idle = [link for link in self._idle if link.opened > silent.opened]
        for link in old:
            await close_connection(link.connection)

    def _miss(self, cause: str, *, timed_out: bool = False) -> AnswerMissing:
        self._counters.add("answers_missing")
        return AnswerMissing(cause, peer=str(self.address), timed_out=timed_out)

    async def _finish(self, link: Link, reply: Reply) -> Reply:
        if reply.rest is None:
            await self._give_back(link)
            return reply

        async def close() -> None:
            await close_connection(link.connection)

        reply.rest = self._pass_rest(link, reply.rest)
        reply.close = close
        return reply

    async def _give_back(self, link: Link) -> None:
        link.answered = read_monotonic()
        if link.opened <= self._condemned or not link.connection.is_available():
            await close_connection(link.connection)
        else:
            self._idle.append(link)

    async def _pass_rest(
        self, link: Link, rest: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        try:
            async for chunk in rest:
                yield chunk
        except _LOST_ERRORS as error:
            await close_connection(link.connection)
            raise self._miss(str(error) or type(error).__name__) from error
        await self._give_back(link)
