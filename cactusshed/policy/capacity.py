"""Whether what remains after a withdrawal or drain bears the load."""

from collections.abc import Iterable, Iterator

import attrs

from ..member.view import Endpoint

__all__ = ["ServiceLoad", "find_shortfalls"]

HEADROOM = 1.2
"""What remains must bear this many times the calls that run now."""


@attrs.frozen
class ServiceLoad:
    """Calls of one service that run now, over the whole fleet."""

    service: str
    running: int


def find_shortfalls(
    endpoints: Iterable[Endpoint],
    goes: Iterable[Endpoint],
    loads: Iterable[ServiceLoad],
) -> Iterator[str]:
    """Yield why the endpoints left without those in `goes` do not suffice."""
    going = {endpoint.target.name for endpoint in goes}
    left: dict[str, int] = {}
    touched = set()
    for endpoint in endpoints:
        target = endpoint.target
        left.setdefault(target.service, 0)
        if target.name in going:
            touched.add(target.service)
        else:
            left[target.service] += target.slots
    running = {load.service: load.running for load in loads}
    for service in sorted(touched):
        needed = running.get(service, 0) * HEADROOM
        if left[service] == 0:
            yield f"{service} would have no target"
        elif left[service] < needed:
            yield (
                f"{service} runs {running[service]} calls, "
                f"{left[service]} slots would remain"
            )
