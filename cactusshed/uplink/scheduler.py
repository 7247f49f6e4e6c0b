"""Sending of large answers over all links of a node, one after the other.

Sending many of them in turns would end all of them late.
"""

import asyncio
from collections.abc import Callable, Iterable

import attrs

from ..clock import read_monotonic
from ..policy.uplink import Uplink

__all__ = ["PacedBody", "UplinkScheduler"]


@attrs.define(eq=False)
class PacedBody:
    """A large answer that waits to be sent over one link."""

    owner: object
    """The sender that it belongs to."""
    number: int
    """Number of its call."""
    is_held: Callable[[], bool]
    """Returns whether the link's transport has enough to send."""
    send_part: Callable[[], int]
    """Sends the next part; returns the bytes that are left."""
    unsent: int


@attrs.define(eq=False)
class UplinkScheduler:
    """Sends the parts of large answers at the rate that `uplink` allows."""

    uplink: Uplink
    _bodies: dict[PacedBody, None] = attrs.Factory(dict)
    _timer: asyncio.TimerHandle | None = None

    def add(self, body: PacedBody) -> None:
        """Send a body after those that wait already."""
        self._bodies[body] = None
        self.uplink.unsent += body.unsent
        self.advance()

    def advance(self) -> None:
        """Send parts until the link has enough to do."""
        if self._timer is not None:
            return
        while (body := self._find_next()) is not None:
            pause = self.uplink.compute_pause(read_monotonic())
            if pause > 0:
                loop = asyncio.get_running_loop()
                self._timer = loop.call_later(pause, self._resume)
                return
            self._send_part(body)

    def _resume(self) -> None:
        self._timer = None
        self.advance()

    def _find_next(self) -> PacedBody | None:
        return next((body for body in self._bodies if not body.is_held()), None)

    def _send_part(self, body: PacedBody) -> None:
        left = body.send_part()
        self.uplink.unsent -= body.unsent - left
        body.unsent = left
        if not left:
            del self._bodies[body]

    def drop(self, owner: object, numbers: Iterable[int] | None = None) -> bool:
        """Drop the bodies of a sender, all or those of some calls.

        Returns whether there were any.
        """
        dropped = [
            body
            for body in self._bodies
            if body.owner is owner and (numbers is None or body.number in numbers)
        ]
        for body in dropped:
            del self._bodies[body]
            self.uplink.unsent -= body.unsent
        return bool(dropped)

    def count_unsent(self, owner: object) -> int:
        """Return the bytes that wait to be sent for a sender."""
        return sum(body.unsent for body in self._bodies if body.owner is owner)
