"""Counters by name."""

from collections import Counter

__all__ = ["Counters"]


class Counters:
    """Counts of events since the process started."""

    def __init__(self) -> None:
        """Start every counter at zero."""
        self._counts: Counter[str] = Counter()

    def add(self, name: str, amount: int = 1) -> None:
        """Add `amount` to counter `name`."""
        self._counts[name] += amount

    def get(self, name: str) -> int:
        """Return counter `name`."""
        return self._counts[name]

    def list_all(self) -> list[tuple[str, int]]:
        """Return every counter with its name, sorted."""
        return sorted(self._counts.items())
