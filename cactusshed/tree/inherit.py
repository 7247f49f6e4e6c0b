"""Inheritance: the value of a key at a location, and the branch that sets it."""

from collections.abc import Iterator
from typing import Any

import attrs

from .branch import ANY, MOVE_PROGRESS, ROOT, Branch, Tree
from .keys import KEYS

__all__ = ["Location", "Value", "explain_key", "list_routes", "resolve_values"]


@attrs.frozen
class Location:
    """A location in the tree at which values are looked up.

    Empty fields select a higher level: a region alone, for example.
    """

    region: str = ""
    data_centre: str = ""
    service: str = ""
    route: str = ""


@attrs.frozen
class Value:
    """A parsed value and the path of the branch that set it."""

    value: Any
    source: str


def list_branch_paths(location: Location) -> Iterator[str]:
    """Yield the paths of the branches that apply at `location`, from the root down."""
    yield ROOT
    if location.region:
        yield f"/{location.region}"
    if location.data_centre:
        yield f"/{location.region}/{location.data_centre}"
    tails = [location.service, f"{location.service}/{location.route}"]
    for tail, name in zip(tails, (location.service, location.route), strict=True):
        if name:
            yield f"/{ANY}/{ANY}/{tail}"
            yield f"/{location.region}/{ANY}/{tail}"
            yield f"/{location.region}/{location.data_centre}/{tail}"


def find_branches(tree: Tree, location: Location) -> Iterator[Branch]:
    """Yield the branches of `tree` that apply at `location`, most specific last."""
    for path in list_branch_paths(location):
        branch = tree.branches.get(path)
        if branch is not None:
            yield branch


def resolve_values(tree: Tree, location: Location) -> dict[str, Any]:
    """Return the effective value of every key at `location`, defaults included."""
    values = {name: key.default for name, key in KEYS.items()}
    for branch in find_branches(tree, location):
        for name, text in branch.values.items():
            values[name] = KEYS[name].parse(name, text)
    return values


def explain_key(tree: Tree, location: Location, name: str) -> Value:
    """Return the effective value of a key at `location` and the branch that sets it."""
    result = Value(KEYS[name].default, "default")
    for branch in find_branches(tree, location):
        if name in branch.values:
            parsed = KEYS[name].parse(name, branch.values[name])
            result = Value(parsed, branch.path)
    return result


def list_routes(tree: Tree) -> dict[str, set[str]]:
    """Return the names of the routes of each service in the tree."""
    routes: dict[str, set[str]] = {}
    for branch in tree.branches.values():
        parts = branch.parts
        if len(parts) >= 3 and parts[0] != MOVE_PROGRESS:
            routes.setdefault(parts[2], set()).update(parts[3:])
    return routes
