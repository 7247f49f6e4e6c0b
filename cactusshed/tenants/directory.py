"""The tenants of one configuration version, and the lookup of a tenant by its key.

Only digests of keys are kept. A lookup computes the digest of the received key and
finds it in a hash table, so neither its time nor a comparison inside it depends on how
much of a stored key a client has guessed, or on the number of keys.
"""

from collections.abc import Iterable

import attrs

__all__ = ["DIGEST_BYTES", "Tenant", "Tenants", "build_tenants", "digest_key"]

DIGEST_BYTES = 16
"""Digests travel between data centres, where traffic is billed. 128 bits are enough:
only the operator chooses keys, so a collision of two chosen keys is no attack."""
PERSON = b"cactusshed.key"
"""Makes the digests differ from those that other programs compute of the same keys."""


def digest_key(key: bytes) -> bytes:
    """Return the digest by which a key is known."""
    # Imported on first use: nodes whose configuration has no tenants do without its
    # 180 kB. The daemon hides OpenSSL, with which it would take 3.6 MB.
    from hashlib import blake2b

    return blake2b(key, digest_size=DIGEST_BYTES, person=PERSON).digest()


@attrs.frozen
class Tenant:
    """One organisation; its requests of `priority` 0 are served first."""

    name: str
    priority: int | None
    """`None` if its requests have the priority of their routes."""
    digests: frozenset[bytes]
    """Digests of its keys."""


@attrs.frozen
class Tenants:
    """The tenants of a configuration, indexed for lookups."""

    by_name: dict[str, Tenant]
    _by_digest: dict[bytes, Tenant] = attrs.field(repr=False, eq=False)

    def find(self, key: bytes) -> Tenant | None:
        """Return the tenant to which a key belongs, if any."""
        return self._by_digest.get(digest_key(key))


def build_tenants(entries: Iterable[Tenant]) -> Tenants:
    """Index tenants; raise `ValueError` if two have the same name or share a key."""
    by_name: dict[str, Tenant] = {}
    by_digest: dict[bytes, Tenant] = {}
    for tenant in entries:
        if by_name.setdefault(tenant.name, tenant) is not tenant:
            raise ValueError("two tenants have the same name")
        for digest in tenant.digests:
            if len(digest) != DIGEST_BYTES:
                raise ValueError(f"digest of {len(digest)} bytes")
            if by_digest.setdefault(digest, tenant) is not tenant:
                raise ValueError("a key belongs to two tenants")
    return Tenants(by_name, by_digest)
