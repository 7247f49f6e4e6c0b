"""Emulated links of hosts: a limited rate, shared by all that a host sends."""

import asyncio
import itertools

import attrs

from ..clock import read_monotonic
from ..mesh.bodyparts import PART_BYTES
from ..policy.uplink import BULK_BYTES, Uplink
from ..uplink.scheduler import PacedBody, UplinkScheduler

__all__ = ["HostLink", "make_host_link"]

FRAME_BYTES = 500
"""Size of a small request or answer between two nodes, with its headers."""


@attrs.define(eq=False)
class HostLink:
    """The outgoing link of one host; what is sent leaves in order.

    `mbps` is 0 for a link that takes no time. Large answers are paced by `scheduler`,
    as by the links of `mesh`; without one they are sent at once.
    """

    mbps: float
    scheduler: UplinkScheduler | None = None
    _busy_until: float = 0.0
    _numbers: itertools.count = attrs.Factory(itertools.count)

    def _transmit(self, size: int) -> float:
        """Send `size` bytes and return the seconds until the last of them has left."""
        now = read_monotonic()
        seconds = size * 8 / (self.mbps * 1e6)
        self._busy_until = max(now, self._busy_until) + seconds
        return self._busy_until - now

    def _transmit_frame(self, size: int) -> float:
        """Send `size` bytes to another node and charge the account of the link."""
        if self.scheduler is not None:
            self.scheduler.uplink.charge(size)
        return self._transmit(size)

    async def send(self, body_bytes: int = 0) -> None:
        """Send a frame and its body at once; return when the link has sent them."""
        if self.mbps:
            await asyncio.sleep(self._transmit_frame(FRAME_BYTES + body_bytes))

    async def send_response(self, body_bytes: int) -> None:
        """Send a response to a client; `CallerHandler` has charged its body."""
        if self.mbps:
            await asyncio.sleep(self._transmit(FRAME_BYTES + body_bytes))

    async def send_answer(self, body_bytes: int) -> None:
        """Send an answer to another node; a large body waits for the scheduler."""
        if self.scheduler is None or body_bytes < BULK_BYTES:
            await self.send(body_bytes)
            return
        self._transmit_frame(FRAME_BYTES)
        sent = asyncio.get_running_loop().create_future()
        left = body_bytes

        def send_part() -> int:
            nonlocal left
            size = min(PART_BYTES, left)
            left -= size
            seconds = self._transmit_frame(size)
            if not left and not sent.done():
                sent.set_result(seconds)
            return left

        number = next(self._numbers)
        body = PacedBody(self, number, lambda: False, send_part, body_bytes)
        self.scheduler.add(body)
        try:
            await asyncio.sleep(await sent)
        finally:
            # A caller that has left wants no more parts.
            self.scheduler.drop(self, (number,))


def make_host_link(mbps: float, uplink: Uplink | None) -> HostLink:
    """Return the link of a host, paced if `uplink` knows its rate."""
    return HostLink(mbps, None if uplink is None else UplinkScheduler(uplink))
