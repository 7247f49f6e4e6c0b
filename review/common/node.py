"""Nodes as processes, started with the command of the deploy file."""

import asyncio
import json
import os
import signal
import subprocess
import time
import tomllib
from pathlib import Path

from .http import send_once
from .ports import choose_port

__all__ = ["BOUNDS", "ROOT", "Node"]

ROOT = Path(__file__).resolve().parents[2]
START_SECONDS = 20.0
BOUNDS = {
    "seed_lag": "3s",
    "reuse_after": "2s",
    "stable_window": "3000ms",
    "ack": "4000ms",
    "catch_up": "4s",
    "drain": "2000ms",
    "grace": "6s",
    "loss_slack": "200ms",
    "config": "2000ms",
    "rollback_slack": "250ms",
    "max_stretch": "5000ms",
    "budget_ratio": 0.2,
    "budget_window": "10s",
    "budget_slack": 58,
    "exposure_share": 0.1,
    "exposure_slack": 50,
    "rollback": "5000ms",
    "cold_overage": 1.5,
    "cold_slack": 5,
    "evacuation": "5000ms",
    "recovery": "15s",
}
"""Bounds of the small deployments."""


class Node:
    """One node with its settings; at most one process at a time."""

    def __init__(self, folder, name, zone, ip, service, app_address, store_address):
        """Choose free ports of `ip`; settings and log are kept in `folder`."""
        self.name = name
        self.listen = {
            role: f"{ip}:{choose_port(ip)}"
            for role in ("inbound", "outbound", "ready", "control")
        }
        self.settings = {
            "node": name,
            "role": "node",
            "class": "sidecar",
            "serves": ["sidecar"],
            "ip": ip,
            "zone": zone,
            "region": "region",
            "zones": {"zone-a": "region", "zone-b": "region", "zone-c": "region"},
            "listen": self.listen,
            "port_range": [7620, 7635],
            "seeds": [],
            "bootstrap": True,
            "counts_as_loss": False,
            "limits": {
                "cpu_share": 0.86,
                "cores": 1,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "static",
            "entry": "static",
            "heartbeat": "1500ms",
            "contracts": ["base", "drain", "config", "cost", "retry", "recover"],
            "tolerate": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "app_addr": app_address,
            "service": service,
            "platform": {
                "address": store_address,
                "form": "table",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "tx": "8ms",
                "part_writes_s": 150,
                "row_bytes": 65536,
                "across": False,
                "history": "20s",
                "blob_bytes": 8388608,
                "blob": "25ms",
                "blob_mb_s": 80.0,
            },
        }
        self._settings_path = Path(folder) / f"{name}.json"
        self._log_path = Path(folder) / f"{name}.log"
        self.process = None

    def start(self):
        """Write the settings and start the process."""
        self._settings_path.write_text(json.dumps(self.settings), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "CACTUSSHED_BOOT": str(self._settings_path),
        }
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                deploy["roles"]["node"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        """Kill the process and wait until it has ended."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()

    def measure_memory(self):
        """Return the resident memory of the process in MB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text("utf-8")
        lines = dict(line.split(":", 1) for line in status.splitlines() if ":" in line)
        return int(lines.get("VmRSS", "0 kB").split()[0]) / 1024

    async def is_ready(self):
        """Return whether the readiness endpoint answers 200."""
        answer = await send_once(
            self.listen["ready"], "GET /cactusshed/readyz HTTP/1.1", {}
        )
        return answer is not None and answer.status == 200

    async def wait_ready(self):
        """Wait until the node is ready; raise `TimeoutError` after `START_SECONDS`."""
        end = time.monotonic() + START_SECONDS
        while not await self.is_ready():
            if time.monotonic() > end:
                raise TimeoutError(f"{self.name} is not ready")
            await asyncio.sleep(0.1)
