"""Messages in many tiny parts leave the loop to the other requests of a process."""

import asyncio
import subprocess
import sys
import time
from contextlib import asynccontextmanager, contextmanager, suppress
from pathlib import Path

import httpcore
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from cactusshed.errors import CactusError
from cactusshed.mesh.upstream import open_upstream
from cactusshed.options import Address
from cactusshed.policy.bodybudget import make_body_budgets
from cactusshed.serve.connection import exchange, make_request, open_connection

from .listeners import LISTENERS, MEMORY_BYTES, open_mesh_listener
from .meshes import run_async

DEADLINE_SECONDS = 0.25
"""The shortest deadline of the users' requests."""
FAULTY = 12
"""Messages without end at a time."""
CLIENTS = 3
SECONDS = 2.0
"""Time for which the other clients send requests."""
PAUSE_SECONDS = 0.02
ROOT = Path(__file__).parent.parent
TINY = ["endless-tiny-chunks", "endless-extension", "endless-trailers"]


@contextmanager
def run_endless(*arguments):
    """Run the stand-in in a process of its own; yield its first line."""
    command = [sys.executable, "-m", "standins.endless", *map(str, arguments)]
    process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
    try:
        yield process.stdout.readline().strip()
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


async def measure_others(send):
    """Return the seconds that each request of the other clients took."""
    latencies = []

    async def run_client():
        ends = time.monotonic() + SECONDS
        while time.monotonic() < ends:
            started = time.monotonic()
            await send()
            latencies.append(time.monotonic() - started)
            await asyncio.sleep(PAUSE_SECONDS)

    await asyncio.gather(*(run_client() for _ in range(CLIENTS)))
    return latencies


async def send_plainly(address):
    """Send a request over a connection of its own; return the status line."""
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    writer.write(b"GET /b/ HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n")
    status = await reader.readline()
    await reader.read()
    writer.close()
    assert_that(status.split()[1], Equals(b"200"))


async def fail_at_mesh(address, budget):
    """Receive one endless answer over a connection of the mesh."""
    with suppress(CactusError):
        upstream = await open_upstream(address, budget=budget)
        async with asyncio.timeout(1.0):
            await upstream.exchange(b"GET / HTTP/1.1\r\n\r\n")


async def fail_at_product(address, _budget):
    """Receive one endless answer over a connection of the product."""
    connection = await open_connection(address, None, 1.0)
    request = make_request(address, "GET", b"/", [], b"")
    try:
        async with asyncio.timeout(1.0):
            reply = await exchange(connection, request)
            async for _ in reply.rest:
                continue
    except (httpcore.RemoteProtocolError, TimeoutError):
        await connection.aclose()


CALLERS = {"mesh": fail_at_mesh, "product": fail_at_product}


def check(latencies):
    """Check that every request was answered in time, and most of the usual number."""
    usual = CLIENTS * SECONDS / (PAUSE_SECONDS + DEADLINE_SECONDS)
    assert_that(max(latencies), LessThan(DEADLINE_SECONDS))
    assert_that(len(latencies), GreaterThan(usual))


@pytest.mark.parametrize("action", TINY)
@pytest.mark.parametrize("kind", list(CALLERS))
def test_answers_in_tiny_parts_leave_others_their_time(kind, action):
    """Answers in chunks of a byte took the loop: other clients' requests got 504."""

    async def run(port):
        faulty = Address("127.0.0.1", port)
        _, budget = make_body_budgets(MEMORY_BYTES)

        async def receive_answers():
            while True:
                await CALLERS[kind](faulty, budget)

        async with open_mesh_listener() as address:
            receiving = [asyncio.create_task(receive_answers()) for _ in range(FAULTY)]
            latencies = await measure_others(lambda: send_plainly(address))
            for task in receiving:
                task.cancel()
            await asyncio.wait(receiving)
        return latencies

    with run_endless("answers", action) as port:
        check(run_async(lambda: run(int(port))))


@pytest.mark.parametrize("action", TINY)
@pytest.mark.parametrize("kind", list(LISTENERS))
def test_requests_in_tiny_parts_leave_others_their_time(kind, action):
    """One client's requests in chunks of a byte took the loop from all the others."""

    async def run():
        async with LISTENERS[kind]() as address:
            with run_endless("requests", action, address.port, FAULTY):
                return await measure_others(lambda: send_plainly(address))

    check(run_async(run))


SINGLE_BYTES = b"1\r\nz\r\n" * 4000 + b"0\r\n\r\n"
"""A body of 4,000 bytes in chunks of a byte, of which 512 don't wait for turns."""


@pytest.mark.parametrize("kind", list(LISTENERS))
def test_requests_in_single_bytes_are_served(kind):
    """Requests that wait for turns arrive whole, also behind one another."""
    request = b"POST /a/ HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"

    async def run():
        async with LISTENERS[kind]() as address:
            reader, writer = await asyncio.open_connection(address.ip, address.port)
            writer.write((request + SINGLE_BYTES) * 3)
            answers = [await reader.readuntil(b"\r\n\r\n4000") for _ in range(3)]
            writer.close()
            return [answer.split()[1] for answer in answers]

    assert_that(run_async(run), Equals([b"200"] * 3))


@asynccontextmanager
async def open_chunking_server():
    """Yield the address of a server that answers in chunks of a byte."""
    head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"

    async def serve(reader, writer):
        with suppress(asyncio.IncompleteReadError):
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(head + SINGLE_BYTES)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield Address(*server.sockets[0].getsockname())
    finally:
        server.close()


def test_answers_in_single_bytes_arrive_whole():
    """Answers that wait for turns arrive whole, and their connections are kept."""

    async def run():
        async with open_chunking_server() as address:
            upstream = await open_upstream(address)
            connection = await open_connection(address, None, 1.0)
            sizes = []
            for _ in range(3):
                answer = await upstream.exchange(b"GET / HTTP/1.1\r\n\r\n")
                request = make_request(address, "GET", b"/", [], b"")
                reply = await exchange(connection, request)
                sizes.append((len(answer.body), len(reply.body)))
            upstream.abort()
            await connection.aclose()
            return sizes

    assert_that(run_async(run), Equals([(4000, 4000)] * 3))


def test_bytes_behind_an_answer_in_single_bytes_end_the_connection():
    """What waits for its turn behind an answer is not taken for the next one."""

    async def run():
        async with open_chunking_server() as address:
            upstream = await open_upstream(address)
            requests = b"GET / HTTP/1.1\r\n\r\n" * 3
            answer = await upstream.exchange(requests)
            return len(answer.body), upstream.is_usable()

    assert_that(run_async(run), Equals((4000, False)))
