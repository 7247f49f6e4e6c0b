"""How long work takes on a target's host now, compared with the usual.

Load pattern: targets of one service differ in speed, and share their hosts with other
work that slows them down for parts of a second. A target that says so is weighed by
what it says at present, and by its usual pace once that is out of date.
"""

import math

import attrs

__all__ = ["HostPace"]

SMOOTHING = 0.05
"""Weight of one figure in the usual pace; about the last 40 answers count."""
CHANGE_SECONDS = 0.6
"""Time in which a figure loses most of its meaning: other work on a host comes and goes
several times a second."""


@attrs.define
class HostPace:
    """Pace of one target: a multiple of the usual time of work; 0 if not known."""

    current: float = 0.0
    usual: float = 0.0
    _noted_at: float = float("-inf")

    def note(self, pace: float, now: float) -> None:
        """Record a figure that came with an answer at monotonic time `now`."""
        if pace <= 0:
            return
        self.current = pace
        self.usual += SMOOTHING * (pace - self.usual) if self.usual else pace
        self._noted_at = now

    def get_age(self, now: float) -> float:
        """Return the seconds since the last figure, 0 if there is none."""
        return now - self._noted_at if self.usual else 0.0

    def reset(self) -> None:
        """Forget everything, because the target is another process."""
        self.current = self.usual = 0.0

    def estimate(self, now: float) -> float:
        """Return the expected pace of work that starts now, 0 if not known."""
        if not self.usual:
            return 0.0
        weight = math.exp((self._noted_at - now) / CHANGE_SECONDS)
        return self.usual + weight * (self.current - self.usual)
