"""The gate of a target on the users' platform, against a scripted target."""

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, LessThan

from cactusshed.mesh.frames import ANSWERED, NOT_RUN, UNKNOWN, Settle
from cactusshed.mesh.suspects import make_fingerprint
from cactusshed.platform import headers as names

from .meshes import make_call, open_gate, run_async


def run_one(script="", **fields):
    """Return the result of one call, the target and the gate."""

    async def work():
        async with open_gate() as opened:
            opened.target.script["/a/"] = script
            result = await opened.gate.run(make_call(**fields))
            return result, opened

    return run_async(work)


def test_answer_is_passed_on_unchanged():
    """Status, seal and body are the target's."""
    result, opened = run_one()
    assert_that(
        (result.outcome, result.status, result.body), Equals((ANSWERED, 200, b"done"))
    )
    assert_that(result.headers, Contains((names.SEAL, b"s")))


def test_target_gets_what_is_left_the_instance_and_the_caller():
    """The gate sets these headers itself."""
    _, opened = run_one(left_ms=700)
    _, headers, _ = opened.target.seen[0]
    left = int(headers[names.DEADLINE_MS])
    assert_that([0 < left <= 700], Equals([True]))
    assert_that(headers[names.EXPECTED_INSTANCE], Equals(b"i-1"))
    assert_that(headers[names.CALLER], Equals(b"c"))


@pytest.mark.parametrize(
    ("script", "code"),
    [
        ("truncate", "answer-missing"),
        ("reset", "answer-missing"),
        ("unsealed", "answer-unsealed"),
    ],
)
def test_answer_that_is_not_whole_is_unknown(script, code):
    """The client never sees a part of an answer as a success."""
    result, _ = run_one(script)
    assert_that((result.outcome, result.code), Equals((UNKNOWN, code)))


def test_body_that_ends_with_its_connection_is_whole_after_an_orderly_close():
    """A close without reset ends such a body."""
    result, _ = run_one("unframed")
    assert_that((result.outcome, result.body), Equals((ANSWERED, b"whole")))


def test_anothers_answer_before_the_right_one_is_skipped():
    """The identity tells them apart, and the connection is not used again."""

    async def work():
        async with open_gate() as opened:
            opened.target.script["/a/"] = "foreign"
            first = await opened.gate.run(make_call("r1"))
            second = await opened.gate.run(make_call("r2", "/b/"))
            return first.body, second.body, opened.target.connections

    assert_that(run_async(work), Equals((b"done", b"done", 2)))


def test_extra_answer_reaches_nobody():
    """Bytes that no request waits for end the connection."""

    async def work():
        async with open_gate() as opened:
            opened.target.script["/a/"] = "extra"
            bodies = [
                (await opened.gate.run(make_call(f"r{n}", path))).body
                for n, path in enumerate(["/a/", "/b/", "/a/", "/b/"])
            ]
            await asyncio.sleep(0.05)
            return bodies

    assert_that(run_async(work), Equals([b"done"] * 4))


def test_target_that_declined_has_not_run_the_request():
    """Its word is passed on, and the arrival counts."""
    result, opened = run_one("shed")
    assert_that((result.outcome, result.has_arrived), Equals((NOT_RUN, True)))


def test_another_instance_at_the_address_runs_nothing():
    """The gate then asks who is there."""

    async def work():
        async with open_gate() as opened:
            opened.target.instance = "i-2"
            result = await opened.gate.run(make_call())
            return result.code, opened.target.runs.total(), len(opened.doubts)

    assert_that(run_async(work), Equals(("other-instance", 0, 1)))


@pytest.mark.parametrize(
    ("fields", "code"),
    [
        ({"service": "other"}, "other-service"),
        ({"version": "v2"}, "other-version"),
        ({"left_ms": 0}, "deadline"),
    ],
)
def test_calls_that_must_not_run_here_are_refused(fields, code):
    """The target sees nothing of them."""
    result, opened = run_one(**fields)
    assert_that((result.outcome, result.code), Equals((NOT_RUN, code)))
    assert_that(opened.target.seen, Equals([]))


def test_closing_the_gate_refuses_waiting_calls_at_once():
    """A call that waits when a target leaves never reaches it."""

    async def work():
        async with open_gate(slots=1, work=0.3) as opened:
            gate = opened.gate
            running = asyncio.create_task(gate.run(make_call("r1")))
            await asyncio.sleep(0.05)
            waiting = asyncio.create_task(gate.run(make_call("r2")))
            await asyncio.sleep(0.05)
            gate.set_closure("target-left", True)
            refused = await waiting
            done = await running
            return refused.code, done.outcome, opened.target.runs.total()

    assert_that(run_async(work), Equals(("target-left", ANSWERED, 1)))


def test_never_more_calls_at_once_than_slots():
    """Thirty calls at once on a target of two slots."""

    async def work():
        async with open_gate(slots=2, work=0.01) as opened:
            calls = [opened.gate.run(make_call(f"r{n}")) for n in range(30)]
            await asyncio.gather(*calls)
            return opened.target.most_running

    assert_that(run_async(work), Equals(2))


def test_cancelled_call_ends_at_its_target():
    """Nobody waits for it any longer, so its slot is free again."""

    async def work():
        async with open_gate(slots=1) as opened:
            opened.target.script["/a/"] = "hang"
            task = asyncio.create_task(opened.gate.run(make_call()))
            await asyncio.sleep(0.05)
            task.cancel()
            await asyncio.sleep(0.1)
            return opened.target.broken_off, opened.gate.room.running

    assert_that(run_async(work), Equals((1, 0)))


def ask_settle(request_id="r1", left_ms=1000):
    """Return the question what became of a request's first try."""
    return Settle(9, request_id.encode(), 1, left_ms)


def test_settling_an_unknown_call_fences_it():
    """It is told as not run, and never runs after that."""

    async def work():
        async with open_gate() as opened:
            gate = opened.gate
            told = await gate.settlements.settle(ask_settle())
            later = await gate.run(make_call(is_repeatable=False))
            return told.outcome, later.code, opened.target.runs.total()

    assert_that(run_async(work), Equals((NOT_RUN, "fenced", 0)))


def test_settling_a_running_call_waits_for_its_answer():
    """The answer is not lost with the link."""

    async def work():
        async with open_gate(work=0.2) as opened:
            gate = opened.gate
            call = make_call(is_repeatable=False)
            running = asyncio.create_task(gate.run(call))
            await asyncio.sleep(0.05)
            told = await gate.settlements.settle(ask_settle())
            await running
            return told.outcome, told.body, told.number, opened.target.runs["r1"]

    assert_that(run_async(work), Equals((ANSWERED, b"done", 9, 1)))


def test_refused_call_may_be_tried_again_at_the_same_gate():
    """A busy refusal fences that try, not the request."""

    async def work():
        async with open_gate(slots=1, work=0.1) as opened:
            gate = opened.gate
            first = asyncio.create_task(gate.run(make_call("r0")))
            await asyncio.sleep(0.02)
            fields = {"is_repeatable": False, "may_wait": False}
            busy = await gate.run(make_call("r1", **fields))
            fields = {"is_repeatable": False, "attempt": 2}
            answered = await gate.run(make_call("r1", **fields))
            await first
            return busy.code, answered.outcome

    assert_that(run_async(work), Equals(("target-busy", ANSWERED)))


def test_request_that_crashed_three_targets_is_refused():
    """Requests that were merely beside it pass again once answered."""

    async def work():
        async with open_gate() as opened:
            gate = opened.gate
            opened.target.script["/a/"] = "reset"
            for n in range(3):
                await gate.run(make_call(f"r{n}"))
                gate.suspects.condemn(0.0 + gate_now())
            return (await gate.run(make_call("r9"))).code, opened.target.runs.total()

    code, runs = run_async(work)
    assert_that(code, Equals("quarantined"))
    assert_that(runs, LessThan(4))


def test_crashing_request_among_others_is_refused_after_three_deaths():
    """It is told from the others, which are answered elsewhere meanwhile."""

    async def work():
        async with open_gate(slots=3, work=0.05) as opened:
            gate = opened.gate
            opened.target.script.update({"/a/": "reset", "/b/": "reset"})
            for n in range(3):
                calls = [make_call(f"a{n}"), make_call(f"b{n}", "/b/")]
                await asyncio.gather(*(gate.run(call) for call in calls))
                gate.suspects.condemn(gate_now())
                gate.quarantine.acquit(make_fingerprint(calls[1]))
            opened.target.script.clear()
            guilty = await gate.run(make_call("a9"))
            innocent = await gate.run(make_call("b9", "/b/"))
            return guilty.code, innocent.outcome

    assert_that(run_async(work), Equals(("quarantined", ANSWERED)))


def gate_now():
    """Return the clock that gates use."""
    from cactusshed.clock import read_monotonic

    return read_monotonic()


def test_lost_answer_alone_is_no_strike():
    """Only a target that is known to have died condemns what broke with it."""

    async def work():
        async with open_gate() as opened:
            gate = opened.gate
            opened.target.script["/a/"] = "reset"
            for n in range(5):
                await gate.run(make_call(f"r{n}"))
            fingerprint = make_fingerprint(make_call())
            return gate.quarantine.judge(fingerprint, gate_now()).refuse

    assert_that(run_async(work), Equals(False))


def test_cold_gate_lets_in_a_bounded_rate():
    """Sixty calls at once on a cold target."""

    async def work():
        async with open_gate(slots=60) as opened:
            gate = opened.gate
            gate.cold.adjust(20.0, 1.5, 5.0)
            gate.cold.doubt(gate_now())
            calls = [
                asyncio.create_task(gate.run(make_call(f"r{n}", aim_ms=1)))
                for n in range(60)
            ]
            await asyncio.sleep(0.5)
            runs = opened.target.runs.total()
            for call in calls:
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)
            return runs

    assert_that(run_async(work), LessThan(20 * 1.5 + 5))


def test_cold_gate_reports_the_room_that_its_rate_leaves():
    """Load pattern: a cold target has free slots, and bears no more starts."""

    async def work():
        async with open_gate(slots=18) as opened:
            gate = opened.gate
            gate.room.mean = 0.1
            warm = gate.get_load().limit
            gate.cold.adjust(47.0, 1.5, 5.0)
            gate.cold.doubt(gate_now())
            return warm, gate.get_load().limit

    assert_that(run_async(work), Equals((18, 6)))


def test_one_death_is_one_strike_however_many_look_alike():
    """Load pattern: many callers read the same page as its target dies once."""

    async def work():
        async with open_gate(slots=5, work=0.05) as opened:
            gate = opened.gate
            opened.target.script["/a/"] = "reset"
            calls = [make_call(f"r{n}") for n in range(5)]
            await asyncio.gather(*(gate.run(call) for call in calls))
            strikes = gate.suspects.condemn(gate_now())
            opened.target.script.clear()
            result = await gate.run(make_call("r9"))
            return len(strikes), strikes[0].is_alone, result.outcome

    assert_that(run_async(work), Equals((1, False, ANSWERED)))
