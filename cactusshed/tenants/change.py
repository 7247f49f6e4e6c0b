"""Differences between the tenants of two configurations, as sent between nodes."""

from collections.abc import Iterable

import msgspec

from ..decoding import Count
from .directory import Tenant, Tenants, build_tenants

__all__ = [
    "TenantsChange",
    "decode_tenants",
    "encode_tenants",
    "find_changed_tenants",
]


class TenantsChange(msgspec.Struct, array_like=True):
    """Tenants that differ from those of the base, or all of them."""

    present: list[tuple[str, Count | None, list[bytes]]]
    """Name, priority and digests of keys."""
    removed: list[str] = []
    is_complete: bool = False
    """Whether `present` lists all tenants, whatever the receiver has."""


def find_changed_tenants(before: Tenants | None, after: Tenants | None) -> frozenset:
    """Return the names of the tenants that were added, removed or changed."""
    old = before.by_name if before is not None else {}
    new = after.by_name if after is not None else {}
    names = old.keys() | new.keys()
    return frozenset(name for name in names if old.get(name) != new.get(name))


def encode_tenants(
    tenants: Tenants | None, changed: Iterable[str] | None
) -> TenantsChange | bool:
    """Return the entries of `changed` tenants, of all for `None`.

    The result is `False` for a configuration without tenants.
    """
    if tenants is None:
        return False
    by_name = tenants.by_name
    names = sorted(by_name if changed is None else changed)
    return TenantsChange(
        [
            (name, by_name[name].priority, sorted(by_name[name].digests))
            for name in names
            if name in by_name
        ],
        [name for name in names if name not in by_name],
        changed is None,
    )


def decode_tenants(
    change: TenantsChange | bool | None, before: Tenants | None
) -> Tenants | None:
    """Return the tenants that result from applying `change` to `before`.

    Raises `ValueError` if the result is invalid.
    """
    if change is True:
        raise ValueError("tenants: true")
    if not change:
        return None
    by_name: dict[str, Tenant] = {}
    if before is not None and not change.is_complete:
        by_name.update(before.by_name)
    for name in change.removed:
        by_name.pop(name, None)
    for name, priority, digests in change.present:
        by_name[name] = Tenant(name, priority, frozenset(digests))
    return build_tenants(by_name.values())
