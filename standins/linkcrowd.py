"""Other nodes that hold memory of a node over their links, and an ordinary one.

Crowds of clients at many nodes reach a target's node as calls over links: with heads of
many lines, with bodies that are not complete, and with results that are not read.
"""

import asyncio

from cactusshed.errors import CactusError
from cactusshed.mesh.frames import Call, Frame, Hello, Result, TargetState
from cactusshed.mesh.framing import encode_frame
from cactusshed.mesh.link import Link, dial_link
from cactusshed.options import Address

from .crowd import SHORT_LINES

__all__ = ["LINK_CROWDS", "call_over_link", "make_call", "make_hello"]

NODES = 100
"""Names of nodes; each of them may have several links."""
CALLS = 10
"""Calls with long heads on one link."""
LONG_CALLS = 40
"""Calls with long answers on one link."""
LINES = 900
"""Lines of one head: 5 bytes each in a frame, below a `max_header_bytes` of 4096."""
OPEN_BODY_BYTES = 17 << 10
"""Announced size of bodies that don't come; shorter ones are not sent in parts."""
FRAME_BYTES = 60_000
"""Size of a frame without end."""
CALL_MS = 2000
LONG_CALL_MS = 20_000
CALL_SECONDS = 3.0
NO_ADDRESS = "127.0.3.9:1"
"""Address at which nobody listens."""
_HEADERS = [tuple(line[:-2].partition(b":")[::2]) for line in (SHORT_LINES * 2)[:LINES]]


def make_hello(node: str) -> Hello:
    """Return the first frame of a node without a target."""
    return Hello(node, 1, "z", NO_ADDRESS, "", TargetState(), 1000.0, None, True)


def make_call(
    number: int, path: str, headers=(), body_size: int = 0, ms: int = CALL_MS
) -> Call:
    """Return a call to the service of the node."""
    return Call(
        number=number,
        request_id=b"link-%d" % number,
        attempt=1,
        method=b"GET",
        path=path.encode(),
        headers=list(headers),
        body=b"",
        remaining_ms=ms,
        soft_timeout_ms=ms,
        route="r-long",
        priority=0,
        service="a",
        version="",
        caller="",
        is_idempotent=True,
        is_retry=False,
        may_have_run=False,
        is_nested=False,
        parent_is_retry=False,
        may_wait=True,
        body_size=body_size,
    )


def _greet(number: int) -> bytes:
    return encode_frame(make_hello(f"crowd-{number % NODES}"))


def _send_calls(path: str, headers=(), count: int = CALLS, **fields: int):
    calls = b"".join(
        encode_frame(make_call(number, path, headers, **fields))
        for number in range(1, count + 1)
    )
    return lambda number: _greet(number) + calls


_OPEN_FRAME = FRAME_BYTES.to_bytes(4, "big") + b"f" * (FRAME_BYTES - 1)

LINK_CROWDS = {
    "open-frames": lambda number: _greet(number) + _OPEN_FRAME,
    "open-frames-unnamed": _OPEN_FRAME,
    "heads": _send_calls("/hang/x", _HEADERS),
    "open-bodies": _send_calls("/hang/x", _HEADERS, body_size=OPEN_BODY_BYTES),
    "long-results": _send_calls("/long/x", count=LONG_CALLS, ms=LONG_CALL_MS),
}
"""What each link of a crowd sends, by the number of the link."""


async def call_over_link(address: Address, path: str) -> int:
    """Return the status of one ordinary call of another node; 0 without an answer."""
    answered = asyncio.get_running_loop().create_future()

    def handle(_link: Link, frame: Frame) -> None:
        if isinstance(frame, Result) and not answered.done():
            answered.set_result(frame.status)

    def note_lost(_link: Link) -> None:
        if not answered.done():
            answered.set_result(0)

    try:
        link = await dial_link(address, handle, note_lost)
    except CactusError:
        return 0
    link.send(make_hello("ordinary"))
    link.send(make_call(1, path))
    try:
        async with asyncio.timeout(CALL_SECONDS):
            return await answered
    except TimeoutError:
        return 0
    finally:
        link.close()
