"""Nodes that a node avoids for a while because calls to them failed."""

import attrs

__all__ = ["Avoided"]

FIRST_SECONDS = 0.5
LONGEST_SECONDS = 15.0


@attrs.define
class Avoided:
    """Until when each node is avoided, and for how long the next time."""

    _until: dict[str, float] = attrs.Factory(dict)
    _length: dict[str, float] = attrs.Factory(dict)

    def note_failure(self, node: str, now: float) -> None:
        """Avoid `node`, each time twice as long as the last."""
        if now < self._until.get(node, 0.0):
            return
        length = self._length.get(node, FIRST_SECONDS)
        self._until[node] = now + length
        self._length[node] = min(LONGEST_SECONDS, 2 * length)

    def note_success(self, node: str) -> None:
        """Stop avoiding `node`."""
        if node in self._until:
            del self._until[node]
            del self._length[node]

    def is_avoided(self, node: str, now: float) -> bool:
        """Return whether `node` is avoided now."""
        return bool(self._until) and now < self._until.get(node, 0.0)
