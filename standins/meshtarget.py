"""Stand-in for a target on the users' platform: scripted answers, counted runs."""

import asyncio
import socket
import struct
from collections import Counter
from collections.abc import Callable

import attrs

from cactusshed.options import Address

from .endless import ENDLESS, send_endlessly

__all__ = ["MeshTarget", "open_mesh_target"]

BREAK_OFF_SECONDS = 0.02
"""Time for the part of an answer to be read before its connection is reset."""


@attrs.define(eq=False)
class MeshTarget:
    """A target whose `script` maps paths to actions.

    Paths without an action are answered with 200 after `work_seconds`. Actions:
    `reset` (run the request, then reset the connection), `truncate` (close in the
    middle of the body), `unsealed` (omit the seal header), `extra` (send a second
    answer), `foreign` (first send an answer for another attempt), `stale` (first send
    a refusal without an id, as if of an earlier request), `stale-early` (send it when
    the request arrives), `shed` (refuse with 503 without running), `fail` (answer
    500, or with `fail-503` for example that status, after the run), `hang` (do not
    answer for an hour), `unframed` (omit the content length), `unframed-reset` (also
    reset the connection in the middle), `mute` (answer neither this request, which is
    not run, nor any later one of the connection), `open-head` (send `open_head` and
    nothing else), `crash` (end as the request begins to run; `on_crash` is called) and
    those of `endless`.
    """

    instance: str = "i-1"
    body: bytes = b"done"
    work_seconds: float = 0.0
    cold_ms: int | None = None
    rate_limit: str = ""
    """Limit in requests per second that it names in every answer, if any."""
    is_leaving: bool = False
    """Whether every answer says that it is leaving."""
    open_head: bytes = b""
    """Head without end of the action `open-head`."""
    script: dict[str, str] = attrs.Factory(dict)
    runs: Counter = attrs.Factory(Counter)
    requests: list[tuple[bytes, dict[bytes, bytes], bytes]] = attrs.Factory(list)
    aborted: int = 0
    muted: int = 0
    """Connections on which nothing is answered any more."""
    crashes: int = 0
    on_crash: Callable[[], object] = lambda: None
    running: int = 0
    peak_running: int = 0
    connections: int = 0
    health_checks: int = 0
    address: Address | None = None
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = attrs.Factory(set)

    async def open(self, ip: str = "127.0.0.1", port: int = 0) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, ip, port)
        ip, port = self._server.sockets[0].getsockname()
        self.address = Address(ip, port)

    def close(self) -> None:
        """Close the listener."""
        self._server.close()

    def crash(self) -> None:
        """Close the listener and reset all connections."""
        self.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                continue
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        request_line, *lines = head[:-4].split(b"\r\n")
        pairs = (line.partition(b": ")[::2] for line in lines)
        headers = {name.lower(): value for name, value in pairs}
        body = await reader.readexactly(int(headers.get(b"content-length", 0)))
        path = request_line.split(b" ")[1]
        if path == b"/healthz":
            self.health_checks += 1
            status = 503 if self.is_leaving else 200
            self._write(writer, status, headers, b"", sealed=False, health=True)
            return True
        expected = headers.get(b"x-expect-instance", b"").decode()
        if expected and expected != self.instance:
            self._write(writer, 421, headers, b"", sealed=False)
            return True
        self.requests.append((request_line, headers, body))
        return await self._run(reader, writer, path.decode(), headers)

    async def _run(self, reader, writer, path, headers) -> bool:
        action = self.script.get(path, "")
        if action == "shed":
            self._write(writer, 503, headers, b"", sealed=False, refused=True)
            return True
        if action == "open-head":
            writer.write(self.open_head)
            await reader.read()
            return False
        if action == "mute":
            self.muted += 1
            await reader.read()
            return False
        if action == "crash":
            self.crashes += 1
            self.crash()
            self.on_crash()
            return False
        if action == "stale-early":
            self._write_stale_refusal(writer)
        self.runs[headers.get(b"x-attempt-id", b"").decode()] += 1
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        try:
            completed = await self._work(
                reader, 3600 if action == "hang" else self.work_seconds
            )
        finally:
            self.running -= 1
        if not completed:
            self.aborted += 1
            return False
        if action == "unframed-reset":
            await self._break_off(writer, headers)
            return False
        if action in ENDLESS:
            await send_endlessly(writer, action)
        return self._answer(writer, action, headers)

    async def _work(self, reader, seconds: float) -> bool:
        """Wait for `seconds`; return False if the client disconnects meanwhile."""
        if not seconds:
            return True
        read_task = asyncio.create_task(reader.read(1))
        done, _ = await asyncio.wait([read_task], timeout=seconds)
        if done and read_task.result() == b"":
            return False
        read_task.cancel()
        # StreamReader allows one reader at a time: wait until the task has ended.
        await asyncio.wait([read_task])
        return True

    async def _break_off(self, writer, headers) -> None:
        """Send a part of an answer without a length, then reset the connection."""
        writer.write(
            b"HTTP/1.1 200 OK\r\nx-response-seal: s\r\n"
            b"x-attempt-id: " + headers[b"x-attempt-id"] + b"\r\n\r\nhal"
        )
        await writer.drain()
        await asyncio.sleep(BREAK_OFF_SECONDS)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    def _answer(self, writer, action, headers) -> bool:
        if action == "reset":
            writer.transport.abort()
            return False
        if action == "truncate":
            writer.write(
                b"HTTP/1.1 200 OK\r\nx-response-seal: s\r\ncontent-length: 9\r\n"
                b"x-attempt-id: " + headers[b"x-attempt-id"] + b"\r\n\r\nhal"
            )
            return False
        if action == "unframed":
            writer.write(
                b"HTTP/1.1 200 OK\r\nx-response-seal: s\r\n"
                b"x-attempt-id: " + headers[b"x-attempt-id"] + b"\r\n\r\nwhole"
            )
            return False
        if action == "foreign":
            other_headers = {**headers, b"x-attempt-id": b"another"}
            self._write(writer, 200, other_headers, b"foreign")
        if action == "stale":
            self._write_stale_refusal(writer)
        failure, _, number = action.partition("-")
        status = int(number or 500) if failure == "fail" else 200
        self._write(writer, status, headers, self.body, sealed=action != "unsealed")
        if action == "extra":
            self._write(writer, status, headers, b"again")
        return True

    def _write_stale_refusal(self, writer) -> None:
        self._write(writer, 503, {}, b"", sealed=False, refused=True)

    def _write(
        self, writer, status, headers, body, *, sealed=True, health=False, refused=False
    ) -> None:
        lines = [b"HTTP/1.1 %d X" % status, b"content-length: %d" % len(body)]
        if b"x-attempt-id" in headers:
            lines.append(b"x-attempt-id: " + headers[b"x-attempt-id"])
        if sealed:
            lines.append(b"x-response-seal: s")
        if refused:
            lines.append(b"x-not-executed: 1")
        if self.rate_limit:
            lines.append(b"server-limit: " + self.rate_limit.encode())
        if self.is_leaving:
            lines.append(b"server-leaving: 1")
        if health or status == 421:
            lines.append(b"x-instance-id: " + self.instance.encode())
            if self.cold_ms is not None:
                lines.append(b"x-cold-ms: %d" % self.cold_ms)
        writer.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)


async def open_mesh_target(**fields) -> MeshTarget:
    """Return a target that listens on loopback."""
    target = MeshTarget(**fields)
    await target.open()
    return target
