"""Another node, as this one knows it."""

import asyncio

import attrs

from ..clock import read_monotonic
from ..options import Address
from ..policy.place import LoadView
from .frames import TargetState
from .link import Link

__all__ = ["Member"]


@attrs.define(eq=False)
class Member:
    """Another node; `born` tells its lives apart."""

    node: str
    address: Address
    data_centre: str = ""
    service: str = ""
    born: int = 0
    state: TargetState = attrs.Factory(TargetState)
    remembered: TargetState = attrs.Factory(TargetState)
    """The last state in which the node knew its target, for its next life."""
    changed: int = 0
    version: int = 0
    link_mbps: float = 0.0
    is_leaving: bool = False
    link: Link | None = None
    is_up: bool = False
    view: LoadView = attrs.Factory(LoadView)
    seen: float = attrs.Factory(read_monotonic)
    greeted: asyncio.Event = attrs.Factory(asyncio.Event)
    woken: asyncio.Event = attrs.Factory(asyncio.Event)
