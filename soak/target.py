"""Soak target: few slots, recorded runs, and the answer that a path names."""

import asyncio
import itertools
import random
import time
from collections.abc import Awaitable, Callable

import attrs
import msgspec

from cactusshed.errors import CactusError
from cactusshed.options import Address
from standins.endless import ENDLESS, send_endlessly
from standins.meshfleet import send_request
from standins.meshtarget import MeshTarget

from .answers import ANSWERS, REFUSED_SHAPE
from .connection import compute_digest
from .records import Run

__all__ = ["LEAVE_TRIES", "LimitPeriod", "SoakTarget"]

HEARTBEAT_SECONDS = 0.5
COLD_SECONDS = 2.0
"""Time for which a target is cold after a restart."""
SLOTS = 4
MAX_WAITING = 4
"""Requests that wait for a slot; further ones are refused."""
LEAVE_TRIES = 4
_instance_numbers = itertools.count(1)


@attrs.define
class LimitPeriod:
    """A time in which an instance named a limit in its answers.

    `rate` is in requests per second, the times are monotonic.
    """

    instance: str
    rate: float
    began: float
    ended: float = float("inf")


@attrs.define(eq=False)
class SoakTarget(MeshTarget):
    """The target of one node, across its restarts."""

    node: str = ""
    data_centre: str = ""
    service: str = "a"
    announce_address: Address | None = None
    call: Callable[[Run, float], Awaitable[bool]] | None = None
    """Makes a call of a run through the target's node; returns whether it succeeded."""
    run_log: list[Run] = attrs.Factory(list)
    rng: random.Random = attrs.Factory(random.Random)
    lost_answer_share: float = 0.0
    """Share of requests that run but whose answer is lost."""
    crossed_answer_share: float = 0.0
    """Share of requests that get an answer to another request before their own."""
    endless_answer_share: float = 0.0
    """Share of requests that run and get bytes without end, which are no answer."""
    stale_answer_share: float = 0.0
    """Share of requests that run and get a copy of a refusal, which names no request,
    before their own answer."""
    silent_share: float = 0.0
    """Share of requests that neither run nor are answered, like all that follow on the
    same connection."""
    state: str = "ready"
    left_at: float | None = None
    """Time at which the current instance's leave was acknowledged."""
    leaves: list[tuple[str, float]] = attrs.Factory(list)
    """Instance and time of each acknowledged leave."""
    limit_periods: list[LimitPeriod] = attrs.Factory(list)
    stated_leaves: dict[str, float] = attrs.Factory(dict)
    """Time from which an instance said in all its answers that it is leaving, without
    a heartbeat."""
    is_up: bool = False
    started_ms: int = 0
    """Start time of the current instance in Unix milliseconds."""
    cold_until: float = 0.0
    """Monotonic time."""
    _slots: asyncio.Semaphore = attrs.Factory(lambda: asyncio.Semaphore(SLOTS))
    _waiting: int = 0
    _sequence: int = 0
    _writers: set = attrs.Factory(set)

    async def start(self, *, is_cold: bool) -> None:
        """Start a new instance, at the address of the previous one if there was one."""
        self.instance = f"i-{self.node}-{next(_instance_numbers)}"
        self.started_ms = int(time.time() * 1000)
        self.state, self.left_at, self._sequence = "ready", None, 0
        self.is_leaving = False
        self._slots, self._waiting = asyncio.Semaphore(SLOTS), 0
        self.cold_until = time.monotonic() + COLD_SECONDS if is_cold else 0.0
        previous = self.address
        await self.open(
            *((previous.ip, previous.port) if previous else ("127.0.0.1", 0))
        )
        self.is_up = True

    @property
    def is_steady(self) -> bool:
        """Return whether the instance runs and is not leaving."""
        return self.is_up and self.state == "ready" and not self.is_leaving

    def crash(self) -> None:
        """Stop at once: reset all connections and announce nothing."""
        self.is_up = False
        self.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def _get_cold_ms(self) -> int:
        """Return the remaining cold time in milliseconds."""
        return max(0, int(1000 * (self.cold_until - time.monotonic())))

    async def announce(self) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": str(self.address),
            "zone": self.data_centre,
            "version": "v1",
            "slots": SLOTS,
            "state": self.state,
            "cold_left": f"{self._get_cold_ms()}ms",
            "seq": self._sequence,
            "born": self.started_ms,
        }
        return await self._send_rpc("instances.heartbeat", msgspec.json.encode(body))

    async def leave(self, tries: int = 1) -> bool:
        """Announce that the instance will stop; return whether it was acknowledged."""
        self.state = "draining"
        instance = self.instance
        for _ in range(tries):
            if await self.announce():
                break
            await asyncio.sleep(HEARTBEAT_SECONDS)
        else:
            return False
        self.left_at = time.monotonic()
        self.leaves.append((instance, self.left_at))
        return True

    def state_leave(self) -> None:
        """Say in all further answers that the instance is leaving."""
        self.is_leaving = True
        self.stated_leaves[self.instance] = time.monotonic()

    async def name_limit(self, rate: float, seconds: float) -> None:
        """Name a limit in all answers for some time."""
        period = LimitPeriod(self.instance, rate, time.monotonic())
        self.limit_periods.append(period)
        self.rate_limit = str(rate)
        await asyncio.sleep(seconds)
        self.rate_limit = ""
        period.ended = time.monotonic()

    async def end(self) -> None:
        """Send the last message of a planned end, and stop."""
        await self._send_rpc("instances.leave", b"{}")
        self.crash()

    async def _send_rpc(self, call: str, body: bytes) -> bool:
        path = f"/cactusshed/rpc?call={call}&of={self.instance}"
        try:
            async with asyncio.timeout(1.0):
                answer = await send_request(
                    self.announce_address, b"POST", path, {}, body
                )
        except (CactusError, OSError, TimeoutError):
            # The node is down, paused or starting; the next heartbeat tries again.
            return False
        return 200 <= answer.status < 300

    async def keep_announcing(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            if self.is_up:
                await self.announce()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            await super()._serve(reader, writer)
        except asyncio.CancelledError:
            # Cancelled only at the end of the soak, so it may return normally.
            return
        finally:
            self._writers.discard(writer)

    def _write(self, writer, status, headers, body, **flags) -> None:
        self.cold_ms = self._get_cold_ms()
        super()._write(writer, status, headers, body, **flags)

    def render_notices(self) -> bytes:
        """Return the headers by which answers name a limit or a leave."""
        limit = f"server-limit: {self.rate_limit}\r\n" if self.rate_limit else ""
        leaving = "server-leaving: 1\r\n" if self.is_leaving else ""
        return f"{limit}{leaving}".encode()

    async def _run(self, reader, writer, path, headers) -> bool:
        _, _, body = self.requests.pop()
        if self.rng.random() < self.silent_share:
            await reader.read()
            return False
        if path.split("/")[2] == REFUSED_SHAPE or self._waiting >= MAX_WAITING:
            self._write(writer, 503, headers, b"", sealed=False, refused=True)
            return True
        slots, end = self._slots, time.monotonic() + _read_left(headers)
        self._waiting += 1
        try:
            await slots.acquire()
        finally:
            self._waiting -= 1
        try:
            if reader.at_eof():
                return False
            if time.monotonic() > end:
                self._write(writer, 503, headers, b"", sealed=False, refused=True)
                return True
            return await self._run_in_slot(reader, writer, path, headers, body)
        finally:
            slots.release()

    async def _run_in_slot(self, reader, writer, path, headers, body) -> bool:
        started_at = time.monotonic()
        request_id = headers[b"x-attempt-id"].decode()
        is_cold = started_at < self.cold_until
        digest = compute_digest(body)
        run = Run(request_id, path, self.instance, started_at, is_cold, digest)
        run.tenant = headers.get(b"x-tenant", b"").decode()
        self.run_log.append(run)
        if self.rng.random() < self.endless_answer_share:
            await send_endlessly(writer, self.rng.choice(list(ENDLESS)))
        *_, shape, work_ms = path.split("/")
        if not await self._work(reader, int(work_ms) / 1000):
            return False
        left = started_at + _read_left(headers) - time.monotonic()
        if self.rng.random() < self.lost_answer_share:
            writer.transport.abort()
            return False
        if self.rng.random() < self.crossed_answer_share:
            other_headers = {**headers, b"x-attempt-id": b"another"}
            self._write(writer, 200, other_headers, b"another")
        if self.rng.random() < self.stale_answer_share:
            self._write_stale_refusal(writer)
        is_kept = await ANSWERS[shape](self, writer, run, left)
        run.ended = time.monotonic()
        return is_kept


def _read_left(headers: dict[bytes, bytes]) -> float:
    """Return the time in seconds that the caller waits."""
    return int(headers.get(b"x-deadline-ms", 1000)) / 1000
