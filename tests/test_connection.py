"""Client connections: fragmented, truncated, interim and malformed responses."""

import math

import anyio
import httpcore
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cactusshed.options import Address
from cactusshed.serve import connection as connection_module
from cactusshed.serve.connection import exchange, make_request, open_connection

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello"
PAUSE_SECONDS = 0.002
MAX_PAUSES = 1000
"""Pauses of the event loop within which an exchange must end: two seconds of running
time. Elapsed time would include the time for which the machine runs other processes."""


@pytest.fixture(autouse=True)
def connect_timeout(monkeypatch):
    """Disable the timeout for connecting, which counts elapsed time."""
    monkeypatch.setattr(connection_module, "CONNECT_TIMEOUT_SECONDS", math.inf)


async def end_hang(scope):
    """Cancel `scope` after `MAX_PAUSES`."""
    for _ in range(MAX_PAUSES):
        await anyio.sleep(PAUSE_SECONDS)
    scope.cancel()


async def run_exchange(parts, method, then_close):
    """Exchange one request with a server that sends `parts` one by one."""

    async def serve(stream):
        async with stream:
            await stream.receive()
            for part in parts:
                await stream.send(part)
                await anyio.sleep(0.002)
            if not then_close:
                await anyio.sleep_forever()

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    address = Address("127.0.0.1", port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        result = TimeoutError("the exchange has not ended")
        with anyio.CancelScope() as scope:
            tasks.start_soon(end_hang, scope)
            connection = await open_connection(address, None, math.inf)
            request = make_request(address, method, b"/", [], b"")
            try:
                reply = await exchange(connection, request)
                result = (reply, connection.is_available())
            except httpcore.ProtocolError as error:
                result = error
            await connection.aclose()
        tasks.cancel_scope.cancel()
    return result


def send_request(parts, method="GET", then_close=False):
    """Return the reply to one request and whether the connection is reusable."""
    result = anyio.run(run_exchange, parts, method, then_close)
    if isinstance(result, Exception):
        raise result
    return result


@pytest.mark.parametrize(
    "parts",
    [
        [OK],
        [OK[i : i + 1] for i in range(len(OK))],
        [b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nhel", b"\r\n"]
        + [b"2\r\nlo\r\n", b"0\r\n\r\n"],
        [b"HTTP/1.1 100 Continue\r\n\r\n", OK],
    ],
)
def test_complete_responses_are_read(parts):
    """A response is read whole however it is split; the connection is reusable."""
    reply, usable = send_request(parts)
    assert_that((reply.status, reply.body, usable), Equals((200, b"hello", True)))


@pytest.mark.parametrize(
    "parts",
    [
        [OK[:-1]],
        [b"HTTP/1.1 200 OK\r\n\r\nhello"],
        [b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nhel\r\n"],
        [b"nonsense\r\n\r\n"],
        [b""],
        [b"HTTP/1.1 200 OK\r\nx: " + b"y" * 70_000, b"\r\n\r\n"],
    ],
)
def test_truncated_and_malformed_responses_are_refused(parts):
    """A truncated, unframed, malformed or oversized response raises an error."""
    with pytest.raises(httpcore.RemoteProtocolError):
        send_request(parts, then_close=True)


RESPONSE_HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nx: y\r\ncontent-length: 5\r\n\r\n",
    "chunked": b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    "unframed": b"HTTP/1.1 200 OK\r\nx: y\r\n\r\n",
    "empty": b"HTTP/1.1 204 OK\r\nx: y\r\n\r\n",
    "interim": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nx: y\r\n\r\n",
}


@pytest.mark.parametrize("method", ["GET", "HEAD"])
@pytest.mark.parametrize("framing", RESPONSE_HEADS)
def test_response_cut_anywhere_in_its_head_is_not_complete(framing, method):
    """A target stopped in the middle of its response's head and closed.

    Callers must not get an empty or short body as a whole one.
    """
    head = RESPONSE_HEADS[framing]
    for cut in range(len(head)):
        with pytest.raises(httpcore.RemoteProtocolError):
            send_request([head[:cut]], method, then_close=True)


def test_response_to_head_has_no_body():
    """A response to HEAD ends with its headers, whatever its content length."""
    reply, usable = send_request(
        [b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n"], "HEAD"
    )
    assert_that((reply.status, reply.body, usable), Equals((200, b"", False)))


def test_connection_close_is_respected():
    """A connection is not reused after a response with `connection: close`."""
    parts = [OK.replace(b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n")]
    assert_that(send_request(parts)[1], Equals(False))


@pytest.mark.parametrize("extra", [OK, OK[:20], b"HTTP/1.1 503 X\r\n\r\n"])
def test_second_response_in_the_same_segment_is_not_mixed_in(extra):
    """A copy of a response right behind it replaced its status and joined its body."""
    reply, usable = send_request([OK + extra])
    assert_that((reply.status, reply.body, usable), Equals((200, b"hello", False)))
