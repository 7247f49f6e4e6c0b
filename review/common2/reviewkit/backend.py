"""Stand-in for an application backend: slots, runs, heartbeats, health."""

import asyncio
import json
import time
from collections.abc import Callable

from .http import Answer, Head, request, serve

__all__ = ["Backend"]

HEARTBEAT_SECONDS = 0.87
ACK_SECONDS = 1.0
COLD_SECONDS = 3.0
SLOTS = 6
QUEUE = 24


class Backend:
    """One backend; each run is passed to `note_run` as it begins."""

    def __init__(
        self,
        instance: str,
        service: str,
        zone: str,
        note_run: Callable[["Backend", Head], None],
        *,
        version: str = "v1",
        work_seconds: float = 0.01,
        slots: int = SLOTS,
    ) -> None:
        """Create a backend that does not listen yet."""
        self.name = self.instance = instance
        self.service = service
        self.zone = zone
        self.version = version
        self.work_seconds = work_seconds
        self.slots = slots
        self.state = "ready"
        self.cold_until = 0.0
        self.address = ""
        self.control = ""
        self.born = int(time.time() * 1000)
        self._note_run = note_run
        self._slots = asyncio.Semaphore(self.slots)
        self._waiting = 0
        self._running = 0
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._starts = 1
        self._restart: asyncio.Task | None = None
        self.crash_path = ""
        """Path of the request that crashes the backend as it begins to run it."""
        self.down_seconds = 0.0
        """Time from a crash to the next start."""

    async def open(self, ip: str, port: int = 0) -> None:
        """Listen."""
        self._server = await serve(ip, port, self._handle, self._writers)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    async def _crash(self) -> None:
        """End at once, and start again later as another incarnation, cold."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._beats.cancel()
        await asyncio.sleep(self.down_seconds)
        self._starts += 1
        self.instance = f"{self.name}.{self._starts}"
        self.born = int(time.time() * 1000)
        self.cold_until = time.monotonic() + COLD_SECONDS
        self._slots = asyncio.Semaphore(self.slots)
        self._waiting = self._running = self._sequence = 0
        ip, _, port = self.address.rpartition(":")
        await self.open(ip, int(port))
        self.start_beats(self.control)

    def start_beats(self, control: str) -> None:
        """Send heartbeats to a node's control address from now on."""
        self.control = control
        self._beats = asyncio.create_task(self._keep_beating())

    async def _keep_beating(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _count_cold_ms(self) -> int:
        return max(0, int(1000 * (self.cold_until - time.monotonic())))

    async def beat(self) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_left": f"{self._count_cold_ms()}ms",
            "seq": self._sequence,
            "born": self.born,
        }
        return await self.call("instances.heartbeat", body)

    async def call(self, name: str, body: dict) -> bool:
        """Send a call to the node; return whether it was acknowledged."""
        answer = await request(
            self.control,
            "POST",
            f"/cactusshed/rpc?call={name}&of={self.instance}",
            {"Host": self.control, "Content-Type": "application/json"},
            json.dumps(body).encode(),
            ACK_SECONDS,
        )
        return answer is not None and 200 <= answer.status < 300

    async def _handle(self, head: Head) -> Answer | None:
        headers = {"x-server-load": f"{self._running},{self._waiting},{self.slots}"}
        if attempt := head.headers.get("x-attempt-id"):
            headers["x-attempt-id"] = attempt
        if head.first[1] == "/healthz":
            headers["x-instance-id"] = self.instance
            if cold_ms := self._count_cold_ms():
                headers["x-cold-ms"] = str(cold_ms)
            return 200 if self.state == "ready" else 503, headers, b""
        if head.headers.get("x-expect-instance", self.instance) != self.instance:
            headers["x-instance-id"] = self.instance
            return 421, headers, b""
        if self._slots.locked() and self._waiting >= QUEUE:
            return 503, headers | {"x-not-executed": "1"}, b""
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            self._running += 1
            self._note_run(self, head)
            if head.first[1] == self.crash_path:
                self._restart = asyncio.create_task(self._crash())
                return None
            await asyncio.sleep(self.work_seconds)
            self._running -= 1
        headers["x-response-seal"] = f"{self.instance}.{self.service}.{self.version}"
        return 200, headers, f"{self.service} {attempt}".encode()
