"""Sequential test of a new version's errors, restarted at each stage of a move.

Load pattern: a version that is good on its small share fails a few per cent of the
requests once it has load. Its errors are tested over the current stage alone, so that
earlier good answers don't dilute them, and over all stages, on each route and on all
routes together. Errors are complete answers of the target by which it says that it
failed; lost and late answers are left to `comparison`, because faults of links and
hosts cause them as well.

If the new version's rate is at most `RATE_FACTOR` times the old one's, then of the
errors of both no larger part falls to the new one than its calls, weighted by that
factor. The test is the likelihood ratio of larger parts against this one, mixed over
several, which by Ville's inequality seldom becomes large however often it is examined.
The calls of the two versions don't arrive in a fixed proportion, so the error rate is
also measured (`bench.rollouts`).
"""

import math
from collections.abc import Iterable, Iterator

import attrs

from .comparison import GOOD, Comparison, Sample, compute_binomial_tail
from .rollout import STAGES

__all__ = ["ErrorEvidence", "is_excessive"]

ERROR_RATE = 0.01
"""Probability, over a whole move, of rejecting a version at the highest tolerated
rate."""
RATE_FACTOR = 1.5
"""Tolerated ratio of the new version's error rate to the old version's."""
ODDS_FACTORS = (3.0, 10.0, 50.0, 300.0)
"""Alternatives that are tested, as multiples of the odds of the tolerated part."""
MIN_ERRORS = 4
"""Errors below which a version is not rejected."""
TOLERATED_RATE = 0.002
"""Error rate up to which fewer than `MAX_ERRORS` don't reject a version."""
MAX_ERRORS = 30
"""Errors that reject a version at any rate if the old one's don't explain them. A bad
version must be gone within five seconds of its 50th bad answer."""
REMAINDER_ERROR_RATE = 0.05
"""Error rate of the test of all targets except the worst."""
MIN_REMAINDER = 2
"""Errors of all targets except the worst below which a version is not rejected."""
WINDOWS = 1 + len(STAGES)
"""Spans of time that are tested: the whole move and each stage."""


def is_excessive(
    errors: int, calls: int, old_errors: int, old_calls: int, significance: float
) -> bool:
    """Return whether the error rate is above `RATE_FACTOR` times the old one."""
    if errors < MIN_ERRORS or not old_calls:
        return False
    if errors < MAX_ERRORS and errors <= TOLERATED_RATE * calls:
        return False
    odds = RATE_FACTOR * calls / old_calls
    logs = [
        errors * math.log(factor * (1 + odds) / (1 + factor * odds))
        + old_errors * math.log((1 + odds) / (1 + factor * odds))
        for factor in ODDS_FACTORS
    ]
    highest = max(logs)
    total = sum(math.exp(log - highest) for log in logs)
    return highest + math.log(total / len(ODDS_FACTORS)) > -math.log(significance)


@attrs.define
class ErrorEvidence:
    """Errors of the new version during one move, as its holder has seen them."""

    _stage: int = -1
    _at_stage_start: dict[tuple[str, str], Sample] = attrs.Factory(dict)

    def evaluate(self, old: list[Sample], new: list[Sample], stage: int) -> Comparison:
        """Return whether the errors since the start, or of this stage, are excessive.

        `new` holds the counts since the start of the move, in stage `stage`.
        """
        if stage != self._stage:
            self._stage = stage
            self._at_stage_start = {(s.route, s.target): s for s in new}
        recent = [self._subtract_start(sample) for sample in new]
        for window, samples in (("stage", recent), ("move", new)):
            for reason in _find_excess(old, samples):
                return Comparison(bad=True, reason=f"{reason}, {window} {stage}")
        return GOOD

    def _subtract_start(self, sample: Sample) -> Sample:
        before = self._at_stage_start.get((sample.route, sample.target))
        if before is None or before.calls > sample.calls:
            # The gate has restarted and counts from zero.
            return sample
        return attrs.evolve(
            sample,
            calls=sample.calls - before.calls,
            errors=max(0, sample.errors - before.errors),
        )


def _find_excess(old: list[Sample], new: list[Sample]) -> Iterator[str]:
    """Yield a reason for each route, and for all together, that has too many errors."""
    routes = sorted({sample.route for sample in new if sample.errors})
    significance = ERROR_RATE / (WINDOWS * (len({s.route for s in new}) + 1))
    for route in ["", *routes]:
        new_samples = [s for s in new if route in ("", s.route)]
        old_samples = [s for s in old if route in ("", s.route)]
        errors, calls = _sum_errors(new_samples)
        old_errors, old_calls = _sum_errors(old_samples)
        if not is_excessive(errors, calls, old_errors, old_calls, significance):
            continue
        rate = min(0.5, RATE_FACTOR * (old_errors + 0.5) / old_calls)
        if _holds_without_worst_target(new_samples, rate):
            where = f"route {route}" if route else "all routes"
            yield f"errors on {where}: {errors} of {calls}, old {old_errors}"


def _holds_without_worst_target(new: list[Sample], rate: float) -> bool:
    """Return whether the version still has too many errors without its worst target."""
    by_target: dict[str, tuple[int, int]] = {}
    for sample in new:
        errors, calls = by_target.get(sample.target, (0, 0))
        by_target[sample.target] = (errors + sample.errors, calls + sample.calls)
    remaining = sorted(by_target.values())
    if sum(calls > 0 for _, calls in remaining) < 2:
        return True
    del remaining[-1]
    errors = sum(errors for errors, _ in remaining)
    calls = sum(calls for _, calls in remaining)
    return (
        errors >= MIN_REMAINDER
        and compute_binomial_tail(errors, calls, rate) < REMAINDER_ERROR_RATE
    )


def _sum_errors(samples: Iterable[Sample]) -> tuple[int, int]:
    """Return the errors and the calls of `samples`."""
    errors = calls = 0
    for sample in samples:
        errors += sample.errors
        calls += sample.calls
    return errors, calls
