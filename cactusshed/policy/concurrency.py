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
is always full gets such a trial without a suspicion, when its unslowed time is not
known and once in a while. A higher limit is tried when times at the limit are
near the unslowed time, and step by step when the limit is no longer reached.
"""

import math

import attrs

__all__ = ["ConcurrencyLimit"]

SMOOTHING = 0.002
"""Weight of one answer in the usual time of its route. About the last 1,000 count: the
usual time must not follow the load, which would hide the slowdown."""
RECENT_ANSWERS = 12
"""Answers that show a large change: one to two seconds at usual traffic."""
STEADY_ANSWERS = 100
"""Answers that show a small one: their mean varies by a twentieth."""
MIN_ANSWERS = 12
"""Answers at a limit before it is changed, but for trials."""
MIN_FIRST_ANSWERS = 30
"""Answers at the limit before a trial without suspicion, and with few running before
their times are taken for the unslowed time."""
FEW_DIVISOR = 4
"""Part of the limit up to which few requests run. It is small, since `running` is a
mean: some of the requests started when more ran."""
FULL_SHARE = 0.8
"""Share of the limit from which a running request counts as one at the limit."""
LOWER_SHARE = 0.75
"""Highest share of the limit to which it is lowered. A smaller step could not be told
from noise in a trial, and gains little."""
MIN_TRIAL_SHARE = 0.4
"""Lowest share of the limit in one trial, which may be wrong."""
TRIAL_SHARE = 0.6
"""Share of the limit in a trial without suspicion: some 20 answers decide it."""
MIN_TRIAL_ANSWERS = 15
TRIAL_SIGMAS = 2.0
"""Distance from an undecided outcome, in standard errors, that ends a trial."""
SUSPICION_SIGMAS = 2.5
"""The same for a slowdown that starts a trial."""
MAX_SUSPICION_ERROR = 0.15
"""Largest error of these times: work that differs much needs more answers."""
FASTER_SIGMAS = 1.5
"""The same for times at the limit that are shorter than the unslowed time."""
MIN_CONFIRMING_ANSWERS = 8
CONFIRMING_SIGMAS = 1.5
"""The same for its confirmation by as many later answers, and by the trial."""
MIN_SIGMAS = 1.0
"""Distance without which a trial of a suspected target shows nothing."""
MAX_TRIAL_ERROR = 0.16
"""Largest error of the times in a trial: they may become the unslowed time."""
MAX_SUSPECTED_ERROR = 0.2
"""The same if the unslowed time is known."""
MAX_UNSLOWED_ERROR = 0.08
"""The same once a trial has shown that the target is full: the limit depends on it."""
MAX_TRIAL_SECONDS = 6.0
MAX_RAISE_SECONDS = 3.0
"""Longest trials of a lower and of a higher limit, which few requests may reach."""
TRIAL_INTERVAL_SECONDS = 120.0
"""Time between trials without suspicion: each costs a target that is not full about
half a second of its throughput."""
UNCLEAR_INTERVAL_SECONDS = 20.0
"""The same after a trial that did not show clearly that the target is not full."""
RAISE_SHARE = 0.9
"""Share of the limit that the knee must reach for a higher limit to be tried."""
RAISE_FACTOR = 1.5
RAISE_SIGMAS = 1.2
MAX_RAISE_WAIT_SECONDS = 3.0
"""Longest time between trials of a higher limit while times at the limit don't fall. It
doubles with each that fails."""
IDLE_SECONDS = 10.0
"""Time without requests at the limit after which it rises by one a second."""
UPDATE_SECONDS = 0.1
"""Interval at which the limit is computed: one or two answers of a busy target."""


@attrs.define
class _Mean:
    """Mean of the logarithms of recent times."""

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


@attrs.frozen
class _Trial:
    """A lower or higher limit on trial, and the times before it."""

    limit_before: int
    running_before: float
    mean_before: float
    variance_factor: float
    started_at: float
    is_suspected: bool
    """Whether the unslowed time is known and says that the target is full."""
    is_first: bool = True
    """Whether no trial before it has shown that the target is full."""


@attrs.define
class ConcurrencyLimit:
    """Limit of one target by the times of its answers; `now` is monotonic."""

    lowest: int = 1
    """Lowest limit, even if the target takes less well."""
    answers: int = 0
    """Answers since the target started."""
    changed_at: float = float("-inf")
    """Time of the last change of the limit."""
    _usual_times: dict[str, _UsualTime] = attrs.Factory(dict)
    _reference: float = 0.0
    """Mean logarithm of the usual times, which makes times of routes comparable."""
    _variance: _Mean = attrs.Factory(lambda: _Mean(STEADY_ANSWERS, 5, 0.25))
    _unslowed: _Mean = attrs.Factory(lambda: _Mean(STEADY_ANSWERS))
    _few: _Mean = attrs.Factory(lambda: _Mean(STEADY_ANSWERS))
    """Times with few running."""
    _recent: _Mean = attrs.Factory(lambda: _Mean(RECENT_ANSWERS))
    _steady: _Mean = attrs.Factory(lambda: _Mean(STEADY_ANSWERS))
    _running: _Mean = attrs.Factory(lambda: _Mean(RECENT_ANSWERS))
    """Running requests at the limit."""
    _skipped: int = 0
    """Answers still to come to requests that ran at the last change of the limit."""
    _highest: int = 1
    _slots: int = 0
    _limit: int | None = None
    _trial: _Trial | None = None
    _is_suspected: bool = False
    """Whether a slowdown was seen and is to be confirmed."""
    _trial_due: float = float("-inf")
    _raise_due: float = float("-inf")
    _raise_wait: float = 0.0
    _full_at: float = float("-inf")
    """Time of the last answer at the limit."""
    _updated_at: float = float("-inf")

    @property
    def is_on_trial(self) -> bool:
        """Return whether a lower limit is being tried."""
        return self._trial is not None and self._trial.limit_before > self._limit

    def note(self, route: str, running: int, seconds: float, now: float) -> None:
        """Record an answer that took `seconds` while `running` requests ran."""
        if seconds <= 0:
            return
        value = self._compare_with_usual(route, seconds)
        self._highest = max(self._highest, running)
        limit = self._limit or self._highest
        if running >= FULL_SHARE * limit:
            self._full_at = now
        if self._skipped:
            self._skipped -= 1
        elif running >= FULL_SHARE * limit:
            if self._recent.count >= MIN_ANSWERS:
                self._variance.note((value - self._recent.value) ** 2)
            self._recent.note(value)
            self._steady.note(value)
            self._running.note(min(running, limit))
        elif running <= limit // FEW_DIVISOR:
            self._few.note(value)
            if self._few.count >= MIN_FIRST_ANSWERS and not self.is_on_trial:
                self._unslowed.set(self._few.value, self._few.count)
                self._trial_due = now + TRIAL_INTERVAL_SECONDS

    def _compare_with_usual(self, route: str, seconds: float) -> float:
        """Return the logarithm of a time as if its route were an average one."""
        usual = self._usual_times.setdefault(route, _UsualTime())
        before = usual.seconds
        usual.note(seconds)
        self.answers += 1
        if not before:
            before = math.exp(self._reference) if self.answers > 1 else usual.seconds
        if self.answers == 1:
            self._reference = math.log(seconds)
        else:
            share = usual.answers / self.answers
            self._reference += share * math.log(usual.seconds / before)
        return math.log(seconds / usual.seconds) + self._reference

    def update(self, slots: int, now: float, *, may_try: bool = True) -> int:
        """Return the limit for a target that states `slots`.

        `may_try` is false while something else limits the target's requests: there are
        no lower limits on trial then.
        """
        self._set_slots(slots, now)
        if not may_try and self.is_on_trial:
            self._set_limit(self._trial.limit_before, now)
        if now - self._updated_at >= UPDATE_SECONDS:
            self._updated_at = now
            if self._trial is None:
                self._follow(now, may_try)
            elif self._trial.limit_before < self._limit:
                self._judge_raise(self._trial, now)
            else:
                self._judge(self._trial, now)
        return min(self._limit, slots)

    def _set_slots(self, slots: int, now: float) -> None:
        if self._limit is None or self._limit == self._slots != slots:
            self._limit = slots
            self.changed_at = now
        self._slots = slots

    def _set_limit(self, limit: int, now: float) -> None:
        """Change the limit; times at another one are no longer compared."""
        if limit != self._limit:
            self._skipped = max(1, round(self._running.value))
            for mean in (self._recent, self._steady, self._running):
                mean.set(mean.value, 0)
            self._few.set(0.0, 0)
            self.changed_at = now
        self._limit = limit
        self._trial = None
        self._is_suspected = False

    def _get_error(self, *variance_factors: float) -> float:
        return math.sqrt(self._variance.value * sum(variance_factors))

    def _follow(self, now: float, may_try: bool) -> None:
        """Adapt the limit to the times at it."""
        if self._unslowed.count:
            if self._confirm_slowdown(now, may_try):
                return
            self._follow_faster_times()
        if self._raise(now) or not may_try or now < self._trial_due:
            return
        if self._steady.count >= MIN_FIRST_ANSWERS:
            target = max(self.lowest, int(TRIAL_SHARE * self._limit))
            self._try_lower(target, now, is_suspected=False)

    def _confirm_slowdown(self, now: float, may_try: bool) -> bool:
        """Try a lower limit once a slowdown is seen twice.

        The first time, requests of before the slowdown count as well: the times to
        which those of the trial are compared would be too short.
        """
        if self._is_suspected:
            if self._recent.count < MIN_CONFIRMING_ANSWERS:
                return True
            self._is_suspected = False
            target = self._find_lower(self._recent, CONFIRMING_SIGMAS)
            if target is None or not may_try:
                return False
            self._try_lower(target, now, is_suspected=True)
            return True
        targets = [
            self._find_lower(mean, SUSPICION_SIGMAS)
            for mean in (self._recent, self._steady)
            if mean.count >= MIN_ANSWERS
            and self._get_error(mean.variance_factor) <= MAX_SUSPICION_ERROR
        ]
        if not any(targets):
            return False
        if all(targets) and self._steady.count == STEADY_ANSWERS:
            # The slowdown has lasted for some time.
            if may_try:
                self._try_lower(targets[-1], now, is_suspected=True)
            return True
        self._is_suspected = True
        self._recent.set(self._recent.value, 0)
        self._skipped = self._limit // 2
        return True

    def _find_lower(self, mean: _Mean, sigmas: float) -> int | None:
        """Return the lower limit that times at the limit call for, if any."""
        slowdown = mean.value - self._unslowed.value
        error = self._get_error(mean.variance_factor, self._unslowed.variance_factor)
        if slowdown < sigmas * error:
            return None
        knee = self._running.value * math.exp(-slowdown)
        target = max(self.lowest, int(knee + 1), int(MIN_TRIAL_SHARE * self._limit))
        return target if target <= LOWER_SHARE * self._limit else None

    def _follow_faster_times(self) -> None:
        """Correct the unslowed time: times at the limit are never shorter."""
        mean = self._steady
        margin = FASTER_SIGMAS * self._get_error(mean.variance_factor)
        is_known = mean.count >= MIN_FIRST_ANSWERS
        if is_known and mean.value < self._unslowed.value - margin:
            self._unslowed.set(mean.value + margin, mean.count)

    def _try_lower(self, target: int, now: float, *, is_suspected: bool) -> None:
        if target >= self._limit:
            self._trial_due = now + TRIAL_INTERVAL_SECONDS
            return
        mean = max(self._recent, self._steady, key=lambda m: m.count)
        if is_suspected and self._recent.value > self._steady.value:
            # The change that raised the suspicion may be recent.
            mean = self._recent
        self._start_trial(target, mean, now, is_suspected=is_suspected)

    def _start_trial(
        self,
        target: int,
        mean: _Mean,
        now: float,
        *,
        is_suspected: bool = False,
        is_first: bool = True,
    ) -> None:
        trial = _Trial(
            self._limit,
            self._running.value,
            mean.value,
            mean.variance_factor,
            now,
            is_suspected,
            is_first,
        )
        self._set_limit(target, now)
        self._trial = trial

    def _judge(self, trial: _Trial, now: float) -> None:
        """End a trial once it is clear whether times fall with the limit."""
        mean = self._steady
        is_over = now - trial.started_at >= MAX_TRIAL_SECONDS
        is_over = is_over or mean.count == mean.memory
        error = self._get_error(mean.variance_factor)
        min_answers = MIN_TRIAL_ANSWERS
        max_error = MAX_TRIAL_ERROR if trial.is_first else MAX_UNSLOWED_ERROR
        if trial.is_suspected:
            min_answers, max_error = MIN_CONFIRMING_ANSWERS, MAX_SUSPECTED_ERROR
        if not is_over and (mean.count < min_answers or error > max_error):
            return
        undecided = math.log(trial.running_before / max(1.0, self._running.value)) / 2
        fall = trial.mean_before - mean.value
        error = self._get_error(trial.variance_factor, mean.variance_factor)
        distance = abs(fall - undecided) / error
        sigmas = CONFIRMING_SIGMAS if trial.is_suspected else TRIAL_SIGMAS
        if distance < sigmas and not is_over:
            return
        is_unclear = trial.is_suspected and distance < MIN_SIGMAS
        if mean.count < min_answers or is_unclear:
            # Too few requests reach the lower limit, or their work differs too much.
            self._trial_due = now + MAX_TRIAL_SECONDS
            self._set_limit(trial.limit_before, now)
            return
        self._trial = None
        if fall < undecided:
            self._end_trial(trial, mean, now)
            if distance < sigmas and trial.limit_before == self._slots:
                self._trial_due = now + UNCLEAR_INTERVAL_SECONDS
        elif not trial.is_suspected:
            target = max(self.lowest, int(TRIAL_SHARE * self._limit))
            if target < self._limit:
                self._start_trial(target, mean, now, is_first=False)
            else:
                self._unslowed.set(mean.value, mean.count)
                self._trial_due = now + TRIAL_INTERVAL_SECONDS

    def _end_trial(self, trial: _Trial, mean: _Mean, now: float) -> None:
        """Set the limit by the unslowed time, which the trial has shown."""
        self._trial_due = now + TRIAL_INTERVAL_SECONDS
        knee = trial.running_before * math.exp(mean.value - trial.mean_before)
        target = max(self._limit, int(knee + 1))
        count = mean.count
        value = mean.value
        if target > LOWER_SHARE * trial.limit_before:
            # Times before the trial were unslowed as well.
            target = trial.limit_before
            before = round(1 / trial.variance_factor)
            value = (count * value + before * trial.mean_before) / (count + before)
            count += before
        self._unslowed.set(value, count)
        self._set_limit(target, now)

    def _raise(self, now: float) -> bool:
        """Try a higher limit if times at the limit are near the unslowed time."""
        if self._limit >= self._slots:
            return False
        if now - max(self._full_at, self.changed_at) > IDLE_SECONDS:
            if now >= self._raise_due:
                self._raise_due = now + 1.0
                self._set_limit(self._limit + 1, now)
            return True
        mean = self._recent
        if mean.count < MIN_ANSWERS:
            return False
        error = self._get_error(mean.variance_factor, self._steady.variance_factor)
        has_fallen = mean.value < self._steady.value - TRIAL_SIGMAS * error
        if now < self._raise_due and not has_fallen:
            return False
        slowdown = mean.value - self._unslowed.value if self._unslowed.count else 0.0
        if self._running.value * math.exp(-slowdown) < RAISE_SHARE * self._limit:
            return False
        target = min(self._slots, math.ceil(RAISE_FACTOR * self._limit))
        self._start_trial(target, mean, now)
        return True

    def _judge_raise(self, trial: _Trial, now: float) -> None:
        """End the trial of a higher limit once it is clear whether times rise."""
        mean = self._steady
        is_over = now - trial.started_at >= MAX_RAISE_SECONDS
        is_exact = self._get_error(mean.variance_factor) <= MAX_SUSPECTED_ERROR
        if mean.count < MIN_CONFIRMING_ANSWERS or not is_exact:
            if is_over:
                self._trial = None
            return
        undecided = math.log(self._running.value / trial.running_before) / 2
        rise = mean.value - trial.mean_before
        error = self._get_error(trial.variance_factor, mean.variance_factor)
        if abs(rise - undecided) < RAISE_SIGMAS * error and not is_over:
            return
        self._trial = None
        if rise < undecided:
            self._raise_wait = 0.0
            return
        wait = max(1.0, 2 * self._raise_wait)
        self._raise_wait = min(MAX_RAISE_WAIT_SECONDS, wait)
        self._raise_due = now + self._raise_wait
        target = trial.limit_before
        if self._unslowed.count:
            slowdown = mean.value - self._unslowed.value
            knee = self._running.value * math.exp(-slowdown)
            target = max(target, min(self._limit, int(knee + 0.9)))
        self._set_limit(target, now)

    def reset(self) -> None:
        """Forget everything, because the target is another process."""
        self.__init__(lowest=self.lowest)
