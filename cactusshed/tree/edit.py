"""Edits: how a change turns one version into the next."""

import configparser
from collections.abc import Iterable, Mapping

import attrs

from ..errors import InvalidTree, UpdateRefused
from .branch import Branch, Tree

__all__ = ["Change", "Edit", "apply_change", "make_change", "parse_tree_file"]

MAX_TREE_FILE_CHARS = 4 << 20


@attrs.frozen
class Edit:
    """New values of one branch; `None` for `values` removes the branch."""

    path: str
    values: dict[str, str] | None


@attrs.frozen
class Change:
    """An accepted step from version `number - 1` to `number`."""

    number: int
    change_id: str
    author: str
    time: float
    edits: tuple[Edit, ...]
    digest: str


def make_change(
    tree: Tree, change_id: str, author: str, time: float, edits: Iterable[Edit]
) -> tuple[Change, Tree]:
    """Return the change after `tree` that `edits` make, and the new tree."""
    number = tree.number + 1
    kept = tuple(edits)
    grown = _replace_branches(tree, number, kept)
    return Change(number, change_id, author, time, kept, grown.digest), grown


def apply_change(tree: Tree, change: Change) -> Tree:
    """Return the tree after `change`; raise `UpdateRefused` when it misfits."""
    if change.number != tree.number + 1:
        raise UpdateRefused(
            f"change {change.number} does not follow version {tree.number}",
            step="apply change",
        )
    grown = _replace_branches(tree, change.number, change.edits)
    if grown.digest != change.digest:
        raise UpdateRefused(
            f"digest of version {change.number} differs", step="apply change"
        )
    return grown


def _replace_branches(tree: Tree, number: int, edits: Iterable[Edit]) -> Tree:
    branches = dict(tree.branches)
    for edit in edits:
        if edit.values is None:
            branches.pop(edit.path, None)
        else:
            branches[edit.path] = Branch(edit.path, dict(edit.values), number)
    return Tree(number, branches)


def parse_tree_file(text: str) -> Mapping[str, dict[str, str]]:
    """Return the values of each branch that an INI tree file names by path."""
    if len(text) > MAX_TREE_FILE_CHARS:
        raise InvalidTree("tree file is too large", step="parse tree file")
    parser = configparser.ConfigParser(
        interpolation=None, default_section="\0", delimiters=("=",)
    )
    parser.optionxform = str
    try:
        parser.read_string(text)
    except configparser.Error as error:
        message = str(error).replace("\n", " ")
        raise InvalidTree(message, step="parse tree file") from error
    return {section: dict(parser.items(section)) for section in parser.sections()}
