"""The operator's documents, mapped to the route table and to move orders.

The store accepts only valid documents, so the readers set no limits of their own. One
optional field that can't be read must not keep the whole version out of force.
"""

from collections.abc import Iterator

from ..decoding import decode_json
from ..errors import Malformed
from ..fields import (
    check_header_value,
    read_flag,
    read_int,
    read_list,
    read_table,
    read_text,
)
from ..mesh.table import (
    Limits,
    MoveOrder,
    Route,
    Service,
    Table,
    WeightedService,
    build_table,
)
from ..optionalfields import (
    read_capped_int,
    read_capped_number,
    read_capped_seconds,
    read_optional,
    report_ignored,
)
from ..tenants.directory import Tenant, Tenants, build_tenants, digest_key

__all__ = ["MoveOrder", "decode_move", "decode_table"]

KINDS = {"safe": True, "download": True, "unsafe": False, "upload": False}
"""Whether requests of each kind may run more than once; those of unknown kinds not."""
STRICTEST_KIND = "unsafe"
DEFAULT_TIMEOUT = "30s"
"""Timeout of a route without one: clients' own deadlines are shorter."""


def decode_table(data: bytes) -> Table:
    """Parse a configuration document; raise `Malformed` if it is invalid."""
    document = decode_json(data, step="read document")
    return build_table(
        read_int(document, "version"),
        _read_routes(document),
        map(_read_service, read_list(document, "clusters")),
        _read_limits(read_optional(read_table, document, "limits", {})),
        _read_tenants(document) if "tenants" in document else None,
    )


def decode_move(data: bytes) -> MoveOrder:
    """Parse a roll-out document; raise `Malformed` if it is invalid."""
    order = decode_json(data, step="read document")
    seconds = read_capped_seconds(order, "duration")
    return MoveOrder(read_text(order, "service"), read_text(order, "to"), seconds)


def _read_routes(document: object) -> Iterator[Route]:
    for listener in read_list(document, "listeners"):
        host = read_text(listener, "host").lower()
        for rule in read_list(listener, "rules"):
            yield _read_route(host, rule)


def _read_route(host: str, rule: object) -> Route:
    action = read_table(rule, "action")
    return Route(
        name=read_optional(read_text, rule, "name", "-"),
        host=host,
        prefix=read_text(read_table(rule, "match"), "prefix"),
        weighted_services=tuple(_read_weighted_services(action)),
        timeout=read_optional(read_capped_seconds, action, "timeout", DEFAULT_TIMEOUT),
        max_attempts=max(1, read_optional(read_capped_int, action, "attempts", 1)),
        idempotent=_is_idempotent(rule),
        soft_timeout=read_optional(read_capped_seconds, rule, "target_latency", "0s"),
        priority=read_optional(read_capped_int, rule, "priority", 0),
        is_public=read_flag(rule, "public", False),
    )


def _is_idempotent(rule: object) -> bool:
    """Return whether the requests of a rule may run more than once."""
    kind = read_optional(read_text, rule, "kind", STRICTEST_KIND)
    if kind not in KINDS:
        report_ignored("kind", f"not known: {kind[:40]}", STRICTEST_KIND)
    return KINDS.get(kind, False)


def _read_weighted_services(action: dict) -> Iterator[WeightedService]:
    if "split" not in action:
        yield WeightedService(read_text(action, "service"), 1.0)
        return
    entries = read_list(action, "split")
    if not entries:
        raise Malformed("split: empty", step="read document")
    for entry in entries:
        weight = read_capped_number(entry, "weight")
        yield WeightedService(read_text(entry, "service"), weight)


def _read_service(entry: object) -> Service:
    return Service(
        name=read_text(entry, "name"),
        health_path=read_optional(read_text, entry, "health_path", "/healthz"),
        max_connections=read_optional(read_capped_int, entry, "max_conns", 100),
        cold_seconds=read_optional(read_capped_seconds, entry, "cold_start", "0s"),
        cold_rate=read_optional(read_capped_number, entry, "cold_per_s", 0.0),
    )


def _read_tenants(document: dict) -> Tenants:
    try:
        return build_tenants(map(_read_tenant, read_list(document, "tenants")))
    except (Malformed, ValueError) as error:
        raise Malformed(f"tenants: {error.args[0]}", step="read document") from None


def _read_tenant(entry: object) -> Tenant:
    name = check_header_value("name", read_text(entry, "name"))
    keys = read_list(entry, "api_keys", is_required=True)
    texts = (check_header_value("api_keys", key) for key in keys)
    digests = frozenset(digest_key(text.encode()) for text in texts)
    priority = read_int(entry, "priority") if "priority" in entry else None
    return Tenant(name, priority, digests)


def _read_limits(limits: dict) -> Limits:
    usual = Limits()
    header, idle = f"{usual.header_seconds}s", f"{usual.idle_seconds}s"
    return Limits(
        read_optional(read_capped_int, limits, "max_header_bytes", usual.header_bytes),
        read_optional(read_capped_int, limits, "max_body_bytes", usual.body_bytes),
        read_optional(read_capped_seconds, limits, "header_timeout", header),
        read_optional(read_capped_seconds, limits, "idle_timeout", idle),
    )
