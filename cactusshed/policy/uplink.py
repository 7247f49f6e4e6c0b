"""Share of a host's link that large answers may use, and which of them are begun.

Load pattern: answers of some 100 KB are asked for at a rate that fills the link of the
target's host. In the link's own queue they delay everything else that the host sends:
results of small calls miss their deadlines, their callers fail in turn, and other nodes
take the silent links for lost. So large answers are sent at the rate that the link has
left, one after the other, and one that could not be sent in time is not begun.
"""

import attrs

__all__ = ["AnswerSizes", "Uplink", "make_uplink"]

BULK_BYTES = 32 << 10
"""Mean answer size from which a route's answers are paced: smaller ones take a slow
link for less than the time of a usual request."""
SMOOTHING = 0.1
"""Weight of one answer in the mean size of its route."""
LINK_FRACTION = 0.9
"""Fraction of the link's rate that is used; the rest covers the headers of packets and
what arrives at once."""
BURST_BYTES = 32 << 10
"""Bytes that may be sent at once after a pause."""

MAX_DEBT_SECONDS = 2.0
"""Time for which bytes that were sent at once hold back large answers. Bytes of links
that have broken are charged too, though they were never sent."""


@attrs.define
class AnswerSizes:
    """Mean answer sizes by route, in bytes."""

    _means: dict[str, float] = attrs.Factory(dict)

    def note(self, route: str, size: int) -> None:
        """Record the size of an answer."""
        mean = self._means.get(route, size)
        self._means[route] = mean + SMOOTHING * (size - mean)

    def get_bulk_bytes(self, route: str) -> int:
        """Return the mean size of a route's answers, 0 if they are not large."""
        mean = self._means.get(route, 0.0)
        return int(mean) if mean >= BULK_BYTES else 0


@attrs.define
class Uplink:
    """Use of a host's link; times are in monotonic seconds.

    All bytes that are sent count; only large answers are held back for them.
    """

    bytes_per_second: float
    sizes: AnswerSizes = attrs.Factory(AnswerSizes)
    committed: int = 0
    """Expected bytes of the large answers of calls that were accepted."""
    unsent: int = 0
    """Bytes of the large answers that wait to be sent."""
    _tokens: float = BURST_BYTES
    _charged: int = 0
    _updated_at: float = 0.0

    def charge(self, size: int) -> None:
        """Count bytes that were handed to the link."""
        self._charged += size

    def _fill(self, now: float) -> None:
        gained = (now - self._updated_at) * self.bytes_per_second
        tokens = self._tokens + gained - self._charged
        lowest = -MAX_DEBT_SECONDS * self.bytes_per_second
        self._tokens = max(lowest, min(BURST_BYTES, tokens))
        self._charged = 0
        self._updated_at = now

    def settle(self, now: float) -> None:
        """Settle the account; called often, so that a pause pays for no later bytes."""
        self._fill(now)

    def compute_pause(self, now: float) -> float:
        """Return the seconds until the next part of a large answer may be sent."""
        self._fill(now)
        return max(0.0, -self._tokens / self.bytes_per_second)

    def accept(self, route: str) -> int:
        """Count an accepted call; return the bytes to pass to `release`."""
        size = self.sizes.get_bulk_bytes(route)
        self.committed += size
        return size

    def release(self, size: int) -> None:
        """Drop the expected bytes of a call whose answer is known or won't come."""
        self.committed -= size

    def estimate_wait(self, now: float) -> float:
        """Return the seconds until the link has sent what it is bound to send."""
        pending = self.committed + self.unsent
        return self.compute_pause(now) + pending / self.bytes_per_second

    def estimate_transfer(self, route: str, now: float) -> float:
        """Return the seconds until a large answer would be sent; 0 for small ones.

        It is 0 on a link with nothing to send, too: an answer that takes longer than
        its soft deadline by itself is begun there, and shows the present size.
        """
        size = self.sizes.get_bulk_bytes(route)
        wait = self.estimate_wait(now)
        if not size or not wait:
            return 0.0
        return wait + size / self.bytes_per_second

    def estimate_delivery(self, size: int, now: float) -> float:
        """Return the seconds until a caller would have an answer of another host."""
        return self.estimate_wait(now) + size / self.bytes_per_second


def make_uplink(link_mbps: float) -> Uplink | None:
    """Return the state of a link, `None` if its rate is not known."""
    if link_mbps <= 0:
        return None
    return Uplink(LINK_FRACTION * link_mbps * 1e6 / 8)
