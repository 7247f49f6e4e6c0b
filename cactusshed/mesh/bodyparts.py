"""Large bodies between nodes, in parts, so that small frames don't wait behind them.

A link may carry 5 Mbit/s: a body of 360 KB takes it for 0.6 s, in which heartbeats,
results and small calls must still get through.
"""

from collections import deque
from collections.abc import Callable

import attrs
import msgspec

from ..errors import Malformed
from ..policy.bodybudget import BodyBudget
from ..policy.clientmemory import compute_head_cost, reserve_head
from ..policy.uplink import BULK_BYTES
from ..uplink.scheduler import PacedBody, UplinkScheduler
from .frames import BodyPart, Call, Frame, Result
from .framing import encode_frame

__all__ = ["PART_BYTES", "BodyAssembler", "PartSender", "is_sent_in_parts"]

PART_BYTES = 16 << 10
"""Size of a part: 26 ms of a link of 5 Mbit/s."""


def is_sent_in_parts(frame: Frame) -> bool:
    """Return whether the body of a frame is large enough to be sent in parts."""
    return isinstance(frame, Call | Result) and len(frame.body) > PART_BYTES


@attrs.define
class _Outgoing:
    """A body that is being sent."""

    number: int
    body: memoryview
    sent: int = 0


@attrs.define(eq=False)
class PartSender:
    """Bodies that are being sent over one link; they take turns.

    With a scheduler, large answers wait until the host's link has room for them.
    """

    write: Callable[[bytes], None]
    scheduler: UplinkScheduler | None = None
    is_held: bool = False
    """Whether the transport has enough to send."""
    _outgoing: deque[_Outgoing] = attrs.Factory(deque)

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of the parts that are still to be sent."""
        unsent = sum(len(outgoing.body) - outgoing.sent for outgoing in self._outgoing)
        if self.scheduler is not None:
            unsent += self.scheduler.count_unsent(self)
        return unsent

    @property
    def is_waiting(self) -> bool:
        """Return whether large answers wait for their turn, not for the other side."""
        if self.is_held or self.scheduler is None:
            return False
        return self.scheduler.count_unsent(self) > 0

    def send(self, frame: Call | Result) -> None:
        """Send a frame without its body, and the body as the link allows."""
        head = msgspec.structs.replace(frame, body=b"", body_size=len(frame.body))
        self.write(encode_frame(head))
        outgoing = _Outgoing(frame.number, memoryview(frame.body))
        is_bulk = isinstance(frame, Result) and len(frame.body) >= BULK_BYTES
        if is_bulk and self.scheduler is not None:
            self._schedule(outgoing)
        else:
            self._outgoing.append(outgoing)
            self.advance()

    def _schedule(self, outgoing: _Outgoing) -> None:
        self.scheduler.add(
            PacedBody(
                self,
                outgoing.number,
                lambda: self.is_held,
                lambda: self._send_part(outgoing),
                len(outgoing.body),
            )
        )

    def _send_part(self, outgoing: _Outgoing) -> int:
        """Send the next part; return the bytes that are left."""
        end = outgoing.sent + PART_BYTES
        part = BodyPart(outgoing.number, bytes(outgoing.body[outgoing.sent : end]))
        outgoing.sent = min(end, len(outgoing.body))
        self.write(encode_frame(part))
        return len(outgoing.body) - outgoing.sent

    def cancel(self, number: int) -> bool:
        """Drop the parts of a call that were not sent yet; return whether any were."""
        kept = deque(o for o in self._outgoing if o.number != number)
        has_unsent = len(kept) < len(self._outgoing)
        self._outgoing = kept
        if self.scheduler is not None and self.scheduler.drop(self, (number,)):
            has_unsent = True
        return has_unsent

    def drop_paced(self, number: int) -> None:
        """Drop the large answer to a call whose caller has left."""
        if self.scheduler is not None:
            self.scheduler.drop(self, (number,))

    def close(self) -> None:
        """Drop all bodies, because the link has ended."""
        self._outgoing.clear()
        if self.scheduler is not None:
            self.scheduler.drop(self)

    def advance(self) -> None:
        """Send parts until the transport has enough."""
        while self._outgoing and not self.is_held:
            outgoing = self._outgoing.popleft()
            if self._send_part(outgoing):
                self._outgoing.append(outgoing)
        if self.scheduler is not None and not self.is_held:
            self.scheduler.advance()


@attrs.define(eq=False)
class _Incoming:
    """A frame whose body is being received."""

    frame: Call | Result
    body: bytearray = attrs.Factory(bytearray)


def _compute_frame_cost(frame: Call | Result) -> int:
    """Return the memory of the head of a frame whose body comes in parts."""
    size = sum([len(name) + len(value) for name, value in frame.headers])
    return compute_head_cost(len(frame.headers), size)


@attrs.define(eq=False)
class BodyAssembler:
    """Bodies that are being received in parts; they count against `budget`."""

    budget: BodyBudget
    heads: BodyBudget | None = None
    """Budget for the heads of their frames."""
    _incoming: dict[tuple[int, int], _Incoming] = attrs.Factory(dict)
    """By the identity of the link and the number of the frame."""

    def __len__(self) -> int:
        return len(self._incoming)

    def start(self, link: object, frame: Call | Result) -> bool:
        """Expect the body of a frame; return False if there is no memory for it."""
        if not self.budget.reserve(frame.body_size):
            return False
        if self.heads is not None and not reserve_head(
            self.heads, _compute_frame_cost(frame)
        ):
            self.budget.release(frame.body_size)
            return False
        self._incoming[id(link), frame.number] = _Incoming(frame)
        return True

    def add(self, link: object, part: BodyPart) -> Call | Result | None:
        """Add a part; return the frame if its body is complete.

        The caller then calls `release` once it no longer holds the frame.
        Raises `Malformed` if the parts exceed the announced size. Parts of frames that
        were refused or dropped are ignored.
        """
        key = id(link), part.number
        incoming = self._incoming.get(key)
        if incoming is None:
            return None
        frame = incoming.frame
        if len(incoming.body) + len(part.data) > frame.body_size:
            raise Malformed("body exceeds its size", step="read body part")
        incoming.body += part.data
        if len(incoming.body) < frame.body_size:
            return None
        del self._incoming[key]
        frame.body = bytes(incoming.body)
        return frame

    def expects(self, link: object, number: int) -> bool:
        """Return whether parts of a frame are expected."""
        return (id(link), number) in self._incoming

    def drop(self, link: object, number: int) -> None:
        """Drop a frame whose body is not complete, if there is one."""
        incoming = self._incoming.pop((id(link), number), None)
        if incoming is not None:
            self.release(incoming.frame)

    def release(self, frame: Call | Result) -> None:
        """Return what a frame has reserved."""
        self.budget.release(frame.body_size)
        if self.heads is not None:
            self.heads.release(_compute_frame_cost(frame))

    def drop_link(self, link: object) -> None:
        """Drop the incomplete frames of a closed link."""
        for link_id, number in list(self._incoming):
            if link_id == id(link):
                self.drop(link, number)
