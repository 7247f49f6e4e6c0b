"""A target of the soak: it records each run and keeps to its slots and cold time."""

import asyncio
import itertools
import random
import time

import attrs
import msgspec

from cactusshed.errors import CactusError
from cactusshed.options import Address
from standins.meshfleet import ask
from standins.meshtarget import MeshTarget

__all__ = ["Run", "SoakTarget"]

BEAT_SECONDS = 0.5
COLD_SECONDS = 2.0
_numbers = itertools.count(1)


@attrs.frozen
class Run:
    """One request that a target began to run; times in monotonic seconds."""

    request: str
    path: str
    instance: str
    at: float
    is_cold: bool


@attrs.define(eq=False)
class SoakTarget(MeshTarget):
    """The target beside one node, over all of its lives."""

    node: str = ""
    data_centre: str = ""
    service: str = "a"
    announcements: Address | None = None
    log: list[Run] = attrs.Factory(list)
    rng: random.Random = attrs.Factory(random.Random)
    lose_share: float = 0.0
    """Share of the requests whose answer is lost after they ran."""
    cross_share: float = 0.0
    """Share of the requests before whose answer one to another request is sent."""
    state: str = "ready"
    left_at: float | None = None
    """When a leave of the present life was acknowledged."""
    leaves: list[tuple[str, float]] = attrs.Factory(list)
    is_up: bool = False
    born: int = 0
    cold_until: float = 0.0
    _beat: int = 0
    _writers: set = attrs.Factory(set)

    async def begin(self, *, is_cold: bool) -> None:
        """Start a new life, at the address of the last one if there was any."""
        self.instance = f"i-{self.node}-{next(_numbers)}"
        self.born = int(time.time() * 1000)
        self.state, self.left_at, self._beat = "ready", None, 0
        self.cold_until = time.monotonic() + COLD_SECONDS if is_cold else 0.0
        before = self.address
        await self.open(*((before.ip, before.port) if before else ("127.0.0.1", 0)))
        self.is_up = True

    def crash(self) -> None:
        """End at once: connections are reset and nothing is said."""
        self.is_up = False
        self.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def _count_cold(self) -> int:
        """Return for how many milliseconds the target stays cold."""
        return max(0, int(1000 * (self.cold_until - time.monotonic())))

    async def announce(self) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        self._beat += 1
        body = {
            "service": self.service,
            "address": str(self.address),
            "zone": self.data_centre,
            "version": "v1",
            "slots": 4,
            "state": self.state,
            "cold_left": f"{self._count_cold()}ms",
            "seq": self._beat,
            "born": self.born,
        }
        return await self._tell("instances.heartbeat", msgspec.json.encode(body))

    async def leave(self) -> bool:
        """Say that this life ends soon; return whether that was acknowledged."""
        self.state = "draining"
        instance = self.instance
        if not await self.announce():
            return False
        self.left_at = time.monotonic()
        self.leaves.append((instance, self.left_at))
        return True

    async def _tell(self, call: str, body: bytes) -> bool:
        path = f"/cactusshed/rpc?call={call}&of={self.instance}"
        try:
            async with asyncio.timeout(1.0):
                answer = await ask(self.announcements, b"POST", path, {}, body)
        except (CactusError, OSError, TimeoutError):
            # The node is away, paused or starting: the next heartbeat follows.
            return False
        return 200 <= answer.status < 300

    async def keep_announcing(self) -> None:
        """Announce until cancelled."""
        while True:
            if self.is_up:
                await self.announce()
            await asyncio.sleep(BEAT_SECONDS)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            await super()._serve(reader, writer)
        except asyncio.CancelledError:
            # Only the end of the soak cancels it, and nothing follows.
            return
        finally:
            self._writers.discard(writer)

    def _write(self, writer, status, headers, body, **flags) -> None:
        self.cold_ms = self._count_cold()
        super()._write(writer, status, headers, body, **flags)

    async def _run(self, reader, writer, path, headers) -> bool:
        request = headers[b"x-attempt-id"].decode()
        is_cold = time.monotonic() < self.cold_until
        self.log.append(Run(request, path, self.instance, time.monotonic(), is_cold))
        return await super()._run(reader, writer, path, headers)

    def _answer(self, writer, word, headers) -> bool:
        if self.rng.random() < self.lose_share:
            writer.transport.abort()
            return False
        if self.rng.random() < self.cross_share:
            other = {**headers, b"x-attempt-id": b"another"}
            self._write(writer, 200, other, b"another")
        # The body tells whose answer it is.
        self._write(writer, 200, headers, headers[b"x-attempt-id"])
        return True
