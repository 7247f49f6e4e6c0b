"""What clients may hold at a listener, and who gives way when it is spent."""

import asyncio
import gc
import socket
import tracemalloc
from contextlib import asynccontextmanager

import httptools
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, LessThan, StartsWith

from cactusshed.mesh.listener import Listener
from cactusshed.mesh.messages import Response
from cactusshed.mesh.table import Limits
from cactusshed.policy.bodybudget import BodyBudget
from cactusshed.policy.clientmemory import (
    ClientBudgets,
    OutputBudget,
    compute_head_cost,
    is_stalled,
    list_oldest,
    make_caller_budgets,
)
from standins.ports import choose_port

from .meshes import run_async

LIMITS = Limits(16_384, 200_000, 10.0, 10.0)
STALLED_SECONDS = 0.35
"""Longer than a partial request may make no progress."""
POST = b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 100000\r\n\r\n"
GET = b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n"
LONG_BODY = bytes(range(256)) * 8192


@asynccontextmanager
async def open_listener(
    *, bodies=1 << 20, heads=1 << 20, output=1 << 30, connections=1000, seconds=0.0
):
    """Yield a listener that answers with `LONG_BODY` below `/long`, and its evictions.

    Requests below `/slow` take `seconds`.
    """
    evicted = []

    async def serve(request):
        if request.path == b"/slow":
            await asyncio.sleep(seconds)
        body = LONG_BODY if request.path == b"/long" else b"done"
        return Response(200, [], body)

    listener = Listener(
        serve,
        lambda: LIMITS,
        lambda _status: None,
        lambda _request: True,
        BodyBudget(bodies),
        ClientBudgets(BodyBudget(heads), OutputBudget(output), connections),
        evicted.append,
    )
    await listener.open("127.0.0.1", port := choose_port())
    try:
        yield listener, evicted, lambda: asyncio.open_connection("127.0.0.1", port)
    finally:
        listener.stop()


def test_head_is_charged_at_what_it_costs():
    """Heads were bounded by their bytes; in short lines they cost thirty times that."""
    lines = b"".join(
        b"%c%c:%c\r\n" % (97 + n % 26, 97 + n // 26, 98) for n in range(600)
    )
    headers = []

    class Handler:
        def on_header(self, name, value):
            headers.append((name.lower(), value))

    parser = httptools.HttpRequestParser(Handler())
    gc.collect()
    tracemalloc.start()
    parser.feed_data(b"GET / HTTP/1.1\r\n" + lines)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    cost = compute_head_cost(len(headers), len(lines))
    assert_that(cost, GreaterThan(size))
    assert_that(cost, LessThan(2 * size))


def test_ordinary_clients_stay_below_the_limit_of_connections():
    """Some hundred connections of ordinary clients must fit with the defaults."""
    defaults = make_caller_budgets(128 << 20, 1024)
    assert_that(defaults.max_connections, Equals(614))
    assert_that(make_caller_budgets(300 << 20, 4100).max_connections, Equals(2304))


@pytest.mark.parametrize(
    ("started", "received", "expected"),
    [(9.9, 9.9, False), (9.5, 9.9, False), (9.5, 9.7, True), (8.9, 9.99, True)],
)
def test_partial_requests_give_way_once_they_stall(started, received, expected):
    """A body that arrives at the usual speed must not give way to another one."""
    assert_that(is_stalled(10.0, started, received), Equals(expected))


def test_oldest_holders_come_first():
    """The newest holder may be an ordinary request that has just arrived."""
    assert_that(
        list_oldest([(3.0, "c"), (1.0, "a"), (2.0, "b")], 2), Equals(["a", "b"])
    )


def test_output_is_relieved_by_the_longest_unread():
    """Only as many clients are closed as the budget needs."""
    budget = OutputBudget(limit=160, used=200)
    holders = [(3.0, 80, "c"), (1.0, 60, "a"), (2.0, 60, "b")]
    assert_that(list(budget.choose_evicted(holders)), Equals(["a"]))


def test_stalled_upload_gives_way_to_a_new_one():
    """Uploads that stop held the memory until they timed out; others were refused."""

    async def run():
        async with open_listener(bodies=150_000) as (_, evicted, connect):
            reader, writer = await connect()
            writer.write(POST + b"x" * 50_000)
            await asyncio.sleep(STALLED_SECONDS)
            other_reader, other_writer = await connect()
            other_writer.write(POST + b"x" * 100_000)
            answer = await other_reader.readuntil(b"\r\n\r\n")
            refusal = await reader.read()
            other_writer.close()
            return answer, refusal, evicted

    answer, refusal, evicted = run_async(run)
    assert_that(answer, StartsWith(b"HTTP/1.1 200"))
    assert_that(refusal, StartsWith(b"HTTP/1.1 503"))
    assert_that(refusal.lower(), Contains(b"retry-after"))
    assert_that(evicted, Equals(["partial"]))


def test_running_request_is_answered_before_its_connection_gives_way():
    """A request that was passed on must get its answer, not only the refusal."""

    async def run():
        async with open_listener(bodies=150_000, seconds=0.6) as (_, _, connect):
            reader, writer = await connect()
            writer.write(GET.replace(b"/a", b"/slow") + POST + b"x" * 50_000)
            await asyncio.sleep(STALLED_SECONDS)
            other_reader, other_writer = await connect()
            other_writer.write(POST + b"x" * 100_000)
            await other_reader.readuntil(b"\r\n\r\n")
            data = await reader.read()
            other_writer.close()
            return [part[:3] for part in data.split(b"HTTP/1.1 ")[1:]]

    assert_that(run_async(run), Equals([b"200", b"503"]))


def test_heads_return_what_they_are_charged():
    """A charge that stays would refuse all requests in the end."""

    async def run():
        async with open_listener() as (listener, _, connect):
            reader, writer = await connect()
            heads = listener.holders.budgets.heads
            writer.write(GET * 3)
            for _ in range(3):
                await reader.readuntil(b"done")
            after_answers = heads.used
            writer.write(GET[:-2] + b"x: y\r\n" * 20)
            await asyncio.sleep(0.05)
            partial = heads.used
            writer.transport.abort()
            await asyncio.sleep(0.05)
            return after_answers, partial > 3000, heads.used

    assert_that(run_async(run), Equals((0, True, 0)))


def test_largest_head_in_the_shortest_lines_is_served():
    """Lines were counted with a space that they need not have, and refused."""
    start = b"GET /a HTTP/1.1\r\nhost: a\r\n"
    lines = b"a:\r\n" * ((LIMITS.header_bytes - len(start) - 2) // 4)

    async def run():
        async with open_listener() as (_, _, connect):
            reader, writer = await connect()
            writer.write(start + lines + b"\r\n")
            answer = await reader.readuntil(b"done")
            writer.close()
            return answer

    assert_that(run_async(run), StartsWith(b"HTTP/1.1 200"))


def test_long_answers_arrive_whole_at_a_slow_reader():
    """Answers are written in pieces, in order, also behind one another."""

    async def run():
        async with open_listener() as (listener, _, connect):
            reader, writer = await connect()
            writer.write(GET.replace(b"/a", b"/long") * 3 + GET)
            await asyncio.sleep(0.1)
            bodies = []
            for _ in range(4):
                head = await reader.readuntil(b"\r\n\r\n")
                size = int(head.partition(b"content-length: ")[2].split(b"\r\n")[0])
                bodies.append(await reader.readexactly(size))
            writer.close()
            await asyncio.sleep(0.05)
            return bodies, listener.holders.budgets.output.used

    bodies, used = run_async(run)
    assert_that(bodies == [LONG_BODY] * 3 + [b"done"], Equals(True))
    assert_that(used, Equals(0))


def test_answers_in_two_writes_do_not_wait():
    """With Nagle's algorithm, the second of two answers waits for an ACK."""

    async def run():
        async with open_listener() as (listener, _, connect):
            _, writer = await connect()
            await asyncio.sleep(0.05)
            (connection,) = listener.connections
            sock = connection._transport.get_extra_info("socket")
            writer.close()
            return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    assert_that(run_async(run), Equals(1))


def test_last_answer_arrives_whole_before_the_connection_closes():
    """The sending side must not be closed before the last piece is written."""

    async def run():
        async with open_listener() as (_, _, connect):
            reader, writer = await connect()
            request = GET.replace(b"/a", b"/long")
            writer.write(request[:-2] + b"connection: close\r\n\r\n")
            await asyncio.sleep(0.1)
            return await reader.read()

    assert_that(run_async(run).endswith(LONG_BODY), Equals(True))


def test_unread_answers_give_way_to_those_that_are_read():
    """Clients that never read took the memory; one answer of any size is still sent."""

    async def run():
        async with open_listener(output=1 << 20) as (listener, evicted, connect):
            stuck = []
            for _ in range(2):
                reader, writer = await connect()
                reader._transport.pause_reading()
                writer.write(GET.replace(b"/a", b"/long") * 8)
                stuck.append(writer)
            await asyncio.sleep(0.3)
            reader, writer = await connect()
            writer.write(GET.replace(b"/a", b"/long"))
            data = await reader.readuntil(LONG_BODY)
            used = listener.holders.budgets.output.used
            for other in (writer, *stuck):
                other.transport.abort()
            return evicted, len(data), used

    evicted, size, used = run_async(run)
    assert_that(set(evicted), Equals({"unread"}))
    assert_that(size, GreaterThan(len(LONG_BODY)))
    assert_that(used, LessThan(8 * len(LONG_BODY) + 1))


def test_silent_connections_give_way_to_new_ones():
    """At the limit of connections, those close that have never sent a request."""

    async def run():
        async with open_listener(connections=3, seconds=0.5) as (
            listener,
            evicted,
            connect,
        ):
            reader, writer = await connect()
            writer.write(GET.replace(b"/a", b"/slow"))
            silent = [await connect() for _ in range(2)]
            await asyncio.sleep(0.05)
            other_reader, other_writer = await connect()
            other_writer.write(GET)
            other = await other_reader.readuntil(b"done")
            running = await reader.readuntil(b"done")
            closed = await silent[0][0].read()
            for opened in (writer, other_writer, *(pair[1] for pair in silent)):
                opened.close()
            return other[:12], running[:12], closed, evicted

    ok = b"HTTP/1.1 200"
    assert_that(run_async(run), Equals((ok, ok, b"", ["excess"])))


def test_new_connection_is_closed_if_all_others_are_in_use():
    """A connection with a running request must not close for another client."""

    async def run():
        async with open_listener(connections=1, seconds=0.3) as (_, _, connect):
            reader, writer = await connect()
            writer.write(GET.replace(b"/a", b"/slow"))
            await asyncio.sleep(0.05)
            other_reader, _ = await connect()
            closed = await other_reader.read()
            running = await reader.readuntil(b"done")
            writer.close()
            return closed, running[:12]

    assert_that(run_async(run), Equals((b"", b"HTTP/1.1 200")))
