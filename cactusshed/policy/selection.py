"""Endpoint selection: filters, preference tiers, the better of two random choices."""

import random
from collections.abc import Callable, Iterable, Iterator

from ..member.records import Member, State
from ..member.view import Endpoint
from ..tree.table import Table

__all__ = ["order_endpoints", "select_open", "select_version", "split_tiers"]

FULL_TIER = 3
AVOIDED_TIER = 4


def select_open(endpoints: Iterable[Endpoint], table: Table) -> Iterator[Endpoint]:
    """Yield the endpoints that are neither drained nor withdrawn by operators."""
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
    local_member: Member,
    is_full: Callable[[Endpoint], bool],
    is_avoided: Callable[[Endpoint], bool],
) -> list[list[Endpoint]]:
    """Group the endpoints by preference: same data centre, same region, others.

    Full endpoints follow, then those that are suspected down or being avoided.
    """
    tiers: list[list[Endpoint]] = [[] for _ in range(AVOIDED_TIER + 1)]
    for endpoint in endpoints:
        tiers[_choose_tier(endpoint, local_member, is_full, is_avoided)].append(
            endpoint
        )
    return [tier for tier in tiers if tier]


def _choose_tier(endpoint, local_member, is_full, is_avoided) -> int:
    member = endpoint.member
    if member.state == State.SUSPECT or is_avoided(endpoint):
        return AVOIDED_TIER
    if is_full(endpoint):
        return FULL_TIER
    if member.data_centre == local_member.data_centre:
        return 0
    return 1 if member.region == local_member.region else 2


def order_endpoints(
    tiers: Iterable[list[Endpoint]],
    get_load: Callable[[Endpoint], float],
    rng: random.Random,
) -> Iterator[Endpoint]:
    """Yield endpoints tier by tier, each time the less loaded of two random ones.

    This is the power of two random choices (Mitzenmacher, 2001). Each endpoint is
    yielded once, so a refused call is tried on other endpoints.
    """
    for tier in tiers:
        remaining = list(tier)
        while remaining:
            pair = rng.sample(range(len(remaining)), min(2, len(remaining)))
            best = min(pair, key=lambda index: get_load(remaining[index]))
            remaining[best], remaining[-1] = remaining[-1], remaining[best]
            yield remaining.pop()
