"""A fleet of separate processes on loopback, for the demo, tests and benchmarks.

Only this test harness starts processes; the daemon and the tool never do.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import attrs
import msgspec

from .ports import choose_port
from .process import IP, Answer, Process, fetch, wait_for
from .relay import Relay

__all__ = ["Fleet", "NodeSpec", "open_fleet"]

SECRET = "demo-peer-secret"  # noqa: S105
TOKEN = "demo-operator-token"  # noqa: S105
TLS_OPTIONS = ("tls-cert", "tls-key", "tls-ca")


@attrs.frozen
class NodeSpec:
    """Name, location and listener ports of one node."""

    name: str
    region: str
    data_centre: str
    callers_port: int
    calls_port: int
    control_port: int
    operators_port: int

    @property
    def callers_url(self) -> str:
        """Return the URL of the callers' listener."""
        return f"http://{IP}:{self.callers_port}"

    @property
    def operators_url(self) -> str:
        """Return the URL of the operators' listener."""
        return f"http://{IP}:{self.operators_port}"

    def render_settings(
        self, platform: str, seeds: str = "", extra: dict[str, str] | None = None
    ) -> str:
        """Return the settings file of this node."""
        options = extra or {}
        return "\n".join(
            [
                "[node]",
                f"name = {self.name}",
                f"region = {self.region}",
                f"data-centre = {self.data_centre}",
                *(f"{n} = {options[n]}" for n in ("memory-mb",) if n in options),
                "[callers]",
                f"listen = {IP}:{self.callers_port}",
                *(f"{n} = {options[n]}" for n in ("max-connections",) if n in options),
                "[peers]",
                f"calls = {IP}:{self.calls_port}",
                *(
                    f"{name} = {options[name]}"
                    for name in TLS_OPTIONS
                    if name in options
                ),
                f"calls-advertised = {IP}:{options.get('calls-port', self.calls_port)}",
                f"control = {IP}:{self.control_port}",
                f"secret = {SECRET}",
                f"seeds = {seeds}",
                "[operators]",
                f"listen = {IP}:{self.operators_port}",
                f"token = {TOKEN}",
                "[platform]",
                f"url = {platform}",
                f"timeout = {options.get('platform-timeout', '1.0')}",
                "[target]",
                f"announce-ttl = {options.get('announce-ttl', '2.0')}",
                "[drain]",
                f"limit = {options.get('drain-limit', '10')}",
                f"grace = {options.get('drain-grace', '0.3')}",
                "",
            ]
        )


class Fleet:
    """The processes of a fleet and their addresses."""

    def __init__(self, folder: Path) -> None:
        """Create an empty fleet that stores settings and logs in `folder`."""
        self.folder = folder
        self.nodes: dict[str, NodeSpec] = {}
        self.processes: dict[str, Process] = {}
        self.target_urls: dict[str, str] = {}
        self.platform_url = ""

    def _start(self, name: str, arguments: list[str]) -> Process:
        process = Process(name, arguments, self.folder / f"{name}.log")
        self.processes[name] = process
        return process

    def start_platform(self) -> None:
        """Start the platform stand-in and wait until it answers."""
        port = choose_port()
        self.platform_url = f"http://{IP}:{port}"
        self._start("platform", ["standins.platform", f"{IP}:{port}"])
        wait_for("platform", lambda: self.fetch_platform_counts() is not None)

    def fetch_platform_counts(self) -> dict[str, int]:
        """Return how many reads and writes the platform has served."""
        return fetch("GET", f"{self.platform_url}/counts").decode()

    def inject_fault(self, mode: str, seconds: float = 0.0) -> None:
        """Inject a fault into the platform; see `standins.platform` for the modes."""
        body = msgspec.json.encode({"mode": mode, "seconds": seconds})
        fetch("POST", f"{self.platform_url}/fault", body=body)

    def start_node(
        self,
        name: str,
        data_centre: str,
        *,
        region: str = "sn-ouest",
        seeds: str = "",
        extra: dict[str, str] | None = None,
        relay: Relay | None = None,
    ) -> NodeSpec:
        """Start a node; peers reach its calls port through `relay` if one is given."""
        ports = [choose_port() for _ in range(4)]
        if relay is not None:
            relay.port = ports[1]
            extra = {**(extra or {}), "calls-port": str(relay.address[1])}
        spec = NodeSpec(name, region, data_centre, *ports)
        path = self.folder / f"{name}.ini"
        path.write_text(spec.render_settings(self.platform_url, seeds, extra))
        self.nodes[name] = spec
        self._start(name, ["cactusshed.daemon", str(path)])
        return spec

    def start_target(
        self, name: str, node: str, service: str, version: str = "v1", *options: str
    ) -> None:
        """Start a target that announces itself to `node`."""
        port = choose_port()
        self.target_urls[name] = f"http://{IP}:{port}"
        arguments = [
            "standins.target",
            f"--listen={IP}:{port}",
            f"--node={self.nodes[node].operators_url}",
            f"--name={name}",
            f"--service={service}",
            f"--version={version}",
            *options,
        ]
        self._start(name, arguments)

    def is_ready(self, node: str) -> bool:
        """Return whether a node reports that it is ready."""
        return fetch("GET", f"{self.nodes[node].operators_url}/readyz").status == 200

    def wait_ready(self, *names: str, seconds: float = 20.0) -> None:
        """Wait until the given nodes are ready; by default all nodes."""
        for name in names or tuple(self.nodes):
            wait_for(f"{name} ready", lambda name=name: self.is_ready(name), seconds)

    def get_json(self, node: str, path: str):
        """Send a GET request to a node's operator API and return the decoded JSON."""
        url = self.nodes[node].operators_url + path
        headers = {"authorization": f"Bearer {TOKEN}"}
        return fetch("GET", url, headers=headers).decode()

    def submit(self, node: str, change_id: str, edits: dict, base: dict) -> Answer:
        """Submit a change through a node's operator API."""
        request = {
            "change_id": change_id,
            "author": "fleet",
            "edits": [{"path": p, "values": v} for p, v in edits.items()],
            "base": base,
        }
        return fetch(
            "POST",
            self.nodes[node].operators_url + "/v1/changes",
            body=msgspec.json.encode(request),
            headers={"authorization": f"Bearer {TOKEN}"},
            timeout=30.0,
        )

    def call(
        self,
        node: str,
        path: str,
        method: str = "GET",
        body: bytes | None = None,
        **headers: str,
    ) -> Answer:
        """Send a request to a node's callers' listener."""
        http_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        url = self.nodes[node].callers_url + path
        return fetch(method, url, body=body, headers=http_headers, timeout=20.0)

    def wait_targets(self, node: str, service: str, count: int) -> None:
        """Wait until `node` lists at least `count` targets of `service`."""

        def check() -> bool:
            members = self.get_json(node, "/v1/status")["members"]
            names = [target for member in members for target in member["targets"]]
            matching = [name for name in names if name.startswith(service)]
            return len(matching) >= count

        wait_for(f"{count} targets of {service} at {node}", check)

    def fetch_metrics(self, node: str) -> dict[str, float]:
        """Return the counters and gauges of a node."""
        page = fetch("GET", self.nodes[node].operators_url + "/metrics").body.decode()
        lines = (line for line in page.splitlines() if not line.startswith("#"))
        pairs = (line.rsplit(" ", 1) for line in lines)
        return {name: float(value) for name, value in pairs}

    def fetch_target_counts(self, target: str) -> dict:
        """Return the run list and concurrency counters of a target."""
        return fetch("GET", f"{self.target_urls[target]}/runs").decode()

    def fetch_runs(self, target: str) -> list[str]:
        """Return the bodies of the submissions that a target has run."""
        return self.fetch_target_counts(target)["runs"]

    def stop(self) -> dict[str, int]:
        """Stop nodes, targets, then the platform; return the exit statuses."""
        order = sorted(self.processes, key=self._get_stop_order)
        return {name: self.processes[name].stop() for name in order}

    def _get_stop_order(self, name: str) -> int:
        if name == "platform":
            return 2
        return 0 if name in self.nodes else 1

    def kill(self) -> None:
        """Kill every process with SIGKILL."""
        for process in self.processes.values():
            process.kill()


@contextmanager
def open_fleet(folder: Path) -> Iterator[Fleet]:
    """Yield a fleet with its platform started; kill all processes on exit."""
    fleet = Fleet(folder)
    try:
        fleet.start_platform()
        yield fleet
    finally:
        fleet.kill()
