"""Watching callers: a call whose caller went away is cancelled."""

import anyio
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cactusshed.serve.watch import Watcher


async def run_guard(leaves, seconds):
    """Guard work of some length whose caller leaves early or stays."""
    watcher = Watcher()

    async def receive():
        await anyio.sleep(0.0 if leaves else 60.0)
        return {"type": "http.disconnect"}

    async def work():
        await anyio.sleep(seconds)
        return "done"

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watcher.run)
        with anyio.fail_after(5.0):
            result = await watcher.guard(receive, work)
        tasks.cancel_scope.cancel()
    return result


def test_call_of_a_gone_caller_is_cancelled():
    """Work that would take a minute ends when its caller leaves."""
    assert_that(anyio.run(run_guard, True, 60.0), Equals(None))


def test_call_of_a_patient_caller_ends_by_itself():
    """Work of a caller that stays is not disturbed, watched or not."""
    for seconds in (0.0, 0.2):
        assert_that(anyio.run(run_guard, False, seconds), Equals("done"))
