"""Updates of the feed: making them from the version in force, taking them in."""

from collections.abc import Iterator

from ..tree.snapshot import dump_change, dump_tree, load_change, load_tree
from ..wire import control_pb2 as pb
from .current import Current

__all__ = ["Receiver", "make_updates"]

CHUNK_BYTES = 256 << 10
MAX_AGE_MS = (1 << 32) - 1


def make_updates(current: Current, after: int) -> Iterator[pb.Update]:
    """Yield the updates that bring a node at version `after` up to date.

    They are the changes past `after` where those are kept, else a snapshot in
    chunks. With nothing new the one update is a heartbeat.
    """
    age = current.get_age(current.clock()) if current.confirmed is not None else None
    age_ms = MAX_AGE_MS if age is None else min(MAX_AGE_MS, int(age * 1000))
    changes = current.list_changes_after(after)
    if changes is None:
        yield from _make_chunks(current, age_ms)
        return
    wire = [pb.Change(number=c.number, body=dump_change(c)) for c in changes]
    yield pb.Update(number=current.number, age_ms=age_ms, changes=wire)


def _make_chunks(current: Current, age_ms: int) -> Iterator[pb.Update]:
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
    """Takes updates from one sender in order; keeps a snapshot's chunks."""

    def __init__(self, current: Current) -> None:
        """Bring `current` up to date with what is taken."""
        self._current = current
        self._chunks: list[bytes] = []

    def take(self, update: pb.Update) -> None:
        """Apply one update whole; raise `UpdateRefused` and change nothing else.

        The age of the sender's version counts only when this node holds that
        version after the update, so a late message never makes it look fresh.
        """
        received = self._current.clock()
        if update.snapshot:
            self._take_chunk(update)
        elif update.changes:
            changes = [load_change(change.body) for change in update.changes]
            self._current.follow_changes(changes)
        if update.age_ms < MAX_AGE_MS and update.number == self._current.number:
            self._current.confirm(received - update.age_ms / 1000)

    def _take_chunk(self, update: pb.Update) -> None:
        self._chunks.append(update.snapshot)
        if not update.snapshot_end:
            return
        data, self._chunks = b"".join(self._chunks), []
        tree = load_tree(data)
        if tree.number > self._current.number:
            self._current.swap(tree, [])
