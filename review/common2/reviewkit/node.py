"""One machine: its node process, started with the command of the deploy file."""

import json
import os
import shlex
import signal
import subprocess
import tomllib
from pathlib import Path

__all__ = ["BOUNDS", "REPOSITORY", "Node"]

REPOSITORY = Path(__file__).resolve().parents[3]
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
    "budget_slack": 56,
    "exposure_share": 0.1,
    "exposure_slack": 50,
    "rollback": "5000ms",
    "cold_overage": 1.5,
    "cold_slack": 5,
    "evacuation": "5000ms",
    "recovery": "15s",
}
"""Bounds of sites/ml-rotas.toml."""
PORTS = {"inbound": 8300, "outbound": 8304, "ready": 8302, "control": 8306}
KEPT_VARIABLES = ("PATH", "HOME", "LANG")


class Node:
    """A node process on an address of its own, and its settings."""

    def __init__(
        self,
        name: str,
        ip: str,
        zone: str,
        zones: list[str],
        service: str,
        store: str,
        app: str,
        folder: Path,
    ) -> None:
        """Describe a node."""
        self.name = name
        self.zone = zone
        self.listen = {key: f"{ip}:{port}" for key, port in PORTS.items()}
        self.settings = {
            "node": name,
            "role": "node",
            "class": "sidecar",
            "serves": ["sidecar"],
            "ip": ip,
            "zone": zone,
            "region": "r1",
            "zones": dict.fromkeys(zones, "r1"),
            "listen": self.listen,
            "port_range": [7620, 7635],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.86,
                "cores": 1,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "heartbeat": "870ms",
            "bounds": BOUNDS,
            "app_addr": app,
            "service": service,
            "platform": {"address": store, "form": "table", "history": "20s"},
        }
        self._settings_path = folder / f"{name}.json"
        self._log_path = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None

    def write_settings(self) -> None:
        """Write the settings file, as the platform does when they change."""
        path = self._settings_path.with_suffix(".new")
        path.write_text(json.dumps(self.settings))
        path.replace(self._settings_path)

    def start(self) -> None:
        """Start the process with the settings in force now."""
        self.write_settings()
        deploy = (REPOSITORY / "deploy" / "system.toml").read_text()
        command = shlex.split(tomllib.loads(deploy)["roles"]["node"]["run"])
        environment = {k: os.environ[k] for k in KEPT_VARIABLES if k in os.environ}
        environment["CACTUSSHED_BOOT"] = str(self._settings_path)
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=REPOSITORY, env=environment, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def read_log(self) -> list[dict]:
        """Return what the process has logged."""
        lines = self._log_path.read_text(errors="replace").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]
