"""Number of requests that a target takes well, learned from its answers.

Load pattern: a target slows down long before its stated slots are full. Requests
beyond that point make all of them slower without getting more of them done; at the
gate they can still be ordered by urgency, or be sent to another target. The point
differs between targets and moves while they run.

The gate compares how long requests take with different numbers of them running.
Throughput is that number divided by the slowdown; the limit is the smallest number
that reaches nearly the highest throughput.
"""

from collections.abc import Iterable, Iterator

import attrs

__all__ = ["ConcurrencyLimit"]

SMOOTHING = 0.02
"""Weight of one answer in the mean slowdown of its level; about the last 100 count."""
MIN_ANSWERS = 30
"""Answers at a level before it counts: service times of single requests differ by more
than the slowdown that is looked for."""
KEPT_FRACTION = 0.9
"""Fraction of the highest throughput that the limit must reach."""
MIN_SLOWDOWN = 1.3
"""Slowdown from the limit to the stated slots below which the slots are the limit."""
RETRY_SECONDS = 10.0
"""Time after which one more request than the limit is tried again."""
TRIAL_SECONDS = 2.0
"""Length of such a trial: some dozen answers of a busy target."""


@attrs.define
class _Level:
    """Mean slowdown with a certain number of running requests."""

    slowdown: float = 1.0
    answers: int = 0


@attrs.define
class ConcurrencyLimit:
    """Slowdown of one target by the number of running requests."""

    _levels: dict[int, _Level] = attrs.Factory(dict)
    _route_seconds: dict[str, float] = attrs.Factory(dict)
    """Mean time of a route's requests, without the slowdown."""
    _limit: int | None = None
    _trial_at: float = 0.0
    """Start of the next trial above the limit."""

    def note(self, route: str, running: int, seconds: float) -> None:
        """Record an answer that took `seconds` while `running` requests ran."""
        level = self._levels.setdefault(max(1, running), _Level())
        usual = self._route_seconds.setdefault(route, seconds / level.slowdown)
        level.answers += 1
        weight = max(SMOOTHING, 1 / (1 + level.answers))
        if usual > 0:
            level.slowdown += weight * (seconds / usual - level.slowdown)
        plain_seconds = seconds / max(level.slowdown, 0.1)
        self._route_seconds[route] = usual + SMOOTHING * (plain_seconds - usual)

    def update(self, slots: int, now: float) -> int:
        """Return the limit for a target that states `slots`."""
        if not self._levels:
            return slots
        limit = self._find_limit(slots)
        if limit != self._limit:
            self._limit = limit
            self._trial_at = now + RETRY_SECONDS
        if limit < slots and now >= self._trial_at:
            if now < self._trial_at + TRIAL_SECONDS:
                return limit + 1
            self._trial_at = now + RETRY_SECONDS
        return limit

    def _find_limit(self, slots: int) -> int:
        measured = {
            number: level.slowdown
            for number, level in sorted(self._levels.items())
            if level.answers >= MIN_ANSWERS and number <= slots
        }
        if len(measured) < 2:
            return slots
        known = dict(zip(measured, _fit_increasing(measured.values()), strict=True))
        highest = max(number / slowdown for number, slowdown in known.items())
        limit = min(
            number
            for number, slowdown in known.items()
            if number / slowdown >= KEPT_FRACTION * highest
        )
        is_slower = known[max(known)] >= MIN_SLOWDOWN * known[limit]
        return limit if is_slower else slots

    def reset(self) -> None:
        """Forget everything, because the target is another process."""
        self._levels.clear()
        self._route_seconds.clear()
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
