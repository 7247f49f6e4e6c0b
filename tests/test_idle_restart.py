"""A target that restarts while idle gets the rate of a cold one from its gate."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from cactusshed.clock import read_monotonic
from cactusshed.mesh.frames import ANSWERED
from standins.meshfleet import MeshFleet, make_document, wait_for

from .meshes import make_call, open_gate, run_async

COLD_RATE, FACTOR, SLACK = 12.0, 1.5, 5.0
"""A cold target may get `COLD_RATE * FACTOR + SLACK` requests in one second."""
CALLS = 60


@asynccontextmanager
async def open_idle_gate(calls=1):
    """Yield a gate whose warm target has answered `calls` calls and is idle."""
    async with open_gate(slots=CALLS) as opened:
        opened.gate.cold.adjust(COLD_RATE, FACTOR, SLACK)
        for number in range(calls):
            await opened.gate.run(make_call(f"first{number}"))
        if calls:
            # A health answer has said that the target is warm.
            opened.gate.cold.suspect_restart(read_monotonic())
            opened.gate.cold.set_cold_time(0.0, read_monotonic())
        yield opened


def count_allowed(seconds):
    """Return how many requests a cold target may get in this time."""
    return COLD_RATE * FACTOR * max(1.0, seconds) + SLACK


async def restart(target, instance=""):
    """Crash a target and start it again at its address."""
    target.crash()
    await asyncio.sleep(0.2)
    target.instance = instance or target.instance
    await target.open(port=target.address.port)


async def run_burst(opened, seconds):
    """Send calls for `seconds`; return the number of runs and the time that it took."""
    before = opened.target.runs.total()
    started = read_monotonic()
    calls = []
    for number in range(CALLS):
        call = make_call(f"burst{number}", soft_timeout_ms=1)
        calls.append(asyncio.create_task(opened.gate.run(call)))
        await asyncio.sleep(seconds / CALLS)
    runs = opened.target.runs.total() - before
    elapsed = read_monotonic() - started
    for call in calls:
        call.cancel()
    await asyncio.gather(*calls, return_exceptions=True)
    return runs, elapsed


@pytest.mark.parametrize("calls", [0, 1])
@pytest.mark.parametrize("instance", ["", "i-2"])
def test_target_that_restarted_while_idle_gets_the_rate_of_a_cold_one(instance, calls):
    """A burst after the restart reached a cold target at once and crashed it.

    Before its first call, a target is known only by its heartbeats.
    """

    async def work():
        async with open_idle_gate(calls) as opened:
            await restart(opened.target, instance)
            return *await run_burst(opened, 0.8), len(opened.restarts)

    runs, elapsed, restarts = run_async(work)
    assert_that(runs, LessThan(count_allowed(elapsed)))
    assert_that(restarts, GreaterThan(0))


def test_target_that_closes_its_last_answered_connection_may_have_restarted():
    """The gate closes such a connection itself, and no reset tells of the restart."""

    async def work():
        async with open_idle_gate() as opened:
            opened.target.script["/a/"] = "unframed"
            await opened.gate.run(make_call("last"))
            opened.target.script.clear()
            await restart(opened.target)
            return await run_burst(opened, 0.8)

    runs, elapsed = run_async(work)
    assert_that(runs, LessThan(count_allowed(elapsed)))


def test_idle_target_that_is_watched_gets_a_burst_at_once():
    """A target that has kept a connection open is not taken for a cold one."""

    async def work():
        async with open_idle_gate() as opened:
            await asyncio.sleep(0.3)
            runs, _ = await run_burst(opened, 0.3)
            return runs, len(opened.restarts)

    assert_that(run_async(work), Equals((CALLS, 0)))


def test_slow_traffic_to_a_target_that_closes_connections_costs_no_check():
    """Each call opens a connection; the rate is one that a cold target may get."""

    async def work():
        async with open_idle_gate() as opened:
            opened.target.script["/a/"] = "unframed"
            outcomes = set()
            for number in range(8):
                result = await opened.gate.run(make_call(f"r{number}"))
                outcomes.add(result.outcome)
                await asyncio.sleep(0.15)
            return outcomes, len(opened.restarts)

    assert_that(run_async(work), Equals(({ANSWERED}, 0)))


def test_connections_that_follow_at_once_leave_no_time_for_a_restart():
    """A target that closes after every answer is not checked at a high rate."""

    async def work():
        async with open_idle_gate() as opened:
            opened.target.script["/a/"] = "unframed"
            for number in range(CALLS):
                await opened.gate.run(make_call(f"r{number}"))
            return opened.target.runs.total() - 1, len(opened.restarts)

    assert_that(run_async(work), Equals((CALLS, 0)))


@pytest.mark.parametrize("cold_ms", [3000, None])
def test_health_answer_tells_whether_a_restarted_target_is_cold(cold_ms):
    """One check for a burst: a cold target gets its rate, a warm one all calls."""

    async def work():
        fleet = await MeshFleet.open()
        document = make_document(1, {"/read/": {}}, ["a"])
        document["clusters"][0]["cold_per_s"] = COLD_RATE
        fleet.store.put_json("op", "config", document)
        try:
            (node,) = await fleet.start_connected("n1")
            target = node.target
            await node.request("/read/first")
            await restart(target)
            target.cold_ms = cold_ms
            target.health_checks = 0
            started = read_monotonic()
            requests = []
            for number in range(CALLS):
                request = asyncio.create_task(node.request(f"/read/{number}"))
                requests.append(request)
                await asyncio.sleep(0.01)
            await wait_for(lambda: target.health_checks)
            await asyncio.sleep(0.1)
            runs, checks = target.runs.total() - 1, target.health_checks
            elapsed = read_monotonic() - started
            await asyncio.gather(*requests)
            return runs, elapsed, checks
        finally:
            await fleet.close()

    runs, elapsed, checks = run_async(work)
    assert_that(checks, Equals(1))
    if cold_ms:
        assert_that(runs, LessThan(count_allowed(elapsed)))
    else:
        assert_that(runs, Equals(CALLS))
