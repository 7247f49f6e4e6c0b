"""Messages between nodes about usage reports; `mesh.frames` has the others."""

import msgspec

from ..decoding import Count

__all__ = ["UsageHolder", "UsageReceipt", "UsageTotals"]


class UsageHolder(msgspec.Struct, array_like=True, tag=17):
    """State of the row of the usage duty, sent by the holder after each renewal."""

    holder: str
    token: Count
    version: Count
    """Version of the row; the lease of a version ends a fixed time after its write."""
    first: Count
    """First window that the platform has not acknowledged. Nodes keep its counts: the
    store may come back without those that it had fixed."""
    standby: str = ""
    """Node that gets the counts too, in case the holder dies; unknown if empty."""
    time_ms: Count = 0
    """Time that most nodes agree on, since 1970; 0 if unknown."""


class UsageTotals(msgspec.Struct, array_like=True, tag=18):
    """The calls that began at one node, by window and organisation, so far.

    Windows without changes since the last message over the link are left out.
    """

    node: str
    start_time: Count
    sequence: Count
    windows: dict[int, dict[str, Count]]
    until_ms: Count = 0
    """Time up to which the counts are complete; 0 if unknown or sent by another."""
    time_ms: Count = 0
    """Time by the sender's own clock; 0 if the totals are those of another node."""
    wants_receipt: bool = False
    first: Count = 0
    """First window that is not acknowledged, as far as the sender knows."""
    token: Count = 0
    """Highest token of a holder that the sender knows of."""


class UsageReceipt(msgspec.Struct, array_like=True, tag=19):
    """Confirms the totals with this number, which a stopping node has sent."""

    sequence: Count
