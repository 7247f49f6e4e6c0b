"""Traffic split between the old and the new version during a move in `serve`."""

import random

from ..tree.table import Route

__all__ = ["choose_version", "list_versions"]


def choose_version(route: Route, is_banned: bool, rng: random.Random) -> str:
    """Return the version that a call is sent to.

    If `is_banned`, this node has seen the new version fail and sends the call to
    the old version.
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
    """Return the versions to try, in order, if the chosen one has no capacity.

    A call for the new version may fall back to the old one. The reverse is not
    allowed before the move is done, as it would raise the new version's share.
    """
    if route.move is not None and chosen != route.version:
        return [chosen, route.version]
    return [chosen]
