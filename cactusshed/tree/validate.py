"""Validation of tree versions: each check yields the errors that it finds."""

from collections.abc import Callable, Iterator
from itertools import chain
from weakref import WeakSet

from ..errors import InvalidTree
from ..options import BadOption
from .branch import MOVE_PROGRESS, Branch, Tree
from .keys import KEYS, MOVE_PROGRESS_KEYS, ROUTE_LEVEL

__all__ = ["CHECKS", "check_tree", "find_errors"]

MAX_BRANCHES = 50_000
MAX_ERRORS = 20


_valid_branches: WeakSet[Branch] = WeakSet()
"""Branches that passed `find_invalid_branches`; versions share branch objects."""


def find_invalid_branches(tree: Tree) -> Iterator[str]:
    """Yield an error for each invalid path, key or value."""
    if len(tree.branches) > MAX_BRANCHES:
        yield f"more than {MAX_BRANCHES} branches"
    for branch in tree.branches.values():
        if branch in _valid_branches:
            continue
        errors = list(_find_branch_errors(branch))
        yield from errors
        if not errors:
            _valid_branches.add(branch)


def _find_branch_errors(branch: Branch) -> Iterator[str]:
    try:
        parts = branch.parts
    except InvalidTree as error:
        yield error.message
        return
    yield from _find_invalid_values(branch, parts)


def _find_invalid_values(branch: Branch, parts: tuple[str, ...]) -> Iterator[str]:
    is_progress = bool(parts) and parts[0] == MOVE_PROGRESS
    keys = MOVE_PROGRESS_KEYS if is_progress else KEYS
    for name, text in branch.values.items():
        label = f"{branch.path} {name}"
        key = keys.get(name)
        if key is None:
            yield f"{label}: unknown key (value {text!r})"
            continue
        if not is_progress and len(parts) not in key.levels:
            yield f"{label}: may not be set at this level"
            continue
        try:
            key.parse(label, text)
        except BadOption as error:
            yield str(error)


def _list_settings_branches(tree: Tree) -> Iterator[tuple[tuple[str, ...], Branch]]:
    for branch in tree.branches.values():
        parts = branch.parts
        if parts and parts[0] != MOVE_PROGRESS:
            yield parts, branch


def find_incomplete_routes(tree: Tree) -> Iterator[str]:
    """Yield an error for each route without a service or without a prefix."""
    entries = list(_list_settings_branches(tree))
    services = {parts[2] for parts, _ in entries if len(parts) == 3}
    routes_with_prefix = set()
    routes = {}
    for parts, branch in entries:
        if len(parts) != ROUTE_LEVEL:
            continue
        routes.setdefault(parts[2:], branch.path)
        if "prefix" in branch.values:
            routes_with_prefix.add(parts[2:])
    for route, path in routes.items():
        if route[0] not in services:
            yield f"{path}: service {route[0]!r} has no branch"
        if route not in routes_with_prefix:
            yield f"{path}: route {route[1]!r} has no prefix"


def find_missing_needs(tree: Tree) -> Iterator[str]:
    """Yield an error for each service under `needs` that has no branch."""
    entries = list(_list_settings_branches(tree))
    services = {parts[2] for parts, _ in entries if len(parts) == 3}
    for parts, branch in entries:
        if len(parts) != 3 or "needs" not in branch.values:
            continue
        for needed in KEYS["needs"].parse("needs", branch.values["needs"]):
            if needed not in services:
                yield f"{branch.path} needs: service {needed!r} has no branch"


def find_services_without_version(tree: Tree) -> Iterator[str]:
    """Yield an error for each service without a version at any of its branches."""
    services_with_version = set()
    services = {}
    for parts, branch in _list_settings_branches(tree):
        if len(parts) != 3:
            continue
        services.setdefault(parts[2], branch.path)
        if "version" in branch.values:
            services_with_version.add(parts[2])
    for service in services.keys() - services_with_version:
        yield f"{services[service]}: service {service!r} has no version"


def find_incomplete_moves(tree: Tree) -> Iterator[str]:
    """Yield an error for each move that lacks its new version, deadline or id."""
    required = ("move-to", "move-by", "move-id")
    for parts, branch in _list_settings_branches(tree):
        if len(parts) != 3:
            continue
        given = [name for name in required if name in branch.values]
        if given and len(given) < len(required):
            yield f"{branch.path}: a move needs {', '.join(required)}"


def find_prefix_conflicts(tree: Tree) -> Iterator[str]:
    """Yield an error where two routes have the same prefix and method."""
    owners: dict[tuple[str, str, str], tuple[str, ...]] = {}
    for parts, branch in _list_settings_branches(tree):
        if len(parts) != ROUTE_LEVEL or "prefix" not in branch.values:
            continue
        text = branch.values.get("methods", "")
        for method in KEYS["methods"].parse("methods", text) or ("*",):
            scope = (parts[0], parts[1])
            key = (*scope, branch.values["prefix"], method)
            owner = owners.setdefault(key, parts[2:])
            if owner != parts[2:]:
                yield f"{branch.path}: prefix and method belong to {'/'.join(owner)}"


CHECKS: dict[str, Callable[[Tree], Iterator[str]]] = {
    "routes": find_incomplete_routes,
    "needs": find_missing_needs,
    "versions": find_services_without_version,
    "moves": find_incomplete_moves,
    "prefixes": find_prefix_conflicts,
}
"""Checks across branches, run only if every single branch is valid."""


def find_errors(tree: Tree) -> list[str]:
    """Return at most `MAX_ERRORS` errors of a tree version."""
    errors = list(find_invalid_branches(tree))
    if not errors:
        errors = list(chain.from_iterable(check(tree) for check in CHECKS.values()))
    return errors[:MAX_ERRORS]


def check_tree(tree: Tree, step: str = "validate") -> Tree:
    """Return `tree`; raise `InvalidTree` with its errors if it has any."""
    errors = find_errors(tree)
    if errors:
        raise InvalidTree("; ".join(errors), step=step)
    return tree
