"""Accepted changes that the platform loses when it comes back from an older copy."""

from collections.abc import Sequence

import attrs

from ..tree.edit import Change
from .acceptance import (
    HEAD_KEY,
    Head,
    make_change_writes,
    make_head_write,
    read_head,
)
from .port import Condition, Port

__all__ = ["restore_changes"]

MAX_RESTORED = 40
"""Changes written again in one transaction, with two rows each."""


async def restore_changes(port: Port, head: Head, changes: Sequence[Change]) -> bool:
    """Write changes again that the platform lost when it came back from a copy.

    `changes` are consecutive and start with the one that produced `head`, unless that
    is 0. Returns false, and writes nothing, if they don't lead to `head`.
    """
    if head.number:
        first, *changes = changes
        if (first.number, first.digest) != (head.number, head.digest):
            return False
    for start in range(0, len(changes), MAX_RESTORED):
        group = changes[start : start + MAX_RESTORED]
        stored, row_version = await read_head(port)
        if stored != head:
            return False
        head = attrs.evolve(head, number=group[-1].number, digest=group[-1].digest)
        writes = [make_head_write(head)]
        for change in group:
            writes += make_change_writes(change)
        await port.commit([Condition(HEAD_KEY, row_version)], writes)
    return True
