"""Gates: a call releases its slot however it ends."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, IsInstance

from cactusshed.clock import read_monotonic
from cactusshed.member.announcements import Announcement, TargetRegistry
from cactusshed.observe.counters import Counters
from cactusshed.observe.tallies import Tallies
from cactusshed.policy.callrecords import CallState
from cactusshed.serve.gates import Gates
from cactusshed.serve.messages import Answered, Call, NotRun, Reply, Unknown
from cactusshed.serve.pool import AnswerMissing, NotSent
from cactusshed.spread.activeversion import ActiveVersion

ANNOUNCEMENT = Announcement("t1", "s", "v1", "127.0.0.1:9", 1, "life-1")


class SlowPool:
    """Pool whose responses wait until `may_respond` is set."""

    def __init__(self):
        """Respond successfully by default."""
        self.may_respond = anyio.Event()
        self.error = None
        self.sent = 0

    async def send(self, _request, **_limits):
        """Respond, or raise `error`, once `may_respond` is set."""
        self.sent += 1
        await self.may_respond.wait()
        if self.error is not None:
            raise self.error
        return Reply(200, [], b"done")


def make_gates(pool):
    """Return gates with one target that has one slot."""
    targets = TargetRegistry(60.0, lambda _targets: None)
    gates = Gates(
        targets,
        ActiveVersion("r", "d", Counters()),
        Counters(),
        Tallies(),
        lambda _call: None,
        "d",
        "n",
        make_pool=lambda *_arguments: pool,
    )
    gates.apply_announcement(targets.apply(ANNOUNCEMENT, read_monotonic()))
    return gates


def make_call(name, *, may_wait=True, idempotent=False):
    """Return a call."""
    return Call(
        call_id=name,
        method="POST",
        path=b"/",
        headers=[],
        body=b"",
        deadline=read_monotonic() + 5.0,
        depth=0,
        tenant="t",
        service="s",
        route="r",
        traffic_class="normal",
        idempotent=idempotent,
        may_wait=may_wait,
    )


async def run_fenced():
    """Fence a queued call, let the running one end, and run a third."""
    pool = SlowPool()
    gates = make_gates(pool)
    outcomes = {}

    async def run(name):
        outcomes[name] = await gates.run(make_call(name), "t1")

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run, "first")
        await anyio.wait_all_tasks_blocked()
        tasks.start_soon(run, "second")
        await anyio.wait_all_tasks_blocked()
        record = gates.call_records.resolve("second", read_monotonic())
        pool.may_respond.set()
    outcomes["third"] = await gates.run(make_call("third", may_wait=False), "t1")
    return record, outcomes, pool.sent, gates.count_running()


def test_fenced_call_releases_its_slot():
    """A call that is fenced while it is queued is not run and releases its slot.

    If it kept the slot, the target would permanently run fewer calls.
    """
    record, outcomes, sent, running = anyio.run(run_fenced)
    assert_that(record.state, Equals(CallState.FENCED))
    assert_that(outcomes["first"], IsInstance(Answered))
    assert_that(outcomes["second"], Equals(NotRun("fenced")))
    assert_that(outcomes["third"], IsInstance(Answered))
    assert_that((sent, running), Equals((2, 0)))


async def run_failing(error):
    """Run a call that fails; return its outcome and the number of running calls."""
    pool = SlowPool()
    pool.may_respond.set()
    pool.error = error
    gates = make_gates(pool)
    outcome = await gates.run(make_call("only"), "t1")
    return outcome, gates.count_running()


@pytest.mark.parametrize(
    ("error", "outcome"),
    [
        (NotSent("refused"), NotRun("target-unreachable")),
        (AnswerMissing("x", peer="t", timed_out=True), Unknown("timeout")),
        (AnswerMissing("x", peer="t", timed_out=False), Unknown("target-died")),
    ],
)
def test_failed_call_releases_its_slot(error, outcome):
    """A failed call has the outcome of its error and releases its slot."""
    assert_that(anyio.run(run_failing, error), Equals((outcome, 0)))


async def run_cancelled():
    """Cancel a running idempotent call; count running and recorded calls."""
    gates = make_gates(SlowPool())
    with anyio.move_on_after(0.02):
        await gates.run(make_call("only", idempotent=True), "t1")
    return gates.count_running(), len(gates.call_records)


def test_cancelled_call_releases_its_slot():
    """A cancelled call releases its slot and its record."""
    assert_that(anyio.run(run_cancelled), Equals((0, 0)))
