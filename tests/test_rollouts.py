"""Tests of roll-outs: evidence of each stage, probes, simulated roll-outs."""

import asyncio
from types import SimpleNamespace

import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from bench.rollouts import Fault, Version, simulate_rollout
from cactusshed.mesh import movecontroller, moveevidence
from cactusshed.mesh.crashes import CrashTracker
from cactusshed.mesh.frames import TargetState
from cactusshed.mesh.member import Member
from cactusshed.mesh.moves import TrackedMove
from cactusshed.options import Address
from cactusshed.policy.comparison import Sample
from cactusshed.policy.errorevidence import ErrorEvidence, is_excessive
from cactusshed.policy.rollout import (
    CLOSING,
    COMPLETE,
    REVERTED,
    RUNNING,
    STAGES,
    Move,
    advance_move,
    compute_share,
)
from standins.meshfleet import wait_for
from standins.ports import choose_port

from .meshes import make_call, open_gate, run_async
from .test_sidecar import open_fleet

ROLLOUTS = 20
STEP_SECONDS = 0.25
FIRST_PROBE = next(n for n, stage in enumerate(STAGES) if stage.probe)


def make_sample(calls, errors=0, target="t1", route="read"):
    """Return a sample of which all failures are errors."""
    return Sample(route, target, calls, errors, (0,), errors)


def simulate(rng, version=None, per_second=470, **fields):
    """Return the outcomes of several simulated roll-outs."""
    version = version or Version()
    return [
        simulate_rollout(version, per_second, rng, **fields) for _ in range(ROLLOUTS)
    ]


@pytest.mark.parametrize(
    "version",
    [
        Version(0.05, share=1.0),
        Version(0.5, share=1.0),
        Version(0.1, share=1.0, route="read"),
        Version(0.1, share=0.12),
        Version(0.5, start=5.0, ramp=6.0),
    ],
)
def test_version_that_fails_late_is_rolled_back_within_its_bounds(rng, version):
    """A version that failed under load only had been completed.

    All are rolled back; one in twenty may have got more requests than allowed.
    """
    outcomes = simulate(rng, version)
    assert_that({outcome.state for outcome in outcomes}, Equals({REVERTED}))
    assert_that(sum(outcome.is_exposed for outcome in outcomes), LessThan(2))
    assert_that(sum(outcome.kept_late for outcome in outcomes), Equals(0))


@pytest.mark.parametrize("per_second", [5, 50, 470])
def test_version_bad_under_load_stays_in_its_share_at_any_traffic(rng, per_second):
    """A version of which half of the answers fail under load is exposed little."""
    outcomes = simulate(rng, Version(0.5, share=1.0), per_second)
    assert_that(sum(outcome.is_exposed for outcome in outcomes), Equals(0))


@pytest.mark.parametrize(
    ("base_rate", "faults"),
    [
        (0.0, ()),
        (0.02, ()),
        (0.0, (Fault(0.05, 10.0, 4.0, ("a", "b")),)),
        (0.0, (Fault(0.45, 9.6, 7.0, ("a",), is_error=True),)),
    ],
)
def test_good_version_completes_beside_faults_of_hosts(rng, base_rate, faults):
    """Lost answers and a target that fails must not reject a version."""
    outcomes = simulate(rng, base_rate=base_rate, faults=faults)
    assert_that({outcome.state for outcome in outcomes}, Equals({COMPLETE}))


def test_repeated_examination_rejects_few_at_the_tolerated_rate(rng):
    """At the tolerated rate one move in a hundred may be rejected: 10 of 1,000.

    19 are three standard deviations more. The old version gets as many calls.
    """
    rejected = 0
    for _ in range(1000):
        errors = old_errors = calls = 0
        while calls < 2000:
            errors += sum(rng.random() < 0.03 for _ in range(40))
            old_errors += sum(rng.random() < 0.02 for _ in range(40))
            calls += 40
            if is_excessive(errors, calls, old_errors, calls, 0.01):
                rejected += 1
                break
    assert_that(rejected, LessThan(20))


def test_good_answers_of_earlier_stages_do_not_dilute_errors():
    """Errors of a stage count against the calls of that stage alone."""
    old = [make_sample(100_000)]
    evidence = ErrorEvidence()
    before = [make_sample(20_000, target=target) for target in "ab"]
    assert_that(evidence.evaluate(old, before, 0).bad, Equals(False))
    assert_that(evidence.evaluate(old, before, 1).bad, Equals(False))
    after = [attrs.evolve(s, calls=s.calls + 100, errors=5) for s in before]
    assert_that(evidence.evaluate(old, after, 1).bad, Equals(True))
    assert_that(ErrorEvidence().evaluate(old, after, 1).bad, Equals(False))


def test_errors_of_one_target_do_not_reject_the_version():
    """One target that fails beside three good ones is a fault of its host."""
    new = [make_sample(100, target=target) for target in "abc"]
    new.append(make_sample(100, 90, target="d"))
    comparison = ErrorEvidence().evaluate([make_sample(5000)], new, 0)
    assert_that(comparison.bad, Equals(False))


def test_thirty_errors_that_the_old_version_does_not_explain_reject_it():
    """A rate below the tolerated one is rejected before the 50th bad answer."""
    old = [make_sample(200_000)]
    new = [make_sample(10_000, 10, target=target) for target in "abc"]
    assert_that(ErrorEvidence().evaluate(old, new, 4).bad, Equals(True))


def test_probe_ends_without_news_of_the_holder():
    """A node whose holder has died during a probe sends the small share again."""
    stage = STAGES[FIRST_PROBE]
    move = Move("s", "v2", "v1", 1, 16.0, share=1.0, stage=FIRST_PROBE, stage_start=8.0)
    during = compute_share(move, 8.0 + 0.9 * stage.probe * 16)
    after = compute_share(move, 8.0 + 1.1 * stage.probe * 16)
    assert_that([during, after < 0.1], Equals([1.0, True]))


def advance(move, elapsed, has_targets=True, is_drained=False):
    """Return the move after `elapsed` seconds without a reason to reject it."""
    return advance_move(
        move, elapsed, reason="", has_targets=has_targets, is_drained=is_drained
    )


def test_late_move_skips_no_stage():
    """A version whose targets come late, or whose holder was lost, is probed too."""
    move = advance(Move("s", "v2", "v1", 1, 16.0), 10.0, has_targets=False)
    elapsed, stages = 10.0, []
    while move.state == RUNNING and elapsed < 30:
        elapsed += STEP_SECONDS
        move = advance(move, elapsed)
        stages.append((move.stage, move.share))
    probed = [share for stage, share in stages if stage == FIRST_PROBE]
    assert_that({stage for stage, _ in stages}, Equals(set(range(len(STAGES)))))
    assert_that([probed[0], probed[-1] < 0.1], Equals([1.0, True]))
    assert_that([move.state, elapsed < 18.5], Equals([CLOSING, True]))


def test_move_delayed_by_the_store_completes_before_its_deadline():
    """A store that took no writes for three seconds had made a good move miss it."""
    move, elapsed, closed_at = Move("s", "v2", "v1", 1, 16.0), 0.0, 99.0
    while not move.has_ended and elapsed < 20:
        elapsed += STEP_SECONDS
        if not 7.6 < elapsed < 11.2:
            move = advance(move, elapsed, is_drained=elapsed > closed_at + 0.8)
        if move.state == CLOSING:
            closed_at = min(closed_at, elapsed)
    assert_that([move.state, elapsed < 15.5], Equals([COMPLETE, True]))


def test_move_in_a_stage_of_another_build_goes_on():
    """A row with a stage that this build doesn't know must not stop the move."""
    move = Move("s", "v2", "v1", 1, 16.0, share=0.04, stage=99, stage_start=1.0)
    assert_that(advance(move, 12.5).state, Equals(CLOSING))


def report_one(monkeypatch, script, unsuccessful_calls):
    """Return failures and errors that a gate reports after one call."""

    async def work():
        async with open_gate() as opened:
            gate = opened.gate
            gate.tallies.restart()
            opened.target.script["/a/"] = script
            begin = CrashTracker.begin

            def begin_with_calls(*args, **options):
                running = begin(*args, **options)
                running.unsuccessful_calls = unsuccessful_calls
                return running

            monkeypatch.setattr(CrashTracker, "begin", begin_with_calls)
            await gate.run(make_call())
            report = gate.tallies.report("n", "s", "v1", 0)
            return [report.routes[0][2], report.errors.get("r", 0)]

    return run_async(work)


@pytest.mark.parametrize(
    ("script", "unsuccessful_calls", "expected"),
    [
        ("fail", 0, [1, 1]),
        ("fail", 1, [1, 0]),
        ("fail-503", 0, [1, 1]),
        ("fail-504", 0, [1, 0]),
        ("reset", 0, [1, 0]),
        ("", 0, [0, 0]),
    ],
)
def test_only_failures_of_the_target_itself_are_errors(
    script, unsuccessful_calls, expected, monkeypatch
):
    """Lost or late answers and failed calls of a target say nothing of its version."""
    reported = report_one(monkeypatch, script, unsuccessful_calls)
    assert_that(reported, Equals(expected))


def cut_link(one, other, monkeypatch):
    """Close the links between two nodes, and let neither dial the other again."""
    for node, peer in ((one, other), (other, one)):
        peers = node.sidecar.peers
        add, name = peers.add, peer.settings.node

        def add_others(node, address, add=add, name=name):
            if node != name:
                add(node, address)

        monkeypatch.setattr(peers, "add", add_others)
        member = peers.members[name]
        member.address = Address("127.0.0.1", choose_port())
        member.link.close()


def test_move_waits_for_a_gate_that_its_holder_cannot_reach(monkeypatch):
    """The gate had kept sending calls to the old version, which stops at `complete`."""
    monkeypatch.setattr(movecontroller, "RANK_DELAY_SECONDS", 4.0)

    async def work():
        async with open_fleet("n1", "n2") as (fleet, (holder, remote)):
            # The other node's name gives `remote` a higher rank for a takeover.
            between = await fleet.start("n1b", "b")
            await wait_for(between.is_reachable_and_ready)
            new = await fleet.start("n3")
            await wait_for(new.is_reachable_and_ready)
            await new.announce(version="v2", born=5000)
            order = {"service": "a", "to": "v2", "duration": "10s"}
            fleet.store.put_json("op", "rollout/a", order)
            await wait_for(lambda: remote.sidecar.moves.get_share("a") > 0.1)
            cut_link(holder, remote, monkeypatch)
            while b"complete" not in fleet.store.rows["status", "rollout/a"][0]:
                await remote.request("/read/x")
                await asyncio.sleep(0.01)
            before = remote.target.runs.total()
            for _ in range(20):
                await remote.request("/read/x")
            moves = (holder.sidecar.moves, remote.sidecar.moves)
            holders = {m.tracked["a"].move.holder for m in moves}
            return remote.target.runs.total() - before, holders

    assert_that(run_async(work), Equals((0, {"n1"})))


def test_unreachable_gate_has_time_to_read_the_closing(monkeypatch):
    """A move had completed without the gates that its holder had lost."""
    times = iter((101.0, 102.5, 103.5))
    monkeypatch.setattr(moveevidence, "read_monotonic", lambda: next(times))
    member = Member("n2", Address("127.0.0.1", 1), service="s")
    member.state = TargetState(name="i-n2", version="v1")
    peers = SimpleNamespace(members={"n2": member})
    moves = SimpleNamespace(reports={})
    evidence = moveevidence.MoveEvidence("n1", "other", None, peers, moves)
    move = Move("s", "v2", "v1", 1, 30.0, state=CLOSING, elapsed=23.0)
    tracked = TrackedMove(move, last_open_at=100.0)
    drained = [evidence.is_drained(tracked) for _ in range(3)]
    assert_that(drained, Equals([False, False, True]))
