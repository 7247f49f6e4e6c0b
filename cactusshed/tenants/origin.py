"""What the headers of a request say about its tenant."""

from collections.abc import Iterable

from ..platform import headers as header_names
from ..policy.tenancy import Origin
from .directory import Tenants

__all__ = ["TENANT_HEADERS", "read_origin"]

TENANT_HEADERS = frozenset({header_names.CREDENTIAL, header_names.TENANT})
"""Headers that clients' requests do not bring to a target if there are tenants."""
OPTIONAL_WHITESPACE = b" \t"
"""What a sender may put around the value of a header."""


def read_origin(
    tenants: Tenants | None,
    headers: Iterable[tuple[bytes, bytes]],
    parent_id: bytes,
    parent: tuple[str, int] | None,
) -> Origin:
    """Return the origin of a request.

    `parent_id` is the id that its own id extends, `parent` the tenant and priority of
    the running request with that id.
    """
    if tenants is None:
        return Origin(has_key=False, parent=parent)
    keys = [value for name, value in headers if name == header_names.CREDENTIAL]
    # Of several keys none is preferred.
    key = keys[0].strip(OPTIONAL_WHITESPACE) if len(keys) == 1 else None
    owner = tenants.find(key) if key is not None else None
    return Origin(bool(keys), owner, parent, bool(parent_id))
