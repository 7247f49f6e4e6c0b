"""Sequential comparison of a new version with the old one.

The failures and slow answers of the new version are tested against the rates of
the old version with a one-sided binomial test. The allowed error rate is divided
among the interim checks, so that frequent checks do not reject a good version.
"""

import math
from collections.abc import Iterable, Iterator

import attrs

__all__ = ["GOOD", "Comparison", "Sample", "compare_versions", "sum_samples"]

ERROR_RATE = 0.01
"""Probability, over all checks and routes, of rejecting a version that is no worse."""
TOLERATED_RATE = 0.02
"""Failure rate tolerated in addition to `RATE_FACTOR` times the old rate."""
RATE_FACTOR = 1.5
"""Tolerated ratio of the new version's rate to the old version's."""
SLOW_SHARE = 0.05
"""Share of slow calls tolerated in addition to `RATE_FACTOR` times the old share;
also defines the percentile of the old version's times used for the threshold."""
SLOW_BUCKETS = 2
"""Time buckets (half octaves) past the old version's 95th percentile from which a
call counts as slow."""
REMAINDER_ERROR_RATE = 0.01
"""Error rate of the test of all targets except the worst."""
MIN_BAD = 3
"""Failures or slow calls below which a version is not rejected."""
MIN_OLD_TIMES = 30
"""Calls of the old version below which slow calls are not evaluated."""


@attrs.frozen
class Sample:
    """Calls of one version on one route at one target within a time window.

    `times` counts calls by time bucket. `errors` are the failures that the target
    answered by itself: not a lost or late answer, nor one for a failed call of its own.
    """

    route: str
    target: str
    calls: int
    failures: int
    times: tuple[int, ...]
    errors: int = 0


@attrs.frozen
class Comparison:
    """Result of a comparison: whether the new version is bad, and why."""

    bad: bool
    reason: str = ""


GOOD = Comparison(bad=False)


def sum_samples(samples: Iterable[Sample]) -> Sample:
    """Return the sum of `samples` as one sample."""
    collected = list(samples)
    times = [sum(column) for column in zip(*(s.times for s in collected), strict=True)]
    return Sample(
        "",
        "",
        sum(sample.calls for sample in collected),
        sum(sample.failures for sample in collected),
        tuple(times),
    )


def compare_versions(
    old: list[Sample], new: list[Sample], check_number: int
) -> Comparison:
    """Compare `new` with `old` at interim check `check_number`, counted from 1.

    Each route is compared separately, since a version may be bad on only one.
    """
    routes = sorted({sample.route for sample in new if sample.calls})
    if not routes:
        return GOOD
    significance = ERROR_RATE / (check_number * (check_number + 1) * 2 * len(routes))
    for route in routes:
        old_samples = [sample for sample in old if sample.route == route]
        new_samples = [
            sample for sample in new if sample.route == route and sample.calls
        ]
        for comparison in _compare_route(route, old_samples, new_samples, significance):
            return comparison
    return GOOD


def _compare_route(
    route: str, old: list[Sample], new: list[Sample], significance: float
) -> Iterator[Comparison]:
    for category, find_excess in (
        ("failures", _find_failures),
        ("slow answers", _find_slow),
    ):
        reason = find_excess(old, new, significance)
        if reason and _holds_without_worst_target(find_excess, old, new, significance):
            yield Comparison(bad=True, reason=f"{category} on route {route}: {reason}")


def _holds_without_worst_target(find_excess, old, new, significance) -> bool:
    """Return whether the version is still bad if its worst target is left out.

    One failing target among several shows a fault of the target, not the version. If
    the version has a single target, its calls alone decide.
    """
    if len(new) < 2:
        return True
    worst = max(new, key=lambda sample: _count_bad(old, sample))
    remainder = [sample for sample in new if sample is not worst]
    return bool(
        find_excess(old, remainder, max(significance, REMAINDER_ERROR_RATE), min_bad=1)
    )


def _count_bad(old: list[Sample], sample: Sample) -> int:
    return sample.failures + _count_slow(sample, _find_threshold(old))


def _find_failures(
    old: list[Sample], new: list[Sample], significance: float, min_bad: int = MIN_BAD
) -> str:
    old_total, new_total = sum_samples(old), sum_samples(new)
    rate = old_total.failures / old_total.calls if old_total.calls else 0.0
    limit = max(TOLERATED_RATE, RATE_FACTOR * rate + TOLERATED_RATE)
    bad, note = new_total.failures, f"old {rate:.1%}"
    return _describe_excess(bad, new_total.calls, limit, significance, min_bad, note)


def _find_slow(
    old: list[Sample], new: list[Sample], significance: float, min_bad: int = MIN_BAD
) -> str:
    threshold = _find_threshold(old)
    if threshold is None:
        return ""
    old_total, new_total = sum_samples(old), sum_samples(new)
    total = sum(old_total.times)
    rate = _count_slow(old_total, threshold) / total
    slow = _count_slow(new_total, threshold)
    limit = RATE_FACTOR * rate + SLOW_SHARE
    note = f"old {rate:.1%}"
    return _describe_excess(
        slow, sum(new_total.times), limit, significance, min_bad, note
    )


def _find_threshold(old: list[Sample]) -> int | None:
    """Return the first time bucket that counts as slow, `None` if undetermined."""
    times = sum_samples(old).times if old else ()
    total = sum(times)
    if total < MIN_OLD_TIMES:
        return None
    cumulative = 0
    for bucket, count in enumerate(times):
        cumulative += count
        if cumulative >= (1 - SLOW_SHARE) * total:
            return bucket + SLOW_BUCKETS
    return None


def _count_slow(sample: Sample, threshold: int | None) -> int:
    return 0 if threshold is None else sum(sample.times[threshold:])


def _describe_excess(
    bad: int, calls: int, rate: float, significance: float, min_bad: int, note: str
) -> str:
    if (
        bad < min_bad
        or compute_binomial_tail(bad, calls, min(rate, 0.99)) >= significance
    ):
        return ""
    return f"{bad} of {calls}, {note}"


def compute_binomial_tail(bad: int, calls: int, rate: float) -> float:
    """Return the probability of `bad` or more out of `calls` at `rate`."""
    if bad <= rate * calls:
        return 1.0
    total = 0.0
    for count in range(bad, calls + 1):
        term = math.exp(
            math.lgamma(calls + 1)
            - math.lgamma(count + 1)
            - math.lgamma(calls - count + 1)
            + count * math.log(rate)
            + (calls - count) * math.log1p(-rate)
        )
        total += term
        if term < total * 1e-12:
            break
    return total
