"""Verdict on a new version: a sequential comparison with the old one.

Failures and slow answers of the new version are counted against the rate that
the old version shows. The tail of the binomial distribution says how unlikely
so many are; the allowed error is spent over the looks, so that looking often
does not condemn a good version.
"""

import math
from collections.abc import Iterable, Iterator

import attrs

__all__ = ["GOOD", "Sample", "Verdict", "judge_version", "sum_samples"]

ERROR_RATE = 0.01
"""Chance, over all looks and routes, to condemn a version that is no worse."""
FLOOR_RATE = 0.02
"""Failure rate that is never held against a version."""
RATE_FACTOR = 1.5
SLOW_SHARE = 0.05
SLOW_BUCKETS = 2
"""Half octaves past the old version's 95th percentile from which a call is slow."""
REST_ERROR_RATE = 0.01
"""Chance at which the targets other than the worst seem bad as well."""
MIN_BAD = 3
MIN_OLD_TIMES = 30


@attrs.frozen
class Sample:
    """Calls of one version on one route at one target, over some window."""

    route: str
    target: str
    calls: int
    failures: int
    times: tuple[int, ...]


@attrs.frozen
class Verdict:
    """Whether a version is bad, and the evidence in words."""

    bad: bool
    reason: str = ""


GOOD = Verdict(bad=False)


def sum_samples(samples: Iterable[Sample]) -> Sample:
    """Return one sample that adds up all of `samples`."""
    kept = list(samples)
    times = [sum(column) for column in zip(*(s.times for s in kept), strict=True)]
    return Sample(
        "",
        "",
        sum(sample.calls for sample in kept),
        sum(sample.failures for sample in kept),
        tuple(times),
    )


def judge_version(old: list[Sample], new: list[Sample], look: int) -> Verdict:
    """Return the verdict on `new` at the `look`-th look, counted from 1.

    Each route is judged for itself, since a version may be bad on one only.
    """
    routes = sorted({sample.route for sample in new if sample.calls})
    if not routes:
        return GOOD
    allowed = ERROR_RATE / (look * (look + 1) * 2 * len(routes))
    for route in routes:
        olds = [sample for sample in old if sample.route == route]
        news = [sample for sample in new if sample.route == route and sample.calls]
        for verdict in _judge_route(route, olds, news, allowed):
            return verdict
    return GOOD


def _judge_route(
    route: str, old: list[Sample], new: list[Sample], allowed: float
) -> Iterator[Verdict]:
    for name, find in (("failures", _find_failures), ("slow answers", _find_slow)):
        reason = find(old, new, allowed)
        if reason and _holds_without_worst(find, old, new, allowed):
            yield Verdict(bad=True, reason=f"{name} on route {route}: {reason}")


def _holds_without_worst(find, old, new, allowed) -> bool:
    """Return whether the finding stands without the target that is worst.

    One sick target does not condemn a version; a lone one speaks for it.
    """
    if len(new) < 2:
        return True
    worst = max(new, key=lambda sample: _count_bad(old, sample))
    rest = [sample for sample in new if sample is not worst]
    return bool(find(old, rest, max(allowed, REST_ERROR_RATE), least=1))


def _count_bad(old: list[Sample], sample: Sample) -> int:
    return sample.failures + _count_slow(sample, _find_threshold(old))


def _find_failures(
    old: list[Sample], new: list[Sample], allowed: float, least: int = MIN_BAD
) -> str:
    before, after = sum_samples(old), sum_samples(new)
    rate = before.failures / before.calls if before.calls else 0.0
    limit = max(FLOOR_RATE, RATE_FACTOR * rate + FLOOR_RATE)
    bad, note = after.failures, f"old {rate:.1%}"
    return _test(bad, after.calls, limit, allowed, least, note)


def _find_slow(
    old: list[Sample], new: list[Sample], allowed: float, least: int = MIN_BAD
) -> str:
    threshold = _find_threshold(old)
    if threshold is None:
        return ""
    before, after = sum_samples(old), sum_samples(new)
    total = sum(before.times)
    rate = _count_slow(before, threshold) / total
    slow = _count_slow(after, threshold)
    limit = RATE_FACTOR * rate + SLOW_SHARE
    note = f"old {rate:.1%}"
    return _test(slow, sum(after.times), limit, allowed, least, note)


def _find_threshold(old: list[Sample]) -> int | None:
    """Return the first time bucket that counts as slow, `None` if not known."""
    times = sum_samples(old).times if old else ()
    total = sum(times)
    if total < MIN_OLD_TIMES:
        return None
    reached = 0
    for bucket, count in enumerate(times):
        reached += count
        if reached >= (1 - SLOW_SHARE) * total:
            return bucket + SLOW_BUCKETS
    return None


def _count_slow(sample: Sample, threshold: int | None) -> int:
    return 0 if threshold is None else sum(sample.times[threshold:])


def _test(
    bad: int, calls: int, rate: float, allowed: float, least: int, note: str
) -> str:
    if bad < least or compute_tail(bad, calls, min(rate, 0.99)) >= allowed:
        return ""
    return f"{bad} of {calls}, {note}"


def compute_tail(bad: int, calls: int, rate: float) -> float:
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
