"""Stand-in for a target: a worn host's service that announces itself.

It answers `{"target", "version", "run"}`, where `run` counts what it has run;
`GET /runs` returns every run by request body, for oracles. Query parameters of
a request ask for behaviour: `ms=N` takes N ms, `status=N` answers N, `size=N`
answers N bytes, `die=1` ends the process in the middle of the call.
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

from cactusshed.member.announce import Announcement
from cactusshed.options import parse_address
from cactusshed.serve.asgi import read_body, send_json

from .serving import serve_app

__all__ = ["TargetApp", "Announcer"]

ANNOUNCE_SECONDS = 0.5
LEAVE_SECONDS = 0.2
MAX_BODY = 64 << 20
MAX_RUNS = 200_000
_AWAY = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    OSError,
)


@attrs.define
class Behaviour:
    """How this target behaves; times in milliseconds.

    It is cold for `cold_seconds` after its start: each call then takes
    `cold_ms`, and it falls over when more than `cold_bears` run at once. With
    `overload_fails` calls fail whenever more than that run at once.
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

    def __init__(self, name: str, version: str, slots: int, how: Behaviour) -> None:
        """Answer as `name` at `version`, and behave as `how` says."""
        self.name = name
        self.version = version
        self.slots = slots
        self.how = how
        self.started = time.monotonic()
        self.running = 0
        self.highest = 0
        self.overload = 0
        self.runs: list[str] = []
        self.failing = 0.0

    async def __call__(self, scope, receive, send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        body = await read_body(receive, MAX_BODY)
        if scope["path"] == "/runs":
            await send_json(
                send,
                {
                    "target": self.name,
                    "runs": self.runs,
                    "highest": self.highest,
                    "overload": self.overload,
                },
            )
            return
        self.running += 1
        self.highest = max(self.highest, self.running)
        try:
            await self._run(scope, body, send)
        finally:
            self.running -= 1

    def _is_cold(self) -> bool:
        return time.monotonic() - self.started < self.how.cold_seconds

    async def _run(self, scope, body, send) -> None:
        query = parse_qs(scope["query_string"].decode())
        if scope["method"] == "POST" and len(self.runs) < MAX_RUNS:
            self.runs.append(body.decode(errors="replace"))
        if "die" in query:
            os.kill(os.getpid(), signal.SIGKILL)
        if self._is_cold() and self.running > self.how.cold_bears:
            self.overload += 1
        if self.running > self.slots:
            self.overload += 1
        cold = self.how.cold_ms if self._is_cold() else 0.0
        wait = float(query.get("ms", ["0"])[0]) + self.how.ms + cold
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
        """Return whether this call fails: an even share of them, no chance."""
        how = self.how
        if how.overload_fails and self.running > how.overload_fails:
            return True
        if not how.fail_ratio or time.monotonic() - self.started < how.fail_after:
            return False
        if how.fail_path and not path.startswith(how.fail_path):
            return False
        self.failing += how.fail_ratio
        if self.failing >= 1.0:
            self.failing -= 1.0
            return True
        return False


class Announcer:
    """Tells a node about a target, again and again."""

    def __init__(self, node: str, said: Announcement, app: TargetApp) -> None:
        """Announce to the node at URL `node`."""
        self._node = node
        self._said = said
        self._app = app
        self._pool = httpcore.AsyncConnectionPool(max_connections=1)

    async def announce(self) -> None:
        """Announce once; a node that is away gets the next heartbeat."""
        uptime = time.monotonic() - self._app.started
        said = attrs.evolve(self._said, load=self._app.running, uptime=uptime)
        body = msgspec.json.encode(said)
        timeout = dict.fromkeys(("connect", "read", "write", "pool"), 1.0)
        with contextlib.suppress(*_AWAY):
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
        """Announce the leave and wait until nothing runs any more."""
        self._said = attrs.evolve(self._said, health="leaving")
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
def main(listen, node, name, service, version, slots, **how) -> None:
    """Run one target."""
    address = parse_address("listen", listen)
    app = TargetApp(name, version, slots, Behaviour(**how))
    said = Announcement(
        name, service, version, listen, slots, f"{os.getpid()}-{time.time_ns()}"
    )
    announcer = Announcer(node, said, app)

    async def run() -> None:
        await serve_app(app, address, announcer.run, drain=announcer.leave)

    anyio.run(run)


if __name__ == "__main__":
    sys.exit(main())
