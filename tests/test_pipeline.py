"""Requests behind one another on one connection: dispatch, order, and ends."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, LessThan, Not, StartsWith

from cactusshed.mesh.listener import Listener
from cactusshed.mesh.messages import Response
from cactusshed.mesh.table import Limits
from cactusshed.policy.bodybudget import BodyBudget
from standins.ports import choose_port

from .meshes import run_async

LIMITS = Limits(1000, 200_000, 0.3, 0.6)
WORK_SECONDS = 0.1


class Served:
    """What a listener's handler has been given; requests wait until released."""

    def __init__(self):
        """Start without requests; every request takes `WORK_SECONDS`."""
        self.started, self.finished, self.cancelled = [], [], []
        self.running = self.peak_running = 0
        self.seconds = {}
        self.errors = set()

    async def serve(self, request):
        """Serve one request."""
        path = request.path.decode()
        self.started.append(path)
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        try:
            await asyncio.sleep(self.seconds.get(path, WORK_SECONDS))
        except asyncio.CancelledError:
            self.cancelled.append(path)
            raise
        finally:
            self.running -= 1
        if path in self.errors:
            raise KeyError(path)
        self.finished.append(path)
        return Response(200, [], request.path)


@asynccontextmanager
async def open_listener(budget=None):
    """Yield a listener, what it served, and a connection to it."""
    served = Served()
    listener = Listener(
        served.serve,
        lambda: LIMITS,
        lambda _status: None,
        lambda request: request.method == b"GET",
        budget,
    )
    port = choose_port()
    await listener.open("127.0.0.1", port)
    sweeping = asyncio.create_task(listener.sweep())
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        yield listener, served, reader, writer
    finally:
        writer.close()
        sweeping.cancel()
        listener.stop()


def make_request(path, method="GET", body=b"", *fields):
    """Return the bytes of one request."""
    lines = [f"{method} {path} HTTP/1.1", "host: a", *fields]
    if method != "GET":
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def list_statuses(data):
    """Return the statuses of the answers in `data`."""
    parts = data.split(b"HTTP/1.1 ")[1:]
    return [int(part[:3]) for part in parts]


def send(*requests, seconds=None, errors=(), end=b""):
    """Send requests at once; return the data received, and what was served."""

    async def run():
        async with open_listener() as (_, served, reader, writer):
            served.seconds = seconds or {}
            served.errors = set(errors)
            writer.write(b"".join(requests) + end)
            data = await reader.read()
            return data, served

    return run_async(run)


def test_safe_requests_run_together_and_are_answered_in_order():
    """Of five requests the first takes longest, and its answer is still the first."""
    paths = [f"/{n}" for n in range(5)]
    data, served = send(*map(make_request, paths), seconds={"/0": 0.25})
    assert_that(served.peak_running, Equals(5))
    assert_that(served.finished[-1], Equals("/0"))
    bodies = [part.rpartition(b"\r\n\r\n")[2] for part in data.split(b"HTTP/1.1")[1:]]
    assert_that(bodies, Equals([path.encode() for path in paths]))


def test_requests_that_run_together_are_bounded():
    """A client that sends fifty requests at once has a few of them running."""
    _, served = send(*(make_request(f"/{n}") for n in range(50)), seconds={})
    assert_that(len(served.finished), Equals(50))
    assert_that(served.peak_running, Equals(8))


def test_other_requests_run_alone():
    """A request that may run once waits for those before it, and those behind for it.

    What lies behind a response that closes the connection is sent again by the client,
    so it must not have been dispatched.
    """
    requests = [make_request("/a"), make_request("/b", "POST"), make_request("/c")]
    _, served = send(*requests)
    assert_that(served.peak_running, Equals(1))
    assert_that(served.started, Equals(["/a", "/b", "/c"]))


def test_planned_stop_answers_what_was_dispatched_and_runs_nothing_behind_it():
    """Three safe requests run when the stop begins; the one behind them never runs."""

    async def run():
        async with open_listener() as (listener, served, reader, writer):
            paths = ["/a", "/b", "/c"]
            writer.write(b"".join(map(make_request, paths)))
            writer.write(make_request("/d", "POST"))
            await asyncio.sleep(WORK_SECONDS / 2)
            listener.is_closing = True
            writer.write(make_request("/e"))
            return await reader.read(), served

    data, served = run_async(run)
    assert_that(list_statuses(data), Equals([200, 200, 200]))
    assert_that(served.started, Equals(["/a", "/b", "/c"]))
    assert_that(data.count(b"connection: close"), Equals(1))
    assert_that(data.rpartition(b"HTTP/1.1")[2], Contains(b"connection: close"))


def test_safe_request_that_arrives_during_a_stop_is_not_dispatched_behind_others():
    """It would be cut off, or keep the connection of a node that stops open."""

    async def run():
        async with open_listener() as (listener, served, reader, writer):
            writer.write(make_request("/a"))
            await asyncio.sleep(WORK_SECONDS / 2)
            listener.is_closing = True
            writer.write(make_request("/b"))
            return await reader.read(), served.started

    data, started = run_async(run)
    assert_that((list_statuses(data), started), Equals(([200], ["/a"])))


def test_request_that_closes_is_the_last_one():
    """What follows a request with `connection: close` is not run."""
    last = make_request("/b", "GET", b"", "connection: close")
    data, served = send(make_request("/a"), last, make_request("/c"))
    assert_that(list_statuses(data), Equals([200, 200]))
    assert_that(served.started, Equals(["/a", "/b"]))


@pytest.mark.parametrize(
    ("end", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (make_request("/big", "PUT", b"x" * 200_001), 413),
        (b"GET /slow HTTP/1.1\r\nhost: a\r\n", 408),
        (b"GET /y HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 2000 + b"\r\n\r\n", 431),
    ],
)
def test_refused_input_is_answered_after_the_requests_before_it(end, status):
    """The requests before unreadable input get their answers, then it is refused."""
    data, served = send(make_request("/a"), make_request("/b"), end=end)
    assert_that(list_statuses(data), Equals([200, 200, status]))
    assert_that(served.finished, Equals(["/a", "/b"]))


def test_client_that_leaves_cancels_all_its_requests():
    """A reset connection ends the running requests; the waiting one never runs."""

    async def run():
        async with open_listener() as (listener, served, _, writer):
            writer.write(make_request("/a") + make_request("/b"))
            writer.write(make_request("/c", "POST"))
            await asyncio.sleep(WORK_SECONDS / 2)
            writer.transport.abort()
            await asyncio.sleep(2 * WORK_SECONDS)
            return served, len(listener.connections)

    served, connections = run_async(run)
    assert_that(sorted(served.cancelled), Equals(["/a", "/b"]))
    assert_that((served.started, connections), Equals((["/a", "/b"], 0)))


def test_client_that_leaves_is_noticed_behind_many_requests():
    """Twenty requests wait behind one; all of them end when the client leaves."""

    async def run():
        async with open_listener() as (_, served, _, writer):
            served.seconds = {"/slow": 5.0}
            writer.write(make_request("/slow", "POST"))
            writer.write(b"".join(make_request(f"/{n}") for n in range(20)))
            await asyncio.sleep(WORK_SECONDS)
            writer.close()
            await asyncio.sleep(WORK_SECONDS)
            return served.cancelled, served.started

    assert_that(run_async(run), Equals((["/slow"], ["/slow"])))


def test_client_that_shuts_its_sending_side_counts_as_gone():
    """It can't be told from one that has left, so its requests end at once."""

    async def run():
        async with open_listener() as (_, served, reader, writer):
            writer.write(make_request("/a") + make_request("/b"))
            await asyncio.sleep(WORK_SECONDS / 2)
            writer.write_eof()
            data = await reader.read()
            return data, sorted(served.cancelled)

    assert_that(run_async(run), Equals((b"", ["/a", "/b"])))


def test_unexpected_error_in_a_handler_is_answered():
    """An error in one request costs no other request of the connection its answer."""
    requests = [make_request("/a"), make_request("/b"), make_request("/c")]
    data, _ = send(*requests, errors=["/b"], end=b"nonsense\r\n\r\n")
    assert_that(list_statuses(data), Equals([200, 500, 200, 400]))


def test_client_that_does_not_read_has_few_requests_run():
    """Answers that the client does not read hold back its further requests."""

    async def run():
        async with open_listener() as (_, served, reader, writer):
            served.seconds = {"/" + "x" * 800: 0.0}
            request = make_request("/" + "x" * 800)
            reader._transport.pause_reading()
            for _ in range(8000):
                writer.write(request)
            await asyncio.sleep(1.0)
            return len(served.started)

    assert_that(run_async(run), LessThan(8000))


def test_body_without_memory_is_refused_before_it_is_read():
    """A second large body gets a refusal with a delay at once; the first is served."""

    async def run():
        async with open_listener(BodyBudget(150_000)) as (listener, served, *streams):
            reader, writer = streams
            head, _, body = make_request("/a", "POST", b"x" * 100_000).partition(
                b"\r\n\r\n"
            )
            writer.write(head + b"\r\n\r\n" + body[:50_000])
            await asyncio.sleep(0.05)
            sock = listener._server.sockets[0].getsockname()
            other_reader, other_writer = await asyncio.open_connection(*sock)
            other_writer.write(head.replace(b"/a", b"/b") + b"\r\n\r\n")
            refusal = await other_reader.readuntil(b"\r\n\r\n")
            started = list(served.started)
            writer.write(body[50_000:])
            answer = await reader.readuntil(b"\r\n\r\n")
            other_writer.close()
            writer.close()
            await asyncio.sleep(0.05)
            return refusal, started, answer, served, listener.body_budget.used

    refusal, started, answer, served, used = run_async(run)
    assert_that(refusal, StartsWith(b"HTTP/1.1 503"))
    assert_that(refusal.lower(), Contains(b"retry-after"))
    assert_that((started, served.finished), Equals(([], ["/a"])))
    assert_that(answer, StartsWith(b"HTTP/1.1 200"))
    assert_that(used, Equals(0))


@pytest.mark.parametrize("leaves", [True, False])
def test_upload_that_stops_in_the_middle_runs_nothing(leaves):
    """A client that leaves or stalls in the middle of a body returns its memory."""

    async def run():
        async with open_listener() as (listener, served, reader, writer):
            writer.write(make_request("/a", "POST", b"x" * 1000)[:-500])
            await asyncio.sleep(0.05)
            reserved = listener.body_budget.used
            if leaves:
                writer.transport.abort()
            await asyncio.sleep(0.7)
            return reserved, listener.body_budget.used, served.started

    assert_that(run_async(run), Equals((1000, 0, [])))


def test_chunked_body_counts_as_it_arrives():
    """A body of unknown length is refused once it exceeds the memory."""

    async def run():
        async with open_listener(BodyBudget(5000)) as (listener, served, *streams):
            reader, writer = streams
            writer.write(b"PUT /a HTTP/1.1\r\nhost: a\r\n")
            writer.write(b"transfer-encoding: chunked\r\n\r\n")
            for _ in range(6):
                writer.write(b"3e8\r\n" + b"x" * 1000 + b"\r\n")
                await asyncio.sleep(0.01)
            data = await reader.read()
            return data, served.started, listener.body_budget.used

    data, started, used = run_async(run)
    assert_that(data, Not(Contains(b" 200 ")))
    assert_that((list_statuses(data), started, used), Equals(([413], [], 0)))
