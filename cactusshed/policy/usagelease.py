"""When a node may act as the holder of the usage duty, and when it may take it over.

All times are seconds of `CLOCK_BOOTTIME`, which also runs while a host is suspended.
"""

from collections.abc import Iterable

import attrs
import xxhash

from .leases import LeaseTerms

__all__ = [
    "DutyWatch",
    "LeaseTimes",
    "choose_receivers",
    "find_rank",
    "is_minority",
    "rank_nodes",
]

RANK_DELAY_SECONDS = 0.5
"""Delay of each candidate after the one before: a read, a write and a message to the
other nodes take less, so that one candidate usually reads the row."""
WEAK_DELAY_LEASES = 4
"""Additional leases for which a node that reaches less than half of the fleet waits for
a candidate that reaches more."""


@attrs.frozen
class LeaseTimes:
    """Times that follow from the length of the lease."""

    lease: float

    @property
    def terms(self) -> LeaseTerms:
        """Return the rules of the lease; the margin covers a report on its way."""
        return LeaseTerms(self.lease, self.lease / 6, RANK_DELAY_SECONDS)

    @property
    def renew(self) -> float:
        """Return the interval of renewals; two may fail before the lease ends."""
        return self.lease / 3

    @property
    def min_send(self) -> float:
        """Return the remaining validity needed to start sending a report."""
        return self.lease / 4

    @property
    def unreachable(self) -> float:
        """Return the time for which a holder may get no answer from the platform's API.

        Then it leaves the duty to another node, which may reach the API. Together with
        the takeover, a report is then still sent 8 s after its window.
        """
        return self.lease * 0.8


@attrs.define
class DutyWatch:
    """What a node knows of the duty's row, and when it may take the duty over.

    The lease of the row's version has ended once the version is unchanged for the
    length of the lease since this node first saw it, as the holder renewed it before.

    Load pattern: a holder that was killed, frozen, suspended or cut off, while all
    other nodes would like to read the row at once.
    """

    times: LeaseTimes
    started_at: float
    holder: str = ""
    token: int = 0
    """Highest token seen; after a return of the store its row may have a lower one."""
    first: int = 0
    """First window that the platform has not acknowledged, as far as known."""
    version: int = 0
    seen_at: float | None = None
    """When the row's present version was first seen; `None` before that."""
    next_try: float = float("-inf")
    rests_until: float = float("-inf")
    """Time before which this node, having given up the duty, does not take it."""

    def note(
        self, holder: str, token: int, version: int, now: float, first: int = 0
    ) -> bool:
        """Record the row's version as seen at `now`; return whether it is newer."""
        if version <= self.version:
            return False
        self.holder, self.version = holder, version
        self.note_known(first, token)
        self.seen_at = now
        self.next_try = float("-inf")
        return True

    def note_known(self, first: int, token: int) -> None:
        """Record what a node knows, which may be more than the row holds."""
        self.first = max(self.first, first)
        self.token = max(self.token, token)

    def rest(self, now: float) -> None:
        """Leave the duty to other nodes for a while."""
        self.rests_until = now + 3 * self.times.lease

    def is_due(self, now: float, rank: int, *, is_weak: bool) -> bool:
        """Return whether to read the row in order to take the duty over."""
        if now < self.next_try or now < self.rests_until:
            return False
        if self.seen_at is None:
            # The holder may tell this node of the row for half a lease after its start.
            since = self.started_at - self.times.lease / 2
        else:
            since = self.seen_at
        if is_weak:
            since += WEAK_DELAY_LEASES * self.times.lease
        return self.times.terms.may_take_over(since, now, rank)

    def may_take(self, version: int, now: float) -> bool:
        """Return whether the lease of the row that was read has certainly ended."""
        if version != self.version or self.seen_at is None:
            return False
        return self.times.terms.may_take_over(self.seen_at, now)

    def postpone(self, now: float, nodes: int) -> None:
        """Try again once all other candidates have had their turn."""
        self.next_try = now + max(self.times.lease, nodes * RANK_DELAY_SECONDS)


def rank_nodes(names: Iterable[str]) -> list[str]:
    """Return the nodes in the order in which they take the duty over.

    The order is by hash, so that the nodes of one data centre, which are often cut off
    together, don't follow each other.
    """
    return sorted(names, key=lambda name: (xxhash.xxh64_intdigest(name.encode()), name))


def find_rank(node: str, names: Iterable[str]) -> int:
    """Return the number of nodes among `names` that come before `node`."""
    return rank_nodes({node, *names}).index(node)


def choose_receivers(holder: str, standby: str, staying: Iterable[str]) -> set[str]:
    """Return the nodes that get the counts: the holder and its standby.

    If neither is among `staying`, the other nodes that are up and not leaving, the next
    two candidates get them as well: a node that dies then loses no more than otherwise.
    """
    names, staying = {holder, standby}, list(staying)
    if names.isdisjoint(staying):
        names.update(rank_nodes(staying)[:2])
    return names


def is_minority(connected: int, known: int) -> bool:
    """Return whether a node reaches less than half of the fleet, itself included."""
    return 2 * connected < known
