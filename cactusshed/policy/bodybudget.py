"""Memory for bodies in flight.

Load pattern: many large uploads at once, or answers without end, at a host with little
memory. A process that exceeds its memory is killed and loses every request, so a body
for which there is no room is refused before it is read.
"""

import attrs

__all__ = [
    "BodyBudget",
    "SharedBudget",
    "compute_kept_answer_bytes",
    "make_body_budgets",
    "make_link_body_budget",
]

MEMORY_FRACTION = 0.12
"""Fraction of the process's memory for the bodies of requests, and as much for those of
answers. A body has up to three copies at a time: as received, joined, and encoded."""
LINK_RESERVE_FRACTION = 0.03
"""Fraction of the process's memory for bodies of calls of other nodes that callers'
bodies can't take."""
KEPT_ANSWERS_FRACTION = 0.04
"""Fraction of the process's memory for answers that other nodes may still ask for."""
RETRY_SECONDS = 0.25
"""Advised retry delay: the time for which one body is held at the usual load."""


@attrs.define
class BodyBudget:
    """Bytes of bodies held, and their limit."""

    limit: int
    used: int = 0

    def has_room(self, size: int) -> bool:
        """Return whether `size` bytes can be reserved."""
        return self.used + size <= self.limit

    def reserve(self, size: int) -> bool:
        """Reserve `size` bytes; return False if they exceed the limit."""
        if self.used + size > self.limit:
            return False
        self.used += size
        return True

    def release(self, size: int) -> None:
        """Return `size` reserved bytes."""
        self.used -= size


@attrs.define
class SharedBudget(BodyBudget):
    """A budget with a share of its own, which takes what exceeds it from `other`."""

    own: int = 0
    other: BodyBudget = attrs.Factory(lambda: BodyBudget(0))

    def _compute_borrowed(self, used: int) -> int:
        return max(0, used - self.own)

    def has_room(self, size: int) -> bool:
        """Return whether `size` bytes can be reserved."""
        borrowed = self._compute_borrowed(self.used)
        return self.other.has_room(self._compute_borrowed(self.used + size) - borrowed)

    def reserve(self, size: int) -> bool:
        """Reserve `size` bytes; return False if neither budget has them."""
        borrowed = self._compute_borrowed(self.used)
        added = self._compute_borrowed(self.used + size) - borrowed
        if added and not self.other.reserve(added):
            return False
        self.used += size
        return True

    def release(self, size: int) -> None:
        """Return `size` reserved bytes, those of the other budget first."""
        borrowed = self._compute_borrowed(self.used)
        self.used -= size
        returned = borrowed - self._compute_borrowed(self.used)
        if returned:
            self.other.release(returned)


def make_link_body_budget(memory_bytes: int, callers: BodyBudget) -> BodyBudget:
    """Return the budget for bodies of other nodes' calls, with a share of its own."""
    own = int(LINK_RESERVE_FRACTION * memory_bytes)
    return SharedBudget(own + callers.limit, own=own, other=callers)


def make_body_budgets(memory_bytes: int) -> tuple[BodyBudget, BodyBudget]:
    """Return the budgets for requests and answers in a process with that memory."""
    limit = int(MEMORY_FRACTION * memory_bytes)
    return BodyBudget(limit), BodyBudget(limit)


def compute_kept_answer_bytes(memory_bytes: int) -> int:
    """Return the limit of kept answers in a process with that memory."""
    return int(KEPT_ANSWERS_FRACTION * memory_bytes)
