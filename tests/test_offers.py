"""Requests with an offer of another protocol on the product's own listener."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, StartsWith

from cactusshed.options import Address
from cactusshed.serve.asgi import read_body
from cactusshed.serve.listener import Listener
from cactusshed.settings import parse_settings
from standins.ports import choose_port

from .test_settings import GOOD

OFFER = b"connection: Upgrade, HTTP2-Settings\r\nupgrade: h2c\r\nhttp2-settings: AA\r\n"
CODED = b"transfer-encoding: gzip, chunked\r\n"
LENGTH = b"content-length: 4\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n"
REQUEST = b"POST /s HTTP/1.1\r\nhost: a\r\n%s\r\n%s"


def send(data):
    """Send data to a listener; return the first bytes of its answer and the bodies."""
    bodies = []

    async def serve(scope, receive, send_event):
        bodies.append(await read_body(receive, 100))
        await send_event({"type": "http.response.start", "status": 200, "headers": []})
        await send_event({"type": "http.response.body", "body": b"done"})

    async def run():
        address = Address("127.0.0.1", choose_port())
        listener = Listener(serve, address, parse_settings(GOOD))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.run)
            async with await anyio.connect_tcp(address.ip, address.port) as stream:
                await stream.send(data)
                with anyio.fail_after(5.0):
                    answer = await stream.receive()
            listener.stop()
        return answer

    return anyio.run(run), bodies


@pytest.mark.parametrize(
    ("framing", "body"),
    [(LENGTH, b"text"), (CHUNKED, b"2\r\nte\r\n2\r\nxt\r\n0\r\n\r\n")],
)
@pytest.mark.parametrize("offer", [b"", OFFER, OFFER.replace(b"h2c", b"websocket")])
def test_offer_of_another_protocol_is_ignored(offer, framing, body):
    """The request ran with an empty body."""
    answer, bodies = send(REQUEST % (offer + framing, body))
    assert_that(answer, StartsWith(b"HTTP/1.1 200 "))
    assert_that(bodies, Equals([b"text"]))


def test_body_in_an_unknown_coding_is_refused():
    """The target would get it without the name of its coding."""
    answer, bodies = send(REQUEST % (CODED, b"2\r\nte\r\n0\r\n\r\n"))
    assert_that(answer, StartsWith(b"HTTP/1.1 400 "))
    assert_that(bodies, Equals([]))


def test_data_after_the_last_request_does_not_replace_its_answer():
    """A line break behind a request that closes the connection is no error."""
    answer, bodies = send(REQUEST % (b"connection: close\r\n" + LENGTH, b"text\r\n"))
    assert_that(answer, StartsWith(b"HTTP/1.1 200 "))
    assert_that(bodies, Equals([b"text"]))
