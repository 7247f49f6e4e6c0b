"""Watching for callers that go away while their calls run.

Most calls end long before a watch would pay: a task for each costs about as much
as parsing its request. So only calls that last are watched.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc

from ..clock import read_monotonic

__all__ = ["Watcher"]

SWEEP_SECONDS = 0.05
"""A call that lasts longer than this is watched."""


class _Guard:
    """One call that is running."""

    def __init__(self, receive: Callable[[], Awaitable[dict[str, Any]]]) -> None:
        self.receive = receive
        self.started = read_monotonic()
        self.work = anyio.CancelScope()
        self.watch: anyio.CancelScope | None = None

    async def run_watch(self) -> None:
        """Cancel the work once the other side has gone."""
        with anyio.CancelScope() as self.watch:
            while (await self.receive())["type"] != "http.disconnect":
                continue
            self.work.cancel()


class Watcher:
    """The task that watches all calls of one listener that last."""

    def __init__(self) -> None:
        """Start with no call."""
        self._guards: set[_Guard] = set()

    async def run(self) -> None:
        """Begin to watch calls that have lasted, for as long as the node runs."""
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(SWEEP_SECONDS)
                self._start_watches(tasks)

    def _start_watches(self, tasks: anyio.abc.TaskGroup) -> None:
        limit = read_monotonic() - SWEEP_SECONDS
        for guard in self._guards:
            if guard.watch is None and guard.started < limit:
                guard.watch = anyio.CancelScope()
                tasks.start_soon(guard.run_watch)

    async def guard(
        self,
        receive: Callable[[], Awaitable[dict[str, Any]]],
        work: Callable[..., Awaitable[Any]],
        *arguments: Any,
    ) -> Any | None:
        """Return what `work` returns, or `None` if the other side went away."""
        guard = _Guard(receive)
        self._guards.add(guard)
        result = None
        try:
            with guard.work:
                result = await work(*arguments)
        finally:
            self._guards.discard(guard)
            if guard.watch is not None:
                guard.watch.cancel()
        return result
