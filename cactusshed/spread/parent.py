"""Choice of parents on the feed: ranks by hash and a bounded fan-out."""

from collections.abc import Sequence

__all__ = ["FAN_OUT", "POLLERS", "choose_parents", "find_rank", "is_poller"]

FAN_OUT = 12
"""Children of a parent: 1,300 nodes take three levels below rank 0."""
POLLERS = 3
"""Lowest ranks of a data centre that poll the platform's head."""


def find_rank(ranked: Sequence[str], node: str) -> int:
    """Return the rank of `node`, or the next free one when it is not listed."""
    try:
        return ranked.index(node)
    except ValueError:
        return len(ranked)


def is_poller(rank: int) -> bool:
    """Return whether the node of this rank polls the platform's head."""
    return rank < POLLERS


def choose_parents(ranked: Sequence[str], node: str) -> list[str]:
    """Return the parents to try in order: parent, its parent, then low ranks.

    Only lower ranks are named, so nodes with the same view form no cycle.
    """
    rank = find_rank(ranked, node)
    ancestors = []
    above = rank
    while above > 0:
        above = (above - 1) // FAN_OUT
        ancestors.append(above)
    spares = (low for low in range(min(rank, POLLERS)) if low not in ancestors)
    return [ranked[index] for index in (*ancestors, *spares)]
