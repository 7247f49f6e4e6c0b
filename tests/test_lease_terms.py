"""The decision of all leases: until when to act, when to take over, the next token."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is

from cactusshed.policy.leases import LeaseTerms, choose_next_token, has_ended
from cactusshed.policy.usagelease import LeaseTimes
from cactusshed.store.lease import LEASE_SECONDS, MARGIN_SECONDS, TERMS

TERMS_OF_USAGE = LeaseTimes(3.0).terms
SECONDS = st.floats(0.0, 1e6)


def test_terms_of_each_lease():
    """Guards against changed times, on which nodes of the previous build rely."""
    assert_that(TERMS, Equals(LeaseTerms(LEASE_SECONDS, MARGIN_SECONDS)))
    assert_that(TERMS.compute_act_end(100.0), Equals(104.5))
    assert_that(TERMS.compute_end(100.0), Equals(106.0))
    assert_that(TERMS_OF_USAGE, Equals(LeaseTerms(3.0, 0.5, 0.5)))
    assert_that(TERMS_OF_USAGE.compute_act_end(100.0), Equals(102.5))


@pytest.mark.parametrize("terms", [TERMS, TERMS_OF_USAGE])
@given(started=SECONDS, committed=SECONDS, learned=SECONDS, rank=st.integers(0, 100))
def test_no_two_holders_act_at_once(terms, started, committed, learned, rank):
    """Guards against a takeover before the holder has stopped acting.

    The write takes effect after it began, and others learn of it later still.
    """
    act_end = terms.compute_act_end(started)
    since = started + committed + learned
    assert_that(terms.may_take_over(since, act_end, rank), Is(False))
    assert_that(terms.compute_end(since), GreaterThan(act_end))


def test_candidates_follow_each_other():
    """Guards against candidates that all write the row at the same time."""
    terms = LeaseTerms(2.5, rank_delay=0.5)
    found = [
        [terms.may_take_over(10.0, 12.5 + delay, rank) for delay in (-0.1, 0.0, 0.5)]
        for rank in range(3)
    ]
    expected = [[False, True, True], [False, False, True], [False, False, False]]
    assert_that(found, Equals(expected))


def test_lease_ends_at_its_end():
    """Guards against a lease that another node takes while it lasts."""
    assert_that([has_ended(6.0, now) for now in (5.9, 6.0)], Equals([False, True]))


def test_next_token_is_higher():
    """Guards against two holders with one token."""
    assert_that(choose_next_token(4), Equals(5))
