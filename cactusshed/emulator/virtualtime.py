"""Event loop on virtual time, which advances only when no task can run.

An emulated minute takes only the CPU time of its tasks, and every result depends on
the seed alone.
"""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from contextlib import contextmanager
from typing import Any

from .. import clock

__all__ = ["run_in_virtual_time"]


MIN_DELAY_SECONDS = 1e-6
"""Shortest delay of a timer. One of less than the resolution of the clock would never
advance it, and what waits for a little more time would wait for ever."""


class _VirtualSelector(selectors.SelectSelector):
    """Selector that advances a virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Advance the clock by `timeout` seconds; there is never any I/O to report."""
        if timeout is None:
            raise RuntimeError("deadlock: no task can run and no timer is pending")
        self.now += max(0.0, timeout)
        return []


class _VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that reads the clock of a `_VirtualSelector`."""

    def __init__(self, selector: _VirtualSelector) -> None:
        self._virtual_selector = selector
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual time in seconds since the start."""
        return self._virtual_selector.now

    def call_later(self, delay: float, callback, *args, context=None):
        """Schedule a callback, at once or after a delay that advances the clock."""
        if delay > 0:
            delay = max(delay, MIN_DELAY_SECONDS)
        return super().call_later(delay, callback, *args, context=context)


@contextmanager
def _substitute_clock(read: Callable[[], float]):
    previous = clock.set_monotonic(read)
    try:
        yield
    finally:
        clock.set_monotonic(previous)


def run_in_virtual_time(main: Callable[[], Awaitable[Any]]) -> Any:
    """Run a coroutine function in virtual time and return its result."""
    loop = _VirtualLoop(_VirtualSelector())
    with (
        _substitute_clock(loop.time),
        asyncio.Runner(loop_factory=lambda: loop) as runner,
    ):
        return runner.run(main())
