"""Times by which every node learns of a change in the store.

Load pattern: one node reads the store for its data centre, at any moment it or its
connection to the store may go silent, and a change may follow at once. The other nodes
must notice, read the store themselves and pass the change on within the time in which
users require it to take effect. Shorter times cost calls to the store.
"""

import attrs

__all__ = ["ReadTimes", "compute_read_times"]

DEFAULT_APPLY_SECONDS = 2.0
"""Time limit for a change to take effect if the settings name none."""
FEED_FRACTION = 0.45
ANSWER_FRACTION = 0.3
"""A node that reads for itself alone notices a silent connection after both."""
LOST_FRACTION = 0.7
"""Longer than an answered feed call. The rest is left for a call to the store and for
passing on a change."""
HEARTBEAT_FRACTION = 0.15
SILENT_FRACTION = 0.5
"""Some heartbeats may be late."""
SETTLE_FRACTION = 0.5
MIN_ANSWER_SECONDS = 0.3
"""A slow store must not make all feed calls fail."""
MAX_FEED_SECONDS = 30.0
"""Longest wait that the store accepts."""


@attrs.frozen
class ReadTimes:
    """Times in seconds."""

    feed: float
    """Wait of a feed call for a change."""
    answer: float
    """Time for the answer to a feed call beyond its wait."""
    lost: float
    """Age of the store's last answer from which others don't rely on a reader."""
    heartbeat: float
    """Interval of a reader's heartbeats."""
    silent: float
    """Time without a heartbeat after which others don't rely on a reader."""
    settle: float
    """Time after a return of the store in which the operator writes again what was
    lost."""


def compute_read_times(*bounds: float | None) -> ReadTimes:
    """Return the times that keep the shortest of `bounds` on changes, in seconds.

    `None` stands for a bound that the settings don't name.
    """
    named = [bound for bound in bounds if bound]
    apply = min(named, default=DEFAULT_APPLY_SECONDS)
    return ReadTimes(
        feed=min(MAX_FEED_SECONDS, FEED_FRACTION * apply),
        answer=max(MIN_ANSWER_SECONDS, ANSWER_FRACTION * apply),
        lost=LOST_FRACTION * apply,
        heartbeat=HEARTBEAT_FRACTION * apply,
        silent=SILENT_FRACTION * apply,
        settle=SETTLE_FRACTION * apply,
    )
