"""The operator's documents, mapped to the route table and to move orders.

The store accepts only valid documents, so the readers set no limits of their own: texts
have any length and characters, and numbers above what can be handled are capped. An
optional field that can't be read counts as absent; it must not keep the whole version,
and all later ones, out of force.
"""

from collections.abc import Callable, Iterator
from functools import partial
from typing import Any

import attrs

from ..decoding import decode_json
from ..errors import Malformed
from ..fields import (
    check_header_value,
    read_flag,
    read_int,
    read_list,
    read_number,
    read_printable,
    read_seconds,
    read_table,
    read_text,
)
from ..mesh.table import Limits, Route, Service, Table, WeightedService, build_table
from ..observe.lines import log_line
from ..tenants.directory import Tenant, Tenants, build_tenants, digest_key

__all__ = ["MoveOrder", "decode_move", "decode_table"]

IDEMPOTENT_KINDS = frozenset({"safe", "download"})
"""Kinds of rules whose requests may run more than once."""
OTHER_KINDS = frozenset({"unsafe", "upload"})
"""Kinds of rules whose requests may run at most once; so may those of unknown kinds."""
STRICTEST_KIND = "unsafe"
MAX_REPORTED_FIELDS = 64
"""Optional fields, by name and cause, for which a line is logged."""
MAX_SHOWN_CHARS = 40
"""Longest part of a value in a log line."""
DEFAULT_TIMEOUT = "30s"
"""Timeout of a route without one: clients' own deadlines are shorter."""
_reported_fields: set[tuple[str, str]] = set()
_read_capped_int = partial(read_int, is_capped=True)
_read_capped_number = partial(read_number, is_capped=True)
_read_capped_seconds = partial(read_seconds, is_capped=True)


@attrs.frozen
class MoveOrder:
    """The operator's order to move a service to a version within `seconds`."""

    service: str
    to: str
    seconds: float


def decode_table(data: bytes) -> Table:
    """Parse a configuration document; raise `Malformed` if it is invalid."""
    document = decode_json(data, step="read document")
    return build_table(
        read_int(document, "version"),
        _read_routes(document),
        map(_read_service, read_list(document, "clusters")),
        _read_limits(_read_optional(read_table, document, "limits", {})),
        _read_tenants(document) if "tenants" in document else None,
    )


def decode_move(data: bytes) -> MoveOrder:
    """Parse a roll-out document; raise `Malformed` if it is invalid."""
    order = decode_json(data, step="read document")
    seconds = _read_capped_seconds(order, "duration")
    return MoveOrder(read_text(order, "service"), read_text(order, "to"), seconds)


def _read_routes(document: object) -> Iterator[Route]:
    for listener in read_list(document, "listeners"):
        host = read_text(listener, "host").lower()
        for rule in read_list(listener, "rules"):
            yield _read_route(host, rule)


def _read_optional(read: Callable, source: Any, field: str, default: Any) -> Any:
    """Return an optional field, or `default` if it is absent or can't be read."""
    if not isinstance(source, dict) or source.get(field) is None:
        return read({field: default}, field)
    try:
        return read(source, field)
    except Malformed as error:
        _report_field(field, error.message, handled_as=default)
        return read({field: default}, field)


def _report_field(field: str, cause: str, **values: object) -> None:
    """Log that an optional field is ignored, once for each cause."""
    key = (field, cause)
    if key not in _reported_fields and len(_reported_fields) < MAX_REPORTED_FIELDS:
        _reported_fields.add(key)
        log_line("document-field-ignored", field=field, cause=cause, **values)


def _read_route(host: str, rule: object) -> Route:
    action = read_table(rule, "action")
    return Route(
        name=_read_optional(read_text, rule, "name", "-"),
        host=host,
        prefix=read_text(read_table(rule, "match"), "prefix"),
        weighted_services=tuple(_read_weighted_services(action)),
        timeout=_read_optional(
            _read_capped_seconds, action, "timeout", DEFAULT_TIMEOUT
        ),
        max_attempts=max(1, _read_optional(_read_capped_int, action, "attempts", 1)),
        idempotent=_read_kind(rule) in IDEMPOTENT_KINDS,
        soft_timeout=_read_optional(_read_capped_seconds, rule, "target_latency", "0s"),
        priority=_read_optional(_read_capped_int, rule, "priority", 0),
        is_public=_read_optional(read_flag, rule, "public", False),
    )


def _read_kind(rule: object) -> str:
    """Return the kind of a rule; one that is not known is handled as the strictest."""
    kind = _read_optional(read_text, rule, "kind", STRICTEST_KIND)
    if kind in IDEMPOTENT_KINDS or kind in OTHER_KINDS:
        return kind
    cause = f"not known: {kind[:MAX_SHOWN_CHARS]}"
    _report_field("kind", cause, handled_as=STRICTEST_KIND)
    return STRICTEST_KIND


def _read_weighted_services(action: dict) -> Iterator[WeightedService]:
    if "split" not in action:
        yield WeightedService(read_text(action, "service"), 1.0)
        return
    entries = read_list(action, "split")
    if not entries:
        raise Malformed("split: empty", step="read document")
    for entry in entries:
        weight = _read_capped_number(entry, "weight")
        yield WeightedService(read_text(entry, "service"), weight)


def _read_service(entry: object) -> Service:
    return Service(
        name=read_text(entry, "name"),
        health_path=_read_optional(read_text, entry, "health_path", "/healthz"),
        max_connections=_read_optional(_read_capped_int, entry, "max_conns", 100),
        cold_seconds=_read_optional(_read_capped_seconds, entry, "cold_start", "0s"),
        cold_rate=_read_optional(_read_capped_number, entry, "cold_per_s", 0.0),
    )


def _read_tenants(document: dict) -> Tenants:
    try:
        return build_tenants(map(_read_tenant, read_list(document, "tenants")))
    except (Malformed, ValueError) as error:
        raise Malformed(f"tenants: {error.args[0]}", step="read document") from None


def _read_tenant(entry: object) -> Tenant:
    name = check_header_value("name", read_printable(entry, "name"))
    keys = read_list(entry, "api_keys", is_required=True)
    texts = (check_header_value("api_keys", key) for key in keys)
    digests = frozenset(digest_key(text.encode()) for text in texts)
    priority = read_int(entry, "priority") if "priority" in entry else None
    return Tenant(name, priority, digests)


def _read_limits(limits: dict) -> Limits:
    defaults = Limits()
    header_timeout = f"{defaults.header_seconds}s"
    idle_timeout = f"{defaults.idle_seconds}s"
    return Limits(
        _read_optional(
            _read_capped_int, limits, "max_header_bytes", defaults.header_bytes
        ),
        _read_optional(_read_capped_int, limits, "max_body_bytes", defaults.body_bytes),
        _read_optional(_read_capped_seconds, limits, "header_timeout", header_timeout),
        _read_optional(_read_capped_seconds, limits, "idle_timeout", idle_timeout),
    )
