"""Tests of the listener: limits, request smuggling, pipelining, disconnects."""

import asyncio
import errno
from contextlib import asynccontextmanager

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, StartsWith

from cactusshed.mesh.connection import Connection
from cactusshed.mesh.listener import Listener
from cactusshed.mesh.messages import Response
from cactusshed.mesh.table import Limits
from standins.ports import choose_port

from .meshes import run_async

LIMITS = Limits(1000, 2000, 0.3, 0.6)


@asynccontextmanager
async def open_listener(work=0.0):
    """Yield a connection to a listener, and its served and cancelled requests."""
    served, cancelled = [], []

    async def serve(request):
        try:
            await asyncio.sleep(work)
        except asyncio.CancelledError:
            cancelled.append(request)
            raise
        served.append((request.method, request.path, request.body))
        return Response(200, [], request.path)

    listener = Listener(serve, lambda: LIMITS, lambda status: None)
    port = choose_port()
    await listener.open("127.0.0.1", port)
    sweeping = asyncio.create_task(listener.sweep())
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        yield reader, writer, served, cancelled
    finally:
        writer.close()
        sweeping.cancel()
        listener.stop()


def send(data, work=0.0, pause=0.0):
    """Send `data`; return all data received and the served requests."""

    async def run():
        async with open_listener(work) as (reader, writer, served, _):
            for part in data if isinstance(data, list) else [data]:
                writer.write(part)
                await asyncio.sleep(pause)
            return await reader.read(), served

    return run_async(run)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 2000 + b"\r\n\r\n", 431),
        (b"PUT / HTTP/1.1\r\nhost: a\r\ncontent-length: 3000\r\n\r\n", 413),
        (b"nonsense\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nhost: a\r\n", 408),
        (b"PUT / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nab", 408),
    ],
)
def test_input_past_the_limits_is_refused(data, status):
    """Input that is too large, too slow or malformed gets its status and never runs."""
    answer, served = send(data)
    assert_that(answer, StartsWith(b"HTTP/1.1 %d " % status))
    assert_that(served, Equals([]))


@pytest.mark.parametrize(
    "framing",
    [
        b"content-length: 5\r\ntransfer-encoding: chunked\r\n",
        b"content-length: 5\r\ncontent-length: 6\r\n",
        b"transfer-encoding: chunked, identity\r\n",
        b"content-length: +5\r\n",
    ],
)
def test_ambiguous_framing_smuggles_nothing(framing):
    """A request hidden in the body of another one is never run.

    Otherwise a client could smuggle requests through conflicting framing headers.
    """
    inner = b"GET /inner HTTP/1.1\r\nhost: a\r\n\r\n"
    data = b"POST /outer HTTP/1.1\r\nhost: a\r\n" + framing + b"\r\n0\r\n\r\n" + inner
    answer, served = send(data)
    assert_that(answer, StartsWith(b"HTTP/1.1 400"))
    assert_that([path for _, path, _ in served if path == b"/inner"], Equals([]))


def test_chunked_body_in_pieces_is_whole():
    """A chunked body is complete however its bytes are split over reads."""
    data = b"PUT /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
    parts = [data, b"3\r\nabc\r\n", b"2\r\n", b"de\r\n0\r\n\r\n"]
    _, served = send(parts, pause=0.01)
    assert_that(served, Equals([(b"PUT", b"/x", b"abcde")]))


def test_pipelined_requests_are_answered_in_order():
    """Twelve pipelined requests are served one at a time, in order."""
    data = b"".join(b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n" % n for n in range(12))
    answer, served = send(data, work=0.002)
    assert_that(
        [path for _, path, _ in served], Equals([b"/%d" % n for n in range(12)])
    )
    assert_that(answer.count(b"HTTP/1.1 200"), Equals(12))


def test_client_that_leaves_cancels_its_request():
    """Closing the connection cancels the task that serves its request."""

    async def run():
        async with open_listener(5.0) as (_, writer, _, cancelled):
            writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            await asyncio.sleep(0.05)
            writer.close()
            await asyncio.sleep(0.05)
            return len(cancelled)

    assert_that(run_async(run), Equals(1))


OFFER = (
    b"connection: Upgrade, HTTP2-Settings, keep-alive\r\n"
    b"upgrade: h2c\r\nhttp2-settings: AAMAAABk\r\n"
)
SUBMISSION = b"POST /s HTTP/1.1\r\nhost: a\r\n%s%s\r\n%s"
CODED = b"transfer-encoding: gzip, chunked\r\n"
LAST = b"GET /last HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"


@pytest.mark.parametrize("size", [1, 7, 10_000])
@pytest.mark.parametrize("offer", [OFFER, OFFER.replace(b"h2c", b"websocket")])
@pytest.mark.parametrize(
    ("framing", "body"),
    [
        (b"content-length: 4\r\n", b"text"),
        (b"transfer-encoding: chunked\r\n", b"2\r\nte\r\n2\r\nxt\r\n0\r\n\r\n"),
    ],
)
def test_offer_of_another_protocol_is_ignored(framing, body, offer, size):
    """The parser skipped the body, and the request ran with an empty one."""
    data = SUBMISSION % (offer, framing, body) + LAST
    parts = [data[start : start + size] for start in range(0, len(data), size)]
    answer, served = send(parts)
    expected = [(b"POST", b"/s", b"text"), (b"GET", b"/last", b"")]
    assert_that((served, answer.count(b"HTTP/1.1 200 ")), Equals((expected, 2)))


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"CONNECT a:80 HTTP/1.1\r\nhost: a\r\n\r\nrest", 400),
        (
            SUBMISSION % (b"transfer-encoding: gzip, chunked\r\n", b"", b"0\r\n\r\n"),
            501,
        ),
    ],
)
def test_what_is_not_spoken_is_refused_before_it_is_dispatched(data, status):
    """A tunnel, or a body in a coding that would be lost on the way."""
    answer, served = send(data + LAST)
    assert_that(answer, StartsWith(b"HTTP/1.1 %d " % status))
    assert_that(served, Equals([]))


def test_reset_at_the_end_of_a_connection_raises_no_error():
    """A client's reset between a refusal and the shutdown ended the timeouts."""

    class ResetTransport(asyncio.Transport):
        def write(self, data):
            """Accept the refusal."""

        def can_write_eof(self):
            return True

        def is_closing(self):
            return False

        def get_write_buffer_size(self):
            return 0

        def write_eof(self):
            raise OSError(errno.ENOTCONN, "Transport endpoint is not connected")

        def close(self):
            """Accept the end of the connection."""

    async def run():
        listener = Listener(None, lambda: LIMITS, lambda status: None)
        connection = Connection(listener)
        connection.connection_made(ResetTransport())
        connection.data_received(b"GET / HTTP/1.1\r\n")
        sweeping = asyncio.create_task(listener.sweep())
        done, _ = await asyncio.wait([sweeping], timeout=3 * LIMITS.header_seconds)
        sweeping.cancel()
        return [task.exception() for task in done]

    assert_that(run_async(run), Equals([]))
