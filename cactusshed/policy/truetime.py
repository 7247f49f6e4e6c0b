"""Estimate of the true time on hosts whose wall clocks may be wrong or jump."""

import statistics
from collections import deque

import attrs

__all__ = ["DelayWatch", "FastestVote", "TrueTime", "choose_fleet_time"]

SAMPLE_COUNT = 61
"""Samples of the wall clock, of which the median counts: a jump that is taken back
within half of them has no effect. At one sample in two seconds that is a minute."""
MIN_CORRECTION_SECONDS = 0.2
"""Difference from the fleet's time below which the own clock is kept. The fleet's time
is late by the latency of two messages, and a shift of 0.2 s moves 4 % of a window of
5 s."""
VOTE_COUNT = 8
"""Messages of one node of which the fastest counts. A message can only be late, by
seconds if its receiver was frozen."""
SETTLE_SECONDS = 8.0
"""Time without any word from the fleet after which the own clock is used: the time in
which a fleet that starts at once finds a holder of the duty, and two seconds."""


@attrs.define
class DelayWatch:
    """Tells whether messages have waited in this node, so that times in them are late.

    `interval` is that of a task of the node, which calls `beat` each time that it runs.

    Load pattern: a node that was frozen or held up before it heard from the others
    reads what they sent meanwhile at once, without any faster message to compare.
    """

    interval: float
    _beat_at: float
    _late_at: float = float("-inf")

    def beat(self, now: float) -> None:
        """Record that the task has run, perhaps later than it should have."""
        if now - self._beat_at > self.interval + MIN_CORRECTION_SECONDS:
            self._late_at = now
        self._beat_at = now

    def is_late(self, now: float) -> bool:
        """Return whether a message that is read now may have waited."""
        is_overdue = now - self._beat_at > self.interval + MIN_CORRECTION_SECONDS
        return is_overdue or now - self._late_at < self.interval


@attrs.define
class FastestVote:
    """The difference of another node's time from this one's, by its fastest message."""

    _offsets: deque[float] = attrs.Factory(lambda: deque(maxlen=VOTE_COUNT))

    def add(self, offset: float) -> None:
        """Record the time stated in a message, less that of its arrival."""
        self._offsets.append(offset)

    def get(self) -> float | None:
        """Return the difference, or `None` before the first message."""
        return max(self._offsets, default=None)


@attrs.define
class TrueTime:
    """Maps `CLOCK_BOOTTIME` to true time by an offset that jumps don't move.

    Load pattern: organisations' calls around the ends of windows, on hosts whose wall
    clock jumps by seconds and back, is wrong when the node starts, or stands still
    while the host is suspended.
    """

    started_at: float
    _samples: deque[float] = attrs.Factory(lambda: deque(maxlen=SAMPLE_COUNT))
    _fleet_offset: FastestVote = attrs.Factory(FastestVote)
    _waits_for_fleet: bool = True

    def add_sample(self, wall: float, now: float) -> None:
        """Record the wall clock at boot time `now`."""
        self._samples.append(wall - now)

    def get_own_time(self, now: float) -> float:
        """Return the time by this host's clock, which is the node's vote."""
        return now + statistics.median_low(self._samples)

    def note_fleet_time(self, fleet_time: float, now: float) -> None:
        """Use the time that most nodes agree on if the own clock is far from it."""
        self._fleet_offset.add(fleet_time - now)

    def is_settled(self, now: float) -> bool:
        """Return whether the own clock has been compared, or can't be."""
        return (
            not self._waits_for_fleet
            or self._fleet_offset.get() is not None
            or now - self.started_at > SETTLE_SECONDS
        )

    def settle(self) -> None:
        """Wait no longer for word from the fleet, because the node is stopping."""
        self._waits_for_fleet = False

    def get_offset(self) -> float:
        """Return the difference of true time and boot time."""
        own = statistics.median_low(self._samples)
        fleet = self._fleet_offset.get()
        if fleet is None or abs(fleet - own) <= MIN_CORRECTION_SECONDS:
            return own
        return fleet


def choose_fleet_time(votes: list[float]) -> float:
    """Return the time that most nodes agree on, from all nodes' times at one moment.

    The median is right while fewer than half of the clocks are wrong.
    """
    return statistics.median_low(votes)
