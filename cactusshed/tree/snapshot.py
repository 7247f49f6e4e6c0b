"""Serialization of snapshots and changes as JSON.

A snapshot is checked against its digest when it is loaded.
"""

import attrs
import msgspec

from ..decoding import decode_json
from ..errors import Malformed, UpdateRefused
from .branch import Branch, Tree, build_tree
from .edit import Change
from .validate import check_tree

__all__ = ["dump_change", "dump_tree", "load_change", "load_tree"]

MAX_SNAPSHOT_BYTES = 64 << 20


@attrs.frozen
class Snapshot:
    """A whole version of the tree, as it is stored and sent."""

    number: int
    digest: str
    branches: list[Branch]


def dump_tree(tree: Tree) -> bytes:
    """Return `tree` with its digest as JSON."""
    branches = [tree.branches[path] for path in sorted(tree.branches)]
    return msgspec.json.encode(Snapshot(tree.number, tree.digest, branches))


def load_tree(data: bytes, step: str = "load snapshot") -> Tree:
    """Return the tree in `data`, checked and validated.

    Raises `UpdateRefused` if `data` is too large, damaged or differs from its
    digest, and `InvalidTree` if the tree breaks a rule.
    """
    if len(data) > MAX_SNAPSHOT_BYTES:
        raise UpdateRefused("snapshot is too large", step=step)
    try:
        snapshot = decode_json(data, Snapshot, step=step)
    except Malformed as error:
        raise UpdateRefused(f"snapshot is damaged: {error}", step=step) from error
    tree = build_tree(snapshot.number, snapshot.branches)
    if len(tree.branches) != len(snapshot.branches) or tree.digest != snapshot.digest:
        raise UpdateRefused("digest of snapshot does not match", step=step)
    return check_tree(tree, step)


def dump_change(change: Change) -> bytes:
    """Return `change` as JSON."""
    return msgspec.json.encode(change)


def load_change(data: bytes | str, step: str = "load change") -> Change:
    """Return the change in `data`; raise `UpdateRefused` if it is damaged."""
    try:
        return decode_json(data, Change, step=step)
    except Malformed as error:
        raise UpdateRefused(f"change is damaged: {error}", step=step) from error
