"""Acceptance of changes: one conditional transaction that advances the head."""

from collections.abc import Awaitable, Callable, Mapping

import attrs
import msgspec

from ..clock import read_wall
from ..decoding import Count, decode_json
from ..errors import (
    AnswerLost,
    CactusError,
    ConditionFailed,
    Conflict,
    LeaseLost,
    Malformed,
    PlatformUnavailable,
    UpdateRefused,
)
from ..tree.branch import Tree, build_tree
from ..tree.edit import Change, Edit, apply_change, make_change
from ..tree.snapshot import dump_change, dump_tree, load_change, load_tree
from ..tree.validate import check_tree
from .port import ABSENT, Condition, Port, Row, Write

__all__ = [
    "HEAD_KEY",
    "Head",
    "Proposal",
    "accept_change",
    "load_head",
    "load_tree_at",
    "make_change_writes",
    "make_head_write",
    "read_changes",
    "read_head",
]

HEAD_KEY = "head"
SNAPSHOT_EVERY = 200
"""Number of versions after which a new snapshot is stored."""
MAX_SCAN_ROWS = 200
MAX_ATTEMPTS = 20
"""Attempts before a change is reported as conflicting or its answer as lost."""
MAX_LOST_ANSWERS = 5
EMPTY_TREE = build_tree(0, ())


@attrs.frozen
class Head:
    """The newest accepted version; version and object name of the last snapshot."""

    number: int
    digest: str
    snapshot: int = 0
    snapshot_object: str = ""


@attrs.frozen
class Proposal:
    """A change requested by an operator or a duty.

    `base` maps edited paths to the branch version that the author read, 0 for
    an absent branch. `guards` are further conditions, such as the epoch of a
    lease.
    """

    change_id: str
    author: str
    edits: tuple[Edit, ...]
    base: Mapping[str, int]
    guards: tuple[Condition, ...] = ()


def make_change_key(number: int) -> str:
    """Return the key of the row that stores change `number`."""
    return f"change/{number:012d}"


def make_id_key(change_id: str) -> str:
    """Return the key of the row that maps a change id to its number."""
    return f"change-id/{change_id}"


def make_snapshot_name(tree: Tree) -> str:
    """Return the object name of a snapshot.

    The digest keeps the names of concurrent proposals apart.
    """
    return f"snapshot-{tree.number:012d}-{tree.digest[:16]}.json"


def _decode(row: Row, row_type):
    return decode_json(row.value, row_type, step="read row", peer=row.key)


async def read_head(port: Port) -> tuple[Head, int]:
    """Return the head and the version of its row."""
    row = await port.get(HEAD_KEY)
    if row is None:
        return Head(0, EMPTY_TREE.digest), ABSENT
    return _decode(row, Head), row.version


async def load_head(port: Port) -> Head:
    """Return the head; costs one read."""
    head, _ = await read_head(port)
    return head


async def read_changes(port: Port, after: int, last: int) -> list[Change]:
    """Return the changes `after + 1` to `last`, in order; raise `Malformed`."""
    changes = []
    while after < last:
        limit = min(MAX_SCAN_ROWS, last - after)
        rows = await port.scan("change/", make_change_key(after), limit)
        if not rows:
            break
        for row in rows:
            change = load_change(row.value)
            if change.number <= after:
                raise Malformed(f"row {row.key}: out of order", step="read changes")
            changes.append(change)
            after = change.number
    return changes


async def load_tree_at(port: Port, tree: Tree, head: Head) -> tuple[Tree, list[Change]]:
    """Return the tree at `head` and the changes that were applied to reach it.

    If `tree` is older than the newest snapshot, the changes are applied to that
    snapshot instead.
    """
    if tree.number < head.snapshot:
        tree = await _load_snapshot(port, head) or tree
    changes = await read_changes(port, tree.number, head.number)
    for change in changes:
        tree = apply_change(tree, change)
    if tree.number < head.number or tree.digest != head.digest:
        raise UpdateRefused(f"stored changes do not produce head {head.number}")
    return tree, changes


async def _load_snapshot(port: Port, head: Head) -> Tree | None:
    data = await port.get_object(head.snapshot_object)
    if data is None:
        return None
    try:
        return load_tree(data, step="load snapshot")
    except UpdateRefused:
        # All changes are kept, so without the snapshot only more reads are needed.
        return None


async def accept_change(
    port: Port,
    proposal: Proposal,
    read_tree: Callable[[], Tree],
    pause: Callable[[], Awaitable[None]],
) -> tuple[Change, Tree]:
    """Accept `proposal` and return its change and the resulting tree.

    Idempotent by change id: if the proposal was accepted before, its change is
    returned. Raises `Conflict` when another change modified one of its branches,
    `InvalidTree` when the resulting tree is invalid, `LeaseLost` when the row of
    a guard has changed, `PlatformUnavailable` when nothing was written, and
    `AnswerLost` when the write may have taken effect and could not be read back.
    `pause` is awaited before each attempt that follows a lost answer.
    """
    lost_answers = 0
    for _ in range(MAX_ATTEMPTS):
        try:
            return await _attempt_accept(port, proposal, read_tree())
        except ConditionFailed:
            continue
        except AnswerLost:
            lost_answers += 1
        except PlatformUnavailable:
            if not lost_answers:
                raise
            lost_answers += 1
        if lost_answers > MAX_LOST_ANSWERS:
            break
        await pause()
    if lost_answers:
        raise AnswerLost(
            f"change {proposal.change_id} may have been accepted; send it again",
            step="accept",
        )
    raise Conflict("too many concurrent changes; send it again", step="accept")


async def _attempt_accept(
    port: Port, proposal: Proposal, tree: Tree
) -> tuple[Change, Tree]:
    head, row_version = await read_head(port)
    if head.number < tree.number:
        raise PlatformUnavailable(
            f"the platform has lost the changes after {head.number}", step="accept"
        )
    accepted = await _find_accepted(port, proposal.change_id, tree, head)
    if accepted is not None:
        return accepted
    tree, _ = await load_tree_at(port, tree, head)
    await _check_base(port, proposal, tree)
    change, new_tree = make_change(
        tree, proposal.change_id, proposal.author, read_wall(), proposal.edits
    )
    check_tree(new_tree, step="accept")
    await _check_guards(port, proposal)
    head = await _store_snapshot(port, new_tree, head)
    await port.commit(*_make_commit(proposal, change, head, row_version))
    return change, new_tree


async def _find_accepted(port, change_id, tree, head):
    row = await port.get(make_id_key(change_id))
    if row is None:
        return None
    number = _decode(row, Count)
    change_row = await port.get(make_change_key(number))
    change = load_change(change_row.value)
    if number > head.number:
        head = await load_head(port)
    if tree.number < head.number:
        tree, _ = await load_tree_at(port, tree, head)
    return change, tree


async def _check_base(port: Port, proposal: Proposal, tree: Tree) -> None:
    """Raise `Conflict` when a branch is not at the version that the author read.

    `tree` is the tree at the head, and the commit is conditional on that head,
    so no branch can change between this check and the commit.
    """
    for edit in proposal.edits:
        base = proposal.base.get(edit.path)
        branch = tree.branches.get(edit.path)
        version = branch.version if branch else 0
        if base is None or base == version:
            continue
        author = await _find_author(port, version)
        raise Conflict(
            f"branch {edit.path} is at version {version} by {author}, not {base}",
            step="accept",
        )


async def _find_author(port: Port, number: int) -> str:
    row = await port.get(make_change_key(number)) if number else None
    return load_change(row.value).author if row else "no author (absent branch)"


async def _check_guards(port: Port, proposal: Proposal) -> None:
    for guard in proposal.guards:
        row = await port.get(guard.key)
        if (row.version if row else ABSENT) != guard.version:
            raise LeaseLost(f"{guard.key} was changed by another node", step="accept")


async def _store_snapshot(port: Port, tree: Tree, head: Head) -> Head:
    """Store a snapshot if one is due; return the head for the new tree."""
    new_head = attrs.evolve(head, number=tree.number, digest=tree.digest)
    if tree.number - head.snapshot < SNAPSHOT_EVERY:
        return new_head
    name = make_snapshot_name(tree)
    try:
        await port.put_object(name, dump_tree(tree))
    except CactusError:
        # The next change tries again; until then readers load more changes.
        return new_head
    return attrs.evolve(new_head, snapshot=tree.number, snapshot_object=name)


def _make_commit(
    proposal: Proposal,
    change: Change,
    head: Head,
    head_row_version: int,
) -> tuple[list[Condition], list[Write]]:
    conditions = [
        Condition(HEAD_KEY, head_row_version),
        Condition(make_id_key(change.change_id), ABSENT),
        *proposal.guards,
    ]
    writes = [
        make_head_write(head),
        *make_change_writes(change),
    ]
    return conditions, writes


def make_head_write(head: Head) -> Write:
    """Return the write of the head's row."""
    return Write(HEAD_KEY, msgspec.json.encode(head).decode())


def make_change_writes(change: Change) -> list[Write]:
    """Return the writes of the rows of an accepted change."""
    return [
        Write(make_change_key(change.number), dump_change(change).decode()),
        Write(make_id_key(change.change_id), str(change.number)),
    ]
