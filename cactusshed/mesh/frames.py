"""Messages between nodes, as length-prefixed MessagePack over one connection.

They are msgspec structures in array form: without names a call's frame is less
than half as long, and bytes between data centres are paid for.
"""

from collections.abc import Iterator

import msgspec

from ..errors import Malformed

__all__ = [
    "ANSWERED",
    "NOT_RUN",
    "UNKNOWN",
    "Beat",
    "Call",
    "Cancel",
    "Evidence",
    "Frame",
    "Hello",
    "Load",
    "MoveNews",
    "News",
    "Ping",
    "Pong",
    "Pull",
    "Result",
    "Settle",
    "SplitFrames",
    "Strike",
    "TableChange",
    "TargetState",
    "Update",
    "encode_frame",
    "make_attempt_id",
]

MAX_FRAME_BYTES = 80 << 20
"""A request body of the largest size that configurations have, and its head."""
LENGTH_BYTES = 4

ANSWERED, NOT_RUN, UNKNOWN = range(3)
"""Outcomes of a call."""


class TargetState(msgspec.Struct, array_like=True, frozen=True):
    """What a node tells of the target beside it; `revision` grows in one life."""

    revision: int = 0
    name: str = ""
    version: str = ""
    slots: int = 0
    born: int = 0
    is_open: bool = False
    """Whether new calls are taken."""
    is_cold: bool = False
    has_left: bool = False
    """Whether the target's leave was acknowledged."""


class Hello(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """First message on a connection, in both directions."""

    node: str
    born: int
    data_centre: str
    address: str
    service: str
    state: TargetState
    link_mbps: float
    remembered: TargetState | None = None
    """What the sender last knew of the target beside the receiver."""


class Load(msgspec.Struct, array_like=True, frozen=True):
    """Load of a gate as it answers; `mean_ms` is its usual service time."""

    running: int
    waiting: int
    limit: int
    mean_ms: float


class Call(msgspec.Struct, array_like=True, tag=2):
    """A request on its way to a target."""

    number: int
    request_id: bytes
    attempt: int
    """Tells apart the tries of one request, also at the same gate."""
    method: bytes
    path: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    left_ms: int
    aim_ms: int
    route: str
    rank: int
    service: str
    version: str
    caller: str
    is_repeatable: bool
    is_repeat: bool
    """Whether the request has reached a target before."""
    may_have_run: bool
    is_inner: bool
    """Whether a target that is running a request made the call."""
    is_of_repeat: bool
    """Whether that request was itself a repeat."""
    may_wait: bool


class Result(msgspec.Struct, array_like=True, tag=3):
    """The outcome of a call; `code` says why there is no answer."""

    number: int
    outcome: int
    load: Load
    status: int = 0
    headers: list[tuple[bytes, bytes]] = []
    body: bytes = b""
    code: str = ""
    retry_ms: int = 0
    has_arrived: bool = False
    """Whether the request reached the target, even if it did not run."""


class Cancel(msgspec.Struct, array_like=True, tag=4):
    """Nobody waits for a call any longer."""

    number: int


class Settle(msgspec.Struct, array_like=True, tag=5):
    """Asks what became of a request; one not yet dispatched never will be."""

    number: int
    request_id: bytes
    attempt: int
    left_ms: int


class News(msgspec.Struct, array_like=True, tag=6):
    """A change of the target beside the sender, or of the sender itself."""

    state: TargetState
    is_leaving: bool


class Beat(msgspec.Struct, array_like=True, tag=7):
    """How far the sender knows the operator's rows, and its configuration.

    `changed` is the store's counter at the last change known.
    """

    changed: int
    version: int


class Pull(msgspec.Struct, array_like=True, tag=8):
    """Asks for what the other knows; the sender has configuration `version`."""

    version: int


class TableChange(msgspec.Struct, array_like=True):
    """The difference of a configuration to `base`, or all of it for base 0.

    Routes are given by the fields of the product's type in their order.
    """

    base: int
    version: int
    routes: list[tuple]
    removed: list[tuple[str, str]]
    """Hosts and prefixes of routes that are gone."""
    services: list[tuple]
    limits: tuple


class Update(msgspec.Struct, array_like=True, tag=14):
    """What the sender knows of the operator's rows."""

    revision: int
    """The store's counter up to which the sender has read."""
    changed: int
    rows: list[tuple[str, bytes, int]]
    """Key, value and version of all rows but the configuration's."""
    change: TableChange | None


class Strike(msgspec.Struct, array_like=True, tag=9):
    """A target died while a request with this fingerprint was in flight."""

    fingerprint: bytes
    strike_id: bytes
    is_alone: bool


class Evidence(msgspec.Struct, array_like=True, tag=10):
    """Counts of a gate's target during a move, by route."""

    node: str
    service: str
    version: str
    running: int
    routes: list[tuple[str, int, int, list[int]]]
    """Route, calls, failures, and calls by bucket of their time."""


class Ping(msgspec.Struct, array_like=True, tag=11):
    """Asks for a sign of life."""


class Pong(msgspec.Struct, array_like=True, tag=12):
    """Answers a ping."""


class MoveNews(msgspec.Struct, array_like=True, tag=13):
    """A move as the sender knows it, and its row's version in the store."""

    value: bytes
    version: int


Frame = (
    Hello
    | Call
    | Result
    | Cancel
    | Settle
    | News
    | Pull
    | Beat
    | Update
    | Strike
    | Evidence
    | Ping
    | Pong
    | MoveNews
)


def make_attempt_id(frame: Call | Settle) -> str:
    """Return the identity under which gates know one try of a request."""
    return f"{frame.request_id.decode('latin-1')}.{frame.attempt}"


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Return the bytes of a frame."""
    body = _encoder.encode(frame)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


class SplitFrames:
    """Cuts what arrives into frames."""

    def __init__(self) -> None:
        """Start with nothing."""
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield the frames that `data` completes; raise `Malformed`."""
        self._buffer += data
        start = 0
        while len(self._buffer) - start >= LENGTH_BYTES:
            body = start + LENGTH_BYTES
            length = int.from_bytes(self._buffer[start:body], "big")
            if length > MAX_FRAME_BYTES:
                raise Malformed(f"frame of {length} bytes", step="read frame")
            if len(self._buffer) < body + length:
                break
            try:
                yield _decoder.decode(memoryview(self._buffer)[body : body + length])
            except msgspec.DecodeError as error:
                raise Malformed(str(error), step="read frame") from error
            start = body + length
        if start:
            del self._buffer[:start]
