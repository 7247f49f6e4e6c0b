"""Snapshots and changes as bytes, checked against their digest when read."""

import attrs
import msgspec

from ..errors import UpdateRefused
from .branch import Branch, Tree, build_tree
from .edit import Change
from .validate import check_tree

__all__ = ["dump_change", "dump_tree", "load_change", "load_tree"]

MAX_SNAPSHOT_BYTES = 64 << 20


@attrs.frozen
class Snapshot:
    """A whole version in the form in which it is stored and sent."""

    number: int
    digest: str
    branches: list[Branch]


def dump_tree(tree: Tree) -> bytes:
    """Return `tree` as JSON bytes with its digest."""
    branches = [tree.branches[path] for path in sorted(tree.branches)]
    return msgspec.json.encode(Snapshot(tree.number, tree.digest, branches))


def load_tree(data: bytes, step: str = "load snapshot") -> Tree:
    """Return the tree in `data`; raise `UpdateRefused` unless all of it holds."""
    if len(data) > MAX_SNAPSHOT_BYTES:
        raise UpdateRefused("snapshot is too large", step=step)
    try:
        plain = msgspec.json.decode(data, type=Snapshot)
    except (msgspec.DecodeError, ValueError) as error:
        raise UpdateRefused(f"snapshot is damaged: {error}", step=step) from error
    tree = build_tree(plain.number, plain.branches)
    if len(tree.branches) != len(plain.branches) or tree.digest != plain.digest:
        raise UpdateRefused("digest of snapshot differs", step=step)
    return check_tree(tree, step)


def dump_change(change: Change) -> bytes:
    """Return `change` as JSON bytes."""
    return msgspec.json.encode(change)


def load_change(data: bytes, step: str = "load change") -> Change:
    """Return the change in `data`; raise `UpdateRefused` when it is damaged."""
    try:
        return msgspec.json.decode(data, type=Change)
    except (msgspec.DecodeError, ValueError) as error:
        raise UpdateRefused(f"change is damaged: {error}", step=step) from error
