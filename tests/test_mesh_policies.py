"""Simulations of cold targets, retries, target selection, backpressure and moves."""

import random
from collections import Counter

import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from cactusshed.policy.backpressure import Backpressure
from cactusshed.policy.coldstart import ColdStartGuard
from cactusshed.policy.gateretries import GateRetryBudget
from cactusshed.policy.placement import Candidate, LoadView, order_candidates
from cactusshed.policy.rollout import (
    CLOSING,
    COMPLETE,
    REVERTED,
    RUNNING,
    STAGES,
    Move,
    advance_move,
    choose_version,
    compute_share,
)

RATE, FACTOR, SLACK = 47.0, 1.5, 5.0


def simulate_cold_target(guard, offered, seconds, start=100.0):
    """Offer requests at an even rate and return the times at which they start."""
    starts = []
    for number in range(int(offered * seconds)):
        now = start + number / offered
        if not guard.is_cold(now) or guard.bucket.count(now) > 0:
            if guard.is_cold(now):
                guard.bucket.take(now)
            starts.append(now)
    return starts


@pytest.fixture
def guard():
    """Return the guard of a target that has not reported its state."""
    guard = ColdStartGuard()
    guard.adjust(RATE, FACTOR, SLACK)
    guard.suspect_restart(100.0)
    return guard


def test_cold_target_never_gets_more_than_the_limit(guard):
    """Starts at a cold target under full traffic stay below rate * factor + slack."""
    starts = simulate_cold_target(guard, 400, 5)
    highest_rate = max(sum(s <= t < s + 1 for t in starts) for s in starts)
    assert_that(highest_rate, LessThan(RATE * FACTOR + SLACK))
    assert_that(len(starts), GreaterThan(5 * RATE))


def test_target_stays_cold_until_it_reports_its_state(guard):
    """Only a report from the target ends the suspicion of a restart."""
    assert_that(guard.is_cold(1e6), Equals(True))
    guard.set_cold_time(2.0, 200.0)
    assert_that([guard.is_cold(201.9), guard.is_cold(202.1)], Equals([True, False]))
    guard.suspect_restart(300.0)
    assert_that(guard.is_cold(300.0), Equals(True))


def test_tokens_from_the_warm_state_are_not_kept(guard):
    """A target that turns cold again starts without accrued tokens.

    Otherwise the tokens that accrue while it is warm would allow a burst.
    """
    guard.set_cold_time(0.0, 100.0)
    guard.bucket.fill(200.0)
    guard.set_cold_time(3.0, 200.0)
    assert_that(guard.bucket.count(200.0), Equals(0))


@pytest.mark.parametrize("may_have_run", [False, True])
def test_retries_over_all_gates_stay_within_the_budget(may_have_run):
    """Four gates at which all requests are retried stay within the fleet's budget."""
    ratio, window, slack, gates = 0.2, 10.0, 58.0, 4
    budgets = [GateRetryBudget(ratio, window, slack) for _ in range(gates)]
    passed = []
    for step in range(3000):
        now = step / 100
        for budget in budgets:
            budget.note_first_attempt(now, parent_is_retry=False)
            if budget.take(gates, now, may_have_run=may_have_run):
                passed.append(now)
    for window_start in range(20):
        count = sum(window_start <= t < window_start + window for t in passed)
        first_attempts = 100 * gates * window
        assert_that(count, LessThan(ratio * first_attempts + slack))
    assert_that(len(passed), GreaterThan(0.02 * 3000 * gates))


def test_calls_made_by_retries_use_up_the_budget():
    """Calls made by retries are always admitted but count against the budget."""
    budget = GateRetryBudget(0.2, 10.0, 0.0)
    for number in range(100):
        budget.note_first_attempt(0.0, parent_is_retry=number < 50)
    assert_that(budget.take(1, 0.0, may_have_run=False), Equals(False))


def test_calls_made_by_later_retries_stay_within_the_budget():
    """Calls made by retries of another service must find budget left for them.

    After calm, all requests are retried, and soon after that one in twelve is a call
    made by a retry, which is never refused. Without a reserve, the budget of the window
    was spent before most of them came.
    """
    ratio, window, slack, gates = 0.2, 10.0, 58.0, 4
    budgets = [GateRetryBudget(ratio, window, slack) for _ in range(gates)]
    passed = []
    for step in range(3000):
        now = step / 100
        for budget in budgets:
            is_nested = now >= 12.3 and step % 12 == 0
            budget.note_first_attempt(now, parent_is_retry=is_nested)
            is_retried = now >= 12 and budget.take(gates, now, may_have_run=False)
            if is_nested or is_retried:
                passed.append(now)
    for window_start in range(20):
        count = sum(window_start <= t < window_start + window for t in passed)
        assert_that(count, LessThan(ratio * 100 * gates * window + slack))


def replay_refusing_targets(priorities):
    """Return the shares of retries allowed, by name, at one of 16 gates.

    Its target refuses 45 % of all requests for eight seconds: 9 bulletins and 45
    lookups a second, of the given priorities. Each is retried once.
    """
    budget = GateRetryBudget(0.2, 10.0, 198.0)
    rng = random.Random(11)
    asked, allowed = Counter(), Counter()
    for step in range(2000):
        now = step / 100
        for name, rate in (("bulletin", 9), ("lookup", 45)):
            if rng.random() >= rate / 100:
                continue
            budget.note_first_attempt(now, parent_is_retry=False)
            if now >= 12 and rng.random() < 0.45:
                asked[name] += 1
                allowed[name] += budget.take(
                    16, now, may_have_run=False, priority=priorities[name]
                )
    return {name: allowed[name] / asked[name] for name in asked}


def test_scarce_retries_go_to_the_higher_priority():
    """While targets refuse half of all requests, urgent ones still get their retry.

    Without a reserve the first three seconds use up the budget of ten, and later
    retries are refused whatever their priority.
    """
    equal = replay_refusing_targets({"bulletin": 1, "lookup": 1})
    ranked = replay_refusing_targets({"bulletin": 0, "lookup": 1})
    assert_that(equal["bulletin"], LessThan(0.6))
    assert_that(ranked["bulletin"], GreaterThan(0.95))
    assert_that(ranked["lookup"], GreaterThan(0.1))


def make_candidate(
    name, busy=0, mean_seconds=0.1, *, far=False, reported_at=100.0, failure_rate=0.0
):
    """Return a candidate with ten slots and a fresh report."""
    view = LoadView()
    view.report(busy, 10, mean_seconds, reported_at)
    view.failure_rate = failure_rate
    return Candidate(name, view, far, False)


def choose(candidates, time_left=0.3, baseline_latency=0.1):
    """Return how often each candidate is ranked first in 100 selections."""
    rng = random.Random(5)
    firsts = [
        order_candidates(candidates, baseline_latency, time_left, 100.0, rng)[0][1].name
        for _ in range(100)
    ]
    return {name: firsts.count(name) for name in sorted(set(firsts))}


def test_own_data_centre_is_preferred_while_it_is_in_time():
    """A partly loaded local target is preferred to an idle one far away."""
    chosen = choose([make_candidate("near", 5), make_candidate("far", far=True)])
    assert_that(chosen, Equals({"near": 100}))


def test_a_full_local_target_is_passed_over():
    """A local target is not chosen if its queue would miss the soft deadline."""
    chosen = choose([make_candidate("near", 40), make_candidate("far", far=True)])
    assert_that(chosen, Equals({"far": 100}))


def test_a_slow_target_is_passed_over():
    """A target twelve times slower than the other one gets no calls."""
    slow = make_candidate("slow", mean_seconds=1.2)
    chosen = choose([slow, make_candidate("fast", far=True)])
    assert_that(chosen, Equals({"fast": 100}))


def test_a_failing_target_is_passed_over():
    """A target that fails half of its calls gets none, although it is up."""
    grey = make_candidate("grey", failure_rate=0.5)
    chosen = choose([grey, make_candidate("good", far=True)])
    assert_that(chosen, Equals({"good": 100}))


def test_a_large_body_goes_where_its_transfer_is_short():
    """A busy local target is in time for an upload that a slow link would delay."""
    busy, idle = make_candidate("local", 20), make_candidate("remote")
    near = attrs.evolve(idle, transfer_seconds=0.01)
    assert_that(choose([busy, near]), Equals({"remote": 100}))
    slow = attrs.evolve(idle, transfer_seconds=0.25)
    assert_that(choose([busy, slow]), Equals({"local": 100}))


def test_a_large_body_leaves_its_data_centre_only_to_be_in_time():
    """An upload stays at busier targets nearby, unless these would be late."""
    far = attrs.evolve(make_candidate("far", far=True), body_bytes=60_000)
    assert_that(choose([make_candidate("near", 14), far]), Equals({"near": 100}))
    assert_that(choose([make_candidate("near", 45), far]), Equals({"far": 100}))
    small = attrs.evolve(far, body_bytes=0)
    assert_that(choose([make_candidate("near", 14), small]), Equals({"far": 100}))


def test_a_burst_from_one_node_is_spread_though_reports_are_old():
    """The node's own calls since the last report count as load."""
    candidates = [make_candidate(str(n)) for n in range(4)]
    rng = random.Random(5)
    for _ in range(40):
        _, chosen = order_candidates(candidates, 0.1, 0.3, 100.0, rng)[0]
        chosen.view.in_flight += 1
        chosen.view.sent_since_report += 1
    in_flight = [candidate.view.in_flight for candidate in candidates]
    assert_that(max(in_flight), LessThan(13))


def simulate_backpressure(backpressure, seconds, capacity, start, demand=100.0):
    """Admit requests that make one call each; return the calls served and admitted.

    The called service serves `capacity` calls per second and refuses the others.
    """
    served = admitted = 0
    tokens = 0.0
    for step in range(int(seconds * 1000)):
        now = start + step / 1000
        backpressure.step(now)
        tokens = min(3.0, tokens + capacity / 1000)
        if step % int(1000 / demand):
            continue
        if backpressure.rate is not None and backpressure.count_tokens(now) < 1:
            continue
        backpressure.note_start(now)
        admitted += 1
        refused = tokens < 1
        tokens -= not refused
        served += not refused
        backpressure.note_call(refused)
    return served, admitted


def test_requests_are_throttled_while_their_calls_are_refused():
    """With capacity for a third of the calls, few admitted requests are wasted."""
    backpressure = Backpressure()
    simulate_backpressure(backpressure, 2.0, 33.0, 0.0)
    served, admitted = simulate_backpressure(backpressure, 10.0, 33.0, 2.0)
    assert_that(served, GreaterThan(0.75 * 330))
    assert_that(admitted - served, LessThan(0.25 * admitted))


def test_backpressure_is_lifted_within_two_seconds():
    """Once the called service has capacity again, all requests are admitted."""
    backpressure = Backpressure()
    simulate_backpressure(backpressure, 3.0, 33.0, 0.0)
    simulate_backpressure(backpressure, 2.0, 1000.0, 3.0)
    served, admitted = simulate_backpressure(backpressure, 1.0, 1000.0, 5.0)
    assert_that([served, admitted], Equals([100, 100]))


def make_move(**fields):
    """Return a move of sixteen seconds."""
    return Move("s", "v2", "v1", 1, 16.0, **fields)


def advance(move, elapsed, reason="", has_targets=True, is_drained=False):
    """Return the move after `elapsed` seconds."""
    return advance_move(
        move,
        elapsed,
        reason=reason,
        has_targets=has_targets,
        is_drained=is_drained,
    )


def test_good_version_is_complete_before_the_deadline():
    """A good move completes in time, but not before the old version is drained."""
    move, elapsed = make_move(), 0.0
    while not move.has_ended and elapsed < 16:
        elapsed += 0.25
        move = advance(move, elapsed, is_drained=elapsed > 13)
    assert_that([move.state, elapsed < 14], Equals([COMPLETE, True]))


def test_new_version_gets_less_than_a_tenth_before_the_last_step():
    """A version that turns out bad late has received few of the requests."""
    move, elapsed, received = advance(make_move(), 0.0), 0.0, 0.0
    while move.stage + 1 < len(STAGES):
        for tick in range(25):
            received += compute_share(move, elapsed + tick / 100) / 100
        elapsed += 0.25
        move = advance(move, elapsed)
    assert_that(received / move.seconds, LessThan(0.1))


def test_bad_version_is_rolled_back_at_once_and_permanently():
    """A rolled-back move does not resume at a later step."""
    move = advance(make_move(share=0.4), 9.0, reason="failures")
    assert_that(move.state, Equals(REVERTED))
    assert_that(advance(move, 12.0), Equals(move))
    assert_that(choose_version(move, 12.0, random.Random(1)), Equals("v1"))


def test_move_waits_for_targets_of_the_new_version():
    """Without targets of the new version, all calls go to the old version."""
    move = advance(make_move(), 12.0, has_targets=False)
    assert_that([move.state, move.share], Equals([RUNNING, 0.0]))


def test_closing_move_sends_nothing_to_the_old_version():
    """A closing move sends all calls to the new version.

    The targets of the old version may stop once the move is complete.
    """
    move = advance(make_move(stage=len(STAGES) - 1, stage_start=9.6), 9.7)
    move = advance(move, 12.5)
    assert_that(move.state, Equals(CLOSING))
    rng = random.Random(1)
    chosen = {choose_version(move, 12.5, rng) for _ in range(100)}
    assert_that(chosen, Equals({"v2"}))
