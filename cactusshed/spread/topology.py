"""Choice of parents on the feed: a tree by rank with a bounded fan-out."""

from collections.abc import Sequence

__all__ = ["FAN_OUT", "POLLERS", "choose_parents", "find_rank", "is_poller"]

FAN_OUT = 12
"""Maximum children of a node; 1,300 nodes need three levels below rank 0."""
POLLERS = 3
"""Number of lowest-ranked nodes of a data centre that poll the platform."""


def find_rank(ranked: Sequence[str], node: str) -> int:
    """Return the rank of `node`, or the next free rank when it is not listed."""
    try:
        return ranked.index(node)
    except ValueError:
        return len(ranked)


def is_poller(rank: int) -> bool:
    """Return whether the node of this rank polls the platform for the head."""
    return rank < POLLERS


def choose_parents(ranked: Sequence[str], node: str) -> list[str]:
    """Return the parents in order of preference: ancestors, then other pollers.

    All of them have lower ranks, so nodes with the same view form no cycle.
    """
    rank = find_rank(ranked, node)
    ancestors = []
    ancestor = rank
    while ancestor > 0:
        ancestor = (ancestor - 1) // FAN_OUT
        ancestors.append(ancestor)
    other_pollers = (
        poller for poller in range(min(rank, POLLERS)) if poller not in ancestors
    )
    return [ranked[index] for index in (*ancestors, *other_pollers)]
