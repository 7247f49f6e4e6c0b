"""Links between nodes: large bodies in parts, their memory, and errors in the gate."""

import asyncio
import time
from contextlib import asynccontextmanager

import attrs
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from cactusshed.mesh.bodyparts import PART_BYTES, BodyAssembler
from cactusshed.mesh.crashes import CrashTracker
from cactusshed.mesh.frames import (
    ANSWERED,
    NOT_RUN,
    UNKNOWN,
    BodyPart,
    Call,
    Hello,
    Load,
    ReaderHeartbeat,
    Result,
    TargetState,
)
from cactusshed.mesh.framing import FrameDecoder, encode_frame
from cactusshed.mesh.inbound import Inbound
from cactusshed.mesh.link import dial_link, serve_links
from cactusshed.observe.counters import Counters
from cactusshed.options import Address
from cactusshed.policy.bodybudget import BodyBudget
from cactusshed.policy.plannedstop import PlannedStop
from cactusshed.policy.quarantine import Quarantine
from standins.meshfleet import (
    MeshFleet,
    make_document,
    render_request,
    wait_for,
)
from standins.ports import choose_port

from .meshes import make_call, run_async

LINK_BYTES_PER_SECOND = 625_000
"""A link of 5 Mbit/s, the slowest of the users' deployments."""


@attrs.define
class FakeGate:
    """Runs each call at once and records its body."""

    bodies: list = attrs.Factory(list)
    counters: Counters = attrs.Factory(Counters)
    error: Exception | None = None

    async def run(self, call, _on_silent=None):
        """Return the size of the body as the answer."""
        if self.error is not None:
            raise self.error
        self.bodies.append(call.body)
        return Result(call.number, 0, self.get_load(), 200, body=call.body)

    def get_load(self):
        """Return an idle load."""
        return Load(0, 0, 1, 0.0)


async def forward_slowly(reader, writer):
    """Forward a stream at the speed of the slowest link."""
    piece = LINK_BYTES_PER_SECOND // 100
    try:
        while data := await reader.read(piece):
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(len(data) / LINK_BYTES_PER_SECOND)
    finally:
        writer.close()


@asynccontextmanager
async def open_slow_relay(address):
    """Yield the address of a relay whose way to `address` is slow."""

    async def serve(reader, writer):
        remote_reader, remote_writer = await asyncio.open_connection(*address)
        await asyncio.gather(
            forward_slowly(reader, remote_writer),
            forward_slowly(remote_reader, writer),
            return_exceptions=True,
        )

    server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=PART_BYTES)
    for sock in server.sockets:
        sock.setsockopt(1, 8, PART_BYTES)  # SO_RCVBUF
    try:
        yield Address(*server.sockets[0].getsockname())
    finally:
        server.close()


@asynccontextmanager
async def open_link_pair(budget, on_frame=lambda *_: None, takes_parts=True):
    """Yield a link over a slow way to the inbound side of a node, and its gate."""
    gate = FakeGate()
    tracker = CrashTracker(Quarantine())
    received = []

    def handle_other(_link, frame):
        received.append((type(frame), time.monotonic()))

    inbound = Inbound(gate, tracker, handle_other, BodyAssembler(budget), PlannedStop())
    inbound.relay = attrs.make_class("Relay", [])()
    type(inbound.relay).handle = lambda _self, link, frame: handle_other(link, frame)
    address = Address("127.0.0.1", choose_port())
    accepted = []

    def handle(link, frame):
        accepted.append(link)
        link.takes_parts = takes_parts
        inbound.handle(link, frame)

    server = await serve_links(address, handle, inbound.handle_link_lost)
    async with open_slow_relay((address.ip, address.port)) as relay:
        link = await dial_link(relay, on_frame, lambda _link: None)
        link.takes_parts = takes_parts
        try:
            yield link, gate, received, inbound
        finally:
            link.close()
            for other in accepted:
                other.close()
            server.close()


def test_small_frames_pass_a_large_body():
    """A heartbeat behind an upload of 600 KB arrives long before its end."""

    async def run():
        results = []
        async with open_link_pair(
            BodyBudget(1 << 20), lambda _link, frame: results.append(frame)
        ) as (link, gate, received, _):
            started = time.monotonic()
            link.send(make_call(body=b"x" * 600_000))
            await asyncio.sleep(0.1)
            sent = time.monotonic()
            link.send(ReaderHeartbeat(1, 1))
            async with asyncio.timeout(10):
                while not gate.bodies:
                    await asyncio.sleep(0.005)
            return received[0][1] - sent, time.monotonic() - started, gate.bodies

    waited, total, bodies = run_async(run)
    assert_that(waited, LessThan(0.3))
    assert_that(total, GreaterThan(0.6))
    assert_that(bodies, Equals([b"x" * 600_000]))


def test_large_answer_comes_back_whole():
    """An answer in parts is complete, and earlier builds get it as one frame."""

    async def run(takes_parts):
        frames = []
        async with open_link_pair(
            BodyBudget(1 << 20),
            lambda _link, frame: frames.append(frame),
            takes_parts,
        ) as (link, _gate, _received, inbound):
            body = bytes(range(256)) * 400
            link.send(make_call(body=body))
            async with asyncio.timeout(10):
                size = 0
                while size < len(body):
                    await asyncio.sleep(0.005)
                    parts = [
                        f.data if isinstance(f, BodyPart) else f.body for f in frames
                    ]
                    size = len(b"".join(parts))
            used = inbound.bodies.budget.used
            return b"".join(parts) == body, [type(f) for f in frames][:2], used

    whole, kinds, used = run_async(lambda: run(True))
    assert_that((whole, kinds, used), Equals((True, [Result, BodyPart], 0)))
    whole, kinds, used = run_async(lambda: run(False))
    assert_that((whole, kinds, used), Equals((True, [Result], 0)))


def test_call_without_memory_is_refused_and_its_parts_are_dropped():
    """The gate's node refuses a body for which it has no memory before it arrives."""

    async def run():
        frames = []
        async with open_link_pair(
            BodyBudget(10_000), lambda _link, frame: frames.append(frame)
        ) as (link, gate, _received, _inbound):
            link.send(make_call(body=b"x" * 200_000))
            async with asyncio.timeout(10):
                while not frames:
                    await asyncio.sleep(0.005)
            await asyncio.sleep(0.5)
            return frames, gate.bodies, link.is_closed

    frames, bodies, is_closed = run_async(run)
    assert_that((frames[0].outcome, frames[0].code), Equals((NOT_RUN, "no-memory")))
    assert_that(frames[0].retry_after_ms, GreaterThan(0))
    assert_that((bodies, is_closed), Equals(([], False)))


def test_result_cut_anywhere_is_not_complete():
    """A link that ends within a result must not pass on an empty or short answer."""
    result = Result(
        7, ANSWERED, Load(0, 0, 4, 1.0), 200, [(b"x-response-seal", b"s")], b"body"
    )
    data = encode_frame(result)
    for cut in range(len(data)):
        assert_that(list(FrameDecoder().feed(data[:cut])), Equals([]))
    (decoded,) = FrameDecoder().feed(data)
    assert_that(decoded.body, Equals(b"body"))


def test_error_in_the_gate_is_answered():
    """An unexpected error in one call gives it an unknown outcome, and ends no link."""

    async def run():
        frames = []
        async with open_link_pair(
            BodyBudget(1000), lambda _link, frame: frames.append(frame)
        ) as (link, gate, _received, inbound):
            gate.error = KeyError("unexpected")
            link.send(make_call(number=1))
            async with asyncio.timeout(10):
                while not frames:
                    await asyncio.sleep(0.005)
            gate.error = None
            link.send(make_call("r2", number=2))
            async with asyncio.timeout(10):
                while len(frames) < 2:
                    await asyncio.sleep(0.005)
            return [(f.number, f.outcome, f.code) for f in frames], inbound.running

    results, running = run_async(run)
    assert_that(results, Equals([(1, UNKNOWN, "internal-error"), (2, ANSWERED, "")]))
    assert_that(running, Equals(0))


@pytest.mark.parametrize("how", ["cancelled", "lost"])
def test_incomplete_body_returns_its_memory(how):
    """A call that is cancelled, or whose link is lost, in the middle is dropped."""
    assembler = BodyAssembler(BodyBudget(1000))
    link = object()
    call: Call = make_call(number=7, body_size=900)
    assert_that(assembler.start(link, call), Equals(True))
    assert_that(assembler.add(link, BodyPart(7, b"x" * 400)), Equals(None))
    if how == "cancelled":
        assembler.drop(link, 7)
    else:
        assembler.drop_link(link)
    assert_that(assembler.budget.used, Equals(0))
    assert_that(assembler.add(link, BodyPart(7, b"x" * 500)), Equals(None))


def test_upload_through_two_nodes_runs_once_with_its_whole_body():
    """A body of several parts reaches a target beside another node unchanged."""

    async def run():
        fleet = await MeshFleet.open()
        routes = {"/upload/": {"kind": "upload"}}
        fleet.store.put_json("op", "config", make_document(1, routes, ["a", "b"]))
        try:
            near = await fleet.start("d1", "b")
            far = await fleet.start("d2", "a")
            for node in (near, far):
                await wait_for(node.is_reachable_and_ready)
                await node.announce()
            await wait_for(lambda: fleet.are_all_connected([near, far]))
            body = bytes(range(256)) * 240
            reader, writer = await asyncio.open_connection(
                near.settings.callers.ip, near.settings.callers.port
            )
            writer.write(render_request(b"POST", "/upload/", {}, body))
            head = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            runs = [received for _, _, received in far.target.requests]
            return head[9:12], runs == [body], near.sidecar.request_budget.used
        finally:
            await fleet.close()

    assert_that(run_async(run), Equals((b"200", True, 0)))


class OldHello(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """`Hello` of the build before bodies in parts."""

    node: str
    start_time: int
    data_centre: str
    address: str
    service: str
    state: TargetState
    link_mbps: float
    remembered: TargetState | None = None


def test_builds_before_and_after_parts_read_each_others_hello():
    """An old node ignores the new field; without it a node gets whole frames."""
    fields = ("n", 1, "dc", "127.0.0.1:1", "s", TargetState(), 10.0)
    new = encode_frame(Hello(*fields, takes_parts=True))
    read_by_old = msgspec.msgpack.decode(new[4:], type=OldHello)
    assert_that(read_by_old, Equals(OldHello(*fields)))
    old = msgspec.msgpack.encode(OldHello(*fields))
    (read_by_new,) = FrameDecoder().feed(len(old).to_bytes(4, "big") + old)
    assert_that(read_by_new, Equals(Hello(*fields)))
    assert_that(read_by_new.takes_parts, Equals(False))
