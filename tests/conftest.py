"""Fixtures shared by the tests."""

import random

import pytest

from cactusshed.observe.counters import Counters
from cactusshed.tree.branch import build_tree
from cactusshed.tree.edit import Edit, make_change, parse_tree_file
from standins.fleet import open_fleet

from .fakes import FakePort

BASIC = """
[/]
timeout-ms = 2000
[/sn-ouest]
slots = 10
[/*/*/texts]
version = v1
[/*/*/texts/read]
prefix = /texts
[/*/*/responses]
version = v1
needs = texts
[/*/*/responses/submit]
prefix = /responses
methods = POST
"""


@pytest.fixture
def rng():
    """Return a random generator with a fixed seed."""
    return random.Random(20261204)


@pytest.fixture
def counters():
    """Return fresh counters."""
    return Counters()


@pytest.fixture
def port():
    """Return a fake platform port."""
    return FakePort()


@pytest.fixture
def edits():
    """Return the edits that create a small valid tree."""
    values = parse_tree_file(BASIC)
    return tuple(Edit(path, found) for path, found in values.items())


@pytest.fixture
def tree(edits):
    """Return version 1: a small valid tree."""
    _, first_tree = make_change(build_tree(0, ()), "first", "tests", 0.0, edits)
    return first_tree


@pytest.fixture
def fleet(tmp_path):
    """Return a fleet in which only the platform is started."""
    with open_fleet(tmp_path) as fleet:
        yield fleet
