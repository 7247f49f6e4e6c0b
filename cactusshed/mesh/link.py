"""Connections between nodes that carry many calls at once.

Each node dials every other node, and sends its calls over what it dialled; the
other side sends results and news back.
"""

import asyncio
from collections.abc import Callable

from ..errors import CactusError, Malformed
from ..options import Address
from .frames import Frame, Ping, Pong, SplitFrames, encode_frame
from .upstream import set_probes

__all__ = ["Link", "LinkLost", "dial_link", "serve_links"]

PROBE_IDLE_SECONDS = 10
"""Idle time before a link is probed. A link with a call on its way is watched by
its own sign of life; n nodes have n * n links, and probes of each second would be
most of what travels between data centres."""
DIAL_SECONDS = 1.0
"""Time to establish a link: a node's answer, or one retransmitted SYN."""

Handle = Callable[["Link", Frame], None]


class LinkLost(CactusError):
    """The connection to another node ended."""

    code = "link-lost"
    status = 503


class Link(asyncio.Protocol):
    """One connection; `peer` is the other node's name once it said hello.

    `is_asked` is set while a sign of life was asked for and has not come.
    """

    def __init__(self, handle: Handle, on_lost: Callable[["Link"], None]) -> None:
        """Hand every frame to `handle` and the end to `on_lost`."""
        self._handle = handle
        self._on_lost = on_lost
        self._frames = SplitFrames()
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self.peer = ""
        self.is_closed = False
        self.is_asked = False
        self.heard_at = self._loop.time()

    def connection_made(self, transport) -> None:
        """Keep the transport."""
        self._transport = transport
        set_probes(transport, PROBE_IDLE_SECONDS)

    def data_received(self, data: bytes) -> None:
        """Handle the frames that have arrived."""
        self.heard_at = self._loop.time()
        try:
            for frame in self._frames.feed(data):
                if isinstance(frame, Ping):
                    self.send(Pong())
                elif not isinstance(frame, Pong):
                    self._handle(self, frame)
        except Malformed:
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Report the end once."""
        if not self.is_closed:
            self.is_closed = True
            self._on_lost(self)

    def send(self, frame: Frame) -> bool:
        """Send a frame; return False when the connection has ended."""
        if self.is_closed or self._transport.is_closing():
            return False
        self._transport.write(encode_frame(frame))
        return True

    def close(self) -> None:
        """End the connection at once."""
        if self._transport is not None:
            self._transport.abort()
        self.connection_lost(None)

    def drain(self) -> None:
        """End the connection once everything sent has left."""
        if self._transport is not None:
            self._transport.close()


async def dial_link(
    address: Address, handle: Handle, on_lost: Callable[[Link], None]
) -> Link:
    """Return a new link to the node at `address`; raise `LinkLost`."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(DIAL_SECONDS):
            _, link = await loop.create_connection(
                lambda: Link(handle, on_lost), address.ip, address.port
            )
    except (OSError, TimeoutError) as error:
        cause = str(error) or "timed out"
        raise LinkLost(cause, step="dial", peer=str(address)) from error
    return link


async def serve_links(
    address: Address, handle: Handle, on_lost: Callable[[Link], None]
) -> asyncio.Server:
    """Accept links at `address`; raise `OSError`."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: Link(handle, on_lost), address.ip, address.port
    )
