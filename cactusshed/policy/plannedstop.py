"""Which requests a node that shuts down still accepts.

Load pattern: nodes are stopped in turn under full load, some at the same time, while
clients and other nodes still use them.
"""

import attrs

__all__ = ["PlannedStop"]


@attrs.define
class PlannedStop:
    """Accepts every request until the shutdown begins."""

    answer_by: float = float("inf")
    """Monotonic time of the last answers; a request whose deadline is later is refused,
    since its answer might be cut off."""
    is_closed: bool = False
    """Whether no further request is accepted."""

    def accepts(self, deadline: float) -> bool:
        """Return whether a new request with this monotonic deadline is accepted."""
        return not self.is_closed and deadline <= self.answer_by
