"""Large answers on the link of a host: pacing, admission, reports, placement."""

import asyncio
import random

import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, Is, LessThan

from cactusshed.mesh.bodyparts import PART_BYTES, BodyAssembler, PartSender
from cactusshed.mesh.candidates import Candidates
from cactusshed.mesh.frames import BodyPart, Load, Result
from cactusshed.mesh.framing import FrameDecoder
from cactusshed.mesh.pending import PendingCalls
from cactusshed.policy.admissionqueue import AdmissionQueue
from cactusshed.policy.bodybudget import BodyBudget
from cactusshed.policy.placement import Candidate, LoadView, order_candidates
from cactusshed.policy.startlimits import StartLimits
from cactusshed.policy.tickets import Ticket, TicketState
from cactusshed.policy.uplink import (
    BULK_BYTES,
    BURST_BYTES,
    LINK_FRACTION,
    MAX_DEBT_SECONDS,
    Uplink,
    make_uplink,
)
from cactusshed.uplink.scheduler import UplinkScheduler

from .meshes import make_call, open_gate, run_async

RATE = 100_000.0
"""Rate of the link in bytes a second; a 90 KB answer takes nearly a second."""
LARGE = 90_000
NO_LIMITS = StartLimits()


@pytest.fixture
def uplink():
    """Return a link on which the answers of route `large` are known to be large."""
    uplink = Uplink(RATE)
    uplink.compute_pause(0.0)
    uplink.sizes.note("large", LARGE)
    uplink.sizes.note("small", 5_000)
    return uplink


def make_ticket(transfer_seconds: float, soft: float = 2.0, deadline: float = 2.5):
    """Return a ticket of a download with these seconds left."""
    return Ticket(deadline, soft, "large", transfer_seconds=transfer_seconds)


@attrs.define(eq=False)
class FakeLink:
    """A link that keeps what is written to it and when."""

    writes: list[tuple[float, int]] = attrs.Factory(list)
    data: bytearray = attrs.Factory(bytearray)

    def write(self, data: bytes) -> None:
        """Store the data."""
        now = asyncio.get_running_loop().time()
        self.writes.append((now, len(data)))
        self.data += data


def open_senders(uplink: Uplink, count: int) -> tuple[list[FakeLink], list[PartSender]]:
    """Return links with senders that share the host's link."""
    scheduler = UplinkScheduler(uplink)
    links = [FakeLink() for _ in range(count)]

    def make_write(link):
        def write(data: bytes) -> None:
            uplink.charge(len(data))
            link.write(data)

        return write

    return links, [PartSender(make_write(link), scheduler) for link in links]


def make_result(number: int, size: int) -> Result:
    """Return the result of a download."""
    return Result(number, 0, Load(0, 0, 1, 0.0), 200, [], bytes(size))


def read_bodies(link: FakeLink) -> dict[int, bytes]:
    """Return the complete bodies that a link has carried, by number."""
    assembler = BodyAssembler(BodyBudget(10 << 20))
    bodies = {}
    for frame in FrameDecoder(BodyBudget(10 << 20)).feed(bytes(link.data)):
        if isinstance(frame, BodyPart):
            whole = assembler.add(link, frame)
            if whole is not None:
                bodies[frame.number] = whole.body
        else:
            assembler.start(link, frame)
    return bodies


def test_small_answers_are_not_counted(uplink):
    """Routes of small answers must be admitted as if there were no link."""
    assert_that(uplink.estimate_transfer("small", 0.0), Equals(0.0))
    assert_that(uplink.estimate_transfer("unknown", 0.0), Equals(0.0))
    assert_that(uplink.accept("small"), Equals(0))


def test_accepted_answers_are_ahead(uplink):
    """A burst of downloads must not be begun at once on an idle link."""
    assert_that(uplink.estimate_transfer("large", 0.0), Equals(0.0))
    accepted = uplink.accept("large")
    assert_that(uplink.estimate_transfer("large", 0.0), Equals(2 * LARGE / RATE))
    uplink.release(accepted)
    assert_that(uplink.estimate_transfer("large", 0.0), Equals(0.0))


def test_all_bytes_count(uplink):
    """Small results take their share of the link before large answers."""
    uplink.charge(int(BURST_BYTES + RATE / 2))
    assert_that(uplink.compute_pause(0.0), Equals(0.5))
    assert_that(uplink.compute_pause(0.6), Equals(0.0))


def test_bytes_sent_long_ago_do_not_count(uplink):
    """A link that was used below its rate must not hold an answer back later."""
    uplink.charge(int(RATE))
    uplink.settle(0.02)
    assert_that(uplink.compute_pause(10.0), Equals(0.0))


def test_pause_pays_for_no_later_bytes(uplink):
    """What is sent after an idle time takes the link as long as at any time."""
    uplink.settle(10.0)
    uplink.charge(int(BURST_BYTES + RATE))
    assert_that(uplink.compute_pause(10.0), Equals(1.0))


def test_debt_is_bounded(uplink):
    """Bytes of a broken link must not hold back answers for long."""
    uplink.charge(int(1000 * RATE))
    assert_that(uplink.compute_pause(0.0), Equals(MAX_DEBT_SECONDS))


def test_answer_larger_than_its_time_is_begun_on_an_idle_link():
    """A route whose answers were large once must not be refused for ever."""

    async def work():
        async with open_gate() as opened:
            gate = opened.gate
            gate.uplink = Uplink(RATE)
            gate.uplink.sizes.note("r", 3 * RATE)
            results = [await gate.run(make_call(f"r{n}")) for n in range(50)]
            busy = gate.uplink.accept("r")
            refused = await gate.run(make_call("busy"))
            gate.uplink.release(busy)
            return {r.status for r in results}, gate.uplink.committed, refused.code

    assert_that(run_async(work), Equals(({200}, 0, "")))


def test_refused_answer_leaves_nothing_committed():
    """A refusal for the link must be true, and must not use the link up."""

    async def work():
        async with open_gate() as opened:
            gate = opened.gate
            gate.uplink = Uplink(RATE)
            gate.uplink.sizes.note("r", 3 * RATE)
            gate.uplink.accept("r")
            before = gate.uplink.committed
            result = await gate.run(make_call("busy"))
            return (
                result.code,
                opened.target.runs.total(),
                gate.uplink.committed - before,
            )

    assert_that(run_async(work), Equals(("link-busy", 0, 0)))


def test_answer_of_a_caller_that_has_left_is_dropped():
    """An answer that nobody awaits must leave the link, at both of its ends."""

    async def work():
        uplink = Uplink(RATE)
        (fake,), (sender,) = open_senders(uplink, 1)
        sender.send(make_result(1, LARGE))
        sender.drop_paced(1)
        assert_that((uplink.unsent, sender.unsent_bytes), Equals((0, 0)))
        budget = BodyBudget(10 << 20)
        pending = PendingCalls(budget, lambda _link: None)
        for frame in FrameDecoder().feed(bytes(fake.data)):
            if isinstance(frame, Result):
                pending.handle(fake, frame)
        assert_that(budget.used, Equals(0))

    run_async(work)


def test_rate_is_a_fraction_of_the_link():
    """A link of unknown rate is not paced; another leaves room for packet headers."""
    assert_that(make_uplink(0.0), Is(None))
    assert_that(make_uplink(8.0).bytes_per_second, Equals(LINK_FRACTION * 1e6))


def test_answer_without_time_on_the_link_is_refused():
    """A download that would arrive late is refused at once, though slots are free.

    The retry delay is the time after which the link is free.
    """
    queue = AdmissionQueue(6)
    in_time, too_late = make_ticket(1.5), make_ticket(2.2)
    queue.offer(too_late, 0.0, NO_LIMITS)
    assert_that(too_late.refusal.code, Equals("link-busy"))
    assert_that(too_late.refusal.retry_after, Equals(2.0))
    queue.offer(in_time, 0.0, NO_LIMITS)
    assert_that(in_time.state, Equals(TicketState.RUNNING))


def test_late_answer_gets_only_a_free_link():
    """A download that is late already must not take the link from others."""
    queue = AdmissionQueue(6)
    late, busy = make_ticket(0.3, soft=-0.1), make_ticket(0.9, soft=-0.1)
    queue.offer(busy, 0.0, NO_LIMITS)
    queue.offer(late, 0.0, NO_LIMITS)
    assert_that(busy.refusal.code, Equals("link-busy"))
    assert_that(late.state, Equals(TicketState.RUNNING))


def test_small_request_is_admitted_whatever_the_link():
    """Only large answers are refused for the link."""
    queue = AdmissionQueue(6)
    ticket = make_ticket(0.0)
    queue.offer(ticket, 0.0, NO_LIMITS)
    assert_that(ticket.state, Equals(TicketState.RUNNING))


@pytest.mark.parametrize("links", [1, 3])
def test_large_answers_share_the_rate_of_the_host(links):
    """Answers over several links at once must not fill the host's link together."""

    async def work():
        uplink = Uplink(20 * RATE)
        uplink.compute_pause(asyncio.get_running_loop().time())
        fakes, senders = open_senders(uplink, links)
        started = asyncio.get_running_loop().time()
        for number in range(6):
            senders[number % links].send(make_result(number, LARGE))
        while uplink.unsent:
            await asyncio.sleep(0.01)
        for fake in fakes:
            for time, _ in fake.writes:
                sent = sum(size for f in fakes for t, size in f.writes if t <= time)
                allowed = (time - started) * 20 * RATE + BURST_BYTES + 2 * PART_BYTES
                assert_that(sent, LessThan(allowed + 2000))
        bodies = {n: b for fake in fakes for n, b in read_bodies(fake).items()}
        assert_that(
            {n: len(b) for n, b in bodies.items()},
            Equals(dict.fromkeys(range(6), LARGE)),
        )

    run_async(work)


def test_small_answer_passes_large_ones():
    """A small result must not wait for the large answers before it."""

    async def work():
        uplink = Uplink(RATE)
        (fake,), (sender,) = open_senders(uplink, 1)
        sender.send(make_result(1, LARGE))
        sender.send(make_result(2, PART_BYTES + 100))
        assert_that(list(read_bodies(fake)), Equals([2]))
        assert_that(uplink.unsent, GreaterThan(0))

    run_async(work)


def test_cancelled_and_closed_answers_leave_the_link():
    """Answers that nobody waits for must not hold back those behind them."""

    async def work():
        uplink = Uplink(RATE)
        _, (first, second) = open_senders(uplink, 2)
        first.send(make_result(1, LARGE))
        first.send(make_result(2, LARGE))
        second.send(make_result(3, LARGE))
        assert_that(first.cancel(2), Is(True))
        first.close()
        assert_that(first.unsent_bytes, Equals(0))
        assert_that(uplink.unsent, Equals(LARGE))

    run_async(work)


def test_answer_for_a_slow_link_does_not_hold_others_back():
    """A receiver that does not read must not stop the answers to others."""

    async def work():
        uplink = Uplink(100 * RATE)
        fakes, (held, free) = open_senders(uplink, 2)
        held.is_held = True
        held.send(make_result(1, LARGE))
        free.send(make_result(2, LARGE))
        while free.unsent_bytes:
            await asyncio.sleep(0.01)
        assert_that(read_bodies(fakes[0]), Equals({}))
        held.is_held = False
        held.advance()
        while held.unsent_bytes:
            await asyncio.sleep(0.01)
        assert_that(list(read_bodies(fakes[0])), Contains(1))

    run_async(work)


def test_download_goes_to_the_host_with_room_on_its_link():
    """Reports of what links are bound to send decide between targets alike."""
    busy, idle = LoadView(), LoadView()
    busy.report(1, 6, 0.2, 0.0, transfer_seconds=1.5)
    idle.report(1, 6, 0.2, 0.0)
    candidates = [
        Candidate(
            name, view, False, False, view.estimate_answer_transfer(0.1, LARGE, 5.5)
        )
        for name, view in (("busy", busy), ("idle", idle))
    ]
    for seed in range(20):
        ordered = order_candidates(candidates, 0.2, 1.0, 0.1, random.Random(seed))
        assert_that(ordered[0][1].name, Equals("idle"))


def replay_downloads(rate: float, seconds: float = 60.0, aim: float = 1.3):
    """Return the numbers of downloads answered in time and late at one host.

    They arrive at random, run for 0.25 s on average, and are then sent one after the
    other over a link of 7.6 a second.
    """
    rng = random.Random(7)
    uplink, queue = Uplink(7.6 * LARGE), AdmissionQueue(6)
    uplink.sizes.note("large", LARGE)
    queue._record_service_time("large", 0.25)
    sent = []
    now = link_free_at = 0.0
    while now < seconds:
        now += rng.expovariate(rate)
        uplink.committed = sum(LARGE for end in sent if end > now)
        wait = uplink.committed / uplink.bytes_per_second
        transfer = wait + LARGE / uplink.bytes_per_second if wait else 0.0
        ticket = Ticket(now + 3.2, now + aim, "large", transfer_seconds=transfer)
        queue.offer(ticket, now, NO_LIMITS)
        if ticket.state == TicketState.REFUSED:
            continue
        queue.leave(ticket, now)
        size = LARGE * rng.lognormvariate(-0.18, 0.6)
        work = 0.25 * rng.lognormvariate(-0.18, 0.6)
        link_free_at = max(link_free_at, now + work) + size / uplink.bytes_per_second
        sent.append(link_free_at)
        yield link_free_at - now <= aim


def test_most_answers_of_an_overloaded_link_are_in_time():
    """With half more downloads than the link carries, one answer in fourteen was late.

    Admission filled the link's backlog up to the aim, so that answers that took much
    longer than the mean missed it. A shorter backlog keeps the link as busy.
    """
    outcomes = list(replay_downloads(11.0))
    in_time = sum(outcomes)
    assert_that(in_time / len(outcomes), GreaterThan(0.95))
    assert_that(in_time, GreaterThan(0.85 * 7.6 * 60))


def test_bulk_bound_is_above_the_answers_of_other_routes():
    """Routes whose largest answer is 30,000 bytes must never be paced."""
    assert_that(BULK_BYTES, GreaterThan(30_000))


def test_small_request_to_the_local_target_ignores_the_link():
    """A busy link must not send small requests away from the own host's target."""

    async def work():
        async with open_gate() as opened:
            gate = opened.gate
            gate.uplink = Uplink(RATE)
            gate.uplink.sizes.note("large", LARGE)
            gate.uplink.accept("large")
            candidates = Candidates(
                "n", "d", 5.5, FakePeers(), gate, lambda _data_centre: False
            )
            return [
                candidate.transfer_seconds
                for answer_bytes in (0, LARGE)
                for candidate, _ in candidates.list_open("s", "", 0, answer_bytes)
            ]

    small, large = run_async(work)
    assert_that(small, Equals(0.0))
    assert_that(large, GreaterThan(0.8))


def test_answer_of_another_host_passes_the_own_link():
    """A download whose first node had a slow link was late after it was in time there.

    It is begun only if both links can carry it in time, and the local target, whose
    answer passes the link once, is preferred.
    """

    async def work():
        async with open_gate() as opened:
            gate = opened.gate
            candidates = Candidates(
                "n", "d", 5.5, FakePeers(), gate, lambda _data_centre: False
            )
            before = candidates.estimate_delivery(LARGE, 0.0)
            gate.uplink = Uplink(RATE)
            small = candidates.estimate_delivery(0, 0.0)
            return before, small, candidates.estimate_delivery(LARGE, 0.0)

    before, small, large = run_async(work)
    assert_that((before, small), Equals((0.0, 0.0)))
    assert_that(large, GreaterThan(0.8))


class FakePeers:
    """A node without peers."""

    def list_connected(self, _service):
        """Return no members."""
        return []
