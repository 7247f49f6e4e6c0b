"""Retry budget of `mesh`, enforced at the gates that receive the retries.

Load pattern: a failing target or a lost link makes many nodes retry requests,
and the retries overload the remaining targets. Each gate derives its budget from
the requests that it has received itself, so that the sum over all gates stays
within the fleet's budget without coordination messages.

If all targets of a service refuse part of their requests for some seconds, far more
retries are asked for than the budget holds. What requests of a higher priority are
expected to ask for is then kept from those of a lower one.
"""

from collections import Counter, deque

import attrs

__all__ = ["GateRetryBudget"]

BUCKETS = 20
"""Number of buckets in the window; the window is accurate to one bucket."""
RATIO_FRACTION = 0.85
"""Fraction of the ratio that gates spend; the rest covers a window longer by one
bucket and unexpected calls made by retries."""
RERUN_COST = 2.5
"""Cost of retrying a request that has run, since its downstream calls run again.

Requests of user services make up to 1.5 downstream calls each on average."""
MIN_DEMAND_BUCKETS = 2
"""Buckets over which the rate of retries that are asked for is taken at least: a second
of a window of 10 s, in which a loaded gate is asked for about 20."""
SLACK_FRACTION = 0.7
"""Fraction of the slack divided among the gates; the rest covers gates that start
or stop."""


@attrs.define
class _Bucket:
    number: int
    first_attempts: int = 0
    retries: float = 0.0
    nested_retries: int = 0
    """Calls made by retries, which are never refused; part of `retries`."""
    asked: Counter[int] = attrs.Factory(Counter)
    """Cost of the retries that were asked for, by priority."""
    taken: Counter[int] = attrs.Factory(Counter)
    """Cost of the retries that were allowed, by priority."""


class GateRetryBudget:
    """Retry budget of one gate over a sliding window."""

    def __init__(self, ratio: float, window_seconds: float, slack: float) -> None:
        """Allow `ratio` retries per request and a share of `slack` per window."""
        self._ratio = ratio * RATIO_FRACTION
        self._slack = slack * SLACK_FRACTION
        self._bucket_seconds = window_seconds / BUCKETS
        self._buckets: deque[_Bucket] = deque()

    def _get_bucket(self, now: float) -> _Bucket:
        number = int(now / self._bucket_seconds)
        while self._buckets and self._buckets[0].number <= number - BUCKETS - 1:
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1].number != number:
            self._buckets.append(_Bucket(number))
        return self._buckets[-1]

    def note_first_attempt(self, now: float, *, parent_is_retry: bool) -> None:
        """Count the first attempt of a request.

        A call made while a retry runs counts as a retry too, but is not refused,
        since that would waste the work of the retry.
        """
        bucket = self._get_bucket(now)
        bucket.first_attempts += 1
        bucket.retries += parent_is_retry
        bucket.nested_retries += parent_is_retry

    def take(
        self, gates: int, now: float, *, may_have_run: bool, priority: int = 0
    ) -> bool:
        """Return whether a retry is within the budget, and count it if so.

        `gates` is the number of gates that share the budget; `may_have_run` says
        whether the request may have run before. Priority 0 is the highest.
        """
        bucket = self._get_bucket(now)
        cost = RERUN_COST if may_have_run else 1.0
        bucket.asked[priority] += cost
        first_attempts = sum(each.first_attempts for each in self._buckets)
        retries = sum(each.retries for each in self._buckets)
        limit = self._ratio * first_attempts + self._slack / max(1, gates)
        reserve = self._estimate_reserve(bucket, priority)
        if retries + cost + reserve > limit:
            return False
        bucket.retries += cost
        bucket.taken[priority] += cost
        return True

    def _estimate_reserve(self, current: _Bucket, priority: int) -> float:
        """Return what must be left for the rest of a window.

        That is for the calls that retries of other services make, and for retries of
        higher priorities: what they ask for in a whole window, at the rate since the
        first of them, less what they have taken.
        """
        nested = [
            (each, each.nested_retries, each.nested_retries) for each in self._buckets
        ]
        higher = [
            (each, _sum_higher(each.asked, priority), _sum_higher(each.taken, priority))
            for each in self._buckets
        ]
        return _extrapolate(nested, current.number) + _extrapolate(
            higher, current.number
        )


def _extrapolate(
    counts: list[tuple[_Bucket, float, float]], current_number: int
) -> float:
    """Return what will be taken in a window besides what was.

    `counts` are the buckets of the window, with what was asked and taken in each.
    """
    first = next((bucket.number for bucket, asked, _ in counts if asked), None)
    if first is None:
        return 0.0
    buckets = max(MIN_DEMAND_BUCKETS, current_number - first + 1)
    asked = sum(asked for _, asked, _ in counts)
    taken = sum(taken for *_, taken in counts)
    return max(0.0, asked / buckets * BUCKETS - taken)


def _sum_higher(costs: Counter[int], priority: int) -> float:
    """Return the sum of the costs of the priorities above `priority`."""
    return sum(cost for rank, cost in costs.items() if rank < priority)
