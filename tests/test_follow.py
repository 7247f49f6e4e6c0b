"""Following: failover to another parent, without flapping."""

import attrs
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cactusshed.member.records import Member
from cactusshed.member.view import View
from cactusshed.observe.counters import Counters
from cactusshed.settings import parse_settings
from cactusshed.spread.activeversion import ActiveVersion
from cactusshed.spread.follower import Follower
from cactusshed.spread.reports import Reports

from .test_settings import GOOD


def make_follower(count):
    """Return the follower of the node that ranks last of `count`."""
    members = [
        Member(f"n{i}", "r", "d", "127.0.0.1", 1 + i, 1 + i, 1) for i in range(count)
    ]
    ranking_view = View(members[0], lambda _member: None)
    for member in members:
        ranking_view.merge(member, 0.0)
    last = ranking_view.list_live("d")[-1]
    view = View(last, lambda _member: None)
    for member in members:
        view.merge(member, 0.0)
    settings = attrs.evolve(parse_settings(GOOD), node=last.node)
    current = ActiveVersion("r", "d", Counters())
    reports = Reports(last.node, current, lambda: 0)
    return Follower(settings, current, view, reports, Counters())


def test_failed_parent_is_avoided():
    """After a failure the next parent is preferred, also after a confirmation.

    Otherwise a node would return to the failed parent at once.
    """
    follower = make_follower(40)
    first, second = follower._list_parents()[:2]
    assert_that(follower._is_preferred(first), Equals(True))
    follower._record_failure(first)
    assert_that(follower._is_preferred(second), Equals(True))
    follower.current.confirm(follower.current.clock())
    assert_that(follower._is_fresh(), Equals(True))
    assert_that(follower._is_preferred(second), Equals(True))


def test_failed_parents_are_tried_again():
    """If every parent has failed, the one that failed first is tried first."""
    follower = make_follower(40)
    parents = follower._list_parents()
    for member in parents:
        follower._record_failure(member)
    assert_that(follower._list_parents(), Equals(parents))
