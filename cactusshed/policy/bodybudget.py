"""Memory for bodies in flight.

Load pattern: many large uploads at once, or answers without end, at a host with little
memory. A process that exceeds its memory is killed and loses every request, so a body
for which there is no room is refused before it is read.
"""

import attrs

__all__ = ["BodyBudget", "compute_kept_answer_bytes", "make_body_budgets"]

MEMORY_FRACTION = 0.12
"""Fraction of the process's memory for the bodies of requests, and as much for those of
answers. A body has up to three copies at a time: as received, joined, and encoded."""
KEPT_ANSWERS_FRACTION = 0.04
"""Fraction of the process's memory for answers that other nodes may still ask for."""
RETRY_SECONDS = 0.25
"""Advised retry delay: the time for which one body is held at the usual load."""


@attrs.define
class BodyBudget:
    """Bytes of bodies held, and their limit."""

    limit: int
    used: int = 0

    def reserve(self, size: int) -> bool:
        """Reserve `size` bytes; return False if they exceed the limit."""
        if self.used + size > self.limit:
            return False
        self.used += size
        return True

    def release(self, size: int) -> None:
        """Return `size` reserved bytes."""
        self.used -= size


def make_body_budgets(memory_bytes: int) -> tuple[BodyBudget, BodyBudget]:
    """Return the budgets for requests and answers in a process with that memory."""
    limit = int(MEMORY_FRACTION * memory_bytes)
    return BodyBudget(limit), BodyBudget(limit)


def compute_kept_answer_bytes(memory_bytes: int) -> int:
    """Return the limit of kept answers in a process with that memory."""
    return int(KEPT_ANSWERS_FRACTION * memory_bytes)
