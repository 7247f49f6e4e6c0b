"""Duties: moves of services between versions, run by one node under a lease."""
