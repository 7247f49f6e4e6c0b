"""Answers that are kept for outcome queries: their memory, and what happens beyond."""

import tracemalloc

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from cactusshed.mesh.frames import ANSWERED, UNKNOWN, Load, OutcomeQuery, Result
from cactusshed.mesh.outcomes import MAX_KEPT_ANSWER_BYTES, CallOutcomes
from cactusshed.mesh.sidecar import Sidecar
from cactusshed.policy.callrecords import CallRecords, CallState
from cactusshed.serve.messages import Answered, Reply
from standins.meshfleet import MeshFleet

from .meshes import make_call, run_async
from .test_gates import SlowPool, make_gates
from .test_gates import make_call as make_product_call

LIMIT_BYTES = 4 << 20
LOAD = Load(0, 0, 4, 1.0)


async def keep_answers(outcomes, count, body_bytes, header_bytes=0):
    """Record calls that were answered with bodies and headers of these sizes."""
    for number in range(count):
        call = make_call(f"r{number}", is_idempotent=False)
        outcomes.begin(call)
        outcomes.dispatch(call)
        headers = [(b"x", bytes(header_bytes))]
        result = Result(1, ANSWERED, LOAD, 200, headers, bytes(body_bytes))
        outcomes.end(call, result)


async def ask_outcome(outcomes, number):
    """Return the outcome of a recorded call, as another node gets it."""
    query = OutcomeQuery(9, f"r{number}".encode(), 1, 100)
    return (await outcomes.resolve(query)).outcome


@pytest.mark.parametrize(
    ("body_bytes", "header_bytes"),
    [(MAX_KEPT_ANSWER_BYTES, 0), (0, MAX_KEPT_ANSWER_BYTES)],
)
def test_kept_answers_stay_within_their_memory(body_bytes, header_bytes):
    """Answers of one minute took up to 1.3 GB in a process that has 300 MB."""

    async def work():
        outcomes = CallOutcomes(lambda: LOAD)
        outcomes.limit_answers(LIMIT_BYTES)
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        try:
            await keep_answers(outcomes, 1000, body_bytes, header_bytes)
            return tracemalloc.get_traced_memory()[0] - before
        finally:
            tracemalloc.stop()

    assert_that(run_async(work), LessThan(LIMIT_BYTES + (1 << 20)))


def test_oldest_answers_are_dropped_and_their_calls_never_run_again():
    """A dropped answer leaves an unknown outcome: not run would be a false promise."""

    async def work():
        outcomes = CallOutcomes(lambda: LOAD)
        outcomes.limit_answers(LIMIT_BYTES)
        await keep_answers(outcomes, 200, MAX_KEPT_ANSWER_BYTES)
        repeated = outcomes.begin(make_call("r0", is_idempotent=False))
        return (
            await ask_outcome(outcomes, 0),
            repeated.outcome,
            await ask_outcome(outcomes, 199),
        )

    assert_that(run_async(work), Equals((UNKNOWN, UNKNOWN, ANSWERED)))


def test_expired_answers_return_their_memory():
    """After a minute the memory is free for the answers of other calls."""
    records = CallRecords(LIMIT_BYTES)
    for number in range(10):
        records.begin(f"r{number}", 0.0)
        records.dispatch(f"r{number}")
        records.finish(f"r{number}", 0.0, "answer", 1000)
    records.begin("later", 100.0)
    assert_that((records.answer_bytes, len(records)), Equals((0, 1)))


def test_answer_larger_than_the_limit_is_not_kept():
    """Its call's outcome is unknown, and the others keep theirs out of its way."""
    records = CallRecords(100)
    records.begin("r1", 0.0)
    records.dispatch("r1")
    records.finish("r1", 0.0, "answer", 101)
    state = records.resolve("r1", 0.0).state
    assert_that((state, records.answer_bytes), Equals((CallState.UNKNOWN, 0)))


def test_limit_follows_the_memory_of_the_process():
    """A node with 300 MB keeps answers of at most 4 % of it."""

    async def work():
        fleet = await MeshFleet.open()
        try:
            node = await fleet.start("n1")
            sidecar: Sidecar = node.sidecar
            return sidecar.gate.outcomes._records.max_answer_bytes
        finally:
            await fleet.close()

    assert_that(run_async(work), Equals(int(0.04 * (300 << 20))))


def test_product_bounds_the_answers_that_it_keeps():
    """The gates of the product's own path keep the same records."""

    class LargePool(SlowPool):
        async def send(self, _request, **_limits):
            return Reply(200, [], bytes(60_000))

    async def work():
        gates = make_gates(LargePool())
        gates.call_records.max_answer_bytes = 1 << 20
        outcomes = [
            await gates.run(make_product_call(f"c{number}"), "t1")
            for number in range(40)
        ]
        kept = sum(
            gates.call_records.resolve(f"c{number}", 0.0).state == CallState.ANSWERED
            for number in range(40)
        )
        return {type(outcome) for outcome in outcomes}, kept * 60_000 < 1 << 20

    assert_that(run_async(work), Equals(({Answered}, True)))
