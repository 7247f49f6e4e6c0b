"""Clients that send at an even rate, and what became of their requests."""

import asyncio
import itertools

from .deployment import Deployment, Machine

__all__ = ["Sent", "count_served", "find_late_runs", "send_steadily"]

REQUESTS_PER_S = 20
MIN_SERVED = 0.9

Sent = list[tuple[str, float, int]]
"""Id, time and status of each request; the status is 0 without an answer."""


async def send_steadily(
    deployment: Deployment,
    machine: Machine,
    path: str,
    sent: Sent,
    per_second: float = REQUESTS_PER_S,
    deadline_ms: int = 1000,
) -> None:
    """Send safe requests at an even rate until cancelled.

    A `{}` in the path is replaced by another number for each request.
    """
    pending = set()
    numbers = itertools.count(1)

    async def send() -> None:
        target = path.format(next(numbers))
        attempt, time, answer = await deployment.send(
            machine, target, deadline_ms=deadline_ms
        )
        sent.append((attempt, time, answer.status if answer else 0))

    while True:
        task = asyncio.create_task(send())
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(1 / per_second)


def count_served(deployment: Deployment, sent: Sent, until: float) -> bool:
    """Return whether nearly all requests sent before a time were served."""
    before = [status for _, time, status in sent if time < until]
    served = before.count(200)
    deployment.note(f"{served} of {len(before)} served before the change")
    return bool(before) and served >= MIN_SERVED * len(before)


def find_late_runs(
    deployment: Deployment, sent: Sent, service: str, since: float, allowed: float
) -> list[float]:
    """Return when requests were sent that a service ran though sent too late.

    The times are seconds after `since`; requests up to `allowed` are not too late.
    """
    times = {attempt: time for attempt, time, _ in sent}
    runs = [
        times[attempt] - since
        for _, backend, attempt in deployment.runs
        if backend.service == service and attempt in times
    ]
    late = [seconds for seconds in runs if seconds > allowed]
    deployment.note(
        f"requests run by {service} though sent later than {allowed} s after the"
        f" acknowledgement: {len(late)}, the last {max(late, default=0):.2f} s after it"
    )
    return late
