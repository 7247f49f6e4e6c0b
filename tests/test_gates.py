"""The gates: slots come back however a call ends."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, IsInstance

from cactusshed.clock import read_monotonic
from cactusshed.member.announce import Announcement, Targets
from cactusshed.observe.counters import Counters
from cactusshed.observe.tallies import Tallies
from cactusshed.policy.ledger import Standing
from cactusshed.serve.gates import Gates
from cactusshed.serve.links import AnswerMissing, NotSent
from cactusshed.serve.messages import Answered, Call, NotRun, Reply, Unknown
from cactusshed.spread.current import Current

SAID = Announcement("t1", "s", "v1", "127.0.0.1:9", 1, "life-1")


class SlowLinks:
    """Links whose answers wait until they are let go."""

    def __init__(self):
        """Answer well."""
        self.go = anyio.Event()
        self.error = None
        self.sent = 0

    async def send(self, _request, **_limits):
        """Answer once let go."""
        self.sent += 1
        await self.go.wait()
        if self.error is not None:
            raise self.error
        return Reply(200, [], b"done")


def make_gates(links):
    """Return a gates with one target of one slot."""
    targets = Targets(60.0, lambda _targets: None)
    keeper = Gates(
        targets,
        Current("r", "d", Counters()),
        Counters(),
        Tallies(),
        lambda _call: None,
        "d",
        "n",
        make_links=lambda *_arguments: links,
    )
    keeper.take_announcement(targets.take(SAID, read_monotonic()))
    return keeper


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
        kind="normal",
        idempotent=idempotent,
        may_wait=may_wait,
    )


async def run_fenced():
    """Fence a call that waits, let the running one end, and run a third."""
    links = SlowLinks()
    keeper = make_gates(links)
    outcomes = {}

    async def run(name):
        outcomes[name] = await keeper.run(make_call(name), "t1")

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run, "first")
        await anyio.wait_all_tasks_blocked()
        tasks.start_soon(run, "second")
        await anyio.wait_all_tasks_blocked()
        entry = keeper.ledger.settle("second", read_monotonic())
        links.go.set()
    outcomes["third"] = await keeper.run(make_call("third", may_wait=False), "t1")
    return entry, outcomes, links.sent, keeper.count_running()


def test_fenced_call_gives_its_slot_back():
    """A call that is fenced while it waits is not run and keeps no slot.

    Its slot was lost for good: the target bore one call fewer from then on.
    """
    entry, outcomes, sent, running = anyio.run(run_fenced)
    assert_that(entry.standing, Equals(Standing.FENCED))
    assert_that(outcomes["first"], IsInstance(Answered))
    assert_that(outcomes["second"], Equals(NotRun("fenced")))
    assert_that(outcomes["third"], IsInstance(Answered))
    assert_that((sent, running), Equals((2, 0)))


async def run_failing(error):
    """Run a call that fails and return its outcome and what still runs."""
    links = SlowLinks()
    links.go.set()
    links.error = error
    keeper = make_gates(links)
    outcome = await keeper.run(make_call("only"), "t1")
    return outcome, keeper.count_running()


@pytest.mark.parametrize(
    ("error", "outcome"),
    [
        (NotSent("refused"), NotRun("target-unreachable")),
        (AnswerMissing("x", peer="t", timed_out=True), Unknown("timeout")),
        (AnswerMissing("x", peer="t", timed_out=False), Unknown("target-died")),
    ],
)
def test_failed_call_gives_its_slot_back(error, outcome):
    """A call that fails has a true outcome and keeps no slot."""
    assert_that(anyio.run(run_failing, error), Equals((outcome, 0)))


async def run_cancelled():
    """Cancel a running idempotent call and return what still runs."""
    keeper = make_gates(SlowLinks())
    with anyio.move_on_after(0.02):
        await keeper.run(make_call("only", idempotent=True), "t1")
    return keeper.count_running(), len(keeper.ledger)


def test_cancelled_call_gives_its_slot_back():
    """A call whose caller went away leaves nothing behind."""
    assert_that(anyio.run(run_cancelled), Equals((0, 0)))
