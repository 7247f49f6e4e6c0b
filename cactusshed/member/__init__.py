"""Membership: which nodes and targets there are."""
