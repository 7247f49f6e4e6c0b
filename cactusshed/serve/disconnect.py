"""Detection of clients (callers or nodes) that disconnect while their calls run.

A task per call costs about as much as parsing its request, and most calls are
short. So only calls that last longer than `SWEEP_SECONDS` are watched.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc

from ..clock import read_monotonic

__all__ = ["DisconnectWatcher"]

SWEEP_SECONDS = 0.05
"""Time between sweeps, and the running time from which a call is watched."""


class _WatchedCall:
    """A running call and the scopes that cancel its work and its watch."""

    def __init__(self, receive: Callable[[], Awaitable[dict[str, Any]]]) -> None:
        self.receive = receive
        self.started = read_monotonic()
        self.work_scope = anyio.CancelScope()
        self.watch_scope: anyio.CancelScope | None = None

    async def watch_for_disconnect(self) -> None:
        """Cancel the work once the client has disconnected."""
        with anyio.CancelScope() as self.watch_scope:
            while (await self.receive())["type"] != "http.disconnect":
                continue
            self.work_scope.cancel()


class DisconnectWatcher:
    """Cancels the work of long-running calls whose client has disconnected."""

    def __init__(self) -> None:
        """Start without calls."""
        self._calls: set[_WatchedCall] = set()

    async def run(self) -> None:
        """Periodically start to watch calls that have run for `SWEEP_SECONDS`."""
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(SWEEP_SECONDS)
                self._start_watches(tasks)

    def _start_watches(self, tasks: anyio.abc.TaskGroup) -> None:
        started_before = read_monotonic() - SWEEP_SECONDS
        for call in self._calls:
            if call.watch_scope is None and call.started < started_before:
                call.watch_scope = anyio.CancelScope()
                tasks.start_soon(call.watch_for_disconnect)

    async def run_while_connected(
        self,
        receive: Callable[[], Awaitable[dict[str, Any]]],
        work: Callable[..., Awaitable[Any]],
        *arguments: Any,
    ) -> Any | None:
        """Return the result of `work`, or `None` if the client disconnects."""
        call = _WatchedCall(receive)
        self._calls.add(call)
        result = None
        try:
            with call.work_scope:
                result = await work(*arguments)
        finally:
            self._calls.discard(call)
            if call.watch_scope is not None:
                call.watch_scope.cancel()
        return result
