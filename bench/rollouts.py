"""Simulated roll-outs: how often good and bad versions are rolled back, and how late.

    python -m bench.rollouts [roll-outs in each row]

The policies of `mesh` decide on simulated counts. Times are those of a roll-out of
16 seconds with four targets in each version; reports and steps are up to a quarter
of a second old. A version may get a tenth of the requests and 50 (`EXPOSED`), and
nothing five seconds after its 50th bad answer (`KEPT`).
"""

import itertools
import math
import random
import sys
from collections.abc import Callable, Iterator
from functools import partial
from multiprocessing import Pool

import attrs

from cactusshed.policy.comparison import Sample, compare_versions
from cactusshed.policy.errorevidence import ErrorEvidence
from cactusshed.policy.rollout import (
    CLOSING,
    COMPLETE,
    REVERTED,
    STAGES,
    Move,
    advance_move,
    compute_share,
)

from .measure import print_table, take_percentile

__all__ = ["Fault", "Outcome", "Version", "simulate_rollout"]

ROLLOUTS = 200
PROCESSES = 2
MOVE_SECONDS = 16.0
TICK_SECONDS = 0.05
STEP_TICKS = 5
"""Ticks between two steps of the controller, and between two reports of a gate."""
TARGETS = ("a", "b", "c", "d")
ROUTES = ("read", "write", "check")
ROUTE_WEIGHTS = (0.28, 0.28, 0.44)
NO_TIMES = (0,)
MAX_EXPOSED_SHARE = 0.1
EXPOSED_SLACK = 50
MAX_BAD_ANSWERS = 50
ROLLBACK_SECONDS = 5.0
RATES = (0.03, 0.05, 0.1, 0.5)
TRAFFIC = (5, 20, 100, 500)
SHARES = tuple(sorted({stage.share for stage in STAGES}))


@attrs.frozen
class Version:
    """Errors of a new version: their rate, and what they begin with.

    `ramp` is the time in seconds over which the rate grows after `start`.
    """

    rate: float = 0.0
    share: float = 0.0
    """Share of the requests from which the version fails."""
    start: float = 0.0
    ramp: float = 0.0
    route: str = ""
    """The only route that fails; empty for all."""

    def get_rate(self, route: str, share: float, elapsed: float) -> float:
        """Return the probability that a request fails."""
        if share < self.share or elapsed < self.start:
            return 0.0
        if self.route and route != self.route:
            return 0.0
        if self.ramp:
            return self.rate * min(1.0, (elapsed - self.start) / self.ramp)
        return self.rate


@attrs.frozen
class Fault:
    """A fault that strikes both versions from `start` on, for `seconds`.

    `is_error` says that targets answer the failure by themselves; else answers are
    lost.
    """

    rate: float
    start: float
    seconds: float
    targets: tuple[str, ...] = TARGETS
    is_error: bool = False

    def get_rate(self, target: str, elapsed: float) -> float:
        """Return the probability that a request to `target` fails."""
        is_struck = target in self.targets
        is_on = self.start <= elapsed < self.start + self.seconds
        return self.rate if is_struck and is_on else 0.0


@attrs.frozen
class Outcome:
    """End of a simulated roll-out."""

    state: str
    seconds: float
    requests: int
    """Requests that reached the new version up to the deadline."""
    allowed: float
    bad_answers: int
    kept_late: bool
    """Whether it got requests five seconds after its 50th bad answer."""
    reason: str

    @property
    def is_exposed(self) -> bool:
        """Return whether the version got more requests than a bad one may."""
        return self.requests > self.allowed


@attrs.define
class _Counts:
    calls: int = 0
    failures: int = 0
    errors: int = 0


@attrs.define
class _Counters:
    """Counts of one version by route and target; `reported` is what the holder has."""

    counts: dict[tuple[str, str], _Counts] = attrs.Factory(
        lambda: {(r, t): _Counts() for r in ROUTES for t in TARGETS}
    )
    reported: dict[tuple[str, str], Sample] = attrs.Factory(dict)

    def report(self, target: str) -> None:
        """Send the counts of one target to the holder."""
        for route in ROUTES:
            counts = self.counts[route, target]
            self.reported[route, target] = Sample(
                route, target, counts.calls, counts.failures, NO_TIMES, counts.errors
            )

    def list_samples(self) -> list[Sample]:
        """Return the samples that the holder has."""
        return list(self.reported.values())


def _draw_poisson(mean: float, rng: random.Random) -> int:
    if mean > 30:
        return max(0, round(rng.gauss(mean, math.sqrt(mean))))
    count, product, limit = 0, rng.random(), math.exp(-mean)
    while product > limit:
        count += 1
        product *= rng.random()
    return count


def simulate_rollout(
    version: Version,
    per_second: float,
    rng: random.Random,
    *,
    base_rate: float = 0.0,
    faults: tuple[Fault, ...] = (),
) -> Outcome:
    """Return the outcome of one roll-out; both versions fail at `base_rate`."""
    move = Move("s", "v2", "v1", 1, MOVE_SECONDS)
    old, new = _Counters(), _Counters()
    evidence = ErrorEvidence()
    phases = {target: rng.randrange(STEP_TICKS) for target in TARGETS}
    checks, requests, bad_answers, total = 0, 0, 0, 0
    limit_at, kept_late, closed_at = math.inf, False, math.inf

    def send(counters: _Counters, count: int, get_rate: Callable) -> int:
        bad = 0
        for route in rng.choices(ROUTES, ROUTE_WEIGHTS, k=count):
            target = rng.choice(TARGETS)
            counts = counters.counts[route, target]
            counts.calls += 1
            if rng.random() < get_rate(route):
                bad += 1
                counts.failures += 1
                counts.errors += 1
                continue
            for fault in faults:
                if rng.random() < fault.get_rate(target, elapsed):
                    counts.failures += 1
                    counts.errors += fault.is_error
                    break
        return bad

    for tick in range(int(MOVE_SECONDS / TICK_SECONDS)):
        elapsed = tick * TICK_SECONDS
        if tick % STEP_TICKS == 0 and not move.has_ended:
            checks += 1
            samples = (old.list_samples(), new.list_samples())
            comparison = compare_versions(*samples, checks)
            if not comparison.bad:
                comparison = evidence.evaluate(*samples, move.stage)
            if move.state == CLOSING:
                closed_at = min(closed_at, elapsed)
            move = advance_move(
                move,
                elapsed,
                reason=comparison.reason,
                has_targets=True,
                is_drained=elapsed >= closed_at + 0.5,
            )
        share = compute_share(move, elapsed)
        if move.state in (CLOSING, COMPLETE):
            share = 1.0
        count = _draw_poisson(per_second * TICK_SECONDS, rng)
        to_new = sum(rng.random() < share for _ in range(count)) if share else 0
        total += count
        requests += to_new
        kept_late = kept_late or (to_new > 0 and elapsed > limit_at)
        bad_answers += send(
            new,
            to_new,
            lambda route: (
                base_rate + version.get_rate(route, share, elapsed)  # noqa: B023
            ),
        )
        send(old, count - to_new, lambda route: base_rate)
        if bad_answers >= MAX_BAD_ANSWERS:
            limit_at = min(limit_at, elapsed + ROLLBACK_SECONDS)
        for target, phase in phases.items():
            if tick % STEP_TICKS == phase:
                old.report(target)
                new.report(target)
    return Outcome(
        move.state,
        move.elapsed,
        requests,
        MAX_EXPOSED_SHARE * total + EXPOSED_SLACK,
        bad_answers,
        kept_late,
        move.reason,
    )


def _list_bad_rows() -> Iterator[tuple]:
    shapes = [(f"from share {share:g}", Version(share=share)) for share in SHARES]
    shapes += [
        ("one route, full share", Version(share=1.0, route="read")),
        ("slowly over 8 s", Version(start=3.0, ramp=8.0)),
        ("from 10 s on", Version(start=10.0)),
    ]
    return (
        (name, attrs.evolve(shape, rate=rate), per_second)
        for name, shape in shapes
        for rate in RATES
        for per_second in TRAFFIC
    )


def _make_bad_row(rollouts: int, row: tuple) -> tuple:
    name, version, per_second = row
    rng = random.Random(f"{name} {version.rate} {per_second}")
    outcomes = [simulate_rollout(version, per_second, rng) for _ in range(rollouts)]
    return _summarise(name, version.rate, per_second, outcomes)


GOOD_SHAPES: tuple[tuple[str, float, tuple[Fault, ...]], ...] = (
    ("no failures", 0.0, ()),
    ("0.4 % in both", 0.004, ()),
    ("2 % in both", 0.02, ()),
    ("10 % in both", 0.1, ()),
    ("answers lost, full share", 0.0, (Fault(0.05, 10.0, 4.0, ("a", "b")),)),
    ("answers lost, all along", 0.0, (Fault(0.05, 0.0, 16.0, ("a", "b")),)),
    ("a grey target", 0.0, (Fault(0.45, 3.0, 7.0, ("a",), is_error=True),)),
    ("a grey target, full share", 0.0, (Fault(0.45, 9.6, 7.0, ("a",), True),)),
)
"""Good versions: name, error rate of both versions, and faults of hosts and links."""


def _make_good_row(rollouts: int, row: tuple) -> tuple:
    (name, base_rate, faults), per_second = row
    rng = random.Random(f"{name} {per_second}")
    outcomes = [
        simulate_rollout(Version(), per_second, rng, base_rate=base_rate, faults=faults)
        for _ in range(rollouts)
    ]
    returned = sum(outcome.state == REVERTED for outcome in outcomes)
    complete = sum(outcome.state == COMPLETE for outcome in outcomes)
    return name, per_second, returned, complete, len(outcomes)


def _summarise(
    name: str, rate: float, per_second: int, outcomes: list[Outcome]
) -> tuple:
    returned = [o for o in outcomes if o.state == REVERTED]
    seconds = take_percentile([o.seconds for o in returned], 50) if returned else "-"
    return (
        name,
        f"{rate:.0%}",
        per_second,
        len(returned),
        sum(o.is_exposed for o in outcomes),
        sum(o.kept_late for o in outcomes),
        sum(o.state == COMPLETE and not o.bad_answers for o in outcomes),
        seconds,
        take_percentile([o.requests / o.allowed for o in outcomes], 95),
        len(outcomes),
    )


def main() -> None:
    """Print the tables of bad and of good versions."""
    rollouts = int(sys.argv[1]) if len(sys.argv) > 1 else ROLLOUTS
    with Pool(PROCESSES) as pool:
        print_table(
            "Bad versions",
            (
                "failures begin",
                "rate",
                "requests/s",
                "returned",
                "exposed",
                "kept",
                "never failed",
                "median s",
                "requests of allowed, 95 %",
                "roll-outs",
            ),
            pool.map(partial(_make_bad_row, rollouts), _list_bad_rows()),
        )
        print_table(
            "Good versions",
            ("failures", "requests/s", "returned", "complete", "roll-outs"),
            pool.map(
                partial(_make_good_row, rollouts),
                itertools.product(GOOD_SHAPES, TRAFFIC),
            ),
        )


if __name__ == "__main__":
    main()
