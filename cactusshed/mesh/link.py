"""Multiplexed connections between nodes.

Each node dials every other node and sends its calls over the link that it dialled;
the other side sends results and state updates back.
"""

import asyncio
import contextlib
import socket
from collections.abc import Callable

from ..connections.links import LinkHolders
from ..errors import CactusError, Malformed
from ..observe.lines import log_line
from ..options import Address
from ..policy.bodybudget import BodyBudget
from ..readbuffer import SharedBufferProtocol
from ..sockets import enable_keepalive, open_server_socket
from ..uplink.scheduler import UplinkScheduler
from .bodyparts import PART_BYTES, PartSender, is_sent_in_parts
from .frames import Cancel, Frame, Hello, Ping, Pong
from .framing import FrameDecoder, encode_frame

__all__ = ["Link", "LinkLost", "NotSent", "dial_link", "serve_links"]

KEEPALIVE_IDLE_SECONDS = 10
"""Idle time before TCP keepalive probes a link. Links with pending calls are checked
by pings instead. As n nodes have n * n links, probes every second would be most of
the traffic between data centres."""
MAX_UNREAD_BYTES = 256 << 10
"""Unsent bytes with which no ping is answered: 0.4 s of a link of 5 Mbit/s."""
BACKLOG = 1024
"""Links that the kernel accepts for the listener."""
ACCEPTED_AT_ONCE = 8
"""Links that are taken from the kernel before any of them can be closed."""
DIAL_TIMEOUT_SECONDS = 1.0
"""Time to establish a link, which allows for one retransmitted SYN."""

FrameHandler = Callable[["Link", Frame], None]


class LinkLost(CactusError):
    """The connection to another node ended."""

    code = "link-lost"
    status = 503


class NotSent(LinkLost):
    """The connection had ended before, so that nothing was sent."""


class Link(SharedBufferProtocol):
    """One connection; `peer` is the other node's name once its `Hello` arrived.

    `takes_parts` says that the other side accepts large bodies in parts, `is_retired`
    that the link is used for the results of earlier calls only.
    `pinged_at` is the time of the last ping, `last_received` that at which data last
    arrived.
    """

    def __init__(
        self,
        handle: FrameHandler,
        on_lost: Callable[["Link"], None],
        budget: BodyBudget | None = None,
        scheduler: UplinkScheduler | None = None,
        holders: LinkHolders | None = None,
    ) -> None:
        """Call `handle` for every frame and `on_lost` when the connection ends.

        Unfinished frames count against `budget`; `scheduler` paces large answers.
        `holders` are the accepted links, `None` for a link that was dialled.
        """
        super().__init__()
        self._handle = handle
        self._on_lost = on_lost
        self._frames = FrameDecoder(budget, self._make_room)
        self._holders = holders
        self._is_decoding = False
        # Until its node has said its name, an accepted link reads little at a time.
        self.read_in_bulk(holders is None)
        self._scheduler = scheduler
        self._parts = PartSender(self._write, scheduler)
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self.peer = ""
        self.is_closed = False
        self.takes_parts = False
        self.is_retired = False
        self.pinged_at = float("-inf")
        self.last_received = self.unfinished_since = self._loop.time()
        self.unread_bytes = 0
        """Bytes to be sent, as charged to the output of accepted links."""
        self.progressed_at = 0.0
        """Loop time at which the other side last took some of them."""
        self.holder_name = ""
        """Name under which the holders know this link."""

    @property
    def is_unnamed(self) -> bool:
        """Return whether the other node has not said its name."""
        return not self.peer

    @property
    def unfinished_bytes(self) -> int:
        """Return the bytes of an unfinished frame that are charged to the budget."""
        return self._frames.reserved_bytes

    @property
    def frame_bytes(self) -> int:
        """Return the size of the frame that is being handled."""
        return self._frames.frame_bytes

    def _make_room(self, budget: BodyBudget, size: int) -> None:
        if self._holders is not None:
            self._holders.make_room(self, budget, size)

    def connection_made(self, transport) -> None:
        """Store the transport and enable TCP keepalive."""
        self._transport = transport
        enable_keepalive(transport, KEEPALIVE_IDLE_SECONDS)
        _limit_unsent(transport)
        if self._holders is not None:
            self._holders.add(self)

    def pause_writing(self) -> None:
        """Send no further parts until the transport has sent what it holds."""
        self._parts.is_held = True

    def resume_writing(self) -> None:
        """Resume after `pause_writing`."""
        self._parts.is_held = False
        self._parts.advance()
        self.refresh_unread()

    def data_received(self, data: bytes) -> None:
        """Decode and handle the received frames."""
        self.last_received = self._loop.time()
        if not self._frames.reserved_bytes:
            self.unfinished_since = self.last_received
        self._is_decoding = True
        try:
            for frame in self._frames.feed(data):
                if isinstance(frame, Ping):
                    self._answer_ping()
                elif not isinstance(frame, Pong):
                    self._handle(self, frame)
                    if isinstance(frame, Hello) and self._holders is not None:
                        self._holders.note_named(self)
                        self.read_in_bulk(True)
        except Malformed as error:
            log_line("link-malformed", member=self.peer, cause=str(error))
            self.close()
        self._is_decoding = False
        if self.is_closed:
            self._frames.drop()

    def _answer_ping(self) -> None:
        # The answers to pings without end would fill the memory.
        if self._transport.get_write_buffer_size() < MAX_UNREAD_BYTES:
            self.send(Pong())

    def connection_lost(self, error: Exception | None) -> None:
        """Call `on_lost`, at most once."""
        if not self.is_closed:
            self.is_closed = True
            if self._is_decoding:
                self._frames.close()
            else:
                self._frames.drop()
            self._parts.close()
            if self._holders is not None:
                self._holders.discard(self)
                self._charge_unread(0)
            self._on_lost(self)

    def count_unsent_bytes(self) -> int:
        """Return the bytes of frames and parts of bodies that are still to be sent."""
        if self.is_closed:
            return 0
        return self._parts.unsent_bytes + self._transport.get_write_buffer_size()

    @property
    def is_waiting(self) -> bool:
        """Return whether large answers wait for their turn on the uplink.

        Otherwise what is unsent waits for the other side, which is slow or frozen.
        """
        return not self.is_closed and self._parts.is_waiting

    def send(self, frame: Frame) -> bool:
        """Send a frame; return False if the connection has ended."""
        if self.is_closed or self._transport.is_closing():
            return False
        if self.takes_parts and is_sent_in_parts(frame):
            self._parts.send(frame)
        else:
            if isinstance(frame, Cancel):
                self._parts.cancel(frame.number)
            self._write(encode_frame(frame))
        if self.unread_bytes or self._transport.get_write_buffer_size():
            self.refresh_unread()
        return True

    def refresh_unread(self) -> None:
        """Charge what the other side of an accepted link has not taken now."""
        if self._holders is not None:
            self._charge_unread(self.count_unsent_bytes())

    def _charge_unread(self, unread: int) -> None:
        before = self.unread_bytes
        if unread < before or not before:
            self.progressed_at = self._loop.time()
        self.unread_bytes = unread
        self._holders.budgets.output.used += unread - before

    def drop_answer(self, number: int) -> None:
        """Stop to send the large answer to a call that the other side has cancelled."""
        self._parts.drop_paced(number)

    def cancel_unsent(self, number: int) -> None:
        """Cancel a call if its body was not sent whole, so that it can't have run."""
        if not self.is_closed and self._parts.cancel(number):
            self._write(encode_frame(Cancel(number)))

    def _write(self, data: bytes) -> None:
        self._transport.write(data)
        if self._scheduler is not None:
            self._scheduler.uplink.charge(len(data))

    def close(self) -> None:
        """Close the connection at once and discard unsent data."""
        if self._transport is not None:
            self._transport.abort()
        self.connection_lost(None)

    def drain(self) -> None:
        """Close the connection after the unsent data is written."""
        if self._transport is not None:
            self._transport.close()


def _limit_unsent(transport: asyncio.Transport) -> None:
    """Keep few bytes between a new frame and the network."""
    transport.set_write_buffer_limits(high=PART_BYTES)
    sock = transport.get_extra_info("socket")
    if sock is not None:
        # Without the option, parts wait in the kernel in front of other frames.
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, PART_BYTES)


async def dial_link(
    address: Address,
    handle: FrameHandler,
    on_lost: Callable[[Link], None],
    budget: BodyBudget | None = None,
    scheduler: UplinkScheduler | None = None,
) -> Link:
    """Return a new link to the node at `address`; raise `LinkLost` on failure."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(DIAL_TIMEOUT_SECONDS):
            _, link = await loop.create_connection(
                lambda: Link(handle, on_lost, budget, scheduler),
                address.ip,
                address.port,
            )
    except (OSError, TimeoutError) as error:
        cause = str(error) or "timed out"
        raise LinkLost(cause, step="dial", peer=str(address)) from error
    return link


async def serve_links(
    address: Address,
    handle: FrameHandler,
    on_lost: Callable[[Link], None],
    budget: BodyBudget | None = None,
    scheduler: UplinkScheduler | None = None,
    holders: LinkHolders | None = None,
) -> asyncio.Server:
    """Accept links at `address`; raise `OSError` if it can't be bound."""
    loop = asyncio.get_running_loop()
    sock = open_server_socket(address.ip, address.port, BACKLOG)
    server = await loop.create_server(
        lambda: Link(handle, on_lost, budget, scheduler, holders),
        sock=sock,
        backlog=ACCEPTED_AT_ONCE,
    )
    # asyncio has set the kernel's backlog to what it takes at once.
    sock.listen(BACKLOG)
    return server
