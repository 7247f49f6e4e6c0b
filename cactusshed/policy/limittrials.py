"""Trials of a lower or a higher limit: what the times of answers at it show.

Load pattern: a target that is always full shows no slowdown, since the number of its
requests does not vary, and one that waits for something else looks full. Both show
when the limit is changed: times of a full target follow its limit.
"""

import math
from enum import Enum

import attrs

from .answertimes import AnswerTimes, RecentMean

__all__ = [
    "MAX_SECONDS",
    "MIN_ANSWERS",
    "SUSPECTED_SIGMAS",
    "SUSPICION_SIGMAS",
    "TRIAL_SIGMAS",
    "Trial",
    "Verdict",
    "can_show_slowdown",
    "find_lower",
    "judge_lower",
    "judge_raise",
    "learn_unslowed",
]

MIN_ANSWERS = 8
"""Answers that can decide a trial of a target that is suspected to be full."""
MIN_FIRST_ANSWERS = 15
"""The same without a suspicion."""
TRIAL_SIGMAS = 2.0
"""Distance from an undecided outcome, in standard errors, that ends a trial."""
SUSPECTED_SIGMAS = 1.5
"""The same for a target that is suspected to be full."""
RAISE_SIGMAS = 1.2
"""The same for a higher limit, which costs less if it is wrong."""
MIN_SIGMAS = 1.0
"""Distance without which a trial of a suspected target shows nothing."""
MAX_ERROR = 0.16
"""Largest error of the times in a trial: they may become the unslowed time."""
MAX_SUSPECTED_ERROR = 0.2
"""The same if the unslowed time is known."""
MAX_UNSLOWED_ERROR = 0.08
"""The same once a trial has shown that the target is full: the limit depends on it."""
SUSPICION_SIGMAS = 2.5
"""Standard errors of a slowdown that starts a trial."""
MAX_SUSPICION_ERROR = 0.15
"""Largest error of these times: work that differs much needs more answers."""
LOWER_SHARE = 0.75
"""Highest share of the limit to which it is lowered. A smaller step could not be told
from noise in a trial, and gains little."""
MIN_TRIAL_SHARE = 0.4
"""Lowest share of the limit in one trial, which may be wrong."""
MAX_SECONDS = 6.0
MAX_RAISE_SECONDS = 3.0
"""Longest trials of a lower and of a higher limit, which few requests may reach."""
MAX_FIRST_SECONDS = 4.0
"""Longest first trial without a suspicion: most targets are not full."""


class Verdict(Enum):
    """Outcome of a trial so far."""

    OPEN = "open"
    FULL = "full"
    """Times follow the limit: the target was full."""
    NOT_FULL = "not full"
    UNCLEAR = "unclear"
    """Too few requests reached the limit, or their work differs too much."""


@attrs.frozen
class Trial:
    """A limit on trial, and the times before it."""

    limit: int
    limit_before: int
    running_before: float
    mean_before: float
    variance_factor: float
    started_at: float
    is_suspected: bool
    """Whether the unslowed time is known and says that the target is full."""
    is_first: bool
    """Whether no trial before it has shown that the target is full."""

    @property
    def is_lower(self) -> bool:
        """Return whether the limit is lower than before."""
        return self.limit < self.limit_before

    def find_knee(self, mean: RecentMean) -> float:
        """Return the knee if times in the trial are unslowed."""
        return self.running_before * math.exp(mean.value - self.mean_before)


def can_show_slowdown(mean: RecentMean, times: AnswerTimes) -> bool:
    """Return whether a mean is exact enough for a suspicion."""
    return times.get_error(mean.variance_factor) <= MAX_SUSPICION_ERROR


def find_lower(
    mean: RecentMean, times: AnswerTimes, limit: int, lowest: int, sigmas: float
) -> int | None:
    """Return the lower limit that times at the limit call for, if any."""
    slowdown, error = times.get_slowdown(mean)
    if slowdown < sigmas * error:
        return None
    knee = times.find_knee(mean)
    target = max(lowest, int(knee + 1), int(MIN_TRIAL_SHARE * limit))
    return target if target <= LOWER_SHARE * limit else None


def learn_unslowed(trial: Trial, times: AnswerTimes) -> int:
    """Take over the unslowed time that a trial has shown; return the limit."""
    mean = times.steady
    value, count = mean.value, mean.count
    target = max(trial.limit, int(trial.find_knee(mean) + 1))
    if target > LOWER_SHARE * trial.limit_before:
        # Times before the trial were unslowed as well.
        target = trial.limit_before
        before = round(1 / trial.variance_factor)
        value = (count * value + before * trial.mean_before) / (count + before)
        count += before
    times.unslowed.set(value, count)
    return target


def judge_lower(trial: Trial, times: AnswerTimes, now: float) -> tuple[Verdict, bool]:
    """Return the verdict of the trial of a lower limit, and whether it is clear."""
    mean = times.steady
    is_costly = trial.is_first and not trial.is_suspected
    max_seconds = MAX_FIRST_SECONDS if is_costly else MAX_SECONDS
    is_over = now - trial.started_at >= max_seconds or mean.count == mean.memory
    min_answers = MIN_FIRST_ANSWERS
    max_error = MAX_ERROR if trial.is_first else MAX_UNSLOWED_ERROR
    if trial.is_suspected:
        min_answers, max_error = MIN_ANSWERS, MAX_SUSPECTED_ERROR
    is_exact = times.get_error(mean.variance_factor) <= max_error
    if not is_over and (mean.count < min_answers or not is_exact):
        return Verdict.OPEN, False
    if mean.count < min_answers:
        return Verdict.UNCLEAR, False
    undecided = math.log(trial.running_before / times.running.value) / 2
    fall = trial.mean_before - mean.value
    error = times.get_error(trial.variance_factor, mean.variance_factor)
    distance = abs(fall - undecided) / error
    is_clear = distance >= (SUSPECTED_SIGMAS if trial.is_suspected else TRIAL_SIGMAS)
    if not is_clear and not is_over:
        return Verdict.OPEN, False
    if trial.is_suspected and distance < MIN_SIGMAS:
        return Verdict.UNCLEAR, False
    return Verdict.NOT_FULL if fall < undecided else Verdict.FULL, is_clear


def judge_raise(trial: Trial, times: AnswerTimes, now: float) -> Verdict:
    """Return the verdict of the trial of a higher limit."""
    mean = times.steady
    is_over = now - trial.started_at >= MAX_RAISE_SECONDS
    is_exact = times.get_error(mean.variance_factor) <= MAX_SUSPECTED_ERROR
    if mean.count < MIN_ANSWERS or not is_exact:
        return Verdict.UNCLEAR if is_over else Verdict.OPEN
    undecided = math.log(times.running.value / trial.running_before) / 2
    rise = mean.value - trial.mean_before
    error = times.get_error(trial.variance_factor, mean.variance_factor)
    if abs(rise - undecided) < RAISE_SIGMAS * error and not is_over:
        return Verdict.OPEN
    return Verdict.NOT_FULL if rise < undecided else Verdict.FULL
