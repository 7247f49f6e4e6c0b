"""Disconnect watcher: a call whose caller has disconnected is cancelled."""

import anyio
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cactusshed.serve.disconnect import DisconnectWatcher


async def run_work(leaves, seconds):
    """Run watched work that takes `seconds`; its caller disconnects if `leaves`."""
    watcher = DisconnectWatcher()

    async def receive():
        await anyio.sleep(0.0 if leaves else 60.0)
        return {"type": "http.disconnect"}

    async def work():
        await anyio.sleep(seconds)
        return "done"

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watcher.run)
        with anyio.fail_after(5.0):
            result = await watcher.run_while_connected(receive, work)
        tasks.cancel_scope.cancel()
    return result


def test_call_of_disconnected_caller_is_cancelled():
    """Work of one minute ends when its caller disconnects."""
    assert_that(anyio.run(run_work, True, 60.0), Equals(None))


def test_call_of_connected_caller_completes():
    """Work of a connected caller completes, whether or not it is watched."""
    for seconds in (0.0, 0.2):
        assert_that(anyio.run(run_work, False, seconds), Equals("done"))
