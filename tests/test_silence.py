"""Targets that leave requests without an answer: found, tried elsewhere, awaited."""

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
from cactusshed.mesh.silentattempts import TargetSilent
from cactusshed.mesh.targetclient import request_health
from cactusshed.observe.counters import Counters
from cactusshed.policy.placement import Candidate, LoadView
from cactusshed.policy.silence import MIN_SILENT, SentRequest, SilenceDetector
from standins.meshfleet import MeshFleet, make_document, wait_for

from .meshes import make_call, open_gate, run_async

WORK_SECONDS = 0.02
DEADLINE_MS = 3000
PLAN_SECONDS = 1.0
"""Time until the deadline of a dispatched call."""


async def run_beside(opened, calls, on_silent, count=80):
    """Run calls that get no answer beside `count` others, until they end.

    Returns their tasks; `on_silent` is called for each that is found to be silent.
    """
    gate = opened.gate
    tasks = [asyncio.create_task(gate.run(call, on_silent)) for call in calls]
    await asyncio.sleep(0)
    for number in range(count):
        if tasks[0].done():
            break
        await gate.run(make_call(f"o{number}", "/other/"))
    return tasks


async def await_silent(opened, count=3, on_silent=None, **fields):
    """Run silent calls beside others to their end; return results and seconds."""
    opened.target.script["/a/"] = "mute"
    started = time.monotonic()
    values = {"remaining_ms": 800, **fields}
    calls = [make_call(f"m{number}", **values) for number in range(count)]
    results = await asyncio.gather(*await run_beside(opened, calls, on_silent))
    return results, time.monotonic() - started


def open_busy_gate():
    """Open a gate whose target answers all other requests."""
    return open_gate(slots=4, work_seconds=WORK_SECONDS)


def test_silent_requests_are_reported_before_the_deadline():
    """Safe requests without an answer, that many overtake, may be tried elsewhere.

    They hold their slots until they are cancelled, and their connections are not used
    again, so the requests after them are answered.
    """

    async def run():
        async with open_busy_gate() as opened:
            opened.target.script["/a/"] = "mute"
            reported = []
            started = time.monotonic()
            calls = [make_call(f"m{n}", remaining_ms=DEADLINE_MS) for n in range(3)]
            tasks = await run_beside(
                opened, calls, lambda: reported.append(time.monotonic() - started)
            )
            held = opened.gate.queue.running
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)
            after = [
                await opened.gate.run(make_call(f"x{n}", "/other/")) for n in range(20)
            ]
            left = opened.gate.queue.running
            outcomes = {result.outcome for result in after}
            return reported, (held, left, opened.target.muted), outcomes

    reported, counts, outcomes = run_async(run)
    assert_that(len(reported), Equals(3))
    assert_that(max(reported), LessThan(DEADLINE_MS / 2000))
    assert_that(counts, Equals((3, 0, 3)))
    assert_that(outcomes, Equals({ANSWERED}))


@pytest.mark.parametrize(
    ("is_idempotent", "on_silent"),
    [(False, None), (True, None), (False, int), (True, int)],
)
def test_silent_request_is_awaited(is_idempotent, on_silent):
    """A silence is no reason to end it sooner; its outcome is unknown at its deadline.

    So it is whether or not another target is tried meanwhile.
    """

    async def run():
        async with open_busy_gate() as opened:
            return await await_silent(
                opened, on_silent=on_silent, is_idempotent=is_idempotent
            )

    results, seconds = run_async(run)
    assert_that({result.code for result in results}, Equals({"timeout"}))
    assert_that(seconds, GreaterThan(0.79))


def test_one_long_request_is_not_silent():
    """A single request that takes long, though others overtake it, may be at work."""

    async def run():
        async with open_busy_gate() as opened:
            reported = []
            results, seconds = await await_silent(opened, 1, lambda: reported.append(1))
            return results, seconds, reported

    (result,), seconds, reported = run_async(run)
    assert_that((result.code, reported), Equals(("timeout", [])))
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
        ({"report": None}, False),
        ({"deadline": 1.05}, False),
        ({"sent_at": 0.6}, False),
    ],
)
def test_silence_needs_each_condition(changes, is_silent):
    """Overtaken, to be sent elsewhere, long awaited, and with time for that."""
    sent = SentRequest("r", 0.0, 5.0, lambda: None, overtaken_by=4)
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
    """Other nodes that answer with the given results, in turn.

    A silent target's result is a pair of its result, and of the seconds until it.
    """

    results: list
    cancelled: list = attrs.Factory(list)

    async def call(self, member, _call):
        """Return the next result."""
        result = self.results.pop(0)
        if not isinstance(result, tuple):
            return result
        loop = asyncio.get_running_loop()
        later = loop.create_future()
        loop.call_later(result[1], lambda: later.done() or later.set_result(result[0]))
        raise TargetSilent(later, lambda: self.cancelled.append(member.node))


def dispatch(results):
    """Dispatch a safe call to nodes that answer so; return result and cancels."""

    async def run():
        async with open_gate() as opened:
            nodes = [
                (Candidate(f"n{n}", LoadView(), False, False), Member(f"n{n}", None))
                for n in range(12)
            ]
            candidates = attrs.make_class("Candidates", [])()
            type(candidates).list_open = lambda *_: iter(nodes)
            type(candidates).estimate_delivery = lambda *_: 0.0
            peers = FakePeers(results)
            dispatcher = Dispatcher(candidates, peers, opened.gate, Counters())
            deadline = read_monotonic() + PLAN_SECONDS
            plan = CallPlan(
                make_call(), deadline, deadline, 2, lambda: "", lambda _version: ""
            )
            result = (await dispatcher.run(plan)).result
            return result.outcome, result.body, len(peers.cancelled)

    return run_async(run)


LOAD = Load(0, 0, 4, 1.0)
OVER_BUDGET = Result(1, NOT_RUN, LOAD, code="over-budget")
MISSING = Result(1, UNKNOWN, LOAD, code="answer-missing", reached_target=True)
TIMEOUT = Result(1, UNKNOWN, LOAD, code="timeout", reached_target=True)


def make_answer(body, status=200):
    """Return the result of a call that was answered."""
    return Result(1, ANSWERED, LOAD, status, body=body, reached_target=True)


@pytest.mark.parametrize(
    ("first", "outcome"),
    [
        # Another target may answer sooner than the silent one.
        ((TIMEOUT, 0.9), (ANSWERED, b"second", 1)),
        # The second gate without room was already the next best choice.
        (MISSING, (UNKNOWN, b"", 0)),
    ],
)
def test_silent_request_is_tried_beyond_two_refusals(first, outcome):
    """Gates with no retry left made it a 502 while another target had room."""
    refusals = [msgspec.structs.replace(OVER_BUDGET) for _ in range(4)]
    results = [first, *refusals, make_answer(b"second")]
    assert_that(dispatch(results), Equals(outcome))


@pytest.mark.parametrize(
    "others",
    [
        [msgspec.structs.replace(OVER_BUDGET) for _ in range(11)],
        [make_answer(b"failure", 500)],
        [MISSING],
    ],
    ids=["refused", "failed", "lost"],
)
def test_silent_target_that_answers_after_all_is_heard(others):
    """The client got a 502 with time left, while its first target was at work."""
    results = [(make_answer(b"first"), 0.1), *others]
    assert_that(dispatch(results), Equals((ANSWERED, b"first", 0)))


def test_failure_that_a_silent_target_answers_is_passed_on():
    """The client got a 502 of the node's own in its place."""
    refusals = [msgspec.structs.replace(OVER_BUDGET) for _ in range(11)]
    for others in (refusals, [MISSING]):
        results = [(make_answer(b"failure", 500), 0.1), *others]
        assert_that(dispatch(results), Equals((ANSWERED, b"failure", 0)))


def test_silent_target_that_never_answers_leaves_the_failure():
    """Without a success of either target, the client gets the answer of the second."""
    results = [(TIMEOUT, 0.1), make_answer(b"failure", 500)]
    assert_that(dispatch(results), Equals((ANSWERED, b"failure", 0)))


def test_failure_of_the_second_target_is_not_replaced_by_a_timeout():
    """The client got a 504: the wait for the first target ended later than its own."""
    started = time.monotonic()
    silent_seconds = 4 * PLAN_SECONDS
    results = [(TIMEOUT, silent_seconds), make_answer(b"failure", 500)]
    assert_that(dispatch(results), Equals((ANSWERED, b"failure", 1)))
    assert_that(time.monotonic() - started, LessThan(silent_seconds))


@pytest.mark.parametrize("service", ["a", "b"])
@pytest.mark.parametrize("is_stopped", [False, True])
def test_slow_reads_are_answered_though_no_other_target_is_left(service, is_stopped):
    """Reads that others overtook got a 502 with time left, while they were at work.

    The target is beside the first node (service a), or beside another one. The first
    node is stopped, as planned, once they run, or not.
    """

    async def work():
        fleet = await MeshFleet.open()
        fleet.store.put_json("op", "config", make_document(1, ROUTES, ["a", "b"]))
        try:
            (node,) = await fleet.start_connected("n1")
            first = node
            if service == "b":
                first = await fleet.start("n2", "b")
                await wait_for(first.is_reachable_and_ready)
                await wait_for(lambda: first.sidecar.peers.list_connected("a"))
            node.sidecar.gate.queue.slots = 4
            stop = first.stop.set if is_stopped else lambda: None
            return await read_beside(first, node, stop)
        finally:
            await fleet.close()

    statuses, silent = run_async(work)
    assert_that(statuses, Equals([200] * 3))
    assert_that(silent, Equals(3))


ROUTES = {"/read/": {}, "/write/": {"kind": "unsafe"}}
SLOW_SECONDS = 0.8


async def read_beside(first, node, on_running):
    """Send three slow reads beside quick ones; return their statuses.

    Returns also how many of them the gate of `node` took for silent. `on_running` is
    called once the slow reads run.
    """
    node.target.work_seconds = WORK_SECONDS
    for _ in range(5):
        await first.request("/read/x")
    node.target.work_seconds = SLOW_SECONDS
    slow = [asyncio.create_task(first.request("/read/slow")) for _ in range(3)]
    await wait_for(lambda: node.target.running == 3)
    on_running()
    node.target.work_seconds = WORK_SECONDS
    while not slow[0].done():
        await first.request("/read/x")
    statuses = [answer.status for answer in await asyncio.gather(*slow)]
    return statuses, node.sidecar.counters.get("answers_silent")
