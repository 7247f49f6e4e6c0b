"""Stand-in for a target: a service that announces itself to a node.

It answers `{"target", "version", "run", "fill"}`, where `run` is the number of
submissions run so far. `GET /runs` returns the body of each of them, so that tests
can check what ran. Query parameters of a request select its behaviour: `ms=N` takes
N ms, `status=N` answers with status N, `size=N` adds N bytes of `fill`, and `die=1`
kills the process during the request.
"""

import contextlib
import os
import signal
import sys
import time
from urllib.parse import parse_qs

import anyio
import attrs
import click
import httpcore
import msgspec

from cactusshed.member.announcements import Announcement
from cactusshed.options import parse_address
from cactusshed.serve.asgi import read_body, send_json

from .serving import serve_app

__all__ = ["TargetApp", "Announcer"]

ANNOUNCE_SECONDS = 0.5
LEAVE_SECONDS = 0.2
"""Time after the announced leave in which calls already sent still arrive."""
MAX_BODY_BYTES = 64 << 20
MAX_RUNS = 200_000
_CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    OSError,
)


@attrs.define
class Behaviour:
    """Latency and failures of a target; `ms` is the latency of each call.

    A share `fail_ratio` of the calls fails, from `fail_after` seconds after the
    start and only on paths that start with `fail_path`. The target is cold for
    `cold_seconds` after its start: each call then takes `cold_ms` longer, and calls
    are counted as overload when more than `cold_bears` run at once. If
    `overload_fails` is set, calls fail while more than that many run at once.
    """

    ms: float = 0.0
    fail_ratio: float = 0.0
    fail_after: float = 0.0
    fail_path: str = ""
    cold_seconds: float = 0.0
    cold_ms: float = 0.0
    cold_bears: int = 0
    overload_fails: int = 0


class TargetApp:
    """The ASGI application of one target."""

    def __init__(
        self, name: str, version: str, slots: int, behaviour: Behaviour
    ) -> None:
        """Create a target `name` of `version` with the given behaviour."""
        self.name = name
        self.version = version
        self.slots = slots
        self.behaviour = behaviour
        self.started = time.monotonic()
        self.running = 0
        self.peak_running = 0
        self.overload = 0
        self.runs: list[str] = []
        self.failure_credit = 0.0

    async def __call__(self, scope, receive, send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        body = await read_body(receive, MAX_BODY_BYTES)
        if scope["path"] == "/runs":
            await send_json(
                send,
                {
                    "target": self.name,
                    "runs": self.runs,
                    "highest": self.peak_running,
                    "overload": self.overload,
                },
            )
            return
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        try:
            await self._run(scope, body, send)
        finally:
            self.running -= 1

    def _is_cold(self) -> bool:
        return time.monotonic() - self.started < self.behaviour.cold_seconds

    async def _run(self, scope, body, send) -> None:
        query = parse_qs(scope["query_string"].decode())
        if scope["method"] == "POST" and len(self.runs) < MAX_RUNS:
            self.runs.append(body.decode(errors="replace"))
        if "die" in query:
            os.kill(os.getpid(), signal.SIGKILL)
        if self._is_cold() and self.running > self.behaviour.cold_bears:
            self.overload += 1
        if self.running > self.slots:
            self.overload += 1
        cold = self.behaviour.cold_ms if self._is_cold() else 0.0
        wait = float(query.get("ms", ["0"])[0]) + self.behaviour.ms + cold
        if wait:
            await anyio.sleep(wait / 1000)
        status = int(query.get("status", ["200"])[0])
        if self._is_failing(scope["path"]):
            status = 500
        size = int(query.get("size", ["0"])[0])
        answer = {
            "target": self.name,
            "version": self.version,
            "run": len(self.runs),
            "fill": "x" * size,
        }
        await send_json(send, answer, status)

    def _is_failing(self, path: str) -> bool:
        """Return whether this call fails; failures are evenly spaced, not random."""
        behaviour = self.behaviour
        if behaviour.overload_fails and self.running > behaviour.overload_fails:
            return True
        if (
            not behaviour.fail_ratio
            or time.monotonic() - self.started < behaviour.fail_after
        ):
            return False
        if behaviour.fail_path and not path.startswith(behaviour.fail_path):
            return False
        self.failure_credit += behaviour.fail_ratio
        if self.failure_credit >= 1.0:
            self.failure_credit -= 1.0
            return True
        return False


class Announcer:
    """Announces a target to a node periodically."""

    def __init__(self, node: str, announcement: Announcement, app: TargetApp) -> None:
        """Create an announcer for the node at URL `node`."""
        self._node = node
        self._announcement = announcement
        self._app = app
        self._pool = httpcore.AsyncConnectionPool(max_connections=1)

    async def announce(self) -> None:
        """Announce once; errors are ignored because the next heartbeat follows."""
        uptime = time.monotonic() - self._app.started
        announcement = attrs.evolve(
            self._announcement, load=self._app.running, uptime=uptime
        )
        body = msgspec.json.encode(announcement)
        timeout = dict.fromkeys(("connect", "read", "write", "pool"), 1.0)
        with contextlib.suppress(*_CONNECTION_ERRORS):
            await self._pool.request(
                "POST",
                f"{self._node}/announce",
                content=body,
                extensions={"timeout": timeout},
            )

    async def run(self) -> None:
        """Announce until cancelled."""
        while True:
            await self.announce()
            await anyio.sleep(ANNOUNCE_SECONDS)

    async def leave(self) -> None:
        """Announce that the target is leaving and wait until all calls have ended."""
        self._announcement = attrs.evolve(self._announcement, health="leaving")
        await self.announce()
        await anyio.sleep(LEAVE_SECONDS)
        while self._app.running:
            await anyio.sleep(0.01)


@click.command()
@click.option("--listen", required=True)
@click.option("--node", required=True, help="URL of the node's operators' listener.")
@click.option("--name", required=True)
@click.option("--service", required=True)
@click.option("--version", required=True)
@click.option("--slots", default=20)
@click.option("--ms", default=0.0)
@click.option("--fail-ratio", default=0.0)
@click.option("--fail-after", default=0.0)
@click.option("--fail-path", default="")
@click.option("--cold-seconds", default=0.0)
@click.option("--cold-ms", default=0.0)
@click.option("--cold-bears", default=0)
@click.option("--overload-fails", default=0)
def main(listen, node, name, service, version, slots, **behaviour) -> None:
    """Run one target."""
    address = parse_address("listen", listen)
    app = TargetApp(name, version, slots, Behaviour(**behaviour))
    announcement = Announcement(
        name, service, version, listen, slots, f"{os.getpid()}-{time.time_ns()}"
    )
    announcer = Announcer(node, announcement, app)

    async def run() -> None:
        await serve_app(app, address, announcer.run, drain=announcer.leave)

    anyio.run(run)


if __name__ == "__main__":
    sys.exit(main())
