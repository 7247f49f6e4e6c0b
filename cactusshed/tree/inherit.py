"""Inheritance: the value of a key at a place, and the branch it came from."""

from collections.abc import Iterator
from typing import Any

import attrs

from .branch import ANY, PROGRESS, ROOT, Branch, Tree
from .keys import KEYS

__all__ = ["Place", "Value", "explain_key", "list_routes", "resolve_place"]


@attrs.frozen
class Place:
    """Where values are asked for; empty parts stand for a higher level."""

    region: str = ""
    data_centre: str = ""
    service: str = ""
    route: str = ""


@attrs.frozen
class Value:
    """A parsed value and the path of the branch that set it."""

    value: Any
    source: str


def list_branch_paths(place: Place) -> Iterator[str]:
    """Yield the paths that apply at `place`, from the root downwards."""
    yield ROOT
    if place.region:
        yield f"/{place.region}"
    if place.data_centre:
        yield f"/{place.region}/{place.data_centre}"
    tails = [place.service, f"{place.service}/{place.route}"]
    for tail, wanted in zip(tails, (place.service, place.route), strict=True):
        if wanted:
            yield f"/{ANY}/{ANY}/{tail}"
            yield f"/{place.region}/{ANY}/{tail}"
            yield f"/{place.region}/{place.data_centre}/{tail}"


def find_branches(tree: Tree, place: Place) -> Iterator[Branch]:
    """Yield the branches of `tree` that apply at `place`, lowest last."""
    for path in list_branch_paths(place):
        branch = tree.branches.get(path)
        if branch is not None:
            yield branch


def resolve_place(tree: Tree, place: Place) -> dict[str, Any]:
    """Return every key's value in force at `place`, defaults included."""
    values = {name: key.default for name, key in KEYS.items()}
    for branch in find_branches(tree, place):
        for name, text in branch.values.items():
            values[name] = KEYS[name].parse(name, text)
    return values


def explain_key(tree: Tree, place: Place, name: str) -> Value:
    """Return the value of one key at `place` and the branch it came from."""
    answer = Value(KEYS[name].default, "default")
    for branch in find_branches(tree, place):
        if name in branch.values:
            parsed = KEYS[name].parse(name, branch.values[name])
            answer = Value(parsed, branch.path)
    return answer


def list_routes(tree: Tree) -> dict[str, set[str]]:
    """Return the routes of every service that the tree names."""
    found: dict[str, set[str]] = {}
    for branch in tree.branches.values():
        parts = branch.parts
        if len(parts) >= 3 and parts[0] != PROGRESS:
            found.setdefault(parts[2], set()).update(parts[3:])
    return found
