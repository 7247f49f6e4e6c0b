"""When the holder of a lease may act, and when another node may take the lease over.

Used by every lease of the product, whatever the row that holds it. Times are inputs;
each user reads the clock that suits it.

Load pattern: a holder that ends, freezes, is suspended or cut off, while several other
nodes could take the lease over at once.
"""

import attrs

__all__ = ["LeaseTerms", "choose_next_token", "has_ended"]


@attrs.frozen
class LeaseTerms:
    """Rules of one lease; all times are in seconds.

    `length` is the time after which a lease that is not renewed has ended for other
    nodes. The holder stops acting `margin` earlier, so that what it has begun arrives
    before another node acts. Candidates follow each other by `rank_delay`, so that
    usually only the first of them writes the row.
    """

    length: float
    margin: float = 0.0
    rank_delay: float = 0.0

    def compute_act_end(self, started: float) -> float:
        """Return until when a holder may act whose last renewal began at `started`.

        It counts from the start of the write, since the write may take effect at once,
        and its answer may come late.
        """
        return started + self.length - self.margin

    def compute_end(self, since: float) -> float:
        """Return the end of the lease for other nodes, if not renewed after `since`."""
        return since + self.length

    def may_take_over(self, since: float, now: float, rank: int = 0) -> bool:
        """Return whether the candidate of `rank` may take over a lease.

        `since` is when the lease was renewed, or a later time at which the candidate
        learned of the renewal.
        """
        return has_ended(self.compute_end(since) + rank * self.rank_delay, now)


def has_ended(end: float, now: float) -> bool:
    """Return whether a lease that ends at `end` has ended for other nodes."""
    return now >= end


def choose_next_token(token: int) -> int:
    """Return the fencing token of the next holder, given that of the last one."""
    return token + 1
