"""Differences between configurations, as sent between nodes."""

import attrs

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


def encode_change(table: Table, base: int, changed: set | None) -> TableChange:
    """Return the difference of `table` to the configuration version `base`.

    `changed` holds host and prefix of each changed route; for `None` the result
    holds the complete configuration.
    """
    if changed is None:
        base = 0
        changed = {(h, p) for h, routes in table.routes.items() for p in routes}
    present = [
        table.routes[host][prefix]
        for host, prefix in sorted(changed)
        if prefix in table.routes.get(host, ())
    ]
    return TableChange(
        base=base,
        version=table.version,
        routes=[attrs.astuple(route) for route in present],
        removed=sorted(changed - {(route.host, route.prefix) for route in present}),
        services=[attrs.astuple(service) for service in table.services.values()],
        limits=attrs.astuple(table.limits),
    )


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
    )
