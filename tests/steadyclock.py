"""Event loop whose clock runs independently of the machine's speed.

A test whose nodes and clients share one process can't tell a slow node from a busy
machine. Here time passes while the loop waits, and by a fixed amount with each turn of
the loop; time for which the machine runs other processes does not count.
"""

import asyncio
import contextlib
import selectors
import time

from cactusshed.clock import set_monotonic

from .meshes import TEST_SECONDS

__all__ = ["run_steadily"]

TURN_SECONDS = 0.0001
"""Time that one turn of the loop counts as, so that time passes in a busy loop too."""


class _SteadySelector(selectors.DefaultSelector):
    """Selector that adds the time of each turn to its clock."""

    def __init__(self):
        """Start the clock at 0."""
        super().__init__()
        self.now = 0.0

    def read(self):
        """Return the time in seconds since the start."""
        return self.now

    def select(self, timeout=None):
        """Wait for events; only a wait that can't end at once takes time."""
        self.now += TURN_SECONDS
        events = super().select(0)
        if events or timeout == 0:
            return events
        started = time.monotonic()
        events = super().select(timeout)
        waited = time.monotonic() - started
        self.now += waited if timeout is None else min(waited, timeout)
        return events


def run_steadily(work):
    """Run a coroutine function with a timeout, by a clock that ignores pauses."""
    selector = _SteadySelector()

    def make_loop():
        loop = asyncio.SelectorEventLoop(selector)
        loop.time = selector.read
        return loop

    async def limited():
        async with asyncio.timeout(TEST_SECONDS):
            return await work()

    with contextlib.ExitStack() as stack:
        stack.callback(set_monotonic, set_monotonic(selector.read))
        with asyncio.Runner(loop_factory=make_loop) as runner:
            return runner.run(limited())
