"""Collection of the nodes' counts, and when the counts of a window are final."""

from collections.abc import Iterable

import attrs

__all__ = ["MAX_KEPT_WINDOWS", "Source", "WindowTotals", "find_final_windows"]

MAX_KEPT_WINDOWS = 720
"""Windows whose counts a node keeps until they are reported: an hour of 5 s each."""
MAX_FIXED_WINDOWS = 24
"""Windows fixed in the store but not acknowledged yet. The row is written every second;
78 organisations take 1.2 kB a window. Later windows wait at the nodes."""
LATE_SHARE = 0.4
"""Part of the time until a report is due for which missing nodes are waited for. The
rest is for a takeover of the duty, and for retries."""
TAKEOVER_SECONDS = 1.5
"""Time for the nodes' counts to reach a new holder: three of their reports."""

Source = tuple[str, int]
"""A node and its start time."""


@attrs.define
class WindowTotals:
    """The running totals that nodes have sent, by window.

    Each report replaces the sender's earlier totals of the same window, so that repeats
    and messages out of order change nothing.

    Load pattern: all nodes send twice a second, to the holder and to its standby; links
    break and nodes die, restart or are frozen meanwhile.
    """

    _sources: dict[Source, dict[int, tuple[int, dict[str, int]]]] = attrs.Factory(dict)
    _reported: dict[str, float] = attrs.Factory(dict)
    """True time up to which the counts of each node are complete."""

    def merge(
        self, source: Source, sequence: int, windows: dict[int, dict[str, int]]
    ) -> None:
        """Record the totals in a node's report with number `sequence`."""
        entry = self._sources.setdefault(source, {})
        for window, counts in windows.items():
            if window not in entry or entry[window][0] < sequence:
                entry[window] = (sequence, counts)
        while len(entry) > MAX_KEPT_WINDOWS:
            del entry[min(entry)]

    def note_complete(self, node: str, until: float) -> None:
        """Record the true time up to which a node's counts are complete."""
        self._reported[node] = until

    def is_complete(self, nodes: Iterable[str], until: float) -> bool:
        """Return whether all of `nodes` have reported up to `until`."""
        return all(self._reported.get(node, 0.0) >= until for node in nodes)

    def sum_window(self, window: int) -> dict[str, int]:
        """Return the counts of all nodes in a window."""
        total: dict[str, int] = {}
        for entry in self._sources.values():
            for tenant, count in entry.get(window, (0, {}))[1].items():
                total[tenant] = total.get(tenant, 0) + count
        return {tenant: count for tenant, count in total.items() if count}

    def find_first(self) -> int | None:
        """Return the earliest window with counts."""
        return min((min(e) for e in self._sources.values() if e), default=None)

    def drop_before(self, window: int) -> None:
        """Forget the windows before `window`, and nodes without any other."""
        for source, entry in list(self._sources.items()):
            for done in [number for number in entry if number < window]:
                del entry[done]
            if not entry:
                del self._sources[source]

    def list_lost(
        self, start_times: dict[str, int]
    ) -> list[tuple[Source, int, dict[int, dict[str, int]]]]:
        """Return the totals of nodes that don't run any more.

        `start_times` holds the start time of each running node.
        """
        return [
            (source, max(number for number, _ in entry.values()), _strip(entry))
            for source, entry in self._sources.items()
            if entry and start_times.get(source[0]) != source[1]
        ]


def _strip(entry: dict[int, tuple[int, dict[str, int]]]) -> dict[int, dict[str, int]]:
    return {window: counts for window, (_, counts) in entry.items()}


def find_final_windows(
    totals: WindowTotals,
    *,
    first: int,
    held: int,
    now: float,
    seconds: float,
    due: float,
    nodes: Iterable[str],
    held_for: float,
) -> dict[int, dict[str, int]]:
    """Return the counts of the windows from `first` that can be fixed.

    `now` is true time, `held` the number of fixed windows that are not acknowledged
    yet, `held_for` the time for which this node has had the duty.
    """
    nodes = list(nodes)
    final: dict[int, dict[str, int]] = {}
    for window in range(first, int(now // seconds)):
        if held + len(final) >= MAX_FIXED_WINDOWS:
            break
        end = (window + 1) * seconds
        is_waiting = now < end + LATE_SHARE * due or held_for < TAKEOVER_SECONDS
        if is_waiting and not totals.is_complete(nodes, end):
            break
        final[window] = totals.sum_window(window)
    return final
