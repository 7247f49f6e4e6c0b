"""Targets that leave requests without an answer: found, abandoned, tried elsewhere."""

import asyncio
import time

import attrs
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from cactusshed.clock import read_monotonic
from cactusshed.mesh.callplan import CallPlan
from cactusshed.mesh.dispatch import Dispatcher
from cactusshed.mesh.frames import ANSWERED, NOT_RUN, UNKNOWN, Load, Result
from cactusshed.mesh.member import Member
from cactusshed.mesh.targetclient import request_health
from cactusshed.observe.counters import Counters
from cactusshed.policy.placement import Candidate, LoadView
from cactusshed.policy.silence import MIN_SILENT, SentRequest, SilenceDetector

from .meshes import make_call, open_gate, run_async

WORK_SECONDS = 0.02
DEADLINE_MS = 3000


async def run_beside(opened, calls, count=80):
    """Run calls beside `count` others; return their results and the time of the first.

    Calls of `calls` are silent; the others are answered.
    """
    gate = opened.gate
    started = time.monotonic()
    tasks = [asyncio.create_task(gate.run(call)) for call in calls]
    await asyncio.sleep(0)
    for number in range(count):
        if tasks[0].done():
            break
        await gate.run(make_call(f"o{number}", "/other/"))
    result = await tasks[0]
    seconds = time.monotonic() - started
    return [result, *await asyncio.gather(*tasks[1:])], seconds


def make_silent_calls(count=3, **fields):
    """Return calls that get no answer."""
    values = {"remaining_ms": DEADLINE_MS, "may_abandon": True, **fields}
    return [make_call(f"m{number}", **values) for number in range(count)]


def run_silent(count=3, **fields):
    """Run silent calls beside others; return results, seconds and the gate."""

    async def run():
        async with open_gate(slots=4, work_seconds=WORK_SECONDS) as opened:
            opened.target.script["/a/"] = "mute"
            calls = make_silent_calls(count, **fields)
            results, seconds = await run_beside(opened, calls)
            after = [
                await opened.gate.run(make_call(f"x{n}", "/other/")) for n in range(20)
            ]
            return results, seconds, opened, {result.outcome for result in after}

    return run_async(run)


def test_silent_connections_are_left_before_the_deadline():
    """Safe requests without an answer, that many overtake, may be tried elsewhere.

    Their connections are not used again, so the requests after them are answered.
    """
    results, seconds, opened, outcomes = run_silent()
    found = {(result.outcome, result.code) for result in results}
    assert_that(found, Equals({(UNKNOWN, "target-silent")}))
    assert_that(seconds, LessThan(DEADLINE_MS / 2000))
    assert_that((opened.gate.queue.running, opened.target.muted), Equals((0, 3)))
    assert_that(outcomes, Equals({ANSWERED}))


@pytest.mark.parametrize(
    "fields", [{"is_idempotent": False, "may_abandon": False}, {"may_abandon": False}]
)
def test_request_that_is_not_sent_elsewhere_is_awaited(fields):
    """A silence is no reason to end it sooner; its outcome is unknown at its deadline.

    So it is for unsafe requests, for the last attempt, and while the first node leaves.
    """
    results, seconds, _, _ = run_silent(remaining_ms=800, **fields)
    assert_that({result.code for result in results}, Equals({"timeout"}))
    assert_that(seconds, GreaterThan(0.79))


def test_one_long_request_is_awaited():
    """A single request that takes long, though others overtake it, may be at work."""

    async def run():
        async with open_gate(slots=4, work_seconds=WORK_SECONDS) as opened:
            opened.target.script["/a/"] = "mute"
            calls = make_silent_calls(1, remaining_ms=800)
            return await run_beside(opened, calls)

    (result,), seconds = run_async(run)
    assert_that(result.code, Equals("timeout"))
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
        ({"may_abandon": False}, False),
        ({"deadline": 1.05}, False),
        ({"sent_at": 0.6}, False),
    ],
)
def test_silence_needs_each_condition(changes, is_silent):
    """Overtaken, to be sent elsewhere, long awaited, and with time for that."""
    sent = SentRequest("r", 0.0, 5.0, True, lambda: None, overtaken_by=4)
    detector = SilenceDetector()
    for _ in range(MIN_SILENT):
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


@attrs.define
class FakePeers:
    """Other nodes that answer with the given results, in turn."""

    results: list
    counters: Counters = attrs.Factory(Counters)

    async def call(self, _member, call):
        """Return the next result."""
        return self.results.pop(0)


def dispatch(results):
    """Dispatch a safe call to nodes that answer so; return its outcome."""

    async def run():
        async with open_gate() as opened:
            nodes = [
                (Candidate(f"n{n}", LoadView(), False, False), Member(f"n{n}", None))
                for n in range(12)
            ]
            candidates = attrs.make_class("Candidates", [])()
            type(candidates).list_open = lambda *_: iter(nodes)
            dispatcher = Dispatcher(
                candidates, FakePeers(results), opened.gate, Counters()
            )
            deadline = read_monotonic() + 1.0
            plan = CallPlan(
                make_call(), deadline, deadline, 2, lambda: "", lambda _version: ""
            )
            return (await dispatcher.run(plan)).result.outcome

    return run_async(run)


OVER_BUDGET = Result(1, NOT_RUN, Load(0, 0, 4, 1.0), code="over-budget")


@pytest.mark.parametrize(
    ("first", "outcome"),
    [
        # Its answer is awaited no longer, so another target has to be found.
        (Result(1, UNKNOWN, Load(0, 0, 4, 1.0), code="target-silent"), ANSWERED),
        # The second gate without room was already the next best choice.
        (Result(1, UNKNOWN, Load(0, 0, 4, 1.0), code="answer-missing"), UNKNOWN),
    ],
)
def test_abandoned_request_is_tried_beyond_two_refusals(first, outcome):
    """Gates with no retry left made it a 502 while its first target was at work."""
    first.reached_target = True
    answer = Result(1, ANSWERED, Load(0, 0, 4, 1.0), 200, reached_target=True)
    refusals = [msgspec.structs.replace(OVER_BUDGET) for _ in range(4)]
    assert_that(dispatch([first, *refusals, answer]), Equals(outcome))
