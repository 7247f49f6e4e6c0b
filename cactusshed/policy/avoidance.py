"""Temporary avoidance of nodes to which calls have failed."""

import attrs

__all__ = ["AvoidedNodes"]

INITIAL_SECONDS = 0.5
"""Length of the first avoidance period."""
MAX_SECONDS = 15.0
"""Longest avoidance period."""


@attrs.define
class AvoidedNodes:
    """End of each node's avoidance period, with exponential backoff."""

    _avoided_until: dict[str, float] = attrs.Factory(dict)
    _next_seconds: dict[str, float] = attrs.Factory(dict)

    def note_failure(self, node: str, now: float) -> None:
        """Avoid `node`, for twice as long as the previous time up to a maximum."""
        if now < self._avoided_until.get(node, 0.0):
            return
        seconds = self._next_seconds.get(node, INITIAL_SECONDS)
        self._avoided_until[node] = now + seconds
        self._next_seconds[node] = min(MAX_SECONDS, 2 * seconds)

    def note_success(self, node: str) -> None:
        """Stop avoiding `node` and reset its backoff."""
        if node in self._avoided_until:
            del self._avoided_until[node]
            del self._next_seconds[node]

    def is_avoided(self, node: str, now: float) -> bool:
        """Return whether `node` is avoided at `now`."""
        return bool(self._avoided_until) and now < self._avoided_until.get(node, 0.0)
