"""Tests of the gate of a target on the users' platform, with a scripted target."""

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, LessThan

from cactusshed.clock import read_monotonic
from cactusshed.errors import CactusError
from cactusshed.mesh.crashes import make_fingerprint
from cactusshed.mesh.frames import ANSWERED, NOT_RUN, UNKNOWN, OutcomeQuery
from cactusshed.mesh.pool import ConnectionPool
from cactusshed.mesh.targetclient import exchange_call, request_health
from cactusshed.options import Address
from cactusshed.platform import headers as header_names

from .meshes import make_call, open_gate, run_async


def run_one(script="", **fields):
    """Run one call; return its result and the gate with its target."""

    async def work():
        async with open_gate() as opened:
            opened.target.script["/a/"] = script
            result = await opened.gate.run(make_call(**fields))
            return result, opened

    return run_async(work)


def test_answer_is_passed_on_unchanged():
    """The target's status, seal and body are returned as they are."""
    result, opened = run_one()
    assert_that(
        (result.outcome, result.status, result.body), Equals((ANSWERED, 200, b"done"))
    )
    assert_that(result.headers, Contains((header_names.SEAL, b"s")))


def test_target_gets_deadline_instance_and_caller():
    """The gate itself sets the deadline, expected instance and caller headers."""
    _, opened = run_one(remaining_ms=700)
    _, headers, _ = opened.target.requests[0]
    remaining_ms = int(headers[header_names.DEADLINE_MS])
    assert_that([0 < remaining_ms <= 700], Equals([True]))
    assert_that(headers[header_names.EXPECTED_INSTANCE], Equals(b"i-1"))
    assert_that(headers[header_names.CALLER], Equals(b"c"))


@pytest.mark.parametrize(
    ("script", "code"),
    [
        ("truncate", "answer-missing"),
        ("reset", "answer-missing"),
        ("unsealed", "answer-unsealed"),
        ("unframed-reset", "answer-missing"),
    ],
)
def test_answer_that_is_not_whole_is_unknown(script, code):
    """An incomplete or unsealed answer is never passed on as a success."""
    result, _ = run_one(script)
    assert_that((result.outcome, result.code), Equals((UNKNOWN, code)))


def test_body_that_ends_with_its_connection_is_whole_after_an_orderly_close():
    """A body without length is complete when the connection closes without a reset."""
    result, _ = run_one("unframed")
    assert_that((result.outcome, result.body), Equals((ANSWERED, b"whole")))


def test_answer_to_another_request_is_skipped():
    """An answer with another request's id is dropped; the connection is not reused."""

    async def work():
        async with open_gate() as opened:
            opened.target.script["/a/"] = "foreign"
            first = await opened.gate.run(make_call("r1"))
            second = await opened.gate.run(make_call("r2", "/b/"))
            return first.body, second.body, opened.target.connections

    assert_that(run_async(work), Equals((b"done", b"done", 2)))


@pytest.mark.parametrize("script", ["stale", "stale-early"])
def test_copy_of_an_earlier_refusal_is_not_the_answer(script):
    """A refusal without an id came on a kept connection before the answer.

    The request was reported as not run, although the target was running it.
    """

    async def work():
        async with open_gate(work_seconds=0.05) as opened:
            await opened.gate.run(make_call("r1"))
            opened.target.script["/a/"] = script
            result = await opened.gate.run(make_call("r2", is_idempotent=False))
            return result.outcome, result.body, opened.target.runs["r2"]

    assert_that(run_async(work), Equals((ANSWERED, b"done", 1)))


def test_copy_of_an_earlier_refusal_is_not_a_health_answer():
    """A refusal that names no instance closed the gate for an unknown target."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 503 X\r\ncontent-length: 0\r\nx-not-executed: 1\r\n\r\n"
        )
        writer.close()

    async def work():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        pool = ConnectionPool(
            Address(*server.sockets[0].getsockname()), header_names.ATTEMPT_ID
        )
        try:
            await request_health(pool, "/healthz")
        except CactusError as error:
            return error.code
        finally:
            server.close()

    assert_that(run_async(work), Equals("not-health"))


ANSWER_HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nx-attempt-id: r1\r\nx-response-seal: s\r\n"
    b"content-length: 4\r\n\r\n",
    "chunked": b"HTTP/1.1 200 OK\r\nx-attempt-id: r1\r\nx-response-seal: s\r\n"
    b"transfer-encoding: chunked\r\n\r\n",
    "close": b"HTTP/1.1 200 OK\r\nx-attempt-id: r1\r\nx-response-seal: s\r\n\r\n",
    "empty": b"HTTP/1.1 204 OK\r\nx-attempt-id: r1\r\nx-response-seal: s\r\n\r\n",
    "interim": b"HTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nx-attempt-id: r1\r\nx-response-seal: s\r\n\r\n",
}


@pytest.mark.parametrize("method", [b"GET", b"HEAD"])
@pytest.mark.parametrize("framing", ANSWER_HEADS)
def test_answer_cut_anywhere_in_its_head_is_not_complete(framing, method):
    """A target stopped in the middle of its answer's head and closed.

    Callers must not get an empty or short body as a whole one.
    """
    head = ANSWER_HEADS[framing]
    cuts = iter(range(len(head)))

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head[: next(cuts)])
        writer.close()

    async def work():
        async with open_gate() as opened:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            opened.gate.exchange.pool = ConnectionPool(
                Address(*server.sockets[0].getsockname()), header_names.ATTEMPT_ID
            )
            call = make_call("r1", method=method, is_idempotent=False)
            codes = set()
            for attempt in range(len(head)):
                call.attempt = attempt
                opened.gate.cold.set_cold_time(0.0, 0.0)
                result = await opened.gate.run(call)
                codes.add((result.outcome, result.code))
            server.close()
            return codes

    assert_that(run_async(work), Equals({(UNKNOWN, "answer-missing")}))


def test_extra_answer_reaches_no_caller():
    """Bytes received while no request is pending close the connection."""

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


def test_copy_of_an_answer_is_not_taken_for_a_health_answer():
    """A second copy that arrives while a health check waits is dropped.

    A check that took it for its own would find no instance in it, and close the gate.
    """
    copy = b"HTTP/1.1 200 X\r\nx-attempt-id: r1\r\nx-response-seal: s\r\n"
    copy += b"content-length: 4\r\n\r\ndone"
    health = b"HTTP/1.1 200 X\r\nx-instance-id: i-1\r\ncontent-length: 0\r\n\r\n"

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(copy)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(copy + health)
        writer.close()

    async def work():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = Address(*server.sockets[0].getsockname())
        pool = ConnectionPool(address, header_names.ATTEMPT_ID)
        deadline = read_monotonic() + 1.0
        upstream, _ = await exchange_call(pool, make_call("r1"), deadline, "i-1")
        pool.release(upstream)
        answer = await request_health(pool, "/healthz")
        server.close()
        return answer.find(header_names.INSTANCE), upstream.is_usable()

    assert_that(run_async(work), Equals((b"i-1", False)))


@pytest.mark.parametrize("status", [408, 429, 503])
def test_status_that_denies_the_run_is_withheld_after_a_run(status):
    """The caller was promised that its request had not run, and sent it again."""

    async def run():
        async with open_gate() as opened:
            opened.target.script["/a/"] = f"fail-{status}"
            result = await opened.gate.run(make_call(is_idempotent=False))
            return result.outcome, result.code, opened.target.runs.total()

    assert_that(run_async(run), Equals((UNKNOWN, "status-withheld", 1)))


def test_target_that_declined_has_not_run_the_request():
    """A refusal by the target is reported as not run, but as having reached it."""
    result, opened = run_one("shed")
    assert_that((result.outcome, result.reached_target), Equals((NOT_RUN, True)))


def test_another_instance_at_the_address_runs_nothing():
    """An answer 421 of another instance makes the gate suspect a restart."""

    async def work():
        async with open_gate() as opened:
            opened.target.instance = "i-2"
            result = await opened.gate.run(make_call())
            return result.code, opened.target.runs.total(), len(opened.restarts)

    assert_that(run_async(work), Equals(("other-instance", 0, 1)))


@pytest.mark.parametrize(
    ("fields", "code"),
    [
        ({"service": "other"}, "other-service"),
        ({"version": "v2"}, "other-version"),
        ({"remaining_ms": 0}, "deadline"),
    ],
)
def test_calls_that_must_not_run_here_are_refused(fields, code):
    """A call for another service or version, or past its deadline, is not sent."""
    result, opened = run_one(**fields)
    assert_that((result.outcome, result.code), Equals((NOT_RUN, code)))
    assert_that(opened.target.requests, Equals([]))


def test_closing_the_gate_refuses_waiting_calls_at_once():
    """A call that is waiting when the target leaves is never sent to it."""

    async def work():
        async with open_gate(slots=1, work_seconds=0.3) as opened:
            gate = opened.gate
            running = asyncio.create_task(gate.run(make_call("r1")))
            await asyncio.sleep(0.05)
            waiting = asyncio.create_task(gate.run(make_call("r2")))
            await asyncio.sleep(0.05)
            gate.set_close_reason("target-left", True)
            refused = await waiting
            done = await running
            return refused.code, done.outcome, opened.target.runs.total()

    assert_that(run_async(work), Equals(("target-left", ANSWERED, 1)))


def test_running_calls_never_exceed_slots():
    """Thirty concurrent calls to a target with two slots run two at a time."""

    async def work():
        async with open_gate(slots=2, work_seconds=0.01) as opened:
            calls = [opened.gate.run(make_call(f"r{n}")) for n in range(30)]
            await asyncio.gather(*calls)
            return opened.target.peak_running

    assert_that(run_async(work), Equals(2))


def test_cancelled_call_ends_at_its_target():
    """Cancelling a call closes its connection to the target and frees its slot."""

    async def work():
        async with open_gate(slots=1) as opened:
            opened.target.script["/a/"] = "hang"
            task = asyncio.create_task(opened.gate.run(make_call()))
            await asyncio.sleep(0.05)
            task.cancel()
            await asyncio.sleep(0.1)
            return opened.target.aborted, opened.gate.queue.running

    assert_that(run_async(work), Equals((1, 0)))


def make_outcome_query(request_id="r1", remaining_ms=1000):
    """Return an outcome query for the first attempt of a request."""
    return OutcomeQuery(9, request_id.encode(), 1, remaining_ms)


def test_outcome_query_fences_an_unknown_call():
    """A call whose outcome was reported as not run is refused when it arrives late."""

    async def work():
        async with open_gate() as opened:
            gate = opened.gate
            result = await gate.outcomes.resolve(make_outcome_query())
            later = await gate.run(make_call(is_idempotent=False))
            return result.outcome, later.code, opened.target.runs.total()

    assert_that(run_async(work), Equals((NOT_RUN, "fenced", 0)))


def test_outcome_query_waits_for_a_running_call():
    """A query during the run returns the answer that was lost with the link."""

    async def work():
        async with open_gate(work_seconds=0.2) as opened:
            gate = opened.gate
            call = make_call(is_idempotent=False)
            running = asyncio.create_task(gate.run(call))
            await asyncio.sleep(0.05)
            result = await gate.outcomes.resolve(make_outcome_query())
            await running
            return result.outcome, result.body, result.number, opened.target.runs["r1"]

    assert_that(run_async(work), Equals((ANSWERED, b"done", 9, 1)))


def test_refused_call_may_be_tried_again_at_the_same_gate():
    """A busy refusal fences only that attempt, not the request."""

    async def work():
        async with open_gate(slots=1, work_seconds=0.1) as opened:
            gate = opened.gate
            first = asyncio.create_task(gate.run(make_call("r0")))
            await asyncio.sleep(0.02)
            fields = {"is_idempotent": False, "may_wait": False}
            busy = await gate.run(make_call("r1", **fields))
            fields = {"is_idempotent": False, "attempt": 2}
            answered = await gate.run(make_call("r1", **fields))
            await first
            return busy.code, answered.outcome

    assert_that(run_async(work), Equals(("target-busy", ANSWERED)))


def test_request_alone_at_repeated_crashes_is_refused():
    """A request that was alone in flight at each crash is quarantined."""

    async def work():
        async with open_gate() as opened:
            gate = opened.gate
            opened.target.script["/a/"] = "reset"
            for n in range(3):
                await gate.run(make_call(f"r{n}"))
                gate.crash_tracker.record_crash(0.0 + gate_now())
            return (await gate.run(make_call("r9"))).code, opened.target.runs.total()

    code, runs = run_async(work)
    assert_that(code, Equals("quarantined"))
    assert_that(runs, LessThan(4))


def test_crashing_request_among_others_is_refused_after_three_crashes():
    """A crashing request is quarantined even if another one is always in flight.

    The other one is answered elsewhere after each crash, which clears its strikes.
    """

    async def work():
        async with open_gate(slots=3, work_seconds=0.05) as opened:
            gate = opened.gate
            opened.target.script.update({"/a/": "reset", "/b/": "reset"})
            for n in range(3):
                calls = [make_call(f"a{n}"), make_call(f"b{n}", "/b/")]
                await asyncio.gather(*(gate.run(call) for call in calls))
                gate.crash_tracker.record_crash(gate_now())
                gate.crash_tracker.clear(calls[1])
            opened.target.script.clear()
            crashing = await gate.run(make_call("a9"))
            other = await gate.run(make_call("b9", "/b/"))
            return crashing.code, other.outcome

    assert_that(run_async(work), Equals(("quarantined", ANSWERED)))


def gate_now():
    """Return the time of the clock that gates use."""
    from cactusshed.clock import read_monotonic

    return read_monotonic()


def test_lost_answer_alone_is_no_strike():
    """A request gets a strike only after its target was found to have died."""

    async def work():
        async with open_gate() as opened:
            gate = opened.gate
            opened.target.script["/a/"] = "reset"
            for n in range(5):
                await gate.run(make_call(f"r{n}"))
            fingerprint = make_fingerprint(make_call())
            return gate.crash_tracker.quarantine.evaluate(
                fingerprint, gate_now()
            ).refuse

    assert_that(run_async(work), Equals(False))


def test_cold_gate_lets_in_a_bounded_rate():
    """Sixty concurrent calls to a cold target start no faster than its cold rate."""

    async def work():
        async with open_gate(slots=60) as opened:
            gate = opened.gate
            gate.cold.adjust(20.0, 1.5, 5.0)
            gate.cold.suspect_restart(gate_now())
            calls = [
                asyncio.create_task(gate.run(make_call(f"r{n}", soft_timeout_ms=1)))
                for n in range(60)
            ]
            await asyncio.sleep(0.5)
            runs = opened.target.runs.total()
            for call in calls:
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)
            return runs

    assert_that(run_async(work), LessThan(20 * 1.5 + 5))


def test_cold_gate_reports_the_limit_of_its_rate():
    """A cold target reports the limit of its start rate, although it has free slots.

    Otherwise first nodes send it more requests than it may start.
    """

    async def work():
        async with open_gate(slots=18) as opened:
            gate = opened.gate
            gate.queue.mean_seconds = 0.1
            warm = gate.get_load().limit
            gate.cold.adjust(47.0, 1.5, 5.0)
            gate.cold.suspect_restart(gate_now())
            return warm, gate.get_load().limit

    assert_that(run_async(work), Equals((18, 6)))


def test_one_crash_is_one_strike_for_identical_requests():
    """Several identical requests in flight at one crash get a single strike.

    Many callers may read the same page when its target crashes. With one strike per
    request, a single crash would quarantine that page.
    """

    async def work():
        async with open_gate(slots=5, work_seconds=0.05) as opened:
            gate = opened.gate
            opened.target.script["/a/"] = "reset"
            calls = [make_call(f"r{n}") for n in range(5)]
            await asyncio.gather(*(gate.run(call) for call in calls))
            strikes = gate.crash_tracker.record_crash(gate_now())
            opened.target.script.clear()
            result = await gate.run(make_call("r9"))
            return len(strikes), strikes[0].ran_alone, result.outcome

    assert_that(run_async(work), Equals((1, False, ANSWERED)))
