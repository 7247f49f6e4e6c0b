"""Tests of the tree: inheritance, validation, digests and refused updates."""

import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from cactusshed.errors import InvalidTree, UpdateRefused
from cactusshed.tree.branch import build_tree
from cactusshed.tree.edit import Edit, apply_change, make_change, parse_tree_file
from cactusshed.tree.inherit import Location, explain_key
from cactusshed.tree.snapshot import dump_tree, load_tree
from cactusshed.tree.table import compile_table
from cactusshed.tree.validate import find_errors


def add_branch(tree, path, **values):
    """Return `tree` with one more branch."""
    named = {key.replace("_", "-"): value for key, value in values.items()}
    return make_change(tree, "more", "tests", 0.0, [Edit(path, named)])[1]


def test_lower_branch_overrides(tree):
    """A value is inherited until a more specific branch sets it."""
    location = Location("sn-ouest", "dakar", "texts", "read")
    assert_that(explain_key(tree, location, "slots").source, Equals("/sn-ouest"))
    extended = add_branch(tree, "/sn-ouest/dakar/texts", slots="4", version="v1")
    value = explain_key(extended, location, "slots")
    assert_that((value.value, value.source), Equals((4, "/sn-ouest/dakar/texts")))


@pytest.mark.parametrize(
    ("path", "values", "error"),
    [
        ("/*/*/texts/deep", {}, "has no prefix"),
        ("/*/*/nobody/read", {"prefix": "/n"}, "service 'nobody' has no branch"),
        ("/*/*/texts", {"version": "v1", "needs": "ghost"}, "'ghost' has no branch"),
        ("/", {"slots": "many"}, "/ slots: 'many' is not a whole number"),
        ("/", {"slots": "0"}, "/ slots: 0 is outside 1 to 10000"),
        ("/", {"colour": "red"}, "unknown key"),
        ("/*/*/texts", {"version": "v1", "move-to": "v2"}, "a move needs"),
        ("/sn-ouest", {"withdrawn": "yes"}, "may not be set at this level"),
        ("/*/*/texts/twin", {"prefix": "/texts"}, "belong to"),
        ("/*/*/lone", {"needs": "texts"}, "has no version"),
    ],
)
def test_invalid_versions_are_refused_with_error(tree, path, values, error):
    """A version with an error is refused as a whole, and the error is named."""
    new_tree = make_change(tree, "bad", "tests", 0.0, [Edit(path, values)])[1]
    assert_that("; ".join(find_errors(new_tree)), Contains(error))


def test_change_with_other_digest_is_refused(tree):
    """A change whose result differs from its digest is not applied."""
    change, _ = make_change(tree, "c", "tests", 0.0, [Edit("/", {"slots": "3"})])
    altered = attrs.evolve(change, edits=(Edit("/", {"slots": "4"}),))
    with pytest.raises(UpdateRefused):
        apply_change(tree, altered)


def test_change_out_of_order_is_refused(tree):
    """A change that does not follow the current version is not applied."""
    first, new_tree = make_change(tree, "c", "tests", 0.0, [Edit("/", {"slots": "3"})])
    second, _ = make_change(new_tree, "d", "tests", 0.0, [Edit("/", {"slots": "4"})])
    with pytest.raises(UpdateRefused):
        apply_change(tree, second)
    with pytest.raises(UpdateRefused):
        apply_change(new_tree, first)


def test_damaged_snapshot_is_refused(tree):
    """A snapshot loads with the same digest; a truncated or altered one is refused."""
    data = dump_tree(tree)
    assert_that(load_tree(data).digest, Equals(tree.digest))
    for cut in (data[:-1], data.replace(b"2000", b"2001"), b"", b"[]"):
        with pytest.raises(UpdateRefused):
            load_tree(cut)


def test_longest_prefix_wins(tree):
    """The route table finds the longest prefix that also allows the method."""
    new_tree = add_branch(
        tree, "/*/*/texts/draft", prefix="/texts/draft", methods="GET"
    )
    table = compile_table(new_tree, "sn-ouest", "dakar")
    assert_that(table.find_route("GET", "/texts/draft/1").name, Equals("draft"))
    assert_that(table.find_route("POST", "/texts/draft/1").name, Equals("read"))
    assert_that(table.find_route("GET", "/nothing"), Equals(None))


def test_prefix_matches_whole_segments(tree):
    """`/texts` matches `/texts` and paths below it, but not `/textsandmore`."""
    table = compile_table(tree, "sn-ouest", "dakar")
    assert_that(table.find_route("GET", "/texts").name, Equals("read"))
    assert_that(table.find_route("GET", "/textsandmore"), Equals(None))
    new_tree = add_branch(tree, "/*/*/texts/draft", prefix="/texts/draft")
    table = compile_table(new_tree, "sn-ouest", "dakar")
    assert_that(table.find_route("GET", "/texts/drafty").name, Equals("read"))
    new_tree = add_branch(tree, "/*/*/texts/all", prefix="/")
    table = compile_table(new_tree, "sn-ouest", "dakar")
    assert_that(table.find_route("GET", "/textsandmore").name, Equals("all"))


def test_malformed_tree_files_are_refused():
    """A tree file with a repeated section or key, or with bad syntax, is refused."""
    for text in ("[/]\na=1\na=2\n", "[/]\n[/]\n", "a = 1\n", "[/\n"):
        with pytest.raises(InvalidTree):
            parse_tree_file(text)


def test_empty_tree_has_no_error():
    """Version 0, the empty tree, is valid."""
    assert_that(find_errors(build_tree(0, ())), HasLength(0))


def test_progress_of_a_move_reaches_the_table(tree):
    """A step of a move changes the routes of its service.

    A table compiled from the previous one equals a table compiled from scratch.
    """
    keys = {"move_to": "v2", "move_by": "9", "move_id": "m1", "version": "v1"}
    moving = add_branch(tree, "/*/*/texts", **keys)
    before = compile_table(moving, "sn-ouest", "dakar")
    stepped = add_branch(
        moving, "/@moves/texts", move_id="m1", to="v2", share="0.25", state="running"
    )
    after = compile_table(stepped, "sn-ouest", "dakar", (moving, before))
    assert_that(after, Equals(compile_table(stepped, "sn-ouest", "dakar")))
    assert_that(after.find_route("GET", "/texts").move.share, Equals(0.25))
