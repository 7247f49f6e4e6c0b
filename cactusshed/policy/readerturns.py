"""Turns in which the nodes of a data centre try to read the store without a reader.

Load pattern: the store is away, or turns many nodes away, also the one that reads for
its data centre. If all others then queried it, the calls would grow with the fleet. A
few at a time try, by rank, until one is answered; it reads for all from then on.
"""

__all__ = ["is_on_turn"]

NODES_PER_TURN = 2
"""Nodes that try at the same time: a third of them may be turned away."""
TURN_SECONDS = 0.4
"""Length of a turn: a call to a slow store, and a heartbeat to the other nodes."""


def is_on_turn(rank: int, count: int, seconds: float) -> bool:
    """Return whether the node of `rank` among `count` tries now.

    `seconds` is the time since the data centre was found to have no reader.
    """
    if seconds < 0:
        return False
    first = int(seconds / TURN_SECONDS) * NODES_PER_TURN % count
    return (rank - first) % count < NODES_PER_TURN
