"""Branches and versions of the settings tree.

A branch is named by its path: `/` is the root, `/REGION` a region,
`/REGION/DATA_CENTRE` a data centre, `/REGION/DATA_CENTRE/SERVICE` a service
and `/REGION/DATA_CENTRE/SERVICE/ROUTE` a route. In the path of a service or
route, `*` matches every data centre (`/REGION/*/SERVICE`) or every region and
data centre (`/*/*/SERVICE`).
"""

import hashlib
from collections.abc import Iterable, Mapping
from functools import cached_property

import attrs
import msgspec

from ..errors import InvalidTree
from ..options import BadOption, parse_name

__all__ = [
    "ANY",
    "MOVE_PROGRESS",
    "ROOT",
    "Branch",
    "Tree",
    "build_tree",
    "make_progress_path",
    "split_path",
]

ROOT = "/"
ANY = "*"
MOVE_PROGRESS = "@moves"
"""First path component of the branches that the move duty writes."""
MAX_DEPTH = 4
"""Path components of a route, the deepest branch."""


def split_path(path: str) -> tuple[str, ...]:
    """Return the components of a branch path; raise `InvalidTree` if it is invalid."""
    if path == ROOT:
        return ()
    if not path.startswith("/"):
        raise InvalidTree(f"path {path!r} does not start with /")
    parts = tuple(path[1:].split("/"))
    if len(parts) > MAX_DEPTH:
        raise InvalidTree(f"path {path!r} is deeper than a route")
    if parts[0] == MOVE_PROGRESS:
        _check_parts(path, parts[1:])
        if len(parts) != 2:
            raise InvalidTree(f"path {path!r} is not /{MOVE_PROGRESS}/SERVICE")
        return parts
    _check_parts(path, tuple(part for part in parts if part != ANY))
    _check_wildcards(path, parts)
    return parts


def make_progress_path(service: str) -> str:
    """Return the path of the branch that stores the progress of a move."""
    return f"/{MOVE_PROGRESS}/{service}"


def _check_parts(path: str, parts: tuple[str, ...]) -> None:
    try:
        for part in parts:
            parse_name("path", part)
    except BadOption as error:
        raise InvalidTree(f"{error} in {path!r}") from error


def _check_wildcards(path: str, parts: tuple[str, ...]) -> None:
    if ANY not in parts:
        return
    if len(parts) < 3 or ANY in parts[2:]:
        raise InvalidTree(f"path {path!r}: * is allowed only above a service")
    if parts[0] == ANY and parts[1] != ANY:
        raise InvalidTree(f"path {path!r}: a data centre under region * must be * too")


@attrs.frozen(slots=False, eq=False)
class Branch:
    """The values set at one branch, and the version that last changed it.

    Versions share the objects of unchanged branches, so the cached properties
    and validation results of a branch stay valid in later versions.
    """

    path: str
    values: Mapping[str, str]
    version: int

    @cached_property
    def parts(self) -> tuple[str, ...]:
        """Return the components of the path; raise `InvalidTree` if it is invalid."""
        return split_path(self.path)

    @cached_property
    def digest(self) -> bytes:
        """Return the 32-byte SHA-256 digest of path, values and version."""
        content = (self.path, sorted(self.values.items()), self.version)
        return hashlib.sha256(msgspec.json.encode(content)).digest()


@attrs.frozen(slots=False)
class Tree:
    """One immutable version of the whole configuration."""

    number: int
    branches: Mapping[str, Branch]

    @cached_property
    def digest(self) -> str:
        """Return the hexadecimal SHA-256 digest of number and branches."""
        hasher = hashlib.sha256(str(self.number).encode())
        for path in sorted(self.branches):
            hasher.update(self.branches[path].digest)
        return hasher.hexdigest()


def build_tree(number: int, branches: Iterable[Branch]) -> Tree:
    """Return version `number` of the tree, made of `branches`."""
    return Tree(number, {branch.path: branch for branch in branches})
