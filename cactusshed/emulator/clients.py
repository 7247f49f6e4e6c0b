"""Emulated clients: random arrivals, and retries after the advised wait or at once."""

import asyncio
import itertools
import math
import random
from collections.abc import Iterator

import attrs

from ..clock import read_monotonic
from .conditions import ALL, RequestClass, RetryAbuse
from .fleet import EmulatedFleet, send_request
from .losses import NO_NODE

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
    cause: str = ""
    """Why the last attempt was not served."""
    returned: bool = False
    """Whether the client was refused and returned when it had been told to."""
    served_on_return: bool = False
    """Whether it was then served at once."""


@attrs.frozen
class _Client:
    """A client that sends one request and its retries."""

    request_class: RequestClass
    data_centre: str
    request_id: bytes
    abuse: RetryAbuse | None
    """How it retries if it does so at once and often."""


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
    """Send requests of one class from one data centre until the load ends.

    The arrivals have random numbers of their own, so that they are the same whatever
    becomes of the requests, and two policies are compared under the same load.
    """
    load = fleet.load
    arrivals = random.Random(rng.random())  # noqa: S311
    rate = request_class.per_second / len(load.data_centres)
    bursts = [b for b in load.bursts if b.class_name in (ALL, request_class.name)]
    peak = math.prod(burst.factor for burst in bursts)
    abuses = [a for a in load.retry_abuses if a.class_name in (ALL, request_class.name)]
    async with asyncio.TaskGroup() as group:
        while True:
            await asyncio.sleep(arrivals.expovariate(rate * peak))
            now = read_monotonic()
            if now >= load.seconds:
                return
            factor = math.prod(b.factor for b in bursts if b.covers(centre, now))
            if arrivals.random() * peak >= factor:
                continue
            abuse = next((a for a in abuses if a.covers(centre, now)), None)
            if abuse is not None and arrivals.random() >= abuse.share:
                abuse = None
            request_id = b"c%d" % next(request_numbers)
            client = _Client(request_class, centre, request_id, abuse)
            group.create_task(_send_with_retries(fleet, client, rng, outcomes))


async def _send_with_retries(
    fleet: EmulatedFleet,
    client: _Client,
    rng: random.Random,
    outcomes: list[RequestOutcome],
) -> None:
    """Send one request, retry it up to the client's limit, and add its outcome."""
    request_class, request_id = client.request_class, client.request_id
    arrived_at = read_monotonic()
    deadline = arrived_at + request_class.timeout
    status, attempts, cause = NO_CONNECTION, 0, ""
    has_waited = returned = served_on_return = False
    retries = request_class.retries if client.abuse is None else client.abuse.retries
    for number in range(1 + retries):
        attempts = number + 1
        attempt_id = request_id if not number else b"%s-%d" % (request_id, number)
        status, retry_after = await _send_once(fleet, client, attempt_id, deadline, rng)
        cause = fleet.losses.take(attempt_id)
        if has_waited and not returned:
            returned, served_on_return = True, status == OK
        remaining = deadline - read_monotonic()
        if status == OK or remaining <= 0:
            break
        if status == NO_CONNECTION:
            cause = NO_NODE
        if not request_class.idempotent and status not in NOT_RUN_STATUSES:
            break
        has_waited = False
        if client.abuse is not None:
            pause = client.abuse.pause
        elif request_class.returns_as_told:
            pause = retry_after
            has_waited = status == NOT_RUN
        else:
            pause = min(retry_after, MAX_WAIT_SHARE * remaining)
        if pause >= remaining:
            break
        if number < retries:
            await asyncio.sleep(pause)
    latency = read_monotonic() - arrived_at if status == OK else None
    outcomes.append(
        RequestOutcome(
            request_class.name,
            client.data_centre,
            arrived_at,
            latency,
            status in NOT_RUN_STATUSES,
            attempts,
            cause,
            returned,
            served_on_return,
        )
    )


async def _send_once(
    fleet: EmulatedFleet,
    client: _Client,
    attempt_id: bytes,
    deadline: float,
    rng: random.Random,
) -> tuple[int, float]:
    """Send one attempt and return its status and the advised wait in seconds."""
    nodes = fleet.list_nodes(client.data_centre)
    await asyncio.sleep(CLIENT_LATENCY_SECONDS)
    if not nodes:
        return NO_CONNECTION, 0.0
    remaining = deadline - read_monotonic()
    node = rng.choice(nodes)
    try:
        async with asyncio.timeout(remaining):
            response = await send_request(
                node, client.request_class, attempt_id, remaining
            )
            await node.link.send_response(len(response.body))
    except TimeoutError:
        fleet.losses.note_deadline(attempt_id)
        return TIMED_OUT, 0.0
    await asyncio.sleep(CLIENT_LATENCY_SECONDS)
    headers = dict(response.headers)
    return response.status, float(headers.get(b"retry-after", b"0"))
