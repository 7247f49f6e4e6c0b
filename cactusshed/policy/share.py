"""Share of calls that a new version gets."""

import random

from ..tree.table import Route

__all__ = ["choose_version", "list_versions"]


def choose_version(route: Route, is_banned: bool, rng: random.Random) -> str:
    """Return the version that one call goes to.

    `is_banned` says that this node has seen the new version fail and sends it
    nothing more until the move has ended.
    """
    move = route.move
    if move is None:
        return route.version
    if move.state == "done" and not is_banned:
        return move.to
    if move.state == "running" and not is_banned and rng.random() < move.share:
        return move.to
    return route.version


def list_versions(route: Route, chosen: str) -> list[str]:
    """Return the versions to try in order, should the chosen one have no room.

    A call meant for the new version may fall back on the old one. The other
    way round is not allowed before a move is done: it would raise the share.
    """
    if route.move is not None and chosen != route.version:
        return [chosen, route.version]
    return [chosen]
