"""Budget of repeats, kept at the gates where the repeats would arrive.

Load pattern: a failing target or a lost link makes many nodes send requests a
second time, and the repeats overload what is left. Each gate pays for repeats
out of what it saw itself, so that the sum over all gates stays within the
fleet's budget without any message.
"""

from collections import deque

import attrs

__all__ = ["RepeatBudget"]

BUCKETS = 20
"""Parts into which the window is divided; the error is one part."""
RATIO_PART = 0.6
"""Part of the ratio that gates spend; the rest covers calls of repeated runs."""
RUN_COST = 2.5
"""What a repeat of a request that has run is charged: its calls repeat as well.

Runs of the users' services make up to one and a half calls each on average."""
SLACK_PART = 0.7
"""Part of the slack that gates share; the rest covers gates that come and go."""


@attrs.define
class _Bucket:
    number: int
    firsts: int = 0
    repeats: float = 0.0


class RepeatBudget:
    """Counts of one gate over a sliding window."""

    def __init__(self, ratio: float, window: float, slack: float) -> None:
        """Allow `ratio` repeats a request, and a share of `slack` a window."""
        self._ratio = ratio * RATIO_PART
        self._slack = slack * SLACK_PART
        self._width = window / BUCKETS
        self._buckets: deque[_Bucket] = deque()

    def _get_bucket(self, now: float) -> _Bucket:
        number = int(now / self._width)
        while self._buckets and self._buckets[0].number <= number - BUCKETS - 1:
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1].number != number:
            self._buckets.append(_Bucket(number))
        return self._buckets[-1]

    def note_first(self, now: float, *, is_of_repeat: bool) -> None:
        """Count a request that arrives for the first time.

        A call made by the run of a repeat is a repeat too, but is not refused:
        that would waste the run.
        """
        bucket = self._get_bucket(now)
        bucket.firsts += 1
        bucket.repeats += is_of_repeat

    def take(self, gates: int, now: float, *, has_run: bool) -> bool:
        """Return whether a repeat may pass one of `gates` gates, and count it.

        `has_run` says that the request may have run before.
        """
        bucket = self._get_bucket(now)
        firsts = sum(each.firsts for each in self._buckets)
        repeats = sum(each.repeats for each in self._buckets)
        cost = RUN_COST if has_run else 1.0
        if repeats + cost > self._ratio * firsts + self._slack / max(1, gates):
            return False
        bucket.repeats += cost
        return True
