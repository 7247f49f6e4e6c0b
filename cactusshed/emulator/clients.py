"""Emulated clients: random arrivals, and retries that honour `retry-after`."""

import asyncio
import itertools
import random
from collections.abc import Iterator

import attrs

from ..clock import read_monotonic
from .fleet import EmulatedFleet, send_request
from .load import RequestClass

__all__ = ["RequestOutcome", "run_load"]

NOT_RUN, OK = 503, 200
NO_CONNECTION, TIMED_OUT = 0, -1
"""Used in place of an HTTP status when there was no answer."""
NOT_RUN_STATUSES = frozenset({NO_CONNECTION, NOT_RUN})
"""Statuses after which even a request that must not run twice may be retried."""
MAX_WAIT_SHARE = 1 / 3
"""Longest wait before a retry, as a share of the time left to the deadline."""
CLIENT_LATENCY_SECONDS = 0.001
"""One-way latency between a client and its node."""
DRAIN_SECONDS = 3.0
"""Time that running requests have to finish after the last arrival."""


@attrs.frozen
class RequestOutcome:
    """Outcome of a request and its retries; `latency` is `None` unless served."""

    class_name: str
    data_centre: str
    arrived_at: float
    latency: float | None
    is_refused: bool
    attempts: int


async def run_load(fleet: EmulatedFleet, rng: random.Random) -> list[RequestOutcome]:
    """Run the load and return all outcomes, sorted by time of arrival."""
    outcomes: list[RequestOutcome] = []
    tasks = fleet.start()
    request_numbers = itertools.count(1)
    async with asyncio.TaskGroup() as group:
        for request_class in fleet.load.classes.values():
            for centre in fleet.load.data_centres:
                if request_class.per_second:
                    group.create_task(
                        _generate_arrivals(
                            fleet, request_class, centre, rng, request_numbers, outcomes
                        )
                    )
    await asyncio.sleep(DRAIN_SECONDS)
    for task in tasks:
        task.cancel()
    return sorted(outcomes, key=lambda outcome: outcome.arrived_at)


async def _generate_arrivals(
    fleet: EmulatedFleet,
    request_class: RequestClass,
    centre: str,
    rng: random.Random,
    request_numbers: Iterator[int],
    outcomes: list[RequestOutcome],
) -> None:
    """Send requests of one class from one data centre until the load ends."""
    rate = request_class.per_second / len(fleet.load.data_centres)
    async with asyncio.TaskGroup() as group:
        while True:
            await asyncio.sleep(rng.expovariate(rate))
            if read_monotonic() >= fleet.load.seconds:
                return
            request_id = b"c%d" % next(request_numbers)
            group.create_task(
                _send_with_retries(
                    fleet, request_class, centre, request_id, rng, outcomes
                )
            )


async def _send_with_retries(
    fleet: EmulatedFleet,
    request_class: RequestClass,
    centre: str,
    request_id: bytes,
    rng: random.Random,
    outcomes: list[RequestOutcome],
) -> None:
    """Send one request, retry it up to the limit of its class, and add its outcome."""
    arrived_at = read_monotonic()
    deadline = arrived_at + request_class.timeout
    status, attempts = NO_CONNECTION, 0
    for number in range(1 + request_class.retries):
        attempts = number + 1
        attempt_id = request_id if not number else b"%s-%d" % (request_id, number)
        status, retry_after = await _send_once(
            fleet, request_class, centre, attempt_id, deadline, rng
        )
        remaining = deadline - read_monotonic()
        if status == OK or remaining <= 0:
            break
        if not request_class.idempotent and status not in NOT_RUN_STATUSES:
            break
        await asyncio.sleep(min(retry_after, MAX_WAIT_SHARE * remaining))
    latency = read_monotonic() - arrived_at if status == OK else None
    is_refused = status in NOT_RUN_STATUSES
    outcomes.append(
        RequestOutcome(
            request_class.name, centre, arrived_at, latency, is_refused, attempts
        )
    )


async def _send_once(
    fleet: EmulatedFleet,
    request_class: RequestClass,
    centre: str,
    attempt_id: bytes,
    deadline: float,
    rng: random.Random,
) -> tuple[int, float]:
    """Send one attempt and return its status and the advised wait in seconds."""
    nodes = fleet.list_nodes(centre)
    await asyncio.sleep(CLIENT_LATENCY_SECONDS)
    if not nodes:
        return NO_CONNECTION, 0.0
    remaining = deadline - read_monotonic()
    try:
        async with asyncio.timeout(remaining):
            response = await send_request(
                rng.choice(nodes), request_class, attempt_id, remaining
            )
    except TimeoutError:
        return TIMED_OUT, 0.0
    await asyncio.sleep(CLIENT_LATENCY_SECONDS)
    headers = dict(response.headers)
    return response.status, float(headers.get(b"retry-after", b"0"))
