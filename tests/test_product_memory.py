"""What clients may hold at the listeners of `serve/`, and who is evicted."""

import asyncio
from contextlib import asynccontextmanager

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, StartsWith

from cactusshed.connections.served import ServedHolders
from cactusshed.observe.counters import Counters
from cactusshed.options import Address
from cactusshed.policy.bodybudget import BodyBudget
from cactusshed.policy.clientmemory import OutputBudget
from cactusshed.policy.productmemory import ProductBudgets, make_product_budgets
from cactusshed.serve.asgi import read_body, send_text, serve_request
from cactusshed.serve.listener import Listener
from cactusshed.settings import Settings, parse_settings
from standins.ports import choose_port

from .test_settings import GOOD

POST = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n"
SMALL = 40_000
"""Limit of heads and bodies in these tests."""


@asynccontextmanager
async def open_listener(body=b"done", max_connections=100):
    """Yield the address of a listener with small budgets, and its holders."""

    async def serve(scope, receive, send):
        await read_body(receive, 1 << 20)
        await send_text(send, body.decode())

    async def serve_app(scope, receive, send):
        await serve_request(serve, scope, receive, send, Counters(), "tests")

    budgets = ProductBudgets(
        BodyBudget(SMALL), BodyBudget(SMALL), OutputBudget(SMALL), max_connections
    )
    reasons = []
    holders = ServedHolders(budgets, reasons.append)
    address = Address("127.0.0.1", choose_port())
    listener = Listener(serve_app, address, parse_settings(GOOD), holders=holders)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.run)
        await asyncio.sleep(0.2)
        yield address, budgets, reasons
        tasks.cancel_scope.cancel()


async def send(address, data):
    """Open a connection and send data."""
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    writer.write(data)
    return reader, writer


async def read(reader):
    """Return what arrives next."""
    async with asyncio.timeout(5.0):
        return await reader.read(1 << 16)


def list_used(budgets):
    """Return what is charged."""
    return budgets.heads.used, budgets.bodies.used, budgets.output.used


@pytest.mark.parametrize("kind", ["body", "head"])
def test_stalled_requests_are_refused_for_others(kind):
    """Partial requests were bounded one by one, not together."""
    lines = b"a: b\r\n" * 200
    partial = {
        "body": POST % 39_000 + b"b" * 38_000,
        "head": b"GET / HTTP/1.1\r\nhost: h\r\n" + lines,
    }[kind]
    whole = {
        "body": POST % 5000 + b"b" * 5000,
        "head": b"GET / HTTP/1.1\r\nhost: h\r\n" + lines + b"\r\n",
    }[kind]

    async def work():
        async with open_listener() as (address, budgets, reasons):
            stalled, _ = await send(address, partial)
            await asyncio.sleep(0.4)
            reader, writer = await send(address, whole)
            assert_that(await read(reader), StartsWith(b"HTTP/1.1 200"))
            assert_that(await read(stalled), StartsWith(b"HTTP/1.1 503"))
            assert_that(reasons, Equals(["partial"]))
            writer.close()
            await asyncio.sleep(0.1)
            assert_that(list_used(budgets), Equals((0, 0, 0)))

    asyncio.run(work())


def test_what_pipelined_requests_hold_is_returned():
    """Guards against charges of requests that stay after their answers."""

    async def work():
        async with open_listener() as (address, budgets, _):
            reader, writer = await send(address, (POST % 3 + b"abc") * 40)
            answers = b""
            while answers.count(b"HTTP/1.1 200") < 40:
                answers += await read(reader)
            assert_that(list_used(budgets), Equals((0, 0, 0)))
            writer.close()

    asyncio.run(work())


def test_silent_connections_are_evicted():
    """Silent connections took all descriptors."""

    async def work():
        async with open_listener(max_connections=3) as (address, _, reasons):
            silent = [await send(address, b"") for _ in range(3)]
            await asyncio.sleep(0.1)
            reader, _ = await send(address, POST % 0)
            assert_that(await read(reader), StartsWith(b"HTTP/1.1 200"))
            assert_that(await read(silent[0][0]), Equals(b""))
            assert_that(reasons, Equals(["excess"]))

    asyncio.run(work())


def test_default_budgets_hold_what_the_limits_allow():
    """Guards against defaults that a client within the limits reaches."""
    budgets = make_product_budgets(512 << 20, 8 << 20)
    assert_that(budgets.bodies.limit >= 8 << 20, Equals(True))
    fields = Settings.__attrs_attrs__
    assert_that(budgets.max_connections > fields.max_connections.default, Equals(True))
