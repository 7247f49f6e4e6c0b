"""Memory and descriptors held for clients that are not controlled.

Load pattern: crowds of clients that open many connections and hold memory without an
end in sight: bodies and heads that stop just short of their end, long answers that are
read slowly or never, and connections that stay silent. Ordinary callers use the same
process. What is held is charged at what it costs in memory, and once a budget is spent,
the holders that have made no progress for the longest time are evicted.
"""

import heapq
from collections.abc import Iterable, Iterator
from typing import Any, TypeVar

import attrs

from .bodybudget import BodyBudget

__all__ = [
    "MAX_LINKS_PER_NODE",
    "ORDINARY_HEAD_BYTES",
    "STALLED_SECONDS",
    "ClientBudgets",
    "LinkBudgets",
    "OutputBudget",
    "compute_head_cost",
    "count_evicted",
    "is_stalled",
    "is_stuck",
    "list_oldest",
    "make_answer_heads",
    "make_caller_budgets",
    "make_control_budgets",
    "make_link_budgets",
    "reserve_head",
]

HolderType = TypeVar("HolderType")

LINE_COST_BYTES = 168
"""Memory of a parsed header line besides its characters: a tuple of two (56 bytes), two
bytes objects (33 each, rounded up to 48) and its place in a growing list."""
CONNECTION_COST_BYTES = 20 << 10
"""Memory of a connection: 11 kB of objects as measured, and one read of 8 KiB that may
wait to be parsed."""
CONNECTIONS_FRACTION = 0.15
"""Fraction of the process's memory for the connections of callers.

With 128 MB, the memory of a host without a setting, this and those of heads, output and
bodies (policy/bodybudget.py) add up to 107 MB with the 26 MB of an idle process. All
others and the minima below, spent at the same time, would add 35 MB."""
HEADS_FRACTION = 0.1
"""Fraction of the process's memory for the heads of requests that are being received or
served."""
OUTPUT_FRACTION = 0.1
"""Fraction of the process's memory for answers that clients have not received."""
CALLER_DESCRIPTORS_FRACTION = 0.6
"""Fraction of the descriptors for callers. The others are for links, targets, the store
and the other listeners."""
CONTROL_CONNECTIONS_FRACTION = 0.005
"""Fraction of the process's memory for the connections of each other listener."""
CONTROL_DESCRIPTORS_FRACTION = 0.05
"""Fraction of the descriptors for each other listener."""
LINK_CALLS_FRACTION = 0.04
"""Fraction of the process's memory for the heads and small bodies of the calls of other
nodes. Large bodies are in the budget of all bodies."""
LINK_OUTPUT_FRACTION = 0.05
"""Fraction of the process's memory for results that other nodes have not received."""
ANSWER_HEADS_FRACTION = 0.02
"""Fraction of the process's memory for long heads of answers being received."""
LINK_DESCRIPTORS_FRACTION = 0.1
"""Fraction of the descriptors for links whose nodes have not said their names. They do
so in their first frame, so that even a hundred nodes that dial at once fit."""
MAX_LINKS_PER_NODE = 4
"""Links that another node may have open to this one: the one in use, and earlier ones
that are silent or await results."""
ORDINARY_HEAD_BYTES = 8 << 10
"""Memory of a head up to which it may use the whole budget of its kind; longer ones may
take half of it. A head of 20 lines of 60 characters takes 4.5 kB."""
MIN_CONTROL_CONNECTIONS = 16
MIN_HEADS_BYTES = 1 << 20
"""Memory for at least one head of 16,384 bytes in the shortest possible lines."""
MIN_ANSWER_HEADS_BYTES = 6 << 20
"""The same for one of 65,536 bytes, the largest of an answer, in half of the budget."""
CONTROL_OUTPUT_BYTES = 2 << 20
"""Unread answers at another listener; a page of metrics has less than 100 kB."""
SMALL_ANSWER_BYTES = 64 << 10
"""Size of an answer that a node gets if it has read all earlier ones, whatever others
have not read."""
EVICTED_FRACTION = 1 / 16
"""Part of a limit that one eviction frees, so that its scan of all connections is paid
for by many of them."""
STALLED_SECONDS = 0.25
"""Time without a byte after which a partial request is evicted: several times the
pauses within a request of an ordinary client."""
STUCK_SECONDS = 1.0
"""Time without progress after which the client of an unread answer is evicted."""
SLOW_SECONDS = 1.0
"""Age from which a partial request is evicted whatever arrives of it: ten times that of
a body of 64 KiB at 5 Mbit/s."""


def compute_head_cost(line_count: int, size: int) -> int:
    """Return the memory of a parsed head with so many lines and bytes."""
    return LINE_COST_BYTES * line_count + size


def reserve_head(budget: BodyBudget, cost: int, held: int = 0) -> bool:
    """Reserve memory for a head; return False if there is none.

    `held` is what was reserved for the head before. Long heads take no more than half
    of the budget, so that a crowd of them leaves the other half to ordinary ones.
    """
    limit = budget.limit if held + cost <= ORDINARY_HEAD_BYTES else budget.limit // 2
    if budget.used + cost > limit:
        return False
    budget.used += cost
    return True


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
    clients are evicted that have not read for the longest time.
    """

    limit: int
    used: int = 0

    @property
    def is_short(self) -> bool:
        """Return whether connections should run one request at a time."""
        return self.used > self.limit // 2

    @property
    def is_exceeded(self) -> bool:
        """Return whether clients that don't read must be evicted."""
        return self.used > self.limit

    def may_add(self, size: int, held: int) -> bool:
        """Return whether an answer may wait for a node that has `held` bytes to read.

        Beyond the limit, nodes that have read all of their answers get small ones.
        """
        if self.used + size <= self.limit:
            return True
        return not held and size <= SMALL_ANSWER_BYTES

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


@attrs.define(eq=False)
class LinkBudgets:
    """What the links that other nodes have opened may hold."""

    calls: BodyBudget
    """Heads and small bodies of calls."""
    output: OutputBudget
    max_unnamed: int
    """Links whose nodes have not said their names."""


def make_link_budgets(memory_bytes: int, max_descriptors: int) -> LinkBudgets:
    """Return the budgets of links in a process with that memory."""
    return LinkBudgets(
        BodyBudget(max(2 * MIN_HEADS_BYTES, int(LINK_CALLS_FRACTION * memory_bytes))),
        OutputBudget(int(LINK_OUTPUT_FRACTION * memory_bytes)),
        max(MIN_CONTROL_CONNECTIONS, int(LINK_DESCRIPTORS_FRACTION * max_descriptors)),
    )


def make_answer_heads(memory_bytes: int) -> BodyBudget:
    """Return the budget for long heads of answers in a process with that memory."""
    limit = int(ANSWER_HEADS_FRACTION * memory_bytes)
    return BodyBudget(max(MIN_ANSWER_HEADS_BYTES, limit))


def make_control_budgets(memory_bytes: int, max_descriptors: int) -> ClientBudgets:
    """Return the budgets of a listener for announcements, probes or metrics."""
    by_memory = int(CONTROL_CONNECTIONS_FRACTION * memory_bytes / CONNECTION_COST_BYTES)
    count = min(by_memory, int(CONTROL_DESCRIPTORS_FRACTION * max_descriptors))
    return ClientBudgets(
        BodyBudget(MIN_HEADS_BYTES),
        OutputBudget(CONTROL_OUTPUT_BYTES),
        max(MIN_CONTROL_CONNECTIONS, count),
    )


def is_stalled(now: float, started: float, last_received: float) -> bool:
    """Return whether a partial request may be evicted."""
    return now - last_received >= STALLED_SECONDS or now - started >= SLOW_SECONDS


def is_stuck(now: float, progressed_at: float) -> bool:
    """Return whether the client of an unread answer may be evicted."""
    return now - progressed_at >= STUCK_SECONDS
