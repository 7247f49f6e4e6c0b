"""Targets of the emulator: slots, speed, cold time, and calls of their own."""

import asyncio
import random
from collections import deque
from collections.abc import Awaitable, Callable

from ..clock import read_monotonic
from ..mesh.upstream import Answer, NotSent, UpstreamFailed
from ..platform import headers as names
from .load import RequestClass, Service

__all__ = ["EmulatedTarget"]

OK, FAILED, LATE = 200, 500, 504
SEAL = (names.SEAL, b"emulated")
_DEADLINE = names.DEADLINE_MS + b": "
_IDENTITY = names.ATTEMPT_ID + b": "


class EmulatedTarget:
    """One target; it stands in for the pool of connections of its gate."""

    def __init__(
        self,
        service: Service,
        speed: float,
        classes: dict[str, RequestClass],
        call: Callable[[RequestClass, bytes, float], Awaitable[int]],
        rng: random.Random,
    ) -> None:
        """Run requests of `service`; `call` sends a call of its own."""
        self._service = service
        self._speed = speed
        self._classes = classes
        self._call = call
        self._rng = rng
        self._starts: deque[float] = deque()
        self._runs: set[asyncio.Task] = set()
        self.is_up = True
        self.warm_at = 0.0
        self.busiest = 0
        """Most starts in one second while it was cold."""

    async def take(self, *, is_careful: bool) -> "EmulatedTarget":
        """Return a connection."""
        if not self.is_up:
            raise NotSent("target is down", step="connect")
        return self

    def give_back(self, _connection: "EmulatedTarget") -> None:
        """Take a connection back."""

    def fail(self) -> None:
        """Lose power: all runs break."""
        self.is_up = False
        for run in list(self._runs):
            run.cancel()

    def recover(self) -> None:
        """Come back cold."""
        self.is_up = True
        self.warm_at = read_monotonic() + self._service.cold_seconds

    async def exchange(
        self, data: bytes, _expected: bytes = b"", *, is_head: bool = False
    ) -> Answer:
        """Run a request and return its answer."""
        run = asyncio.ensure_future(self._run(data))
        self._runs.add(run)
        try:
            status = await run
        except asyncio.CancelledError:
            run.cancel()
            if not self.is_up:
                raise UpstreamFailed("power lost", step="wait for answer") from None
            raise
        finally:
            self._runs.discard(run)
        return Answer(status, [SEAL], b"")

    async def _run(self, data: bytes) -> int:
        head = data.split(b"\r\n")
        kind = self._classes[head[0].split(b" ")[1].decode().strip("/")]
        left = int(_find(head, _DEADLINE)) / 1000
        try:
            async with asyncio.timeout(left):
                return await self._work(kind, _find(head, _IDENTITY), left)
        except TimeoutError:
            return LATE

    async def _work(self, kind: RequestClass, identity: bytes, left: float) -> int:
        now = read_monotonic()
        end = now + left
        seconds = kind.work * self._rng.lognormvariate(0.0, kind.spread)
        seconds /= self._speed
        if now < self.warm_at:
            seconds *= self._service.cold_slowdown
            self._note_cold_start(now)
        await asyncio.sleep(seconds / 2)
        if kind.calls and self._rng.random() < kind.call_share:
            statuses = await self._make_calls(kind, identity, end)
            if any(status != OK for status in statuses):
                return FAILED
        await asyncio.sleep(seconds / 2)
        return OK

    def _note_cold_start(self, now: float) -> None:
        self._starts.append(now)
        while self._starts[0] <= now - 1.0:
            self._starts.popleft()
        self.busiest = max(self.busiest, len(self._starts))

    async def _make_calls(
        self, kind: RequestClass, identity: bytes, end: float
    ) -> list[int]:
        called = self._classes[kind.calls]

        def make(number: int) -> Awaitable[int]:
            left = min(called.deadline, end - read_monotonic())
            return self._call(called, b"%s.%d" % (identity, number), left)

        if kind.calls_at_once:
            return await asyncio.gather(*map(make, range(kind.call_count)))
        statuses = []
        for number in range(kind.call_count):
            statuses.append(await make(number))
            if statuses[-1] != OK:
                break
        return statuses


def _find(head: list[bytes], start: bytes) -> bytes:
    return next(line[len(start) :] for line in head if line.startswith(start))
