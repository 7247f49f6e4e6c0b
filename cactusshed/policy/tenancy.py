"""Decision to which tenant a request belongs, and whether it is served.

Load pattern: organisations of different rank share the targets, and under overload the
more urgent ones are served first. A request has the priority of its tenant, and so
have the calls that a target makes while it runs the request.
"""

import enum

import attrs

from ..tenants.directory import Tenant

__all__ = ["Decision", "Origin", "Refusal", "decide_tenancy"]


class Refusal(enum.Enum):
    """Why a request is not served."""

    NO_KEY = "no_key"
    UNKNOWN_KEY = "unknown_key"
    PARENT_GONE = "parent_gone"
    """A target makes the call for a request that no longer runs here."""


@attrs.frozen
class Origin:
    """What is known about the sender of a request."""

    has_key: bool
    owner: Tenant | None = None
    """Tenant to which the key belongs."""
    parent: tuple[str, int] | None = None
    """Tenant and priority of the running request that makes the call."""
    extends_id: bool = False
    """Whether the id of the request extends that of another one."""


@attrs.frozen
class Decision:
    """Tenant (empty if there is none) and priority, or why the request is refused."""

    tenant: str
    priority: int
    refusal: Refusal | None = None


def decide_tenancy(
    origin: Origin, route_priority: int, *, has_tenants: bool, is_public: bool
) -> Decision:
    """Return the decision on a request.

    `has_tenants` says whether the configuration has tenants. A key takes precedence
    over a parent, because calls of targets carry none.
    """
    anonymous = Decision("", route_priority)
    if not has_tenants:
        return Decision(*origin.parent) if origin.parent is not None else anonymous
    if origin.owner is not None:
        priority = origin.owner.priority
        return Decision(
            origin.owner.name, route_priority if priority is None else priority
        )
    if origin.parent is not None and not origin.has_key:
        return Decision(*origin.parent)
    if is_public:
        return anonymous
    if origin.has_key:
        return attrs.evolve(anonymous, refusal=Refusal.UNKNOWN_KEY)
    if origin.extends_id:
        return attrs.evolve(anonymous, refusal=Refusal.PARENT_GONE)
    return attrs.evolve(anonymous, refusal=Refusal.NO_KEY)
