"""Number of requests that a target takes well, learned from its answers.

Load pattern: a target slows down long before its stated slots are full. Requests
beyond that point make all of them slower without getting more of them done; at the
gate they can still be ordered by urgency, or be sent to another target. The point
differs between targets and moves while they run.

The gate compares how long requests take with different numbers of them running.
Throughput is that number divided by the slowdown. The limit is the number of requests
that would reach the highest throughput if none of them were slowed down (Little's law).

Only answers of the same period are compared. A target that waits for something else is
slow at every number of requests, and more of them run because it is slow; compared with
answers from before, it would look as if it were full. Higher numbers than the limit are
forgotten after a while, too, and then tried again.
"""

import math
from collections.abc import Iterable, Iterator

import attrs

__all__ = ["ConcurrencyLimit"]

SMOOTHING = 0.002
"""Weight of one answer in the usual time of its route. About the last 1,000 count: the
usual time must not follow the load within a period, which would hide the slowdown."""
MIN_ANSWERS = 30
"""Answers at a level before it counts: service times of single requests differ by more
than the slowdown that is looked for."""
MIN_SLOWDOWN = 1.3
"""Slowdown of the highest level measured from which there is a limit, as a multiple of
that of the lowest."""
PERIOD_SECONDS = 20.0
"""Length of a period. Answers count for the rest of theirs and for the next one."""
UPDATE_SECONDS = 0.5
"""Interval at which the limit is computed: about ten answers of a busy target."""


@attrs.define
class _Level:
    """Sum of the slowdowns with a certain number of running requests."""

    total: float = 0.0
    answers: int = 0


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
class ConcurrencyLimit:
    """Slowdown of one target by the number of running requests."""

    _levels: dict[int, _Level] = attrs.Factory(dict)
    _earlier_levels: dict[int, _Level] = attrs.Factory(dict)
    """Levels of the period before."""
    _period_start: float = 0.0
    _usual_times: dict[str, _UsualTime] = attrs.Factory(dict)
    _limit: int | None = None
    _updated_at: float = float("-inf")

    def note(self, route: str, running: int, seconds: float, now: float) -> None:
        """Record an answer that took `seconds` while `running` requests ran."""
        self._start_period(now)
        usual = self._usual_times.setdefault(route, _UsualTime())
        usual.note(seconds)
        if usual.seconds > 0:
            level = self._levels.setdefault(max(1, running), _Level())
            level.answers += 1
            level.total += seconds / usual.seconds

    def _start_period(self, now: float) -> None:
        if now - self._period_start < PERIOD_SECONDS:
            return
        is_next = now - self._period_start < 2 * PERIOD_SECONDS
        self._earlier_levels = self._levels if is_next else {}
        self._levels = {}
        self._period_start = now

    def update(self, slots: int, now: float) -> int:
        """Return the limit for a target that states `slots`."""
        if self._limit is None or now - self._updated_at >= UPDATE_SECONDS:
            self._start_period(now)
            self._limit = self._find_limit(slots)
            self._updated_at = now
        return min(self._limit, slots)

    def _find_limit(self, slots: int) -> int:
        measured = dict(self._measure_levels(slots))
        if len(measured) < 2:
            return slots
        known = dict(zip(measured, _fit_increasing(measured.values()), strict=True))
        unslowed = min(known.values())
        if known[max(known)] < MIN_SLOWDOWN * unslowed:
            return slots
        throughput = max(number / slowdown for number, slowdown in known.items())
        return min(slots, max(1, math.ceil(throughput * unslowed)))

    def _measure_levels(self, slots: int) -> Iterator[tuple[int, float]]:
        """Yield the mean slowdown of each level with enough answers."""
        levels, earlier = self._levels, self._earlier_levels
        for number in sorted(levels.keys() | earlier.keys()):
            both = (levels.get(number, _Level()), earlier.get(number, _Level()))
            answers = sum(level.answers for level in both)
            if answers >= MIN_ANSWERS and number <= slots:
                yield number, sum(level.total for level in both) / answers

    def reset(self) -> None:
        """Forget everything, because the target is another process."""
        self._levels = {}
        self._earlier_levels = {}
        self._usual_times.clear()
        self._limit = None


def _fit_increasing(values: Iterable[float]) -> Iterator[float]:
    """Yield the closest values that never decrease (isotonic regression).

    More running requests never make a target faster, so a decrease is noise.
    """
    groups: list[tuple[float, int]] = []
    for value in values:
        mean, count = value, 1
        while groups and groups[-1][0] > mean:
            other_mean, other_count = groups.pop()
            total = mean * count + other_mean * other_count
            count += other_count
            mean = total / count
        groups.append((mean, count))
    for mean, count in groups:
        yield from [mean] * count
