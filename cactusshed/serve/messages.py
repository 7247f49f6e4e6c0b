"""Messages of the call path: calls, answers and typed outcomes."""

import hashlib
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs

from ..tree.table import Route

__all__ = [
    "SETTLED",
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
    """One request on its way; `deadline` is monotonic seconds.

    `path` is the raw request target, `depth` the number of calls above it.
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
    kind: str
    idempotent: bool
    version_number: int = 0
    key: str = ""
    may_wait: bool = False
    alone: bool = False
    rule: Route | None = None

    def compute_fingerprint(self) -> bytes:
        """Return the 16-byte BLAKE2b digest by which a repeat is recognised."""
        plain = b"\0".join((self.method.encode(), self.path, self.body))
        return hashlib.blake2b(plain, digest_size=16).digest()


async def _do_nothing() -> None:
    return


@attrs.define
class Reply:
    """A whole answer, or its beginning in `body` and the remainder in `rest`.

    Whoever takes a reply with a `rest` iterates it to its end or awaits
    `close`; iterating raises when the other side dies midway.
    """

    status: int
    headers: Headers
    body: bytes
    rest: AsyncIterator[bytes] | None = None
    close: Callable[[], Awaitable[None]] = _do_nothing


@attrs.frozen
class Answered:
    """The target answered; `replayed` marks a recorded answer."""

    reply: Reply
    replayed: bool = False


@attrs.frozen
class NotRun:
    """No byte of the request can have reached the target."""

    code: str
    retry_after: float = 0.0


@attrs.frozen
class Unknown:
    """The target may or may not have run the request."""

    code: str


TARGET_DIED = "target-died"
"""Code of an unknown outcome whose target broke the connection."""
SETTLED = "settled-not-run"
"""Code of a call that was lost on its way and is fenced at its target's node."""
Outcome = Answered | NotRun | Unknown
