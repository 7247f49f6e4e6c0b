"""Supervision of background tasks."""

import asyncio

from testtools.assertions import assert_that
from testtools.matchers import Equals

from cactusshed.mesh.supervision import keep_running

from .meshes import run_async


def test_task_that_fails_is_started_again(counters):
    """An unexpected error ends neither the task for good nor the process."""
    runs = []

    async def work():
        runs.append(1)
        if len(runs) < 3:
            raise KeyError("unexpected")

    async def run():
        async with asyncio.timeout(5.0):
            await keep_running(work, counters)

    run_async(run)
    assert_that((len(runs), counters.get("tasks_failed")), Equals((3, 2)))
