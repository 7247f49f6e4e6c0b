"""Updates on the feed: creation from the active version, and application."""

from collections.abc import Iterator

from ..tree.snapshot import dump_change, dump_tree, load_change, load_tree
from ..wire import control_pb2 as pb
from .activeversion import ActiveVersion

__all__ = ["Receiver", "make_updates"]

CHUNK_BYTES = 256 << 10
"""Size of the parts in which a snapshot is sent."""
MAX_AGE_MS = (1 << 32) - 1
"""Age sent for a version that was never confirmed."""


def make_updates(current: ActiveVersion, after: int) -> Iterator[pb.Update]:
    """Yield the updates that bring a node at version `after` up to date.

    These are the changes after `after` if they are still kept, otherwise a
    snapshot in chunks. If nothing is new, the single update is a heartbeat.
    """
    age = current.get_age(current.clock()) if current.confirmed_at is not None else None
    age_ms = MAX_AGE_MS if age is None else min(MAX_AGE_MS, int(age * 1000))
    changes = current.list_changes_after(after)
    if changes is None:
        yield from _make_chunks(current, age_ms)
        return
    wire_changes = [pb.Change(number=c.number, body=dump_change(c)) for c in changes]
    yield pb.Update(number=current.number, age_ms=age_ms, changes=wire_changes)


def _make_chunks(current: ActiveVersion, age_ms: int) -> Iterator[pb.Update]:
    number = current.number
    data = dump_tree(current.tree)
    for start in range(0, len(data), CHUNK_BYTES):
        end = start + CHUNK_BYTES
        yield pb.Update(
            number=number,
            age_ms=age_ms,
            snapshot=data[start:end],
            snapshot_end=end >= len(data),
        )


class Receiver:
    """Applies updates from one sender in order; buffers chunks of a snapshot."""

    def __init__(self, current: ActiveVersion) -> None:
        """Apply the updates to `current`."""
        self._current = current
        self._chunks: list[bytes] = []

    def apply(self, update: pb.Update) -> None:
        """Apply one update completely, or raise `UpdateRefused` and change nothing.

        The age of the sender's version is used only if that version is active
        here after the update. A late message about another version therefore
        does not make this node's version look recent.
        """
        received = self._current.clock()
        if update.snapshot:
            self._add_chunk(update)
        elif update.changes:
            changes = [load_change(change.body) for change in update.changes]
            self._current.apply_changes(changes)
        if update.age_ms < MAX_AGE_MS and update.number == self._current.number:
            self._current.confirm(received - update.age_ms / 1000)

    def _add_chunk(self, update: pb.Update) -> None:
        self._chunks.append(update.snapshot)
        if not update.snapshot_end:
            return
        data, self._chunks = b"".join(self._chunks), []
        tree = load_tree(data)
        if tree.number > self._current.number:
            self._current.swap(tree, [])
