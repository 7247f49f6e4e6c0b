"""Local record of another node."""

import asyncio

import attrs

from ..clock import read_monotonic
from ..observe.lines import log_line
from ..options import Address
from ..policy.placement import LoadView
from .frames import TargetState
from .link import Link

__all__ = ["Member"]

CALL_MARGIN_SECONDS = 0.1
"""Time for a call to reach a node before that node refuses calls."""


@attrs.define(eq=False)
class Member:
    """Another node; `start_time` is in µs and changes when it restarts."""

    node: str
    address: Address
    data_centre: str = ""
    service: str = ""
    start_time: int = 0
    state: TargetState = attrs.Factory(TargetState)
    remembered: TargetState = attrs.Factory(TargetState)
    """Last state that named a target; sent back to the node after it has restarted."""
    last_change: int = 0
    """Version of the last change in the store that the node knows of."""
    version: int = 0
    """Version of the node's configuration."""
    link_mbps: float = 0.0
    is_leaving: bool = False
    accepts_until: float = float("inf")
    """Monotonic time until which the node accepts calls."""
    link: Link | None = None
    is_up: bool = False
    """Whether the link is open and the node has answered with its `Hello`."""
    view: LoadView = attrs.Factory(LoadView)
    last_seen: float = attrs.Factory(read_monotonic)
    hello_received: asyncio.Event = attrs.Factory(asyncio.Event)
    wake: asyncio.Event = attrs.Factory(asyncio.Event)
    """Ends the wait before the next dial, or the wait for the link to close."""

    def note_leaving(self, is_leaving: bool, accepts_ms: int) -> None:
        """Record whether the node is shutting down, and how long it accepts calls."""
        self.is_leaving = is_leaving
        self.accepts_until = float("inf")
        if is_leaving:
            seconds = accepts_ms / 1000 - CALL_MARGIN_SECONDS
            self.accepts_until = read_monotonic() + seconds

    def log_loss(self, calls: int) -> None:
        """Log that the link was lost, with the number of calls that it cut off."""
        log_line(
            "peer-lost",
            member=self.node,
            data_centre=self.data_centre,
            calls=calls,
            leaving=self.is_leaving,
        )
