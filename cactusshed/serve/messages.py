"""Data types of the call path: calls, replies and outcomes."""

import hashlib
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs

from ..tree.table import Route

__all__ = [
    "SETTLED_NOT_RUN",
    "STILL_RUNNING",
    "TARGET_DIED",
    "Answered",
    "Call",
    "Headers",
    "NotRun",
    "Outcome",
    "Reply",
    "Unknown",
]

Headers = list[tuple[bytes, bytes]]


@attrs.define
class Call:
    """One request in progress; `deadline` is in monotonic seconds.

    `path` is the raw request target, with its query. `depth` is the number of
    calls that led to this one. A call marked `alone` runs only while no other
    call runs on its target.
    """

    call_id: str
    method: str
    path: bytes
    headers: Headers
    body: bytes
    deadline: float
    depth: int
    tenant: str
    service: str
    route: str
    traffic_class: str
    idempotent: bool
    version_number: int = 0
    key: str = ""
    may_wait: bool = False
    alone: bool = False
    route_settings: Route | None = None

    def compute_fingerprint(self) -> bytes:
        """Return a 16-byte BLAKE2b digest that is equal for identical requests."""
        content = b"\0".join((self.method.encode(), self.path, self.body))
        return hashlib.blake2b(content, digest_size=16).digest()


async def _do_nothing() -> None:
    return


@attrs.define
class Reply:
    """A response: complete in `body`, or its start with the remainder in `rest`.

    The consumer of a reply with a `rest` must iterate it to its end or await
    `close`. Iterating raises an error if the connection breaks.
    """

    status: int
    headers: Headers
    body: bytes
    rest: AsyncIterator[bytes] | None = None
    close: Callable[[], Awaitable[None]] = _do_nothing


@attrs.frozen
class Answered:
    """The target responded; `replayed` marks a recorded response."""

    reply: Reply
    replayed: bool = False


@attrs.frozen
class NotRun:
    """The target did not run the request: no byte of it reached the target."""

    code: str
    retry_after: float = 0.0


@attrs.frozen
class Unknown:
    """The target may or may not have run the request."""

    code: str


TARGET_DIED = "target-died"
"""Code of an unknown outcome when the target broke the connection."""
STILL_RUNNING = "still-running"
"""Code of an unknown outcome of a call that its target is running."""
SETTLED_NOT_RUN = "settled-not-run"
"""Code of a call that had not started when its outcome was queried.

The target's node has fenced it: it refuses the call if it arrives later.
"""
Outcome = Answered | NotRun | Unknown
