"""Attempts of one call whose targets are silent, awaited while others are tried."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator

import attrs

from ..observe.lines import log_line
from .exchange import is_success
from .frames import ANSWERED, Result

__all__ = ["SilentAttempts", "TargetSilent"]


class TargetSilent(Exception):
    """The target has not answered so far; `later` will hold the result of the attempt.

    `cancel` ends the attempt.
    """

    def __init__(
        self, later: asyncio.Future[Result], cancel: Callable[[], object]
    ) -> None:
        super().__init__("target is silent")
        self.later = later
        self.cancel = cancel


@attrs.define(eq=False)
class SilentAttempts:
    """Silent attempts of one call; the first success of any attempt is its answer."""

    failure: Result | None = None
    """Last answer of a silent target by which it said that it failed."""
    _cancels: dict[asyncio.Future[Result], Callable[[], object]] = attrs.Factory(dict)

    def __bool__(self) -> bool:
        return bool(self._cancels)

    def add(self, silent: TargetSilent) -> None:
        """Add an attempt that is to be awaited."""
        self._cancels[silent.later] = silent.cancel

    async def race(self, attempt: Coroutine[None, None, Result]) -> Result:
        """Run another attempt; return its result, or a silent one's earlier success.

        Raises what the attempt raises.
        """
        if not self._cancels:
            return await attempt
        task = asyncio.create_task(attempt)
        try:
            while not task.done():
                answer = await self._await_next(task)
                if answer is not None:
                    return answer
            return task.result()
        finally:
            task.cancel()

    async def await_success(self) -> Result | None:
        """Await the silent attempts; return the first success, `None` without one."""
        while self._cancels:
            answer = await self._await_next()
            if answer is not None:
                return answer
        return None

    async def _await_next(self, *others: asyncio.Future) -> Result | None:
        """Wait for any attempt or for `others`; return a silent one's success."""
        await asyncio.wait(
            [*self._cancels, *others], return_when=asyncio.FIRST_COMPLETED
        )
        for result in self._take_results():
            if is_success(result):
                return result
            if result.outcome == ANSWERED:
                self.failure = result
        return None

    def _take_results(self) -> Iterator[Result]:
        for later in [later for later in self._cancels if later.done()]:
            del self._cancels[later]
            try:
                yield later.result()
            except asyncio.CancelledError:
                continue
            except Exception as error:
                # Its link has ended, or its gate has failed; others may succeed.
                log_line("silent-attempt-lost", error=repr(error))

    def cancel(self) -> None:
        """End all attempts."""
        for later, cancel in self._cancels.items():
            if not later.done():
                cancel()
            elif not later.cancelled():
                # Retrieved, so that the event loop does not report it.
                later.exception()
        self._cancels.clear()
