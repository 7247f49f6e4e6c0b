"""Which requests a node that shuts down still accepts, and whose reading it awaits.

Load pattern: nodes are stopped in turn under full load, some at the same time, while
clients and other nodes still use them. Some clients read large answers slowly, and some
have stopped reading.
"""

from collections.abc import Callable, Hashable, Iterable

import attrs

__all__ = ["PlannedStop", "ReaderProgress"]

REMOTE_SECONDS = 1.3
"""Time after the start of a shutdown for which calls of other nodes are accepted. They
end before clients have noticed the shutdown, so they don't prolong it."""
STALL_SECONDS = 1.0
"""Time without progress after which a reader is taken to have stopped reading."""
MAX_GAP_SECONDS = 0.5
"""Time between two counts from which the process was paused. Nothing was sent in the
rest of the gap, so it is no time in which a reader could make progress."""


@attrs.define
class PlannedStop:
    """Accepts every request until the shutdown begins."""

    answer_by: float = float("inf")
    """Monotonic time of the last answers; a request whose deadline is later is refused,
    since its answer might be cut off."""
    remote_until: float = float("inf")
    """Monotonic time until which calls of other nodes are accepted."""
    is_closed: bool = False
    """Whether no further request is accepted."""

    def begin(self, now: float, answer_by: float) -> None:
        """Begin the shutdown."""
        self.answer_by = answer_by
        self.remote_until = now + REMOTE_SECONDS

    def accepts(self, deadline: float) -> bool:
        """Return whether a client's request with this deadline is accepted."""
        return not self.is_closed and deadline <= self.answer_by

    def accepts_remote(self, deadline: float, now: float) -> bool:
        """Return whether another node's call with this deadline is accepted."""
        return now < self.remote_until and self.accepts(deadline)

    def get_remote_ms(self, now: float) -> int:
        """Return for how many milliseconds other nodes may send calls."""
        return max(0, int((self.remote_until - now) * 1000)) if self.is_begun else 0

    @property
    def is_begun(self) -> bool:
        """Return whether the shutdown has begun."""
        return self.remote_until < float("inf")


@attrs.define
class ReaderProgress:
    """Tells readers of unsent data that make progress from those that don't.

    Each source returns its readers, and the bytes that each has not received.
    """

    sources: Iterable[Callable[[], Iterable[tuple[Hashable, int]]]]
    list_waiting: Callable[[], Iterable[Hashable]] = tuple
    """Returns the readers whose data waits for its turn on the uplink of this host.
    They are not slow: nothing is sent to them as long as others have their turn."""
    _seen: dict[Hashable, tuple[int, float]] = attrs.Factory(dict)
    """Unsent bytes of each reader, and the time at which they last became fewer."""
    _counted_at: float = float("inf")

    def count_reading(self, now: float) -> int:
        """Return the number of readers that made progress lately."""
        before, self._seen = self._seen, {}
        waiting = frozenset(self.list_waiting())
        paused = max(0.0, now - self._counted_at - MAX_GAP_SECONDS)
        self._counted_at = now
        for source in self.sources:
            for reader, size in source():
                if not size:
                    continue
                known_size, since = before.get(reader, (size, now))
                has_progress = size < known_size or reader in waiting
                self._seen[reader] = (size, now if has_progress else since + paused)
        return sum(now - since < STALL_SECONDS for _, since in self._seen.values())
