"""Soft deadlines of retries, and clients that send odd timeouts."""

from contextlib import asynccontextmanager

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cactusshed.mesh.gate import Gate
from cactusshed.policy.firsttimeouts import RANK, WINDOW, FirstTimeout
from standins.meshfleet import MeshFleet, make_document

from .meshes import run_async

SOFT_MS = 300
"""Latency objective of the routes of `make_document`; their timeout is 1 s."""
TOLERANCE_MS = 100


@asynccontextmanager
async def open_node(monkeypatch):
    """Yield a function that sends a request and returns its call's soft timeout."""
    fleet = await MeshFleet.open()
    fleet.store.put_json("op", "config", make_document(1, {"/read/": {}}, ["a"]))
    try:
        (node,) = await fleet.start_connected("n1")
        run = Gate.run
        seen = []

        def record(gate, call, on_silent=None):
            seen.append(call.soft_timeout_ms)
            return run(gate, call, on_silent)

        monkeypatch.setattr(Gate, "run", record)

        async def send(timeout_ms):
            answer = await node.request("/read/x", x_deadline_ms=str(timeout_ms))
            assert answer.status == 200
            return seen[-1]

        yield send
    finally:
        await fleet.close()


def is_near(value_ms, expected_ms):
    """Return whether a soft timeout is the expected one, less the time of the call."""
    return expected_ms - TOLERANCE_MS < value_ms <= expected_ms


@pytest.mark.parametrize("odd_ms", [1000, 60_000, 10**9])
@pytest.mark.parametrize("usual", [0, WINDOW])
def test_one_odd_timeout_leaves_the_soft_deadlines_of_others(
    monkeypatch, odd_ms, usual
):
    """One client made all later requests of the route at its node late for good."""

    async def work():
        async with open_node(monkeypatch) as send:
            for _ in range(usual):
                await send(800)
            await send(odd_ms)
            return [is_near(await send(800), SOFT_MS) for _ in range(WINDOW + 1)]

    assert_that(run_async(work), Equals([True] * (WINDOW + 1)))


def test_retry_keeps_the_soft_deadline_of_its_first_attempt(monkeypatch):
    """A retry that has 200 ms less left is due 200 ms sooner, also among odd ones."""

    async def work():
        async with open_node(monkeypatch) as send:
            for number in range(WINDOW):
                await send(60_000 if number < RANK - 1 else 800)
            return is_near(await send(600), SOFT_MS - 200)

    assert_that(run_async(work), Equals(True))


@pytest.mark.parametrize(
    ("retries", "odd"),
    [
        (0, 0),
        (0, RANK - 1),
        (WINDOW // 2, 1),
        (WINDOW // 2, RANK - 1),
        (WINDOW - RANK, 0),
    ],
)
def test_usual_first_timeout_is_found_among_retries_and_odd_ones(retries, odd):
    """Of a window, three quarters may be retries, or seven requests odd."""
    first_timeout = FirstTimeout()
    timeouts = [0.5] * retries + [1.0] * odd
    timeouts += [0.8] * (WINDOW - len(timeouts))
    for timeout in timeouts:
        first_timeout.note(timeout)
    assert_that(first_timeout.seconds, Equals(0.8))


def test_first_timeout_follows_a_change():
    """Clients with a new timeout are taken for first attempts after one window."""
    first_timeout = FirstTimeout()
    for timeout in [0.8] * WINDOW + [0.4] * WINDOW:
        first_timeout.note(timeout)
    assert_that(first_timeout.seconds, Equals(0.4))
