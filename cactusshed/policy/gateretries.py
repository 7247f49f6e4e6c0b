"""Retry budget of `mesh`, enforced at the gates that receive the retries.

Load pattern: a failing target or a lost link makes many nodes retry requests,
and the retries overload the remaining targets. Each gate derives its budget from
the requests that it has received itself, so that the sum over all gates stays
within the fleet's budget without coordination messages.
"""

from collections import deque

import attrs

__all__ = ["GateRetryBudget"]

BUCKETS = 20
"""Number of buckets in the window; the window is accurate to one bucket."""
RATIO_FRACTION = 0.6
"""Fraction of the ratio that gates spend; the rest covers calls made by retries."""
RERUN_COST = 2.5
"""Cost of retrying a request that has run, since its downstream calls run again.

Requests of user services make up to 1.5 downstream calls each on average."""
SLACK_FRACTION = 0.7
"""Fraction of the slack divided among the gates; the rest covers gates that start
or stop."""


@attrs.define
class _Bucket:
    number: int
    first_attempts: int = 0
    retries: float = 0.0


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

    def take(self, gates: int, now: float, *, may_have_run: bool) -> bool:
        """Return whether a retry is within the budget, and count it if so.

        `gates` is the number of gates that share the budget; `may_have_run` says
        whether the request may have run before.
        """
        bucket = self._get_bucket(now)
        first_attempts = sum(each.first_attempts for each in self._buckets)
        retries = sum(each.retries for each in self._buckets)
        cost = RERUN_COST if may_have_run else 1.0
        if retries + cost > self._ratio * first_attempts + self._slack / max(1, gates):
            return False
        bucket.retries += cost
        return True
