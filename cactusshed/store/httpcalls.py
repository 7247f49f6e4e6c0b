"""HTTP calls to one service of the platform, each with a time limit."""

import asyncio
from collections.abc import Callable

from ..errors import AnswerLost, CactusError, PlatformUnavailable
from ..mesh.answermeter import MAX_ANSWER_BYTES
from ..mesh.pool import ConnectionPool
from ..mesh.upstream import Answer, NotSent, Upstream, UpstreamFailed
from ..observe.counters import Counters
from ..options import Address
from ..policy.bodybudget import BodyBudget

__all__ = ["HttpCalls"]

BUSY_STATUSES = (429, 503)
"""Statuses by which the platform says that a call had no effect."""


class HttpCalls:
    """Sends calls to the service `name` at one address.

    `name` is part of the counter of failures and of the errors.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        counters: Counters,
        busy_statuses: tuple[int, ...] = BUSY_STATUSES,
    ) -> None:
        """Use the service at `address`, without connecting yet.

        An answer with one of `busy_statuses` raises an error.
        """
        self._busy_statuses = busy_statuses
        self._name = name
        self._budget = BodyBudget(MAX_ANSWER_BYTES)
        self._pool = ConnectionPool(address, b"", self._budget)
        self._counters = counters

    async def call(
        self,
        method: bytes,
        path: str,
        body: bytes,
        timeout: float,
        headers: dict[str, str] | None = None,
        before_send: Callable[[Upstream], None] | None = None,
    ) -> Answer:
        """Send a call and return its answer.

        `before_send` is called immediately before the call is sent over a connection,
        and may raise to prevent that. Raises `PlatformUnavailable` if the call had no
        effect and `AnswerLost` if it may have had one.
        """
        peer = str(self._pool.address)
        head = b"%s %s HTTP/1.1\r\nhost: %s\r\n" % (
            method,
            path.encode(),
            peer.encode(),
        )
        for name, value in (headers or {}).items():
            head += f"{name}: {value}\r\n".encode()
        if method != b"GET":
            head += b"content-type: application/json\r\n"
            head += b"content-length: %d\r\n" % len(body)
        try:
            async with asyncio.timeout(timeout):
                return await self._exchange(head + b"\r\n" + body, before_send)
        except NotSent as error:
            raise self.make_error(PlatformUnavailable, error.message) from error
        except UpstreamFailed as error:
            raise self.make_error(AnswerLost, error.message) from error
        except TimeoutError as error:
            raise self.make_error(
                AnswerLost, f"no response within {timeout} s"
            ) from error

    async def _exchange(
        self, data: bytes, before_send: Callable[[Upstream], None] | None
    ) -> Answer:
        while True:
            upstream = await self._pool.acquire(requires_fresh=True)
            if before_send is not None:
                try:
                    before_send(upstream)
                except CactusError:
                    self._pool.release(upstream)
                    raise
            try:
                answer = await upstream.exchange(data)
            except NotSent:
                # The pooled connection was already closed; the next may be new.
                continue
            self._pool.release(upstream)
            if answer.status in self._busy_statuses:
                raise self.make_error(PlatformUnavailable, f"status {answer.status}")
            return answer

    def make_error(self, error_type: type[CactusError], cause: str) -> CactusError:
        """Count a failure and return the error for it."""
        self._counters.add(f"{self._name}_failures")
        return error_type(
            cause, step=f"call {self._name}", peer=str(self._pool.address)
        )

    def set_address(self, address: Address) -> None:
        """Use the service at another address from now on."""
        if address != self._pool.address:
            self._pool.close()
            self._pool = ConnectionPool(address, b"", self._budget)

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()
