"""Differences between configurations, as sent between nodes."""

from collections.abc import Collection

import attrs

from ..tenants.change import decode_tenants, encode_tenants
from .frames import TableChange
from .table import Limits, Route, Service, Table, WeightedService

__all__ = ["decode_change", "encode_change", "find_changed_routes"]


def find_changed_routes(before: Table, after: Table) -> frozenset:
    """Return host and prefix of each route that was added, removed or changed."""
    changed = set()
    for host in before.routes.keys() | after.routes.keys():
        old, new = before.routes.get(host, {}), after.routes.get(host, {})
        for prefix in old.keys() | new.keys():
            if old.get(prefix) != new.get(prefix):
                changed.add((host, prefix))
    return frozenset(changed)


def encode_change(
    table: Table,
    base: int,
    changed: Collection | None,
    tenants: Collection[str] | None = None,
) -> TableChange:
    """Return the difference of `table` to the configuration version `base`.

    `changed` holds host and prefix of each changed route; for `None` the result
    holds the complete configuration. `tenants` holds the names of changed tenants;
    for `None` the result holds all tenants.
    """
    if changed is None:
        base = 0
        tenants = None
        changed = {(h, p) for h, routes in table.routes.items() for p in routes}
    present = [
        table.routes[host][prefix]
        for host, prefix in sorted(changed)
        if prefix in table.routes.get(host, ())
    ]
    return TableChange(
        base=base,
        version=table.version,
        routes=[_encode_route(route) for route in present],
        removed=sorted(set(changed) - {(r.host, r.prefix) for r in present}),
        services=[attrs.astuple(service) for service in table.services.values()],
        limits=attrs.astuple(table.limits),
        tenants=encode_tenants(table.tenants, tenants),
    )


def _encode_route(route: Route) -> tuple:
    """Return the fields of a route; earlier builds do not know the last one."""
    fields = attrs.astuple(route)
    return fields if route.is_public else fields[:-1]


def decode_change(change: TableChange, before: Table) -> Table:
    """Return the configuration that results from applying `change` to `before`.

    Raises `TypeError` or `ValueError` if fields are missing.
    """
    routes = dict(before.routes) if change.base else {}
    copied: set[str] = set()

    def copy_host(host: str) -> dict[str, Route]:
        if host not in copied:
            copied.add(host)
            routes[host] = dict(routes.get(host, {}))
        return routes[host]

    for name, host, prefix, weighted_services, *rest in change.routes:
        split = tuple(WeightedService(*entry) for entry in weighted_services)
        copy_host(host)[prefix] = Route(name, host, prefix, split, *rest)
    for host, prefix in change.removed:
        copy_host(host).pop(prefix, None)
    services = (Service(*fields) for fields in change.services)
    return Table(
        change.version,
        routes,
        {service.name: service for service in services},
        Limits(*change.limits),
        decode_tenants(change.tenants, before.tenants),
    )
