"""The route table that a node compiles from a tree version for its location."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from .branch import MOVE_PROGRESS, ROOT, Tree, make_progress_path
from .inherit import Location, list_routes, resolve_values
from .keys import MOVE_PROGRESS_KEYS

__all__ = [
    "EMPTY_TABLE",
    "Limits",
    "Move",
    "Route",
    "Table",
    "compile_table",
    "find_changed_services",
    "read_progress",
]

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})


@attrs.frozen
class Move:
    """A gradual move of a service to version `to`, which gets `share` of the calls.

    `by` is the deadline of the move in Unix time.
    """

    move_id: str
    to: str
    by: float
    share: float
    state: str
    reason: str = ""


@attrs.frozen
class Route:
    """One route with its effective values; times in seconds."""

    service: str
    name: str
    prefix: str
    methods: tuple[str, ...]
    idempotent: bool | None
    traffic_class: str
    timeout: float
    first_byte_timeout: float
    version: str
    retry_ratio: float
    max_attempts: int
    move: Move | None

    def is_idempotent(self, method: str) -> bool:
        """Return whether a call with `method` may run more than once."""
        if self.idempotent is not None:
            return self.idempotent
        return method in IDEMPOTENT_METHODS


@attrs.frozen
class Limits:
    """Admission limits for each target of one service; times in seconds."""

    slots: int
    queue_length: int
    queue_timeout: float
    warm_start: int
    warm_seconds: float
    cold_factor: float


@attrs.frozen
class Table:
    """One version of the tree, compiled for the call path."""

    number: int
    routes: tuple[Route, ...]
    limits: dict[str, Limits]
    withdrawn: frozenset[str]
    drained: frozenset[str]
    index: dict[str, tuple[Route, ...]]
    """Routes by the first segment of their prefix, longest prefix first."""

    def find_route(self, method: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches the request.

        A prefix matches whole path segments only.
        """
        first = path.split("/", 2)[1] if path.startswith("/") else ""
        for segment in (first, ""):
            for route in self.index.get(segment, ()):
                if _matches(route, method, path):
                    return route
        return None


def _matches(route: Route, method: str, path: str) -> bool:
    if route.methods and method not in route.methods:
        return False
    subtree = route.prefix if route.prefix.endswith("/") else route.prefix + "/"
    return path == route.prefix or path.startswith(subtree)


def _index_routes(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    index: dict[str, list[Route]] = defaultdict(list)
    for route in routes:
        index[route.prefix.split("/", 2)[1]].append(route)
    return {segment: tuple(found) for segment, found in index.items()}


EMPTY_TABLE = Table(0, (), {}, frozenset(), frozenset(), {})


def compile_table(
    tree: Tree,
    region: str,
    data_centre: str,
    old: tuple[Tree, Table] | None = None,
) -> Table:
    """Return the table of `tree` for a node in the given data centre.

    With an `old` tree and its table for the same location, only the services
    whose branches differ are compiled again.
    """
    location = Location(region, data_centre)
    services = list_routes(tree)
    changed = find_changed_services(old[0], tree) if old else None
    if old is None or changed is None:
        same_routes, same_limits = [], {}
        changed = set(services)
        withdrawn = frozenset(_collect_withdrawn(tree))
        drained = frozenset(_collect_drained(tree))
    else:
        table = old[1]
        same_routes = [route for route in table.routes if route.service not in changed]
        same_limits = {k: v for k, v in table.limits.items() if k not in changed}
        withdrawn, drained = table.withdrawn, table.drained
    to_compile = {
        service: services[service] for service in changed if service in services
    }
    routes = [*same_routes, *_compile_routes(tree, location, to_compile)]
    routes.sort(key=_make_sort_key)
    limits = {**same_limits, **dict(_compile_limits(tree, location, to_compile))}
    return Table(
        tree.number,
        tuple(routes),
        limits,
        withdrawn,
        drained,
        _index_routes(routes),
    )


def find_changed_services(old: Tree, new: Tree) -> set[str] | None:
    """Return the services whose branches differ, or `None` if all may differ.

    A branch of a data centre, of a region or the root affects every service.
    """
    paths = old.branches.keys() | new.branches.keys()
    changed = set()
    for path in paths:
        before, after = old.branches.get(path), new.branches.get(path)
        if before is after:
            continue
        parts = (after or before).parts
        if parts and parts[0] == MOVE_PROGRESS:
            changed.add(parts[1])
        elif len(parts) < 3:
            return None
        else:
            changed.add(parts[2])
    return changed


def _make_sort_key(route: Route) -> tuple[int, bool, str, str]:
    return (-len(route.prefix), not route.methods, route.service, route.name)


def _compile_routes(
    tree: Tree, location: Location, services: dict[str, set[str]]
) -> Iterator[Route]:
    for service, names in services.items():
        for name in names:
            route_location = attrs.evolve(location, service=service, route=name)
            values = resolve_values(tree, route_location)
            if values["prefix"] is None or values["version"] is None:
                continue
            move = _read_move(tree, service, values)
            yield _make_route(service, name, values, move)


def _make_route(
    service: str, name: str, values: dict[str, Any], move: Move | None
) -> Route:
    return Route(
        service=service,
        name=name,
        prefix=values["prefix"],
        methods=values["methods"],
        idempotent=values["idempotent"],
        traffic_class=values["class"],
        timeout=values["timeout-ms"] / 1000,
        first_byte_timeout=values["first-byte-ms"] / 1000,
        version=values["version"],
        retry_ratio=values["retry-ratio"],
        max_attempts=values["max-attempts"],
        move=move,
    )


def _read_move(tree: Tree, service: str, values: dict[str, Any]) -> Move | None:
    if values["move-id"] is None:
        return None
    progress = read_progress(tree, service)
    if progress["move-id"] != values["move-id"]:
        progress = {"share": 0.0, "state": "running", "reason": ""}
    return Move(
        values["move-id"],
        values["move-to"],
        values["move-by"],
        progress["share"],
        progress["state"],
        progress["reason"],
    )


def read_progress(tree: Tree, service: str) -> dict[str, Any]:
    """Return the progress of a service's move as last written by the move duty."""
    values = {name: key.default for name, key in MOVE_PROGRESS_KEYS.items()}
    branch = tree.branches.get(make_progress_path(service))
    if branch is not None:
        for name, text in branch.values.items():
            values[name] = MOVE_PROGRESS_KEYS[name].parse(name, text)
    return values


def _compile_limits(
    tree: Tree, location: Location, services: dict[str, set[str]]
) -> Iterator[tuple[str, Limits]]:
    for service in services:
        values = resolve_values(tree, attrs.evolve(location, service=service))
        yield (
            service,
            Limits(
                slots=values["slots"],
                queue_length=values["queue-length"],
                queue_timeout=values["queue-ms"] / 1000,
                warm_start=values["warm-start"],
                warm_seconds=values["warm-seconds"],
                cold_factor=values["cold-factor"],
            ),
        )


def _list_data_centres(tree: Tree) -> Iterator[tuple[str, Location]]:
    for path in tree.branches:
        parts = path.split("/")[1:]
        if path != ROOT and len(parts) == 2 and not parts[0].startswith("@"):
            yield parts[1], Location(parts[0], parts[1])


def _collect_withdrawn(tree: Tree) -> Iterator[str]:
    for name, location in _list_data_centres(tree):
        if resolve_values(tree, location)["withdrawn"]:
            yield name


def _collect_drained(tree: Tree) -> Iterator[str]:
    for _, location in _list_data_centres(tree):
        yield from resolve_values(tree, location)["drained"]
