"""Replays of the worst example loads, which guard what the policies win there.

Each test runs a load with a policy and without it, under the same seed and the same
requests, and requires about half of the gain that was measured when it was written. So
it fails if the policy is switched off, or no longer wins anything.
"""

import random
import re
from collections import Counter, deque
from functools import cache
from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan, LessThan

from cactusshed.clock import read_monotonic
from cactusshed.emulator import fleet as emulated_fleet
from cactusshed.emulator.clients import run_load
from cactusshed.emulator.load import read_load
from cactusshed.emulator.report import aggregate_outcomes
from cactusshed.emulator.virtualtime import run_in_virtual_time
from cactusshed.mesh import dispatch
from cactusshed.mesh.exchange import TargetExchange
from cactusshed.policy import admissionqueue
from cactusshed.policy.gateretries import GateRetryBudget
from cactusshed.policy.hostpace import HostPace

EXAMPLES = Path(__file__).parent.parent / "examples"
SEED = 1


def replay(path):
    """Run a load; return the statistics by class, and those of all as `all`."""
    load = read_load(path)

    async def main():
        fleet = emulated_fleet.EmulatedFleet(load, random.Random(SEED))
        return await run_load(fleet, random.Random(SEED + 1))

    outcomes = run_in_virtual_time(main)
    classes = aggregate_outcomes(outcomes, load, lambda o: o.class_name)
    return {**classes, **aggregate_outcomes(outcomes, load, lambda _: "all")}


@cache
def replay_example(name):
    """Run an example load with all policies, once for all tests."""
    return replay(EXAMPLES / name)


@pytest.fixture
def undisturbed(tmp_path):
    """Return a load file: lookups.load without bursts, faults and a loss of power.

    Its targets are unlike, and their hosts shared with other work, as there.
    """
    text = (EXAMPLES / "lookups.load").read_text()
    sections = re.split(r"(?m)^(?=\[)", text)
    kept = (s for s in sections if re.match(r"\[(load|service|class)\b", s))
    path = tmp_path / "undisturbed.load"
    path.write_text("".join(kept).replace("aim-ms = 1101", "aim-ms = 600"))
    return path


def test_large_answers_are_paced(monkeypatch):
    """Guards against links that large answers fill, so that calls come too late."""
    paced = replay_example("bulletins.load")
    monkeypatch.setattr(emulated_fleet, "make_uplink", lambda _mbps: None)
    unpaced = replay(EXAMPLES / "bulletins.load")
    gain = paced["all"].earned_share - unpaced["all"].earned_share
    assert_that(gain, GreaterThan(0.06))
    gain = paced["read"].earned_share - unpaced["read"].earned_share
    assert_that(gain, GreaterThan(0.09))


def test_urgent_requests_are_served_first(monkeypatch):
    """Guards against bulletins that wait behind reads while these exceed all slots.

    Queues are as long as the mean service time allows: in shorter ones bulletins are
    mostly in time without an order, too.
    """
    monkeypatch.setattr(admissionqueue, "ON_TIME_FACTOR", 1.0)
    ordered = replay(EXAMPLES / "bulletins.load")
    make_key = admissionqueue._make_key

    def ignore_priority(ticket, *, is_late):
        late, _, is_not_nested = make_key(ticket, is_late=is_late)
        return late, 0, is_not_nested

    monkeypatch.setattr(admissionqueue, "_make_key", ignore_priority)
    unordered = replay(EXAMPLES / "bulletins.load")
    gain = ordered["bulletin"].earned_share - unordered["bulletin"].earned_share
    assert_that(gain, GreaterThan(0.08))
    for other in ("order", "read", "download"):
        served = ordered[other].in_time / ordered[other].requests
        assert_that(served, LessThan(ordered["bulletin"].earned_share))


def test_placement_follows_the_pace_of_hosts(monkeypatch, undisturbed):
    """Guards against requests that are sent to hosts while these are slow."""
    following = replay(undisturbed)["lookup"]
    monkeypatch.setattr(HostPace, "note", lambda *_: None)
    ignoring = replay(undisturbed)["lookup"]
    gain = (following.in_time - ignoring.in_time) / following.requests
    assert_that(gain, GreaterThan(0.01))


def test_placement_prefers_the_least_risk(monkeypatch, undisturbed):
    """Guards against placement that takes no notice of load and speed."""
    chosen = replay(undisturbed)["all"]

    def order_at_random(candidates, _latency, _time_left, _now, rng):
        shuffled = list(candidates)
        rng.shuffle(shuffled)
        return [(0.0, candidate) for candidate in shuffled]

    monkeypatch.setattr(dispatch, "order_candidates", order_at_random)
    at_random = replay(undisturbed)["all"]
    gain = (chosen.in_time - at_random.in_time) / chosen.requests
    assert_that(gain, GreaterThan(0.015))


def count_excess_retries(monkeypatch):
    """Replay the shedding targets; return the most retries beyond the budget.

    A call made while a retry runs counts as a retry, too.
    """
    load = read_load(EXAMPLES / "bulletins.load")
    started = deque()
    counts = Counter()
    excess = []
    send = TargetExchange.send

    async def observe(exchange, call, ticket, on_silent=None):
        now = read_monotonic()
        started.append((now, call.is_retry or call.parent_is_retry))
        counts[started[-1][1]] += 1
        while started[0][0] < now - load.retry_window:
            counts[started.popleft()[1]] -= 1
        allowed = load.retry_ratio * counts[False] + load.retry_slack
        excess.append(counts[True] - allowed)
        return await send(exchange, call, ticket, on_silent)

    monkeypatch.setattr(TargetExchange, "send", observe)
    replay(EXAMPLES / "bulletins.load")
    monkeypatch.setattr(TargetExchange, "send", send)
    return max(excess)


def test_retries_stay_within_the_budget_while_targets_shed(monkeypatch):
    """Guards against retries that add to the load of targets that shed half of it.

    The budget is a rule: without it more requests would be served here.
    """
    assert_that(count_excess_retries(monkeypatch), LessThan(0.0))
    monkeypatch.setattr(GateRetryBudget, "take", lambda *_, **__: True)
    assert_that(count_excess_retries(monkeypatch), GreaterThan(0.0))
