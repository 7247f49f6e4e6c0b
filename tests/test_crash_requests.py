"""Requests that crash targets, and harmless ones that are in flight at the crashes."""

import asyncio
import itertools
from contextlib import asynccontextmanager

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

from cactusshed.clock import read_monotonic
from cactusshed.mesh.crashes import STRIKES_TO_SUSPECT, CrashTracker, make_fingerprint
from cactusshed.mesh.frames import ANSWERED
from cactusshed.policy.quarantine import (
    MAX_LISTED_STRIKES,
    Quarantine,
    choose_target,
)
from standins.meshfleet import MeshFleet, make_document, wait_for

from .meshes import make_call, open_gate, run_async

PAGE, CRASH = "/read/page", "/read/crash"
SLOTS = 20
DOWN_SECONDS = 0.3
"""Time for which a target is down after a crash."""


@asynccontextmanager
async def open_fleet(targets, work_seconds=0.0):
    """Yield a fleet, the nodes beside targets that `CRASH` ends, and two first nodes.

    Requests that begin beside targets of another service are other requests.
    """
    fleet = await MeshFleet.open()
    fleet.store.put_json("op", "config", make_document(1, {"/read/": {}}, ["a", "b"]))
    restarts = []
    try:
        nodes = await fleet.start_connected(*targets)
        for node in nodes:
            node.target.work_seconds = work_seconds
            node.target.script[CRASH] = "crash"
            await node.announce(slots=SLOTS)
            node.target.on_crash = lambda node=node: restarts.append(
                asyncio.create_task(restart_target(node))
            )
        first_nodes = await fleet.start_connected("f1", "g1", service="b")
        await wait_for(lambda: fleet.are_all_connected([*nodes, *first_nodes]))
        yield fleet, nodes, first_nodes
    finally:
        for task in restarts:
            task.cancel()
        await fleet.close()


async def restart_target(node):
    """Start a crashed target again, as another process."""
    await asyncio.sleep(DOWN_SECONDS)
    target = node.target
    name, _, starts = target.instance.partition(".")
    target.instance = f"{name}.{int(starts or 1) + 1}"
    await target.open(port=target.address.port)
    await node.announce(born=1000 + int(starts or 1), slots=SLOTS)


async def send_until(node, path, status, seconds):
    """Send a request repeatedly; return whether an answer has `status` in time."""
    end = read_monotonic() + seconds
    while read_monotonic() < end:
        if (await node.request(path)).status == status:
            return True
        await asyncio.sleep(0.02)
    return False


def count_crashes(nodes):
    """Return how often the targets of `nodes` have crashed."""
    return sum(node.target.crashes for node in nodes)


def test_page_in_flight_at_three_crashes_is_served_again():
    """It was refused at every node, and nothing could clear it for 300 s."""

    async def work():
        async with open_fleet(["x1", "y1", "z1"], 0.3) as (_, nodes, first_nodes):
            first = first_nodes[0]
            pages = [asyncio.create_task(first.request(PAGE)) for _ in range(6)]
            await wait_for(lambda: all(n.target.running for n in nodes))
            while count_crashes(nodes) < 3:
                await first.request(CRASH)
            await asyncio.gather(*pages)
            served = [await send_until(n, PAGE, 200, 5.0) for n in first_nodes]
            answers = await asyncio.gather(*(first.request(PAGE) for _ in range(6)))
            return served, {answer.status for answer in answers}

    assert_that(run_async(work), Equals(([True] * 2, {200})))


def test_crash_request_is_refused_at_each_node_soon():
    """A request that crashes its targets must not go through all of them."""

    async def work():
        async with open_fleet(["x1", "y1", "z1", "x2"]) as (_, nodes, first_nodes):
            for first in itertools.islice(itertools.cycle(first_nodes), 6):
                await first.request(CRASH)
                await asyncio.sleep(DOWN_SECONDS + 0.2)
            crashes = count_crashes(nodes)
            statuses = [(await n.request(CRASH)).status for n in first_nodes]
            return crashes, statuses, count_crashes(nodes) - crashes

    crashes, statuses, later = run_async(work)
    assert_that(crashes, LessThan(4))
    assert_that((statuses, later), Equals(([503] * 2, 0)))


def test_two_suspected_requests_never_run_at_one_target_together():
    """A crash would not show which of them is the cause."""

    async def work():
        async with open_gate(slots=5, work_seconds=0.1) as opened:
            gate = opened.gate
            for number, path in itertools.product(range(2), ("/a/", "/b/")):
                fingerprint = make_fingerprint(make_call(path=path))
                gate.crash_tracker.quarantine.add_strike(
                    fingerprint, b"%d" % number, read_monotonic(), False
                )
            results = await asyncio.gather(
                gate.run(make_call("a1", "/a/")),
                gate.run(make_call("b1", "/b/")),
                gate.run(make_call("c1", "/c/")),
            )
            return [(result.outcome == ANSWERED, result.code) for result in results]

    expected = [(True, ""), (False, "suspected"), (True, "")]
    assert_that(run_async(work), Equals(expected))


def test_same_path_at_another_host_is_another_request():
    """A request that crashes targets kept a page of another host from its callers."""
    hosts = (b"h", b"H:80", b"other")
    calls = [make_call(headers=[(b"accept", b"*/*"), (b"host", h)]) for h in hosts]
    first, same, other = map(make_fingerprint, calls)
    assert_that((first == same, first == other), Equals((True, False)))


def test_answer_clears_a_request_at_all_nodes():
    """An answer cleared a request only at the node whose target had answered."""
    nodes = [CrashTracker(Quarantine(STRIKES_TO_SUSPECT)) for _ in range(2)]
    for strike_id in (b"1", b"2"):
        for node in nodes:
            node.quarantine.add_strike(
                make_fingerprint(make_call()), strike_id, 0.0, False
            )
    nodes[0].publish = lambda strikes: [nodes[1].add_strike(s, 1.0) for s in strikes]
    assert_that(nodes[1].restrict(make_call(), 1.0).alone, Equals(True))
    nodes[0].clear(make_call())
    assert_that(nodes[1].restrict(make_call(), 1.0).alone, Equals(False))


def test_strike_that_arrives_after_it_was_cleared_does_not_count():
    """Strikes and their end come from different nodes, in any order."""
    quarantine = Quarantine()
    quarantine.clear_strike(b"page", b"crash-1")
    quarantine.add_strike(b"page", b"crash-1", 0.0, False)
    assert_that(quarantine.evaluate(b"page", 1.0).alone, Equals(False))


def test_shared_crashes_refuse_no_request():
    """However many crashes others caused, a request runs alone before it is refused."""
    quarantine = Quarantine(STRIKES_TO_SUSPECT)
    for number in range(9):
        quarantine.add_strike(b"page", b"%d" % number, 0.0, False)
    restrictions = quarantine.evaluate(b"page", 1.0)
    assert_that((restrictions.alone, restrictions.refuse), Equals((True, False)))


@pytest.mark.parametrize(("crashes", "seconds"), [(1, 10.0), (2, 290.0), (5, 3000.0)])
def test_refusal_lasts_longer_after_each_crash_alone(crashes, seconds):
    """A target may crash for another reason; a real crash request must not go on."""
    quarantine = Quarantine(STRIKES_TO_SUSPECT)
    quarantine.add_strike(b"crash", b"first", 0.0, False)
    for number in range(crashes):
        quarantine.add_strike(b"crash", b"%d" % number, 0.0, True)
    assert_that(quarantine.evaluate(b"crash", seconds).refuse, Equals(True))
    assert_that(quarantine.evaluate(b"crash", 13 * seconds).refuse, Equals(False))


def test_only_the_request_that_ran_alone_is_refused():
    """Requests that began before they were suspected are in flight beside it."""
    tracker = CrashTracker(Quarantine(STRIKES_TO_SUSPECT))
    calls = [make_call("a1", "/a/"), make_call("b1", "/b/"), make_call("c1", "/c/")]
    for number, call in itertools.product(range(2), calls[:2]):
        tracker.quarantine.add_strike(
            make_fingerprint(call), b"%d" % number, 0.0, False
        )
    tracker.begin(calls[0], 0.0, 0.0, is_suspected=True)
    for call in calls[1:]:
        tracker.begin(call, 0.0, 0.0)
    for call in calls:
        tracker.fail(call, 0.1)
    strikes = tracker.record_crash(0.2)
    assert_that([strike.ran_alone for strike in strikes], Equals([False] * 3))


def test_nodes_choose_the_same_target_for_a_suspected_request():
    """Each further target at the same time could be lost to the same request."""
    names = [f"n{number}" for number in range(50)]
    chosen = [choose_target(b"%d" % number, names) for number in range(200)]
    again = [choose_target(b"%d" % number, reversed(names)) for number in range(200)]
    assert_that(chosen, Equals(again))
    assert_that(len(set(chosen)), GreaterThan(30))


@pytest.mark.parametrize("is_gate", [True, False])
def test_restarted_node_knows_the_requests_that_crash_targets(is_gate):
    """A restarted node let them through again, at the first or at the last hop."""

    async def work():
        async with open_fleet(["x1", "y1"]) as (fleet, nodes, first_nodes):
            first = first_nodes[0]
            while (await first.request(CRASH)).status != 503:
                await asyncio.sleep(DOWN_SECONDS + 0.2)
            crashes = count_crashes(nodes)
            node = nodes[0] if is_gate else first
            await node.shut_down()
            restarted = await fleet.restart(node)
            await wait_for(restarted.is_reachable_and_ready)
            await restarted.announce(born=5000)
            others = [n for n in (*nodes, *first_nodes) if n is not node]
            await wait_for(lambda: fleet.are_all_connected([restarted, *others]))
            callers = [n for n in (restarted, *others) if n.settings.service == "b"]
            statuses = [(await n.request(CRASH)).status for n in callers]
            return statuses, count_crashes(nodes) - crashes

    assert_that(run_async(work), Equals(([503] * 2, 0)))


def test_strikes_are_handed_over_with_their_age_and_whether_they_count():
    """A node that starts must neither count longer nor again what others cleared."""
    sender, receiver = (CrashTracker(Quarantine(STRIKES_TO_SUSPECT)) for _ in range(2))
    for path in ("/a/", "/b/"):
        fingerprint = make_fingerprint(make_call(path=path))
        for number in range(2):
            sender.quarantine.add_strike(fingerprint, b"%d" % number, 100.0, False)
    sender.clear(make_call(path="/b/"))
    for strike in sender.list_strikes(350.0):
        receiver.add_strike(strike, 1000.0)
    restrictions = [
        receiver.restrict(make_call(path=path), now).alone
        for path, now in (("/a/", 1000.0), ("/a/", 1100.0), ("/b/", 1000.0))
    ]
    assert_that(restrictions, Equals([True, False, False]))


def test_number_of_strikes_that_are_handed_over_is_bounded():
    """After many crashes each node sends what concerns suspected requests only."""
    quarantine = Quarantine(STRIKES_TO_SUSPECT)
    for number in range(3000):
        quarantine.add_strike(b"once-%d" % number, b"1", 0.0, False)
        for strike_id in (b"1", b"2"):
            quarantine.add_strike(b"twice-%d" % number, strike_id, 0.0, False)
    strikes = list(quarantine.list_strikes(1.0))
    assert_that(strikes, HasLength(MAX_LISTED_STRIKES))
    assert_that(strikes[0][0], Equals(b"twice-2999"))


def test_cleared_strikes_do_not_displace_those_that_count():
    """Popular pages are cleared all the time, and were struck last."""
    quarantine = Quarantine(STRIKES_TO_SUSPECT)
    for number, name in itertools.product(range(16), [b"crash", *b"abcdefgh"]):
        page = name if name == b"crash" else bytes([name])
        quarantine.add_strike(page, b"%d" % number, 0.0, False)
        if page != b"crash":
            quarantine.clear(page)
    listed = {fingerprint for fingerprint, _, _ in quarantine.list_strikes(1.0)}
    assert_that(b"crash" in listed, Equals(True))
