"""Answers whose status is none of HTTP: no reader passes them on or waits for more."""

import asyncio
from contextlib import asynccontextmanager

import httpcore
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from cactusshed.errors import AnswerLost, PlatformUnavailable
from cactusshed.mesh.frames import UNKNOWN
from cactusshed.mesh.pool import ConnectionPool
from cactusshed.mesh.targetclient import request_health
from cactusshed.mesh.upstream import UpstreamFailed
from cactusshed.observe.counters import Counters
from cactusshed.options import Address
from cactusshed.platform import headers as header_names
from cactusshed.platform.rows import ABSENT, ConditionalPut, RowStore

from .meshes import make_call, open_gate, run_async
from .test_connection import send_request

STATUSES = [b"000", b"001", b"099", b"600", b"999"]
HEADERS = (
    b"content-length: 2\r\nx-attempt-id: r1\r\nx-response-seal: s\r\n"
    b"x-instance-id: i-1\r\n\r\n{}"
)
MAX_SECONDS = 1.0
"""Half of the time that a call has: far above what reading an answer takes."""
CLOSE_SECONDS = 0.05
"""Time for both ends to see that a connection is closed."""


@asynccontextmanager
async def open_server(status):
    """Yield the address of a server that answers every request with `status`."""

    async def serve(reader, writer):
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 " + status + b" X\r\n" + HEADERS)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield Address(*server.sockets[0].getsockname())
    finally:
        server.close()
        await asyncio.sleep(CLOSE_SECONDS)


@pytest.mark.parametrize("status", STATUSES)
def test_answer_without_a_valid_status_fails_at_once(status):
    """It was taken for an interim answer until the deadline, or passed on."""

    async def work():
        async with open_server(status) as address, open_gate() as opened:
            pool = ConnectionPool(address, header_names.ATTEMPT_ID)
            opened.gate.exchange.pool = pool
            started = asyncio.get_running_loop().time()
            result = await opened.gate.run(make_call("r1", is_idempotent=False))
            seconds = asyncio.get_running_loop().time() - started
            await asyncio.sleep(CLOSE_SECONDS)
            return (result.outcome, result.code), seconds, len(pool._open)

    outcome, seconds, connections = run_async(work)
    assert_that(outcome, Equals((UNKNOWN, "answer-missing")))
    assert_that(seconds, LessThan(MAX_SECONDS))
    assert_that(connections, Equals(0))


@pytest.mark.parametrize("status", STATUSES)
def test_health_answer_without_a_valid_status_says_nothing(status):
    """A target in trouble would have been opened, or waited for."""

    async def work():
        async with open_server(status) as address:
            with pytest.raises(UpstreamFailed):
                await request_health(ConnectionPool(address, b""), "/healthz")

    run_async(work)


@pytest.mark.parametrize("status", STATUSES)
def test_store_answer_without_a_valid_status_is_lost(status):
    """A write may have been done, a read has failed; neither waits for its limit."""

    async def work():
        async with open_server(status) as address:
            store = RowStore(address, Counters(), timeout=2 * MAX_SECONDS)
            started = asyncio.get_running_loop().time()
            with pytest.raises(AnswerLost):
                await store.write([ConditionalPut("t", "k", b"1", ABSENT)])
            with pytest.raises(PlatformUnavailable):
                await store.read_row("t", "k")
            store.close()
            return asyncio.get_running_loop().time() - started

    assert_that(run_async(work), LessThan(MAX_SECONDS))


@pytest.mark.parametrize("status", STATUSES)
def test_answer_to_the_product_without_a_valid_status_is_refused(status):
    """The product's own path to its targets reads answers with another client."""
    answer = b"HTTP/1.1 " + status + b" X\r\ncontent-length: 5\r\n\r\nhello"
    with pytest.raises(httpcore.RemoteProtocolError):
        send_request([answer])
