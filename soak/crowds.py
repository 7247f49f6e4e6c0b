"""Crowds of clients that keep to no rule, as a fault at one node."""

import asyncio
from typing import TYPE_CHECKING

from cactusshed.options import parse_address
from standins.crowd import CROWDS, open_crowd

from .node import Node

if TYPE_CHECKING:
    from .injector import Injector

__all__ = ["crowd_listener"]

CROWD_SIZE = 200
"""Connections: with bodies of 64 KiB, more than a node has for all bodies."""
LISTENERS = ("outbound", "outbound", "inbound", "control", "ready")


async def crowd_listener(injector: "Injector", node: Node) -> None:
    """Hold connections with partial requests at a listener of a node."""
    data = CROWDS[injector.rng.choice(sorted(CROWDS))]
    listen = node.settings["listen"][injector.rng.choice(LISTENERS)]
    async with open_crowd(parse_address("listen", listen), data, CROWD_SIZE):
        await asyncio.sleep(injector.draw_duration())
