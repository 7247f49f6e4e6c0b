"""An event loop whose time passes only while nothing else can happen.

A minute of load is then played as fast as its decisions are made, and every
figure depends on the seed alone.
"""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from contextlib import contextmanager
from typing import Any

from .. import clock

__all__ = ["run_virtual"]


class _Selector(selectors.SelectSelector):
    """Advances a clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Let `timeout` seconds pass; nothing arrives from outside meanwhile."""
        if timeout is None:
            raise RuntimeError("all tasks wait for each other")
        self.now += max(0.0, timeout)
        return []


class _Loop(asyncio.SelectorEventLoop):
    """Event loop on a selector's clock."""

    def __init__(self, selector: _Selector) -> None:
        self._virtual = selector
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual seconds that have passed."""
        return self._virtual.now


@contextmanager
def _substitute_clock(read: Callable[[], float]):
    before = clock.set_monotonic(read)
    try:
        yield
    finally:
        clock.set_monotonic(before)


def run_virtual(work: Callable[[], Awaitable[Any]]) -> Any:
    """Run a coroutine function in virtual time and return its result."""
    loop = _Loop(_Selector())
    with _substitute_clock(loop.time), asyncio.Runner(loop_factory=lambda: loop) as r:
        return r.run(work())
