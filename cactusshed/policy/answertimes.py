"""Times of a target's answers, as its learned limit compares them.

Load pattern: times of single requests differ by a factor of three, routes differ in
their work, and a host slows down and recovers within a second. Only means of some
answers show whether a target is full, and only if they are of the same limit.
"""

import math

import attrs

__all__ = ["STEADY_ANSWERS", "AnswerTimes", "RecentMean"]

SMOOTHING = 0.002
"""Weight of one answer in the usual time of its route. About the last 1,000 count: the
usual time must not follow the load, which would hide the slowdown."""
RECENT_ANSWERS = 12
"""Answers that show a large change: about a second at usual traffic."""
STEADY_ANSWERS = 100
"""Answers that show a small one: their mean varies by a twentieth."""
FULLNESS_ANSWERS = 50
"""Answers that show whether a target is full all the time: a few seconds' worth."""
FEW_DIVISOR = 4
"""Part of the limit up to which few requests run. It is small, since `running` is a
mean: some of the requests started when more ran."""
MIN_FEW_ANSWERS = 30
"""Answers with few running before their times are taken for the unslowed time."""
MIN_KNOWN_ANSWERS = 30
"""Answers at the limit before their times correct the unslowed time."""
FULL_SHARE = 0.8
"""Share of the limit from which a running request counts as one at the limit."""
FASTER_SIGMAS = 1.5
"""Standard errors by which times at the limit may be below the unslowed time."""
INITIAL_VARIANCE = 0.25
"""Variance of the logarithms of times until it is known: that of user workloads."""


@attrs.define
class RecentMean:
    """Mean of recent values."""

    memory: int
    count: int = 0
    value: float = 0.0

    def note(self, value: float) -> None:
        """Add a value."""
        self.count = min(self.count + 1, self.memory)
        self.value += (value - self.value) / self.count

    def set(self, value: float, count: int) -> None:
        """Replace the mean by another one of `count` values."""
        self.value = value
        self.count = min(count, self.memory)

    @property
    def variance_factor(self) -> float:
        """Return the variance of the mean as a share of that of the values."""
        is_full = self.count >= self.memory
        return 1 / (2 * self.memory - 1 if is_full else max(1, self.count))


@attrs.define
class _UsualTime:
    """Mean time of a route's requests, whatever the number running."""

    seconds: float = 0.0
    answers: int = 0

    def note(self, seconds: float) -> None:
        """Add an answer."""
        self.answers += 1
        weight = max(SMOOTHING, 1 / self.answers)
        self.seconds += weight * (seconds - self.seconds)


@attrs.define
class AnswerTimes:
    """Means of the logarithms of times: long requests would outweigh all others."""

    answers: int = 0
    """Answers since the target started."""
    unslowed: RecentMean = attrs.Factory(lambda: RecentMean(STEADY_ANSWERS))
    """Time of requests that are not slowed down by others."""
    recent: RecentMean = attrs.Factory(lambda: RecentMean(RECENT_ANSWERS))
    steady: RecentMean = attrs.Factory(lambda: RecentMean(STEADY_ANSWERS))
    """Times at the present limit; `recent` is that of the last answers."""
    running: RecentMean = attrs.Factory(lambda: RecentMean(RECENT_ANSWERS))
    """Requests running at the present limit."""
    fullness: RecentMean = attrs.Factory(lambda: RecentMean(FULLNESS_ANSWERS))
    """Share of the last answers that came at the limit."""
    full_at: float = float("-inf")
    """Time of the last answer at the limit."""
    _few: RecentMean = attrs.Factory(lambda: RecentMean(STEADY_ANSWERS))
    """Times with few running."""
    _variance: RecentMean = attrs.Factory(
        lambda: RecentMean(STEADY_ANSWERS, 5, INITIAL_VARIANCE)
    )
    _skipped: int = 0
    """Answers still to come to requests that ran before times were measured anew."""
    _highest: int = 1
    """Most requests that ran: stands for the limit until it is known."""
    _usual_times: dict[str, _UsualTime] = attrs.Factory(dict)
    _reference: float = 0.0
    """Mean logarithm of the usual times, which makes times of routes comparable."""

    def note(
        self,
        route: str,
        running: int,
        seconds: float,
        limit: int | None,
        now: float,
        *,
        is_on_trial: bool,
    ) -> bool:
        """Record an answer; return whether it shows the unslowed time.

        It does not while a lower limit is on trial, which shows the time by itself.
        """
        value = self._compare_with_usual(route, seconds)
        self._highest = max(self._highest, running)
        limit = limit or self._highest
        is_full = running >= FULL_SHARE * limit
        self.fullness.note(float(is_full))
        if is_full:
            self.full_at = now
        if self._skipped:
            self._skipped -= 1
        elif is_full:
            if self.recent.count >= RECENT_ANSWERS:
                self._variance.note((value - self.recent.value) ** 2)
            self.recent.note(value)
            self.steady.note(value)
            self.running.note(min(running, limit))
        elif running <= limit // FEW_DIVISOR:
            self._few.note(value)
            if self._few.count >= MIN_FEW_ANSWERS and not is_on_trial:
                self.unslowed.set(self._few.value, self._few.count)
                return True
        return False

    def _compare_with_usual(self, route: str, seconds: float) -> float:
        """Return the logarithm of a time as if its route were an average one."""
        usual = self._usual_times.setdefault(route, _UsualTime())
        before = math.log(usual.seconds) if usual.answers else self._reference
        usual.note(seconds)
        self.answers += 1
        # The usual times follow the load slowly. Their mean takes this out again.
        share = usual.answers / self.answers
        self._reference += share * (math.log(usual.seconds) - before)
        return math.log(seconds / usual.seconds) + self._reference

    def start_anew(self) -> None:
        """Forget the times at the limit, which has changed."""
        self._skipped = max(1, round(self.running.value))
        for mean in (self.recent, self.steady, self.running):
            mean.set(mean.value, 0)
        self._few.set(0.0, 0)

    def start_recent_anew(self, skipped: int) -> None:
        """Measure the recent times anew after `skipped` answers."""
        self.recent.set(self.recent.value, 0)
        self._skipped = skipped

    def get_error(self, *variance_factors: float) -> float:
        """Return the standard error of a mean, or of a difference of means."""
        return math.sqrt(self._variance.value * sum(variance_factors))

    def get_slowdown(self, mean: RecentMean) -> tuple[float, float]:
        """Return the slowdown (a logarithm) that a mean shows, and its error."""
        error = self.get_error(mean.variance_factor, self.unslowed.variance_factor)
        return mean.value - self.unslowed.value, error

    def find_knee(self, mean: RecentMean) -> float:
        """Return the requests that the target takes without a slowdown."""
        slowdown = mean.value - self.unslowed.value if self.unslowed.count else 0.0
        return self.running.value * math.exp(-slowdown)

    def follow_faster_times(self) -> None:
        """Correct the unslowed time: times at the limit are never shorter."""
        mean = self.steady
        margin = FASTER_SIGMAS * self.get_error(mean.variance_factor)
        is_known = mean.count >= MIN_KNOWN_ANSWERS
        if is_known and mean.value < self.unslowed.value - margin:
            self.unslowed.set(mean.value + margin, mean.count)
