"""Choice of an endpoint: filters over endpoints, then two random choices."""

import random
from collections.abc import Callable, Iterable, Iterator

from ..member.records import Member, State
from ..member.view import Endpoint
from ..tree.table import Table

__all__ = ["order_endpoints", "select_open", "select_version", "split_tiers"]

FULL_TIER = 3
AVOIDED_TIER = 4


def select_open(endpoints: Iterable[Endpoint], table: Table) -> Iterator[Endpoint]:
    """Yield the endpoints that operators have neither drained nor withdrawn."""
    for endpoint in endpoints:
        if endpoint.member.data_centre in table.withdrawn:
            continue
        if endpoint.member.node in table.drained:
            continue
        if endpoint.target.name in table.drained:
            continue
        yield endpoint


def select_version(endpoints: Iterable[Endpoint], version: str) -> Iterator[Endpoint]:
    """Yield the endpoints that run `version`."""
    for endpoint in endpoints:
        if endpoint.target.version == version:
            yield endpoint


def split_tiers(
    endpoints: Iterable[Endpoint],
    own: Member,
    is_full: Callable[[Endpoint], bool],
    is_avoided: Callable[[Endpoint], bool],
) -> list[list[Endpoint]]:
    """Return the endpoints by preference: same data centre, same region, others.

    Those known to be full come after all of these, suspects and those that
    failed lately come last.
    """
    tiers: list[list[Endpoint]] = [[] for _ in range(AVOIDED_TIER + 1)]
    for endpoint in endpoints:
        tiers[_choose_tier(endpoint, own, is_full, is_avoided)].append(endpoint)
    return [tier for tier in tiers if tier]


def _choose_tier(endpoint, own, is_full, is_avoided) -> int:
    member = endpoint.member
    if member.state == State.SUSPECT or is_avoided(endpoint):
        return AVOIDED_TIER
    if is_full(endpoint):
        return FULL_TIER
    if member.data_centre == own.data_centre:
        return 0
    return 1 if member.region == own.region else 2


def order_endpoints(
    tiers: Iterable[list[Endpoint]],
    get_load: Callable[[Endpoint], float],
    rng: random.Random,
) -> Iterator[Endpoint]:
    """Yield endpoints one tier after the other, the better of two each time.

    The power of two random choices after Mitzenmacher (2001); an endpoint is
    yielded once, so a refused call goes on to others.
    """
    for tier in tiers:
        rest = list(tier)
        while rest:
            pair = rng.sample(range(len(rest)), min(2, len(rest)))
            best = min(pair, key=lambda index: get_load(rest[index]))
            rest[best], rest[-1] = rest[-1], rest[best]
            yield rest.pop()
