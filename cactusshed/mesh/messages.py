"""HTTP requests and responses as listeners pass them to their handlers."""

from collections.abc import Awaitable, Callable, Iterable

import attrs

from ..policy.clientmemory import compute_head_cost
from .upstream import Headers

__all__ = ["Handler", "Request", "Response", "make_response"]


@attrs.define(eq=False)
class Request:
    """One request; `path` is the raw request target, header names are in lower case.

    `arrived` and `started` are the event loop's times at which the request was complete
    and at which its first byte was read.
    """

    method: bytes
    path: bytes
    headers: Headers
    body: bytes = b""
    arrived: float = 0.0
    started: float = 0.0
    reserved_bytes: int = 0
    """Bytes that its listener has reserved for the body."""
    head_cost: int = 0
    """Memory that its listener has reserved for the head."""

    def find(self, name: bytes) -> bytes | None:
        """Return the value of the first header `name`, or `None`."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


@attrs.define
class Response:
    """A complete response to a request."""

    status: int
    headers: Headers = attrs.Factory(list)
    body: bytes = b""

    @property
    def held_bytes(self) -> int:
        """Return the memory of a response that waits to be written."""
        return compute_head_cost(len(self.headers), len(self.body))


Handler = Callable[[Request], Awaitable[Response]]


def make_response(status: int, body: bytes = b"", headers: Iterable = ()) -> Response:
    """Return a JSON response that this process generates itself."""
    return Response(status, [(b"content-type", b"application/json"), *headers], body)
