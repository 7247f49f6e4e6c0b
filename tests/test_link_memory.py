"""What calls and results of other nodes may hold, and which links are evicted."""

import asyncio

import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cactusshed.connections.links import LinkHolders
from cactusshed.mesh.answermeter import AnswerMeter, TooManyBytes
from cactusshed.mesh.bodyparts import BodyAssembler
from cactusshed.mesh.frames import NOT_RUN, UNKNOWN, Load, Result
from cactusshed.mesh.inbound import Inbound
from cactusshed.policy.bodybudget import BodyBudget, SharedBudget
from cactusshed.policy.clientmemory import (
    MAX_LINKS_PER_NODE,
    ORDINARY_HEAD_BYTES,
    LinkBudgets,
    OutputBudget,
    reserve_head,
)
from cactusshed.policy.plannedstop import PlannedStop
from standins.linkcrowd import make_call

LIMIT = 64 << 10
LONG_HEAD = [(b"name", b"value")] * 300


@attrs.define(eq=False)
class FakeLink:
    """A link of a node that reads nothing."""

    holders: LinkHolders
    last_received: float
    peer: str = ""
    unfinished_bytes: int = 0
    unread_bytes: int = 0
    frame_bytes: int = 100
    holder_name: str = ""
    is_closed: bool = False
    budget: BodyBudget | None = None
    sent: list = attrs.Factory(list)

    @property
    def is_unnamed(self):
        """Return whether its node has no name."""
        return not self.peer

    @property
    def unfinished_since(self):
        """Return when its frame began."""
        return self.last_received

    @property
    def progressed_at(self):
        """Return when its node last read."""
        return self.last_received

    def refresh_unread(self):
        """Do nothing: its node reads nothing."""

    def send(self, frame):
        """Keep a frame."""
        self.sent.append(frame)
        return True

    def close(self):
        """Close the link and free its frame."""
        self.is_closed = True
        self.holders.discard(self)
        if self.budget is not None:
            self.budget.release(self.unfinished_bytes)


def make_holders(max_unnamed=4):
    """Return holders with small budgets, and the reasons of their evictions."""
    reasons = []
    budgets = LinkBudgets(BodyBudget(LIMIT), OutputBudget(LIMIT), max_unnamed)
    return LinkHolders(budgets, reasons.append), reasons


def test_long_heads_leave_half_of_the_budget():
    """A crowd of calls with long heads took the room of ordinary calls."""
    budget = BodyBudget(LIMIT)
    long_cost = ORDINARY_HEAD_BYTES + 1
    while reserve_head(budget, long_cost):
        pass
    assert_that(budget.used <= LIMIT // 2, Equals(True))
    assert_that(reserve_head(budget, ORDINARY_HEAD_BYTES), Equals(True))


def test_bodies_of_links_have_a_share_that_callers_cannot_take():
    """Bodies of callers took all the memory for those of other nodes' calls."""
    callers = BodyBudget(1000)
    links = SharedBudget(1300, own=300, other=callers)
    assert_that(callers.reserve(1000), Equals(True))
    assert_that((links.reserve(300), links.reserve(1)), Equals((True, False)))
    callers.release(1000)
    assert_that(links.reserve(700), Equals(True))
    assert_that((callers.used, callers.reserve(301)), Equals((700, False)))
    links.release(800)
    assert_that((links.used, callers.used), Equals((200, 0)))


def test_answers_wait_within_the_limit_or_if_small():
    """Results for a node that reads nothing filled the memory."""
    output = OutputBudget(1 << 20, used=1 << 20)
    assert_that(output.may_add(1000, held=0), Equals(True))
    assert_that(output.may_add(1000, held=1), Equals(False))
    assert_that(output.may_add(1 << 20, held=0), Equals(False))


def test_silent_links_are_evicted_before_named_ones():
    """Connections that never said a name took all descriptors."""

    async def work():
        holders, reasons = make_holders()
        named = FakeLink(holders, 0.0)
        holders.add(named)
        named.peer = "n1"
        holders.note_named(named)
        silent = [FakeLink(holders, float(n)) for n in range(5)]
        for link in silent:
            holders.add(link)
        closed = [link.is_closed for link in silent]
        assert_that(closed, Equals([True, False, False, False, False]))
        assert_that((named.is_closed, reasons), Equals((False, ["excess"])))

    asyncio.run(work())


def test_a_node_has_few_links():
    """A node that dials again and again left a link for each dial."""

    async def work():
        holders, _ = make_holders()
        links = [FakeLink(holders, float(n)) for n in range(MAX_LINKS_PER_NODE + 1)]
        for link in links:
            holders.add(link)
            link.peer = "n1"
            holders.note_named(link)
        assert_that([link.is_closed for link in links].index(True), Equals(0))
        assert_that(sum(link.is_closed for link in links), Equals(1))

    asyncio.run(work())


def test_stalled_frames_make_room():
    """Frames that never end kept those of other nodes from being read."""

    async def work():
        holders, reasons = make_holders()
        budget = BodyBudget(1000, used=1000)
        stalled = FakeLink(holders, 0.0, unfinished_bytes=1000, budget=budget)
        holders.add(stalled)
        newest = FakeLink(holders, asyncio.get_running_loop().time())
        holders.add(newest)
        holders.make_room(newest, budget, 500)
        assert_that((stalled.is_closed, reasons), Equals((True, ["partial"])))
        assert_that(budget.reserve(500), Equals(True))

    asyncio.run(work())


@attrs.define
class FakeGate:
    """A gate whose target answers each call with a body."""

    body: bytes
    counters: object = attrs.field(factory=lambda: type("C", (), {"add": print})())

    def get_load(self):
        """Return an idle load."""
        return Load(0, 0, 1, 0.0)

    async def run(self, call, _on_silent):
        """Return the answer."""
        return Result(call.number, 0, self.get_load(), 200, [], self.body)


@pytest.mark.parametrize("case", ["ordinary", "long", "unread"])
def test_calls_are_refused_for_memory(case):
    """Heads of calls and unread results were held without a bound."""

    async def work():
        holders, _ = make_holders()
        gate = FakeGate(b"b" * (2 * LIMIT if case == "unread" else 10))
        inbound = Inbound(
            gate, None, None, BodyAssembler(BodyBudget(LIMIT)), PlannedStop(), holders
        )
        gate.counters.add = lambda _name: None
        link = FakeLink(holders, 0.0)
        headers = LONG_HEAD if case == "long" else LONG_HEAD[:10]
        inbound.handle(link, make_call(1, "/read/x", headers))
        await asyncio.sleep(0.01)
        (result,) = link.sent
        wanted = {"ordinary": (0, ""), "long": (NOT_RUN, "no-memory")}
        expected = wanted.get(case, (UNKNOWN, "no-memory"))
        assert_that((result.outcome, result.code), Equals(expected))
        assert_that(holders.budgets.calls.used, Equals(0))

    asyncio.run(work())


def test_heads_of_calls_with_open_bodies_are_charged():
    """Calls with short bodies that never came held their heads for nothing."""
    heads = BodyBudget(LIMIT)
    assembler = BodyAssembler(BodyBudget(LIMIT), heads)
    call = make_call(1, "/read/x", LONG_HEAD[:100], body_size=20)
    assert_that(assembler.start("link", call), Equals(True))
    assert_that(heads.used > 100 * 168, Equals(True))
    assembler.drop_link("link")
    assert_that((heads.used, assembler.budget.used), Equals((0, 0)))
    call = make_call(2, "/read/x", LONG_HEAD, body_size=20)
    assert_that(assembler.start("link", call), Equals(False))
    assert_that((heads.used, assembler.budget.used), Equals((0, 0)))


def test_long_heads_of_answers_are_bounded_together():
    """Each head of an answer was bounded, but not all of them together."""
    heads = BodyBudget(4 * ORDINARY_HEAD_BYTES)
    ordinary = AnswerMeter(BodyBudget(LIMIT), heads)
    for name, value in LONG_HEAD[:20]:
        ordinary.add_header(name, value)
    ordinary.add_received(400, has_head=True)
    assert_that(heads.used, Equals(0))
    meter = AnswerMeter(BodyBudget(LIMIT), heads)
    for name, value in LONG_HEAD[:60]:
        meter.add_header(name, value)
    meter.add_received(900, has_head=False)
    assert_that(heads.used > 60 * 168, Equals(True))
    for name, value in LONG_HEAD:
        meter.add_header(name, value)
    with pytest.raises(TooManyBytes):
        meter.add_received(4000, has_head=False)
    meter.release()
    assert_that(heads.used, Equals(0))
