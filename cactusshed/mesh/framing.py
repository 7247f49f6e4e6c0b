"""Encoding of frames: MessagePack, each with its length in front."""

from collections.abc import Callable, Iterator

import msgspec

from ..errors import Malformed
from ..policy.bodybudget import BodyBudget
from .frames import Frame

__all__ = ["FrameDecoder", "encode_frame"]

MAX_FRAME_BYTES = 8 << 20
"""Covers the operator's rows. Large bodies come in parts; only a node of the build
before sends them whole."""
FREE_BUFFER_BYTES = 4 << 10
"""Bytes of an unfinished frame that don't count against the budget: most frames are
shorter."""
LENGTH_BYTES = 4
"""Size of the length prefix."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Return a frame as bytes with its length prefix."""
    body = _encoder.encode(frame)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


class FrameDecoder:
    """Decodes frames from a stream; large unfinished ones count in `budget`."""

    def __init__(
        self,
        budget: BodyBudget | None = None,
        make_room: Callable[[BodyBudget, int], None] = lambda _budget, _size: None,
    ) -> None:
        """Start with an empty buffer.

        `make_room` is called with the budget and the bytes for which it has no room.
        """
        self._budget = budget or BodyBudget(MAX_FRAME_BYTES + FREE_BUFFER_BYTES)
        self._make_room = make_room
        self._buffer = bytearray()
        self.reserved_bytes = 0
        """Bytes of an unfinished frame that are charged to the budget."""
        self.frame_bytes = 0
        """Size of the frame that was decoded last."""

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield the frames that `data` completes.

        Raises `Malformed` for a frame that is too long or can't be decoded, or if
        unfinished frames exceed the budget.
        """
        self._buffer += data
        start = 0
        while len(self._buffer) - start >= LENGTH_BYTES:
            body = start + LENGTH_BYTES
            length = int.from_bytes(self._buffer[start:body], "big")
            if length > MAX_FRAME_BYTES:
                raise Malformed(
                    f"frame of {length} bytes exceeds the limit", step="read frame"
                )
            if len(self._buffer) < body + length:
                break
            self.frame_bytes = length
            try:
                yield _decoder.decode(memoryview(self._buffer)[body : body + length])
            except (ValueError, RecursionError) as error:
                raise Malformed(str(error), step="read frame") from error
            start = body + length
        if start:
            del self._buffer[:start]
        self._reserve_buffer()

    def _reserve_buffer(self) -> None:
        needed = max(0, len(self._buffer) - FREE_BUFFER_BYTES)
        if needed == self.reserved_bytes:
            return
        self.close()
        if not self._budget.reserve(needed):
            self._make_room(self._budget, needed)
            if not self._budget.reserve(needed):
                raise Malformed("unfinished frames are too large", step="read frame")
        self.reserved_bytes = needed

    def drop(self) -> None:
        """Drop an unfinished frame of a link that has ended.

        The link may be part of a cycle of references, so that it is freed late.
        """
        self.close()
        self._buffer = bytearray()

    def close(self) -> None:
        """Return what is reserved for an unfinished frame."""
        self._budget.release(self.reserved_bytes)
        self.reserved_bytes = 0
