"""Emulated targets: work time, speed, cold phase, faults and nested calls."""

import asyncio
import random
from collections import deque
from collections.abc import Awaitable, Callable
from functools import cache

from ..clock import read_monotonic
from ..mesh.upstream import Answer, NotSent, UpstreamFailed
from ..platform import headers as header_names
from ..policy.idlelimit import IdleLimit
from .conditions import Fault, RequestClass, Service
from .losses import CALL_FAILED, DEADLINE_STATUS, TARGET_FAILED, Losses

__all__ = ["EmulatedTarget"]

OK, REFUSED = 200, 503
REFUSAL = Answer(REFUSED, [(header_names.NOT_RUN, b"1")], b"")
SEAL = (header_names.SEAL, b"emulated")
_DEADLINE_PREFIX = header_names.DEADLINE_MS + b": "
_ATTEMPT_ID_PREFIX = header_names.ATTEMPT_ID + b": "


class EmulatedTarget:
    """A target that takes the place of the connection pool of its gate."""

    def __init__(
        self,
        service: Service,
        speed: float,
        classes: dict[str, RequestClass],
        send_call: Callable[[RequestClass, bytes, float], Awaitable[int]],
        faults: list[Fault],
        losses: Losses,
        rng: random.Random,
    ) -> None:
        """Serve requests of `service`; `send_call` sends a nested call."""
        self._service = service
        self._speed = speed
        self._classes = classes
        self._send_call = send_call
        self._faults = faults
        self._losses = losses
        self._rng = rng
        # Draws of its own, so that the slow periods do not depend on the requests.
        self._host_rng = random.Random(rng.random())
        self._slow_periods: list[bool] = []
        self._recent_cold_starts: deque[float] = deque()
        # In order of start: a set of tasks is ordered by their addresses, so that the
        # order in which runs are aborted would differ between processes.
        self._runs: dict[asyncio.Task, None] = {}
        self.is_up = True
        self.warm_at = 0.0
        self.peak_cold_rate = 0
        """Most request starts within one second while the target was cold."""
        self.idle_limit = IdleLimit()
        self.idle_seconds = 0.0
        """Idle time of its connection, which it never closes."""

    async def acquire(self, *, requires_fresh: bool) -> "EmulatedTarget":
        """Return this target as a connection; raise `NotSent` if it is down."""
        if not self.is_up:
            raise NotSent("target is down", step="connect")
        return self

    def release(self, _connection: "EmulatedTarget") -> None:
        """Do nothing: there is no connection to return to a pool."""

    def may_have_restarted(self) -> bool:
        """Return False: the emulated fleet tells gates of every restart."""
        return False

    def fail(self) -> None:
        """Lose power and abort all running requests."""
        self.is_up = False
        for run in list(self._runs):
            run.cancel()

    def recover(self) -> None:
        """Start again, cold."""
        self.is_up = True
        self.warm_at = read_monotonic() + self._service.cold_seconds

    async def exchange(
        self, data: bytes, _expected: bytes = b"", *, is_head: bool = False
    ) -> Answer:
        """Run a request and return its answer."""
        if self._is_faulty("shed"):
            return REFUSAL
        lines = data.split(b"\r\n")
        request_class = self._classes[lines[0].split(b" ")[1].decode().strip("/")]
        attempt_id = _find_header(lines, _ATTEMPT_ID_PREFIX)
        remaining = int(_find_header(lines, _DEADLINE_PREFIX)) / 1000
        self._losses.note_started(attempt_id)
        run = asyncio.ensure_future(self._run(request_class, attempt_id, remaining))
        self._runs[run] = None
        try:
            status = await run
        except asyncio.CancelledError:
            run.cancel()
            if not self.is_up:
                raise UpstreamFailed("power lost", step="wait for answer") from None
            raise
        finally:
            self._runs.pop(run, None)
        if status != OK:
            return Answer(status, self._make_headers(), b"")
        self._losses.note_answered(attempt_id)
        body = _get_body(request_class.answer_bytes)
        return Answer(status, [SEAL, *self._make_headers()], body)

    def _make_headers(self) -> list[tuple[bytes, bytes]]:
        if not self._service.states_pace:
            return []
        percent = round(100 * self._compute_slowdown() / self._speed)
        load = b"%d,0,%d,%d" % (len(self._runs), self._service.slots, percent)
        return [(header_names.LOAD, load)]

    def _compute_slowdown(self) -> float:
        """Return the factor by which other work on the host slows it down now."""
        service = self._service
        if not service.slow_share:
            return 1.0
        period = int(read_monotonic() / service.slow_seconds)
        while len(self._slow_periods) <= period:
            is_slow = self._host_rng.random() < service.slow_share
            self._slow_periods.append(is_slow)
        return service.slow_factor if self._slow_periods[period] else 1.0

    def _is_faulty(self, kind: str) -> bool:
        """Return whether a request meets a fault of this kind now."""
        now = read_monotonic()
        return any(
            fault.kind == kind
            and 0 <= now - fault.starts_at < fault.seconds
            and self._rng.random() < fault.share
            for fault in self._faults
        )

    async def _run(
        self, request_class: RequestClass, attempt_id: bytes, remaining: float
    ) -> int:
        try:
            async with asyncio.timeout(remaining):
                return await self._work(request_class, attempt_id, remaining)
        except TimeoutError:
            return DEADLINE_STATUS

    async def _work(
        self, request_class: RequestClass, attempt_id: bytes, remaining: float
    ) -> int:
        now = read_monotonic()
        deadline = now + remaining
        seconds = request_class.work_seconds * self._rng.lognormvariate(
            0.0, request_class.spread
        )
        seconds /= self._speed
        if now < self.warm_at:
            seconds *= self._service.cold_slowdown
            self._record_cold_start(now)
        await asyncio.sleep(seconds / 2 * self._compute_slowdown())
        if request_class.call_class and self._rng.random() < request_class.call_share:
            statuses = await self._make_calls(request_class, attempt_id, deadline)
            if any(status != OK for status in statuses):
                return CALL_FAILED
        await asyncio.sleep(seconds / 2 * self._compute_slowdown())
        return TARGET_FAILED if self._is_faulty("fail") else OK

    def _record_cold_start(self, now: float) -> None:
        self._recent_cold_starts.append(now)
        while self._recent_cold_starts[0] <= now - 1.0:
            self._recent_cold_starts.popleft()
        self.peak_cold_rate = max(self.peak_cold_rate, len(self._recent_cold_starts))

    async def _make_calls(
        self, request_class: RequestClass, attempt_id: bytes, deadline: float
    ) -> list[int]:
        called_class = self._classes[request_class.call_class]

        def make_call(number: int) -> Awaitable[int]:
            remaining = min(called_class.timeout, deadline - read_monotonic())
            return self._send_call(
                called_class, b"%s.%d" % (attempt_id, number), remaining
            )

        if request_class.calls_in_parallel:
            return await asyncio.gather(
                *map(make_call, range(request_class.call_count))
            )
        statuses = []
        for number in range(request_class.call_count):
            statuses.append(await make_call(number))
            if statuses[-1] != OK:
                break
        return statuses


@cache
def _get_body(size: int) -> bytes:
    """Return a body, of which all answers of a size share one."""
    return bytes(size)


def _find_header(lines: list[bytes], prefix: bytes) -> bytes:
    return next(line[len(prefix) :] for line in lines if line.startswith(prefix))
