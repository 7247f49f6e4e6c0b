"""Memory and descriptors held for clients that are not controlled.

Load pattern: crowds of clients that open many connections and hold memory without an
end in sight: bodies and heads that stop just short of their end, long answers that are
read slowly or never, and connections that stay silent. Ordinary callers use the same
process. What is held is charged at what it costs in memory, and once a budget is spent,
those give way that have made no progress for the longest time.
"""

import heapq
from collections.abc import Iterable, Iterator
from typing import Any, TypeVar

import attrs

from .bodybudget import BodyBudget

__all__ = [
    "STALLED_SECONDS",
    "ClientBudgets",
    "OutputBudget",
    "compute_head_cost",
    "count_evicted",
    "is_stalled",
    "list_oldest",
    "make_caller_budgets",
    "make_control_budgets",
]

HolderType = TypeVar("HolderType")

LINE_COST_BYTES = 168
"""Memory of a parsed header line besides its characters: a tuple of two (56 bytes), two
bytes objects (33 each, rounded up to 48) and its place in a growing list."""
CONNECTION_COST_BYTES = 20 << 10
"""Memory of a connection: 11 kB of objects as measured, and one read of 8 KiB that may
wait to be parsed."""
CONNECTIONS_FRACTION = 0.15
"""Fraction of the process's memory for the connections of callers. With the fractions
below, those for bodies (policy/bodybudget.py) and 26 MB for an idle process, all
budgets spent at once stay within 128 MB, the memory of a host without a setting."""
HEADS_FRACTION = 0.1
"""Fraction of the process's memory for the heads of requests that are being received or
served."""
OUTPUT_FRACTION = 0.1
"""Fraction of the process's memory for answers that clients have not received."""
CALLER_DESCRIPTORS_FRACTION = 0.6
"""Fraction of the descriptors for callers. The others are for links, targets, the store
and the other listeners."""
CONTROL_DESCRIPTORS_FRACTION = 0.05
"""Fraction of the descriptors for each other listener."""
MIN_CONTROL_CONNECTIONS = 16
MIN_HEADS_BYTES = 1 << 20
"""Memory for at least one head of 16,384 bytes in the shortest possible lines."""
CONTROL_OUTPUT_BYTES = 2 << 20
"""Unread answers at another listener; a page of metrics has less than 100 kB."""
EVICTED_FRACTION = 1 / 16
"""Part of a limit that one eviction frees, so that its scan of all connections is paid
for by many of them."""
STALLED_SECONDS = 0.25
"""Time without a byte of a partial request after which it gives way: several times the
pauses within a request of an ordinary client."""
SLOW_SECONDS = 1.0
"""Age from which a partial request gives way whatever arrives of it: ten times that of
a body of 64 KiB at 5 Mbit/s."""


def compute_head_cost(line_count: int, size: int) -> int:
    """Return the memory of a parsed head with so many lines and bytes."""
    return LINE_COST_BYTES * line_count + size


def count_evicted(limit: int) -> int:
    """Return how much of a limit one eviction frees."""
    return max(1, int(limit * EVICTED_FRACTION))


def list_oldest(
    holders: Iterable[tuple[Any, HolderType]], count: int | None = None
) -> list[HolderType]:
    """Return the holders with the smallest keys, at most `count`.

    The key is the time of the last progress, or a rank and that time.
    """
    if count is None:
        oldest = sorted(holders, key=lambda holder: holder[0])
    else:
        oldest = heapq.nsmallest(count, holders, key=lambda holder: holder[0])
    return [holder for _, holder in oldest]


@attrs.define(eq=False)
class OutputBudget:
    """Bytes of answers that clients have not received, and their limit.

    Answers are never refused: their requests have run. Once they exceed the limit, the
    clients give way that have not read for the longest time.
    """

    limit: int
    used: int = 0

    @property
    def is_short(self) -> bool:
        """Return whether connections should run one request at a time."""
        return self.used > self.limit // 2

    @property
    def is_exceeded(self) -> bool:
        """Return whether clients that don't read must give way."""
        return self.used > self.limit

    def choose_evicted(
        self,
        holders: Iterable[tuple[float, int, HolderType]],
    ) -> Iterator[HolderType]:
        """Yield holders to close, each with its last progress and its bytes."""
        excess = self.used - self.limit + count_evicted(self.limit)
        for _, size, holder in sorted(holders, key=lambda held: held[0]):
            if excess <= 0:
                return
            excess -= size
            yield holder


@attrs.define(eq=False)
class ClientBudgets:
    """What the clients of one listener may hold besides bodies."""

    heads: BodyBudget
    output: OutputBudget
    max_connections: int
    connections: int = 0
    """Connections that are open."""


def make_caller_budgets(memory_bytes: int, max_descriptors: int) -> ClientBudgets:
    """Return the budgets for callers of a process with that memory."""
    by_memory = int(CONNECTIONS_FRACTION * memory_bytes / CONNECTION_COST_BYTES)
    by_descriptors = int(CALLER_DESCRIPTORS_FRACTION * max_descriptors)
    return ClientBudgets(
        BodyBudget(max(MIN_HEADS_BYTES, int(HEADS_FRACTION * memory_bytes))),
        OutputBudget(int(OUTPUT_FRACTION * memory_bytes)),
        max(1, min(by_memory, by_descriptors)),
    )


def make_control_budgets(max_descriptors: int) -> ClientBudgets:
    """Return the budgets of a listener for announcements, probes or metrics."""
    count = int(CONTROL_DESCRIPTORS_FRACTION * max_descriptors)
    return ClientBudgets(
        BodyBudget(MIN_HEADS_BYTES),
        OutputBudget(CONTROL_OUTPUT_BYTES),
        max(MIN_CONTROL_CONNECTIONS, count),
    )


def is_stalled(now: float, started: float, last_received: float) -> bool:
    """Return whether a partial request gives way to others."""
    return now - last_received >= STALLED_SECONDS or now - started >= SLOW_SECONDS
