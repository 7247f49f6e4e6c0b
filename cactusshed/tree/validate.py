"""Whole-version validation: each filter yields the faults that it finds."""

from collections.abc import Callable, Iterator
from itertools import chain
from weakref import WeakSet

from ..errors import InvalidTree
from ..options import BadOption
from .branch import PROGRESS, Branch, Tree
from .keys import KEYS, PROGRESS_KEYS, ROUTE_LEVEL

__all__ = ["CHECKS", "check_tree", "find_faults"]

MAX_BRANCHES = 50_000
MAX_FAULTS = 20


_sound: WeakSet[Branch] = WeakSet()
"""Branches without a fault of their own, whatever version they stand in."""


def find_bad_branches(tree: Tree) -> Iterator[str]:
    """Yield a fault for each bad path, key or value."""
    if len(tree.branches) > MAX_BRANCHES:
        yield f"more than {MAX_BRANCHES} branches"
    for branch in tree.branches.values():
        if branch in _sound:
            continue
        faults = list(_find_branch_faults(branch))
        yield from faults
        if not faults:
            _sound.add(branch)


def _find_branch_faults(branch: Branch) -> Iterator[str]:
    try:
        parts = branch.parts
    except InvalidTree as error:
        yield error.message
        return
    yield from _find_bad_values(branch, parts)


def _find_bad_values(branch: Branch, parts: tuple[str, ...]) -> Iterator[str]:
    progress = bool(parts) and parts[0] == PROGRESS
    keys = PROGRESS_KEYS if progress else KEYS
    for name, text in branch.values.items():
        label = f"{branch.path} {name}"
        key = keys.get(name)
        if key is None:
            yield f"{label}: unknown key (value {text!r})"
            continue
        if not progress and len(parts) not in key.levels:
            yield f"{label}: may not be set at this level"
            continue
        try:
            key.parse(label, text)
        except BadOption as bad:
            yield str(bad)


def _split_places(tree: Tree) -> Iterator[tuple[tuple[str, ...], Branch]]:
    for branch in tree.branches.values():
        parts = branch.parts
        if parts and parts[0] != PROGRESS:
            yield parts, branch


def find_open_routes(tree: Tree) -> Iterator[str]:
    """Yield a fault for each route without a service or without a prefix."""
    places = list(_split_places(tree))
    services = {parts[2] for parts, _ in places if len(parts) == 3}
    prefixed = set()
    routes = {}
    for parts, branch in places:
        if len(parts) != ROUTE_LEVEL:
            continue
        routes.setdefault(parts[2:], branch.path)
        if "prefix" in branch.values:
            prefixed.add(parts[2:])
    for route, path in routes.items():
        if route[0] not in services:
            yield f"{path}: service {route[0]!r} has no branch"
        if route not in prefixed:
            yield f"{path}: route {route[1]!r} has no prefix"


def find_open_needs(tree: Tree) -> Iterator[str]:
    """Yield a fault for each needed service that the tree lacks."""
    places = list(_split_places(tree))
    services = {parts[2] for parts, _ in places if len(parts) == 3}
    for parts, branch in places:
        if len(parts) != 3 or "needs" not in branch.values:
            continue
        for needed in KEYS["needs"].parse("needs", branch.values["needs"]):
            if needed not in services:
                yield f"{branch.path} needs: service {needed!r} has no branch"


def find_versionless_services(tree: Tree) -> Iterator[str]:
    """Yield a fault for each service without a version in force anywhere."""
    versioned = set()
    services = {}
    for parts, branch in _split_places(tree):
        if len(parts) != 3:
            continue
        services.setdefault(parts[2], branch.path)
        if "version" in branch.values:
            versioned.add(parts[2])
    for service in services.keys() - versioned:
        yield f"{services[service]}: service {service!r} has no version"


def find_half_moves(tree: Tree) -> Iterator[str]:
    """Yield a fault for each move that lacks its target version, time or id."""
    wanted = ("move-to", "move-by", "move-id")
    for parts, branch in _split_places(tree):
        if len(parts) != 3:
            continue
        given = [name for name in wanted if name in branch.values]
        if given and len(given) < len(wanted):
            yield f"{branch.path}: a move needs {', '.join(wanted)}"


def find_shared_prefixes(tree: Tree) -> Iterator[str]:
    """Yield a fault where two routes claim one prefix for one method."""
    owners: dict[tuple[str, str, str], tuple[str, ...]] = {}
    for parts, branch in _split_places(tree):
        if len(parts) != ROUTE_LEVEL or "prefix" not in branch.values:
            continue
        text = branch.values.get("methods", "")
        for method in KEYS["methods"].parse("methods", text) or ("*",):
            where = (parts[0], parts[1])
            slot = (*where, branch.values["prefix"], method)
            other = owners.setdefault(slot, parts[2:])
            if other != parts[2:]:
                yield f"{branch.path}: prefix and method belong to {'/'.join(other)}"


CHECKS: dict[str, Callable[[Tree], Iterator[str]]] = {
    "routes": find_open_routes,
    "needs": find_open_needs,
    "versions": find_versionless_services,
    "moves": find_half_moves,
    "prefixes": find_shared_prefixes,
}
"""Checks that look at the whole tree, run once every branch is sound."""


def find_faults(tree: Tree) -> list[str]:
    """Return the faults of a whole version, at most `MAX_FAULTS` of them."""
    faults = list(find_bad_branches(tree))
    if not faults:
        faults = list(chain.from_iterable(check(tree) for check in CHECKS.values()))
    return faults[:MAX_FAULTS]


def check_tree(tree: Tree, step: str = "validate") -> Tree:
    """Return `tree`; raise `InvalidTree` with every fault when it has any."""
    faults = find_faults(tree)
    if faults:
        raise InvalidTree("; ".join(faults), step=step)
    return tree
