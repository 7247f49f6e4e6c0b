"""Number of requests that a target takes well, learned from its answers.

Load pattern: a target slows down long before its stated slots are full. Requests
beyond that point, the knee, make all of them slower without getting more of them done;
at the gate they can still be ordered by urgency, or be sent to another target. The
knee differs between targets and moves while they run.

The gate compares how long requests take at the limit with their unslowed time, which
is known from times of few running requests or from a trial. The knee is the
throughput times the unslowed time (Little's law). The limit is one above it, so that
the slowdown at the limit shows whether the knee has moved.

A target that waits for something else is slow, too, and more of its requests run
because it is slow. So each lower limit is a trial: it remains only if the times fall
with it. Otherwise the unslowed time has changed, and the limit returns. A target that
is always full gets such a trial without a suspicion if that is switched on: when its
unslowed time is not known, and once in a while. A higher limit is tried when times at
the limit are near the unslowed time, and step by step when the limit is no longer
reached.
"""

import math

import attrs

from .answertimes import STEADY_ANSWERS, AnswerTimes, RecentMean
from .limittrials import (
    MIN_ANSWERS,
    SUSPECTED_SIGMAS,
    SUSPICION_SIGMAS,
    TRIAL_SIGMAS,
    Trial,
    Verdict,
    can_show_slowdown,
    find_lower,
    judge_lower,
    judge_raise,
    learn_unslowed,
)

__all__ = ["ConcurrencyLimit"]

MIN_FULLNESS = 0.8
"""Share of answers at the limit without which there is no trial without suspicion."""
MIN_RECENT_ANSWERS = 12
"""Answers at a limit before it is suspected to be too high, or raised."""
MIN_FIRST_ANSWERS = 30
"""Answers at the limit before a trial without suspicion."""
TRIAL_SHARE = 0.5
"""Share of the limit in a trial without suspicion: some 20 answers decide it."""
TRIAL_INTERVAL_SECONDS = 120.0
"""Time between trials without suspicion, which may cost two seconds of throughput."""
UNCLEAR_INTERVAL_SECONDS = 20.0
"""The same after a trial that did not show clearly whether the target is full."""
RAISE_SHARE = 0.9
"""Share of the limit that the knee must reach for a higher limit to be tried."""
RAISE_FACTOR = 1.5
MAX_RAISE_WAIT_SECONDS = 3.0
"""Longest time between trials of a higher limit while times at the limit don't fall. It
doubles with each that fails."""
IDLE_SECONDS = 10.0
"""Time without requests at the limit after which it rises by one a second."""
SETTLED_SHARE = 0.25
"""Relative change of the limit outside trials that matters to operators."""
UPDATE_SECONDS = 0.1
"""Interval at which the limit is computed: one or two answers of a busy target."""


@attrs.define
class ConcurrencyLimit:
    """Limit of one target by the times of its answers; `now` is monotonic."""

    lowest: int = 1
    """Lowest limit, even if the target takes less well."""
    highest: int | None = None
    """Highest limit; `None` for the stated slots."""
    is_enabled: bool = True
    """Whether the limit is learned."""
    tries_full: bool = False
    """Whether a target that is always full gets a trial without a suspicion."""
    changed_at: float = float("-inf")
    """Time of the last change of the limit, trials included."""
    settled: int = 0
    """Limit at the last change that mattered."""
    settled_at: float = float("-inf")
    times: AnswerTimes = attrs.Factory(AnswerTimes)
    _slots: int = 0
    _limit: int | None = None
    trial: Trial | None = None
    _is_suspected: bool = False
    """Whether a slowdown was seen and is to be confirmed."""
    _trial_due: float = float("-inf")
    _raise_due: float = float("-inf")
    _raise_wait: float = 0.0
    _updated_at: float = float("-inf")

    @property
    def is_on_trial(self) -> bool:
        """Return whether a lower limit is being tried."""
        return self.trial is not None and self.trial.is_lower

    def note(self, route: str, running: int, seconds: float, now: float) -> None:
        """Record an answer that took `seconds` while `running` requests ran."""
        if seconds <= 0 or not self.is_enabled:
            return
        if self.times.note(
            route, running, seconds, self._limit, now, is_on_trial=self.is_on_trial
        ):
            self._trial_due = now + TRIAL_INTERVAL_SECONDS

    def update(self, slots: int, now: float, *, may_try: bool = True) -> int:
        """Return the limit for a target that states `slots`.

        `may_try` is false while something else limits the target's requests: there are
        no lower limits on trial then.
        """
        slots = min(slots, self.highest or slots)
        if self._limit is None or self._limit == self._slots != slots:
            self._limit = slots
            self.changed_at = now
        self._slots = slots
        if not may_try and self.is_on_trial:
            self._set_limit(self.trial.limit_before, now)
        if now - self._updated_at >= UPDATE_SECONDS:
            self._updated_at = now
            if self.trial is None:
                self._follow(now, may_try)
            elif self.trial.is_lower:
                self._end_lower(self.trial, now)
            else:
                self._end_raise(self.trial, now)
        return min(self._limit, slots)

    def _set_limit(self, limit: int, now: float) -> None:
        """Change the limit; times at another one are no longer compared."""
        if limit != self._limit:
            self.times.start_anew()
            self.changed_at = now
        self._limit = limit
        self.trial = None
        self._is_suspected = False

    def _follow(self, now: float, may_try: bool) -> None:
        """Adapt the limit to the times at it."""
        if self.times.unslowed.count:
            if self._follow_slowdown(now, may_try):
                return
            self.times.follow_faster_times()
        is_full = self.times.fullness.value >= MIN_FULLNESS
        is_known = is_full and self.times.steady.count >= MIN_FIRST_ANSWERS
        is_due = self.tries_full and now >= self._trial_due
        if is_known and may_try and is_due:
            self._try_lower(self._get_trial_limit(), now, is_suspected=False)
        else:
            self._raise(now)

    def _get_trial_limit(self) -> int:
        return max(1, self.lowest, int(TRIAL_SHARE * self._limit))

    def _follow_slowdown(self, now: float, may_try: bool) -> bool:
        """Try a lower limit if a slowdown is seen twice, or has lasted for some time.

        The first time, requests of before the slowdown count as well: the times to
        which those of the trial are compared would be too short.
        """
        times = self.times
        if self._is_suspected:
            if times.recent.count < MIN_ANSWERS:
                return True
            self._is_suspected = False
            target = self._find_lower(times.recent, SUSPECTED_SIGMAS)
            if target is None or not may_try:
                return False
            self._try_lower(target, now, is_suspected=True)
            return True
        targets = [
            self._find_lower(mean, SUSPICION_SIGMAS)
            for mean in (times.recent, times.steady)
            if mean.count >= MIN_RECENT_ANSWERS and can_show_slowdown(mean, times)
        ]
        if not any(targets):
            return False
        if all(targets) and times.steady.count == STEADY_ANSWERS:
            if may_try:
                self._try_lower(targets[-1], now, is_suspected=True)
            return True
        self._is_suspected = True
        times.start_recent_anew(self._limit // 2)
        return True

    def _find_lower(self, mean: RecentMean, sigmas: float) -> int | None:
        return find_lower(mean, self.times, self._limit, self.lowest, sigmas)

    def _try_lower(self, target: int, now: float, *, is_suspected: bool) -> None:
        if target >= self._limit:
            self._trial_due = now + TRIAL_INTERVAL_SECONDS
            return
        recent, steady = self.times.recent, self.times.steady
        mean = max(recent, steady, key=lambda m: m.count)
        if is_suspected and recent.value > steady.value:
            # The change that raised the suspicion may be recent.
            mean = recent
        self._start_trial(target, mean, now, is_suspected=is_suspected)

    def _start_trial(
        self,
        target: int,
        mean: RecentMean,
        now: float,
        *,
        is_suspected: bool = False,
        is_first: bool = True,
    ) -> None:
        trial = Trial(
            target,
            self._limit,
            self.times.running.value,
            mean.value,
            mean.variance_factor,
            now,
            is_suspected,
            is_first,
        )
        self._set_limit(target, now)
        self.trial = trial

    def _end_lower(self, trial: Trial, now: float) -> None:
        verdict, is_clear = judge_lower(trial, self.times, now)
        if verdict == Verdict.OPEN:
            return
        self.trial = None
        if verdict == Verdict.UNCLEAR:
            self._trial_due = now + UNCLEAR_INTERVAL_SECONDS
            self._set_limit(trial.limit_before, now)
        elif verdict == Verdict.NOT_FULL:
            is_settled = is_clear or trial.limit_before < self._slots
            interval = (
                TRIAL_INTERVAL_SECONDS if is_settled else UNCLEAR_INTERVAL_SECONDS
            )
            self._trial_due = now + interval
            self._set_limit(learn_unslowed(trial, self.times), now)
        elif not trial.is_suspected:
            target = self._get_trial_limit()
            if target < self._limit:
                self._start_trial(target, self.times.steady, now, is_first=False)
            else:
                mean = self.times.steady
                self.times.unslowed.set(mean.value, mean.count)
                self._trial_due = now + TRIAL_INTERVAL_SECONDS

    def _raise(self, now: float) -> bool:
        """Try a higher limit if times at the limit are near the unslowed time."""
        times = self.times
        if self._limit >= self._slots:
            return False
        if now - max(times.full_at, self.changed_at) > IDLE_SECONDS:
            if now >= self._raise_due:
                self._raise_due = now + 1.0
                self._set_limit(self._limit + 1, now)
            return True
        mean = times.recent
        if mean.count < MIN_RECENT_ANSWERS:
            return False
        error = times.get_error(mean.variance_factor, times.steady.variance_factor)
        has_fallen = mean.value < times.steady.value - TRIAL_SIGMAS * error
        if now < self._raise_due and not has_fallen:
            return False
        if times.find_knee(mean) < RAISE_SHARE * self._limit:
            return False
        target = min(self._slots, math.ceil(RAISE_FACTOR * self._limit))
        self._start_trial(target, mean, now)
        return True

    def _end_raise(self, trial: Trial, now: float) -> None:
        verdict = judge_raise(trial, self.times, now)
        if verdict == Verdict.OPEN:
            return
        self.trial = None
        if verdict == Verdict.NOT_FULL:
            self._raise_wait = 0.0
        elif verdict == Verdict.FULL:
            wait = max(1.0, 2 * self._raise_wait)
            self._raise_wait = min(MAX_RAISE_WAIT_SECONDS, wait)
            self._raise_due = now + self._raise_wait
            target = trial.limit_before
            if self.times.unslowed.count:
                knee = self.times.find_knee(self.times.steady)
                target = max(target, min(self._limit, round(knee)))
            self._set_limit(target, now)

    def settle(self, now: float) -> bool:
        """Return whether the limit outside trials has changed enough to matter."""
        limit, before = self._limit, self.settled
        is_small = abs(limit - before) < SETTLED_SHARE * before
        is_same = limit == before or (is_small and limit != self._slots)
        if self.trial is not None or is_same:
            return False
        self.settled, self.settled_at = limit, now
        return True

    def reset(self) -> None:
        """Forget everything, because the target is another process."""
        self.__init__(self.lowest, self.highest, self.is_enabled, self.tries_full)
