"""Memory and descriptors of the clients of `serve/`.

Load pattern: as in `clientmemory`. All listeners of the process share one memory.
"""

import attrs

from .bodybudget import BodyBudget
from .clientmemory import OutputBudget

__all__ = [
    "CALLER_DESCRIPTORS",
    "OPERATOR_DESCRIPTORS",
    "PEER_DESCRIPTORS",
    "ProductBudgets",
    "make_product_budgets",
]

PRODUCT_IDLE_BYTES = 60 << 20
"""Memory of an idle process of `serve/`, 55 MB as measured. The fractions below are of
the rest; a body has three copies at a time."""
PRODUCT_BODIES_FRACTION = 0.15
PRODUCT_HEADS_FRACTION = 0.1
PRODUCT_OUTPUT_FRACTION = 0.1
PRODUCT_CONNECTIONS_FRACTION = 0.1
"""Fraction for the connections of each of three listeners."""
CALLER_DESCRIPTORS, PEER_DESCRIPTORS, OPERATOR_DESCRIPTORS = 0.5, 0.2, 0.1
"""Fractions of the descriptors for the listeners of `serve/`. The others are for the
control port, targets and links to other nodes."""
PRODUCT_CONNECTION_COST_BYTES = 24 << 10


@attrs.define(eq=False)
class ProductBudgets:
    """What the clients of all listeners of `serve/` may hold."""

    bodies: BodyBudget
    heads: BodyBudget
    output: OutputBudget
    max_connections: int
    """Connections of one listener that the memory allows."""


def make_product_budgets(memory_bytes: int, max_body: int) -> ProductBudgets:
    """Return the budgets of `serve/` in a process with that memory."""
    room = max(memory_bytes // 4, memory_bytes - PRODUCT_IDLE_BYTES)
    return ProductBudgets(
        BodyBudget(max(max_body, int(PRODUCT_BODIES_FRACTION * room))),
        BodyBudget(int(PRODUCT_HEADS_FRACTION * room)),
        OutputBudget(int(PRODUCT_OUTPUT_FRACTION * room)),
        int(PRODUCT_CONNECTIONS_FRACTION * room / PRODUCT_CONNECTION_COST_BYTES),
    )
