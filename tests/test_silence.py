"""Targets that leave requests without an answer: found, abandoned, tried elsewhere."""

import asyncio
import time

import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from cactusshed.mesh.frames import ANSWERED, UNKNOWN
from cactusshed.mesh.targetclient import request_health
from cactusshed.policy.silence import SentRequest, SilenceDetector

from .meshes import make_call, open_gate, run_async

WORK_SECONDS = 0.02
DEADLINE_MS = 3000


async def run_beside(opened, call, count=80):
    """Run a call beside `count` others; return its result and its time in seconds."""
    gate = opened.gate
    started = time.monotonic()
    task = asyncio.create_task(gate.run(call))
    await asyncio.sleep(0)
    for number in range(count):
        if task.done():
            break
        await gate.run(make_call(f"o{number}", "/other/"))
    result = await task
    return result, time.monotonic() - started


def test_silent_connection_is_left_before_the_deadline():
    """A safe request without an answer, that many overtake, may be tried elsewhere."""

    async def run():
        async with open_gate(work_seconds=WORK_SECONDS) as opened:
            opened.target.script["/a/"] = "mute"
            call = make_call("r1", remaining_ms=DEADLINE_MS)
            result, seconds = await run_beside(opened, call)
            queue = opened.gate.queue
            return result, seconds, queue.running, opened.target.muted

    result, seconds, running, muted = run_async(run)
    assert_that((result.outcome, result.code), Equals((UNKNOWN, "target-silent")))
    assert_that(seconds, LessThan(DEADLINE_MS / 2000))
    assert_that((running, muted), Equals((0, 1)))


def test_silent_connection_is_not_used_again():
    """The requests after it are answered, on other connections."""

    async def run():
        async with open_gate(work_seconds=WORK_SECONDS) as opened:
            opened.target.script["/a/"] = "mute"
            await run_beside(opened, make_call("r1", remaining_ms=DEADLINE_MS))
            after = [
                await opened.gate.run(make_call(f"x{n}", "/other/")) for n in range(20)
            ]
            return {result.outcome for result in after}

    assert_that(run_async(run), Equals({ANSWERED}))


def test_unsafe_request_is_awaited_until_its_deadline():
    """A silence is no reason to end it sooner; its outcome is then unknown."""

    async def run():
        async with open_gate(work_seconds=WORK_SECONDS) as opened:
            opened.target.script["/a/"] = "mute"
            call = make_call("r1", remaining_ms=800, is_idempotent=False)
            return await run_beside(opened, call)

    result, seconds = run_async(run)
    assert_that((result.outcome, result.code), Equals((UNKNOWN, "timeout")))
    assert_that(seconds, GreaterThan(0.79))


def test_slow_target_is_not_taken_for_silent():
    """Nothing overtakes at a target that is slow as a whole, so all is awaited."""

    async def run():
        async with open_gate(work_seconds=WORK_SECONDS) as opened:
            for number in range(10):
                await opened.gate.run(make_call(f"w{number}", "/other/"))
            opened.target.work_seconds = 20 * WORK_SECONDS
            calls = [make_call(f"s{n}", "/other/") for n in range(2)]
            return await asyncio.gather(*map(opened.gate.run, calls))

    results = run_async(run)
    assert_that([result.outcome for result in results], Equals([ANSWERED] * 2))


@pytest.mark.parametrize(
    ("changes", "is_silent"),
    [
        ({}, True),
        ({"overtaken_by": 3}, False),
        ({"may_repeat": False}, False),
        ({"deadline": 1.05}, False),
        ({"sent_at": 0.6}, False),
    ],
)
def test_silence_needs_each_condition(changes, is_silent):
    """Overtaken, repeatable, long awaited, and with time for another attempt."""
    sent = SentRequest("r", 0.0, 5.0, True, lambda: None, overtaken_by=4)
    detector = SilenceDetector()
    detector.add(attrs.evolve(sent, **changes))
    found = list(detector.find_silent(1.0, 4, lambda _route: 0.1))
    assert_that(bool(found), Equals(is_silent))


def test_health_check_that_gets_no_answer_is_no_answer():
    """A muted health check ends within its time, and no connection is kept."""

    async def run():
        async with open_gate() as opened:
            opened.target.script["/healthz2"] = "mute"
            started = time.monotonic()
            with pytest.raises(Exception, match="timed out"):
                await request_health(opened.gate.pool, "/healthz2")
            seconds = time.monotonic() - started
            answer = await request_health(opened.gate.pool, "/healthz")
            return seconds, answer.status

    seconds, status = run_async(run)
    assert_that(seconds, LessThan(0.7))
    assert_that(status, Equals(200))
