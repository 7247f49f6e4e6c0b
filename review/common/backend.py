"""Stand-in of a backend: runs requests, answers health checks, sends heartbeats."""

import asyncio
import contextlib
import itertools
import json
import time

import attrs

from .http import encode_message, read_message, send_once

__all__ = ["Backend", "Run"]

HEARTBEAT_SECONDS = 1.5
_ids = itertools.count(1)


@attrs.define
class Run:
    """A request that the backend began to run; times are monotonic seconds."""

    request_id: str
    path: str
    started: float
    ended: float = 0.0


class Backend:
    """A backend of one node, across its restarts.

    `work` is called with this backend and each request that runs, and returns status,
    headers and body of the answer, or `None` if it has written to the connection
    itself.
    """

    def __init__(self, service, zone, ip, port, work, slots=18):
        """Create a backend that is not running."""
        self.service, self.zone, self.slots = service, zone, slots
        self.ip, self.port = ip, port
        self.address = f"{ip}:{port}"
        self.control = ""
        self.work = work
        self.name = f"i-{next(_ids):08x}"
        self.born = 0
        self.state = "ready"
        self.cold_until = 0.0
        self.runs = []
        self.running = 0
        self.acknowledged = []
        self._sequence = 0
        self.is_up = False
        self._server = None
        self._beat = None
        self._tasks = set()

    async def start(self, cold_seconds=0.0, first_beat=0.0):
        """Listen, and send the first heartbeat after `first_beat` seconds."""
        self.born = int(time.time() * 1000)
        self._sequence = 0
        self.running = 0
        self.cold_until = time.monotonic() + cold_seconds
        self._server = await asyncio.start_server(self._accept, self.ip, self.port)
        self.is_up = True
        self._beat = asyncio.create_task(self._keep_beating(first_beat))

    def crash(self):
        """Stop at once and reset all connections."""
        self.is_up = False
        self._beat.cancel()
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    @property
    def cold_ms(self):
        """Return the milliseconds for which the backend is still cold."""
        return max(0, int(1000 * (self.cold_until - time.monotonic())))

    async def _keep_beating(self, first):
        await asyncio.sleep(first)
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def beat(self):
        """Send one heartbeat; return whether it was acknowledged."""
        self._sequence += 1
        document = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left": f"{self.cold_ms}ms",
            "seq": self._sequence,
            "born": self.born,
        }
        answer = await send_once(
            self.control,
            f"POST /cactusshed/rpc?call=instances.heartbeat&of={self.name} HTTP/1.1",
            {"content-type": "application/json"},
            json.dumps(document).encode(),
        )
        accepted = answer is not None and 200 <= answer.status < 300
        if accepted:
            self.acknowledged.append((time.monotonic(), self.state))
        return accepted

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while (request := await read_message(reader)) is not None:
                if not await self._answer(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(OSError):
                writer.close()

    async def _answer(self, request, reader, writer):
        if request.path == "/healthz":
            status = 200 if self.state == "ready" else 503
            self.write(writer, request, status, {"x-instance-id": self.name})
            return True
        expected = request.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            self.write(writer, request, 421, {"x-instance-id": self.name})
            return True
        if self.running >= self.slots:
            self.write(writer, request, 503, {"x-not-executed": "1"})
            return True
        run = Run(request.headers["x-attempt-id"], request.path, time.monotonic())
        self.runs.append(run)
        self.running += 1
        try:
            answer = await self.work(self, request, writer)
        finally:
            self.running -= 1
            run.ended = time.monotonic()
        if answer is None:
            return False
        status, headers, body = answer
        self.write(writer, request, status, headers, body)
        await writer.drain()
        return True

    def write(self, writer, request, status, headers, body=b""):
        """Write an answer that echoes the id of its request."""
        fields = dict(headers)
        if "x-attempt-id" in request.headers:
            fields["x-attempt-id"] = request.headers["x-attempt-id"]
        if self.cold_ms and request.path == "/healthz":
            fields["x-cold-ms"] = str(self.cold_ms)
        fields["x-server-load"] = f"{self.running},0,{self.slots}"
        if self.state != "ready":
            fields["server-leaving"] = "1"
        writer.write(encode_message(f"HTTP/1.1 {status} X", fields, body))
