"""Named event counters."""

from collections import Counter

__all__ = ["Counters"]


class Counters:
    """Counts of events by name since the process started."""

    def __init__(self) -> None:
        """Start with every counter at zero."""
        self._counts: Counter[str] = Counter()

    def add(self, name: str, amount: int = 1) -> None:
        """Add `amount` to counter `name`."""
        self._counts[name] += amount

    def get(self, name: str) -> int:
        """Return the count of `name`, 0 if it was never counted."""
        return self._counts[name]

    def list_all(self) -> list[tuple[str, int]]:
        """Return (name, count) pairs sorted by name."""
        return sorted(self._counts.items())
