"""Queue of member records and strikes to be gossiped to peers."""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterator

from ..wire import control_pb2 as pb
from .records import Member, dump_member

__all__ = ["Rumors"]

SPREAD_FACTOR = 3
"""Each rumour is sent this many times the logarithm of the number of members."""
PACKET_BYTES = 1_200
"""Maximum size of a gossip packet."""
MAX_STRIKES = 256


class Rumors:
    """Pending records and strikes, each with the number of times it was sent.

    Infection-style dissemination after Das, Gupta and Motivala, "SWIM:
    Scalable Weakly-consistent Infection-style Process Group Membership" (2002).
    """

    def __init__(self, count_members: Callable[[], int]) -> None:
        """Limit transmissions by the number of members that `count_members` returns."""
        self._count_members = count_members
        self._members: OrderedDict[str, tuple[pb.Member, int]] = OrderedDict()
        self._strikes: OrderedDict[bytes, tuple[pb.Strike, int]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._members) + len(self._strikes)

    def add_member(self, member: Member) -> None:
        """Queue `member`; it replaces an older record of the same node."""
        self._members[member.node] = (dump_member(member), 0)
        self._members.move_to_end(member.node, last=False)

    def add_strike(self, strike: pb.Strike) -> None:
        """Queue `strike`, unless the queue is full."""
        if len(self._strikes) < MAX_STRIKES:
            self._strikes[strike.id] = (strike, 0)
            self._strikes.move_to_end(strike.id, last=False)

    def fill(self, packet: pb.Packet) -> pb.Packet:
        """Add to `packet` the least often sent rumours that fit, and return it.

        Strikes get at most a quarter of the free space.
        """
        free_bytes = PACKET_BYTES - packet.ByteSize()
        packet.strikes.extend(self._select(self._strikes, free_bytes // 4))
        packet.rumors.extend(self._select(self._members, free_bytes - free_bytes // 4))
        return packet

    def _select(self, pending: OrderedDict, free_bytes: int) -> Iterator:
        """Yield rumours from the front of the queue until `free_bytes` are used.

        A rumour that was sent moves to the back, or is dropped when it has
        reached its number of transmissions. New rumours enter at the front, so
        the least often sent come first without sorting.
        """
        limit = SPREAD_FACTOR * math.ceil(math.log2(self._count_members() + 2))
        for _ in range(len(pending)):
            key, (rumor, sent) = next(iter(pending.items()))
            size = rumor.ByteSize() + 4
            if size > free_bytes:
                return
            free_bytes -= size
            if sent + 1 >= limit:
                del pending[key]
            else:
                pending[key] = (rumor, sent + 1)
                pending.move_to_end(key)
            yield rumor
