"""Adaptive concurrency limit of a warming target, derived from its answers.

The limit starts low, grows with successes up to a ramp, shrinks when latency
rises (additive increase, multiplicative decrease), and drops to its start value
as soon as the answers show that the target is cold again. The ramp is quadratic
in the time for which the target has been answering, since a cold target gives no
sign of its capacity until it fails.
"""

import attrs

__all__ = ["Warmup"]

ADJUST_SECONDS = 0.2
"""Minimum time between two changes of the limit."""
SLOW_FACTOR = 3.0
"""Ratio of a latency to the baseline above which the limit shrinks."""
SHRINK_FACTOR = 0.8
"""Factor by which the limit shrinks after a failure or a slow answer."""
IGNORED_LATENCY_SECONDS = 0.05
"""Latency up to which an answer is never considered slow."""
COLD_STREAK = 3
"""Consecutive answers above `cold_factor` times the baseline that show that a target
is cold again."""
MAX_GAP_SECONDS = 0.5
"""Longest time between two answers that is added to the time served."""
RESUME_FRACTION = 0.7
"""Fraction of the ramp time credited to a target that was already running."""
SMOOTHING = 0.05
"""Weight of one answer in the baseline latency of its route."""
MIN_SAMPLES = 10
"""Answers of a route needed before its latencies are compared with the baseline."""


@attrs.define
class Warmup:
    """Adaptive concurrency limit of one target; latencies are in seconds."""

    start: int
    ceiling: int
    ramp_seconds: float
    cold_factor: float
    limit: float = 0.0
    _baselines: dict[str, float] = attrs.Factory(dict)
    _samples: dict[str, int] = attrs.Factory(dict)
    _successes: int = 0
    _cold_streak: int = 0
    _adjusted_at: float = 0.0
    _served_seconds: float = 0.0
    _answered_at: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Start cold."""
        self.limit = float(min(self.start, self.ceiling))

    def adjust(
        self, start: int, ceiling: int, ramp_seconds: float, cold_factor: float
    ) -> None:
        """Apply new settings; the limit never exceeds the ceiling."""
        self.start = start
        self.ceiling = ceiling
        self.ramp_seconds = ramp_seconds
        self.cold_factor = cold_factor
        self.limit = min(self.limit, float(ceiling))

    def get_limit(self) -> int:
        """Return the current concurrency limit, at least 1."""
        return max(1, int(self.limit))

    def get_slowest_baseline(self) -> float | None:
        """Return the usual latency of the slowest route; `None` before any answer."""
        return max(self._baselines.values(), default=None)

    def is_warm(self) -> bool:
        """Return whether the limit has reached the ceiling."""
        return self.get_limit() >= self.ceiling

    def reset_to_cold(self, now: float) -> None:
        """Treat the target as cold: reset the limit and the ramp to their start."""
        self.limit = float(min(self.start, self.ceiling))
        self._successes = 0
        self._cold_streak = 0
        self._adjusted_at = now
        self._served_seconds = 0.0
        self._answered_at = now

    def skip_early_ramp(self) -> None:
        """Start part-way up the ramp, for a target that was already running.

        It was probably serving while this node was away. If it is cold after
        all, its answers will show it.
        """
        self._served_seconds = RESUME_FRACTION * self.ramp_seconds
        self.limit = self._get_ramp_limit()

    def note_success(self, route: str, latency: float, now: float) -> bool:
        """Record a successful answer; return whether it reset the limit to cold."""
        baseline = self._baselines.get(route)
        if baseline is None:
            self._update_baseline(route, latency)
            baseline = latency
        has_baseline = self._samples[route] >= MIN_SAMPLES
        if has_baseline and latency > max(
            IGNORED_LATENCY_SECONDS, self.cold_factor * baseline
        ):
            return self._note_cold_answer(now)
        self._cold_streak = 0
        self._served_seconds += min(MAX_GAP_SECONDS, max(0.0, now - self._answered_at))
        self._answered_at = now
        self._update_baseline(route, latency)
        if has_baseline and latency > max(
            IGNORED_LATENCY_SECONDS, SLOW_FACTOR * baseline
        ):
            self._shrink(now)
        else:
            self._grow(now)
        return False

    def note_failure(self, now: float) -> None:
        """Record a failed answer, such as a shed call."""
        self._shrink(now)

    def _update_baseline(self, route: str, latency: float) -> None:
        baseline = self._baselines.get(route, latency)
        # A cold target is slow at first, so the baseline follows decreases faster.
        weight = SMOOTHING if latency > baseline else 4 * SMOOTHING
        self._baselines[route] = baseline + weight * (latency - baseline)
        self._samples[route] = self._samples.get(route, 0) + 1

    def _note_cold_answer(self, now: float) -> bool:
        self._cold_streak += 1
        if self._cold_streak < COLD_STREAK:
            return False
        self.reset_to_cold(now)
        return True

    def _grow(self, now: float) -> None:
        self._successes += 1
        if (
            self._successes < self.get_limit()
            or now - self._adjusted_at < ADJUST_SECONDS
        ):
            return
        self.limit = min(self._get_ramp_limit(), self.limit + 1.0)
        self._successes = 0
        self._adjusted_at = now

    def _get_ramp_limit(self) -> float:
        """Return the highest limit that the ramp allows after the time served."""
        if self._served_seconds >= self.ramp_seconds:
            return float(self.ceiling)
        fraction = self._served_seconds / self.ramp_seconds
        return max(self.limit, self.start + (self.ceiling - self.start) * fraction**2)

    def _shrink(self, now: float) -> None:
        if now - self._adjusted_at < ADJUST_SECONDS:
            return
        self.limit = max(1.0, self.limit * SHRINK_FACTOR)
        self._successes = 0
        self._adjusted_at = now
