"""Branches of the tree and whole versions of it.

A path names a branch: `/` is the root, `/REGION` a region,
`/REGION/DATA_CENTRE` a data centre, `/REGION/DATA_CENTRE/SERVICE` a service
and `/REGION/DATA_CENTRE/SERVICE/ROUTE` a route. For services and routes `*`
stands for every data centre, or every region and data centre.
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
    "PROGRESS",
    "ROOT",
    "Branch",
    "Tree",
    "build_tree",
    "make_progress_path",
    "split_path",
]

ROOT = "/"
ANY = "*"
PROGRESS = "@moves"
"""First part of the branches that the move duty writes, `/@moves/SERVICE`."""
MAX_DEPTH = 4


def split_path(path: str) -> tuple[str, ...]:
    """Return the parts of a branch path; raise `InvalidTree` when it is bad."""
    if path == ROOT:
        return ()
    if not path.startswith("/"):
        raise InvalidTree(f"path {path!r} does not start with /")
    parts = tuple(path[1:].split("/"))
    if len(parts) > MAX_DEPTH:
        raise InvalidTree(f"path {path!r} is deeper than a route")
    if parts[0] == PROGRESS:
        _check_parts(path, parts[1:])
        if len(parts) != 2:
            raise InvalidTree(f"path {path!r} is not /{PROGRESS}/SERVICE")
        return parts
    _check_parts(path, tuple(part for part in parts if part != ANY))
    _check_wildcards(path, parts)
    return parts


def make_progress_path(service: str) -> str:
    """Return the path of the branch that holds the progress of a move."""
    return f"/{PROGRESS}/{service}"


def _check_parts(path: str, parts: tuple[str, ...]) -> None:
    try:
        for part in parts:
            parse_name("path", part)
    except BadOption as bad:
        raise InvalidTree(f"{bad} in {path!r}") from bad


def _check_wildcards(path: str, parts: tuple[str, ...]) -> None:
    if ANY not in parts:
        return
    if len(parts) < 3 or ANY in parts[2:]:
        raise InvalidTree(f"path {path!r}: * stands only above a service")
    if parts[0] == ANY and parts[1] != ANY:
        raise InvalidTree(f"path {path!r}: a data centre needs its region")


@attrs.frozen(slots=False, eq=False)
class Branch:
    """The values set at one branch, and the change that last touched it.

    A branch that a change does not touch is the same object in both versions,
    so what was worked out for it once holds for later versions.
    """

    path: str
    values: Mapping[str, str]
    version: int

    @cached_property
    def parts(self) -> tuple[str, ...]:
        """Return the parts of the path; raise `InvalidTree` when it is bad."""
        return split_path(self.path)

    @cached_property
    def digest(self) -> bytes:
        """Return the 32-byte SHA-256 digest of path, values and version."""
        plain = (self.path, sorted(self.values.items()), self.version)
        return hashlib.sha256(msgspec.json.encode(plain)).digest()


@attrs.frozen(slots=False)
class Tree:
    """One whole version of the configuration; never changed once built."""

    number: int
    branches: Mapping[str, Branch]

    @cached_property
    def digest(self) -> str:
        """Return the hexadecimal SHA-256 digest over all branches."""
        total = hashlib.sha256(str(self.number).encode())
        for path in sorted(self.branches):
            total.update(self.branches[path].digest)
        return total.hexdigest()


def build_tree(number: int, branches: Iterable[Branch]) -> Tree:
    """Return a tree of `branches` as version `number`."""
    return Tree(number, {branch.path: branch for branch in branches})
