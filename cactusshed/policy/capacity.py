"""Check that the capacity left after a withdrawal or drain covers the load."""

from collections.abc import Iterable, Iterator

import attrs

from ..member.view import Endpoint

__all__ = ["ServiceLoad", "find_shortfalls"]

HEADROOM = 1.2
"""Required ratio of the remaining slots to the calls that are running."""


@attrs.frozen
class ServiceLoad:
    """Number of running calls of one service across the fleet."""

    service: str
    running: int


def find_shortfalls(
    endpoints: Iterable[Endpoint],
    removed: Iterable[Endpoint],
    loads: Iterable[ServiceLoad],
) -> Iterator[str]:
    """Yield a message for each service that has too few slots without `removed`."""
    removed_names = {endpoint.target.name for endpoint in removed}
    remaining_slots: dict[str, int] = {}
    affected = set()
    for endpoint in endpoints:
        target = endpoint.target
        remaining_slots.setdefault(target.service, 0)
        if target.name in removed_names:
            affected.add(target.service)
        else:
            remaining_slots[target.service] += target.slots
    running = {load.service: load.running for load in loads}
    for service in sorted(affected):
        needed = running.get(service, 0) * HEADROOM
        if remaining_slots[service] == 0:
            yield f"{service} would have no target"
        elif remaining_slots[service] < needed:
            yield (
                f"{service} runs {running[service]} calls, "
                f"{remaining_slots[service]} slots would remain"
            )
