"""The route table that a node compiles from a version for its own place."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from .branch import ROOT, Tree, make_progress_path
from .inherit import Place, list_routes, resolve_place
from .keys import PROGRESS_KEYS

__all__ = [
    "EMPTY_TABLE",
    "Limits",
    "Move",
    "Route",
    "Table",
    "compile_table",
    "read_progress",
]

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})


@attrs.frozen
class Move:
    """A move of a service as nodes see it; `share` goes to version `to`."""

    move_id: str
    to: str
    by: float
    share: float
    state: str
    reason: str = ""


@attrs.frozen
class Route:
    """One route with its values in force; times in seconds."""

    service: str
    name: str
    prefix: str
    methods: tuple[str, ...]
    idempotent: bool | None
    kind: str
    timeout: float
    first_byte: float
    version: str
    retry_ratio: float
    max_attempts: int
    move: Move | None

    def is_idempotent(self, method: str) -> bool:
        """Return whether a call with `method` may be run more than once."""
        if self.idempotent is not None:
            return self.idempotent
        return method in IDEMPOTENT_METHODS


@attrs.frozen
class Limits:
    """What a target of one service may be given at a node; times in seconds."""

    slots: int
    queue_length: int
    queue_wait: float
    warm_start: int
    warm_seconds: float
    cold_factor: float


@attrs.frozen
class Table:
    """All that the call path needs of one version, ready to use."""

    number: int
    digest: str
    routes: tuple[Route, ...]
    limits: dict[str, Limits]
    withdrawn: frozenset[str]
    drained: frozenset[str]
    index: dict[str, tuple[Route, ...]]
    """Routes by the first segment of their prefix, longest prefix first."""

    def find_route(self, method: str, path: str) -> Route | None:
        """Return the route with the longest prefix that takes the request.

        A prefix ends where a segment of the path ends.
        """
        first = path.split("/", 2)[1] if path.startswith("/") else ""
        for segment in (first, ""):
            for route in self.index.get(segment, ()):
                if _takes(route, method, path):
                    return route
        return None


def _takes(route: Route, method: str, path: str) -> bool:
    if route.methods and method not in route.methods:
        return False
    below = route.prefix if route.prefix.endswith("/") else route.prefix + "/"
    return path == route.prefix or path.startswith(below)


def _index_routes(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    index: dict[str, list[Route]] = defaultdict(list)
    for route in routes:
        index[route.prefix.split("/", 2)[1]].append(route)
    return {segment: tuple(found) for segment, found in index.items()}


EMPTY_TABLE = Table(0, "", (), {}, frozenset(), frozenset(), {})


def compile_table(tree: Tree, region: str, data_centre: str) -> Table:
    """Return the table of `tree` for a node in the given data centre."""
    place = Place(region, data_centre)
    routes = sorted(_compile_routes(tree, place), key=_order_route)
    limits = dict(_compile_limits(tree, place))
    return Table(
        tree.number,
        tree.digest,
        tuple(routes),
        limits,
        frozenset(_collect_withdrawn(tree)),
        frozenset(_collect_drained(tree)),
        _index_routes(routes),
    )


def _order_route(route: Route) -> tuple[int, bool, str, str]:
    return (-len(route.prefix), not route.methods, route.service, route.name)


def _compile_routes(tree: Tree, place: Place) -> Iterator[Route]:
    for service, name in list_routes(tree):
        if not name:
            continue
        values = resolve_place(tree, attrs.evolve(place, service=service, route=name))
        if values["prefix"] is None or values["version"] is None:
            continue
        yield _make_route(service, name, values, _read_move(tree, service, values))


def _make_route(
    service: str, name: str, values: dict[str, Any], move: Move | None
) -> Route:
    return Route(
        service=service,
        name=name,
        prefix=values["prefix"],
        methods=values["methods"],
        idempotent=values["idempotent"],
        kind=values["class"],
        timeout=values["timeout-ms"] / 1000,
        first_byte=values["first-byte-ms"] / 1000,
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
    """Return the progress of a service's move as the duty last wrote it."""
    values = {name: key.default for name, key in PROGRESS_KEYS.items()}
    branch = tree.branches.get(make_progress_path(service))
    if branch is not None:
        for name, text in branch.values.items():
            values[name] = PROGRESS_KEYS[name].parse(name, text)
    return values


def _compile_limits(tree: Tree, place: Place) -> Iterator[tuple[str, Limits]]:
    for service in {service for service, _ in list_routes(tree)}:
        values = resolve_place(tree, attrs.evolve(place, service=service))
        yield (
            service,
            Limits(
                slots=values["slots"],
                queue_length=values["queue-length"],
                queue_wait=values["queue-ms"] / 1000,
                warm_start=values["warm-start"],
                warm_seconds=values["warm-seconds"],
                cold_factor=values["cold-factor"],
            ),
        )


def _list_centres(tree: Tree) -> Iterator[tuple[str, Place]]:
    for path in tree.branches:
        parts = path.split("/")[1:]
        if path != ROOT and len(parts) == 2 and not parts[0].startswith("@"):
            yield parts[1], Place(parts[0], parts[1])


def _collect_withdrawn(tree: Tree) -> Iterator[str]:
    for name, place in _list_centres(tree):
        if resolve_place(tree, place)["withdrawn"]:
            yield name


def _collect_drained(tree: Tree) -> Iterator[str]:
    for _, place in _list_centres(tree):
        yield from resolve_place(tree, place)["drained"]
