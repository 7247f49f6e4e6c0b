"""Bytes without end on links between nodes: frames, parts of bodies, and no frames."""

import gc
import tracemalloc

import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from cactusshed.mesh.bodyparts import BodyAssembler
from cactusshed.mesh.frames import BodyPart, Cancel, Ping
from cactusshed.mesh.framing import MAX_FRAME_BYTES, encode_frame
from cactusshed.mesh.link import Link
from cactusshed.policy.bodybudget import BodyBudget

from .meshes import make_call, run_async

READ_BYTES = 256 << 10
"""Bytes that asyncio reads at a time."""
SENT_BYTES = 1 << 20
MEMORY_BYTES = 4 << 20
"""Memory for what is read at a time and the frames in it."""
UNREAD_BYTES = 512 << 10
"""Bytes that wait for the other side to read: some 0.8 s of a link of 5 Mbit/s."""
BUDGET_BYTES = 1 << 20


@attrs.define
class FakeTransport:
    """A transport whose other side reads nothing."""

    unread: int = 0
    is_aborted: bool = False

    def write(self, data):
        """Keep the size of what is written."""
        self.unread += len(data)

    def get_write_buffer_size(self):
        """Return the bytes that are not sent."""
        return self.unread

    def abort(self):
        """Note the end of the connection."""
        self.is_aborted = True

    def is_closing(self):
        """Return whether the connection has ended."""
        return self.is_aborted

    def get_extra_info(self, _name):
        """Return no socket."""

    def set_write_buffer_limits(self, high):
        """Accept the limit."""


FRAMES = {
    "garbage": b"\xff\xfe\xfd" * 20,
    "zeros": bytes(64),
    "nested": (1 << 20).to_bytes(4, "big") + b"\x91" * 4000,
    "pings": encode_frame(Ping()),
    "cancels": encode_frame(Cancel(7)),
    "parts without a call": encode_frame(BodyPart(7, b"x" * 100)),
    "empty parts": encode_frame(BodyPart(1, b"")),
    "parts of one byte": encode_frame(BodyPart(1, b"x")),
    "calls without a body": encode_frame(make_call(body_size=1 << 14)),
    "large frame": (MAX_FRAME_BYTES).to_bytes(4, "big") + bytes(1 << 16),
}


@pytest.mark.parametrize("kind", FRAMES)
def test_link_keeps_little_of_bytes_without_end(kind):
    """Pings were answered without end, also to a node that read no answers."""
    repeated = FRAMES[kind]
    data = repeated * (READ_BYTES // len(repeated) + 1)
    budget = BodyBudget(BUDGET_BYTES)
    assembler = BodyAssembler(budget)

    def handle(link, frame):
        if isinstance(frame, BodyPart):
            call = assembler.add(link, frame)
            if call is not None:
                budget.release(call.body_size)
        elif not isinstance(frame, Cancel) and not assembler.expects(link, 1):
            assembler.start(link, frame)

    async def run():
        transport = FakeTransport()
        link = Link(handle, assembler.drop_link, budget)
        link.connection_made(transport)
        if kind in ("empty parts", "parts of one byte"):
            handle(link, make_call(body_size=1 << 19))
        for _ in range(SENT_BYTES // READ_BYTES):
            if not transport.is_aborted:
                link.data_received(data)
        link.close()
        return transport.unread

    gc.collect()
    tracemalloc.start()
    try:
        unread = run_async(run)
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert_that(peak, LessThan(MEMORY_BYTES))
    assert_that(unread, LessThan(UNREAD_BYTES))
    assert_that(budget.used, Equals(0))
