"""Edits and changes, which turn one version of the tree into the next."""

import configparser
from collections.abc import Iterable, Mapping

import attrs

from ..errors import InvalidTree, UpdateRefused
from .branch import Branch, Tree

__all__ = ["Change", "Edit", "apply_change", "make_change", "parse_tree_file"]

MAX_TREE_FILE_CHARS = 4 << 20


@attrs.frozen
class Edit:
    """Replacement of the values of one branch; `None` removes the branch."""

    path: str
    values: dict[str, str] | None


@attrs.frozen
class Change:
    """An accepted change from version `number - 1` to version `number`."""

    number: int
    change_id: str
    author: str
    time: float
    edits: tuple[Edit, ...]
    digest: str


def make_change(
    tree: Tree, change_id: str, author: str, time: float, edits: Iterable[Edit]
) -> tuple[Change, Tree]:
    """Return the change that applies `edits` to `tree`, and the resulting tree."""
    number = tree.number + 1
    all_edits = tuple(edits)
    new_tree = _replace_branches(tree, number, all_edits)
    return Change(number, change_id, author, time, all_edits, new_tree.digest), new_tree


def apply_change(tree: Tree, change: Change) -> Tree:
    """Return `tree` with `change` applied.

    Raises `UpdateRefused` if `change` does not follow `tree` or if the result
    differs from the digest of `change`.
    """
    if change.number != tree.number + 1:
        raise UpdateRefused(
            f"change {change.number} does not follow version {tree.number}",
            step="apply change",
        )
    new_tree = _replace_branches(tree, change.number, change.edits)
    if new_tree.digest != change.digest:
        raise UpdateRefused(
            f"digest of version {change.number} does not match", step="apply change"
        )
    return new_tree


def _replace_branches(tree: Tree, number: int, edits: Iterable[Edit]) -> Tree:
    branches = dict(tree.branches)
    for edit in edits:
        if edit.values is None:
            branches.pop(edit.path, None)
        else:
            branches[edit.path] = Branch(edit.path, dict(edit.values), number)
    return Tree(number, branches)


def parse_tree_file(text: str) -> Mapping[str, dict[str, str]]:
    """Parse an INI tree file, whose sections are branch paths."""
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
