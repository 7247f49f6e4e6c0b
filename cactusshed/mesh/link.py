"""Multiplexed connections between nodes.

Each node dials every other node and sends its calls over the link that it dialled;
the other side sends results and state updates back.
"""

import asyncio
from collections.abc import Callable

from ..errors import CactusError, Malformed
from ..options import Address
from .frames import Frame, FrameDecoder, Ping, Pong, encode_frame
from .upstream import enable_keepalive

__all__ = ["Link", "LinkLost", "dial_link", "serve_links"]

KEEPALIVE_IDLE_SECONDS = 10
"""Idle time before TCP keepalive probes a link. Links with pending calls are checked
by pings instead. As n nodes have n * n links, probes every second would be most of
the traffic between data centres."""
DIAL_TIMEOUT_SECONDS = 1.0
"""Time to establish a link, which allows for one retransmitted SYN."""

FrameHandler = Callable[["Link", Frame], None]


class LinkLost(CactusError):
    """The connection to another node ended."""

    code = "link-lost"
    status = 503


class Link(asyncio.Protocol):
    """One connection; `peer` is the other node's name once its `Hello` arrived.

    `ping_pending` is set while a ping is unanswered; `last_received` is the time at
    which data last arrived.
    """

    def __init__(self, handle: FrameHandler, on_lost: Callable[["Link"], None]) -> None:
        """Call `handle` for every frame and `on_lost` when the connection ends."""
        self._handle = handle
        self._on_lost = on_lost
        self._frames = FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self.peer = ""
        self.is_closed = False
        self.ping_pending = False
        self.last_received = self._loop.time()

    def connection_made(self, transport) -> None:
        """Store the transport and enable TCP keepalive."""
        self._transport = transport
        enable_keepalive(transport, KEEPALIVE_IDLE_SECONDS)

    def data_received(self, data: bytes) -> None:
        """Decode and handle the received frames."""
        self.last_received = self._loop.time()
        try:
            for frame in self._frames.feed(data):
                if isinstance(frame, Ping):
                    self.send(Pong())
                elif not isinstance(frame, Pong):
                    self._handle(self, frame)
        except Malformed:
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Call `on_lost`, at most once."""
        if not self.is_closed:
            self.is_closed = True
            self._on_lost(self)

    def send(self, frame: Frame) -> bool:
        """Send a frame; return False if the connection has ended."""
        if self.is_closed or self._transport.is_closing():
            return False
        self._transport.write(encode_frame(frame))
        return True

    def close(self) -> None:
        """Close the connection at once and discard unsent data."""
        if self._transport is not None:
            self._transport.abort()
        self.connection_lost(None)

    def drain(self) -> None:
        """Close the connection after the unsent data is written."""
        if self._transport is not None:
            self._transport.close()


async def dial_link(
    address: Address, handle: FrameHandler, on_lost: Callable[[Link], None]
) -> Link:
    """Return a new link to the node at `address`; raise `LinkLost` on failure."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(DIAL_TIMEOUT_SECONDS):
            _, link = await loop.create_connection(
                lambda: Link(handle, on_lost), address.ip, address.port
            )
    except (OSError, TimeoutError) as error:
        cause = str(error) or "timed out"
        raise LinkLost(cause, step="dial", peer=str(address)) from error
    return link


async def serve_links(
    address: Address, handle: FrameHandler, on_lost: Callable[[Link], None]
) -> asyncio.Server:
    """Accept links at `address`; raise `OSError` if it can't be bound."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: Link(handle, on_lost), address.ip, address.port
    )
