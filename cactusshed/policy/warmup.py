"""Warm-up: how many calls at once a target bears, learnt from its answers.

The limit starts low, grows with successes below a ramp, shrinks when latency
grows (additive increase, multiplicative decrease), and drops to the start at
once when the target shows itself cold again. The ramp is quadratic in the time
for which the target has been answering, since a cold target gives no sign of
how much it bears until it falls over.
"""

import attrs

__all__ = ["Warmup"]

GROW_SECONDS = 0.2
"""Least time between two growth steps."""
SLOW_FACTOR = 3.0
"""Latency against the usual past which the limit shrinks."""
SHRINK = 0.8
FLOOR_SECONDS = 0.05
"""Latencies below this are never held against a target."""
COLD_STREAK = 3
"""Slow answers in a row that show a target cold again."""
LONGEST_GAP = 0.5
"""Time without answers beyond this does not warm a target."""
TRUSTED_PART = 0.7
SMOOTHING = 0.05
MIN_SAMPLES = 10


@attrs.define
class Warmup:
    """Learnt limit of one target; latencies in seconds."""

    start: int
    ceiling: int
    ramp_seconds: float
    cold_factor: float
    limit: float = 0.0
    _usual: dict[str, float] = attrs.Factory(dict)
    _samples: dict[str, int] = attrs.Factory(dict)
    _good: int = 0
    _streak: int = 0
    _stepped: float = 0.0
    _served: float = 0.0
    _answered: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Begin cold."""
        self.limit = float(min(self.start, self.ceiling))

    def adjust(
        self, start: int, ceiling: int, ramp_seconds: float, cold_factor: float
    ) -> None:
        """Take over new settings; the limit never exceeds the ceiling."""
        self.start = start
        self.ceiling = ceiling
        self.ramp_seconds = ramp_seconds
        self.cold_factor = cold_factor
        self.limit = min(self.limit, float(ceiling))

    def get_limit(self) -> int:
        """Return the number of calls that may run at once, at least 1."""
        return max(1, int(self.limit))

    def is_warm(self) -> bool:
        """Return whether the limit has reached the ceiling."""
        return self.get_limit() >= self.ceiling

    def chill(self, now: float) -> None:
        """Hold the target cold: back to the starting limit."""
        self.limit = float(min(self.start, self.ceiling))
        self._good = 0
        self._streak = 0
        self._stepped = now
        self._served = 0.0
        self._answered = now

    def trust(self) -> None:
        """Begin half way, for a target that has long been up under another node.

        It was probably serving while this node was away; if it is cold after
        all, its answers show it.
        """
        self._served = TRUSTED_PART * self.ramp_seconds
        self.limit = self._get_ramp()

    def note_success(self, route: str, latency: float, now: float) -> bool:
        """Take in a good answer; return whether it showed the target cold again."""
        usual = self._usual.get(route)
        if usual is None:
            self._learn(route, latency)
            usual = latency
        enough = self._samples[route] >= MIN_SAMPLES
        if enough and latency > max(FLOOR_SECONDS, self.cold_factor * usual):
            return self._note_slow(now)
        self._streak = 0
        self._served += min(LONGEST_GAP, max(0.0, now - self._answered))
        self._answered = now
        self._learn(route, latency)
        if enough and latency > max(FLOOR_SECONDS, SLOW_FACTOR * usual):
            self._shrink(now)
        else:
            self._grow(now)
        return False

    def note_failure(self, now: float) -> None:
        """Take in a failed answer, such as a shed call."""
        self._shrink(now)

    def _learn(self, route: str, latency: float) -> None:
        usual = self._usual.get(route, latency)
        # A cold target answers slowly at first, so falls are learnt faster.
        weight = SMOOTHING if latency > usual else 4 * SMOOTHING
        self._usual[route] = usual + weight * (latency - usual)
        self._samples[route] = self._samples.get(route, 0) + 1

    def _note_slow(self, now: float) -> bool:
        self._streak += 1
        if self._streak < COLD_STREAK:
            return False
        self.chill(now)
        return True

    def _grow(self, now: float) -> None:
        self._good += 1
        if self._good < self.get_limit() or now - self._stepped < GROW_SECONDS:
            return
        self.limit = min(self._get_ramp(), self.limit + 1.0)
        self._good = 0
        self._stepped = now

    def _get_ramp(self) -> float:
        """Return the highest limit allowed after the time served so far."""
        if self._served >= self.ramp_seconds:
            return float(self.ceiling)
        part = self._served / self.ramp_seconds
        return max(self.limit, self.start + (self.ceiling - self.start) * part**2)

    def _shrink(self, now: float) -> None:
        if now - self._stepped < GROW_SECONDS:
            return
        self.limit = max(1.0, self.limit * SHRINK)
        self._good = 0
        self._stepped = now
