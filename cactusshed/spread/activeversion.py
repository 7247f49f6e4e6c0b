"""The active version of this node; only a later version may replace it."""

from collections import deque
from collections.abc import Callable

import anyio

from ..clock import read_monotonic
from ..errors import UpdateRefused
from ..observe.counters import Counters
from ..observe.events import log_event
from ..tree.branch import Tree, build_tree
from ..tree.edit import Change, apply_change
from ..tree.table import EMPTY_TABLE, Table, compile_table
from ..tree.validate import check_tree

__all__ = ["ActiveVersion"]

MAX_CHANGES = 512
"""Recent changes kept for children; a node further behind gets a snapshot."""


class ActiveVersion:
    """The active tree and table, recent changes, and the time of last confirmation."""

    def __init__(
        self,
        region: str,
        data_centre: str,
        counters: Counters,
        clock: Callable[[], float] = read_monotonic,
    ) -> None:
        """Start with the empty version 0, which is not served."""
        self.clock = clock
        self._location = (region, data_centre)
        self._counters = counters
        self._changed = anyio.Event()
        self.tree: Tree = build_tree(0, ())
        self.table: Table = EMPTY_TABLE
        self.changes: deque[Change] = deque(maxlen=MAX_CHANGES)
        self.started_at = clock()
        self.swapped_at = self.started_at
        self.confirmed_at: float | None = None
        self.ready = False
        """Whether this node may serve.

        It may once its version is known to be no older than any that an earlier
        process on this host served.
        """

    @property
    def number(self) -> int:
        """Return the number of the active version."""
        return self.tree.number

    def get_age(self, now: float) -> float:
        """Return the seconds since this version was last confirmed as the head.

        The head is the newest accepted version. Returns `now` if there was no
        confirmation yet.
        """
        return now - self.confirmed_at if self.confirmed_at is not None else now

    def confirm(self, confirmed_at: float) -> None:
        """Record that the active version was the head at monotonic time `confirmed_at`.

        A head confirmed after this process started is no older than any version
        that an earlier process on this host served, so this node may serve.
        """
        if self.confirmed_at is None or confirmed_at > self.confirmed_at:
            self.confirmed_at = confirmed_at
        if not self.ready and confirmed_at >= self.started_at:
            self.mark_ready("platform")

    def mark_ready(self, source: str) -> None:
        """Mark this node as ready; `source` names the source of its minimum version."""
        self.ready = True
        log_event("ready", version=self.number, floor=source)
        self._notify_waiters()

    def apply_changes(self, changes: list[Change]) -> None:
        """Apply the changes after the active version, all or none of them."""
        tree = self.tree
        fresh = [change for change in changes if change.number > tree.number]
        for change in fresh:
            tree = apply_change(tree, change)
        if fresh:
            self.swap(tree, fresh)

    def swap(self, tree: Tree, changes: list[Change]) -> None:
        """Activate a later version; raise `UpdateRefused` if it is not later."""
        if tree.number <= self.number:
            raise UpdateRefused(
                f"version {tree.number} is not after {self.number}", step="swap"
            )
        check_tree(tree, step="swap")
        previous = (self.tree, self.table) if self.number else None
        table = compile_table(tree, *self._location, previous)
        self._store_changes(changes, tree.number)
        self.tree, self.table = tree, table
        self.swapped_at = self.clock()
        self._counters.add("versions_applied")
        log_event("version", number=tree.number)
        self._notify_waiters()

    def _store_changes(self, changes: list[Change], number: int) -> None:
        """Keep changes as long as they lead to version `number` without a gap."""
        if not changes or changes[-1].number != number:
            self.changes.clear()
            return
        if changes[0].number != self.number + 1:
            self.changes.clear()
        self.changes.extend(changes)

    def list_changes_after(self, number: int) -> list[Change] | None:
        """Return the changes after `number`, or `None` if some are no longer kept."""
        if number >= self.number:
            return []
        if not self.changes or self.changes[0].number > number + 1:
            return None
        return [change for change in self.changes if change.number > number]

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_change(self, seconds: float) -> None:
        """Wait for the next swap or for readiness, at most `seconds`."""
        with anyio.move_on_after(seconds):
            await self._changed.wait()
