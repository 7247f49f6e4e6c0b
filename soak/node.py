"""A node of the soak: its process, files, target and proxies."""

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

import attrs
import msgspec

from cactusshed.options import Address

from .proxy import FaultProxy
from .target import SoakTarget

__all__ = ["GRACE_SECONDS", "Node"]

GRACE_SECONDS = 6.0
"""Time that a node process has to exit after a signal."""


@attrs.define(eq=False)
class Node:
    """A node process with its files, its target and the proxies to target and store."""

    name: str
    data_centre: str
    settings: dict
    settings_path: Path
    log_path: Path
    target: SoakTarget
    store_proxy: FaultProxy
    target_proxy: FaultProxy
    api_proxy: FaultProxy
    process: subprocess.Popen | None = None
    start_count: int = 0
    """Number of processes started so far; it identifies the current one."""
    unexpected_exits: int = 0
    """Number of times that the process exited without being stopped."""
    exit_statuses: list[int] = attrs.Factory(list)
    """Status of each such exit; a negative one is the number of a signal."""
    peak_mb: float = 0.0
    """Peak memory of its processes, as far as seen."""
    is_stopping: bool = False
    waited: float = 0.0
    """Time for which the process has waited for a processor, in seconds."""

    def start(self) -> None:
        """Write the boot settings and start the process."""
        self.settings_path.write_bytes(msgspec.json.encode(self.settings))
        environment = {**os.environ, "CACTUSSHED_BOOT": str(self.settings_path)}
        with self.log_path.open("ab") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "cactusshed.sidecar"],
                stdout=out,
                stderr=out,
                env=environment,
            )
        self.start_count += 1
        self.is_stopping = False

    def signal(self, signal_number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal_number)

    async def stop(self, signal_number: int) -> None:
        """Stop the process by a signal; kill it after `GRACE_SECONDS`."""
        self.note_exit()
        self.is_stopping = True
        self.signal(signal_number)
        try:
            async with asyncio.timeout(GRACE_SECONDS):
                while self.process.poll() is None:
                    await asyncio.sleep(0.05)
        except TimeoutError:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()

    def note_exit(self) -> bool:
        """Return whether the process has exited unexpectedly, and count that."""
        if self.is_stopping or self.process.poll() is None:
            return False
        self.is_stopping = True
        self.unexpected_exits += 1
        self.exit_statuses.append(self.process.returncode)
        return True

    def note_memory(self) -> None:
        """Read the peak memory of the running process."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return  # It has just ended.
        for line in text.splitlines():
            if line.startswith("VmHWM:"):
                self.peak_mb = max(self.peak_mb, int(line.split()[1]) / 1024)

    def read_wait(self) -> float:
        """Return how long it has waited for a processor since the last look."""
        try:
            text = Path(f"/proc/{self.process.pid}/schedstat").read_text()
        except OSError:
            return 0.0
        before, self.waited = self.waited, int(text.split()[1]) / 1e9
        return self.waited - before

    @property
    def caller_address(self) -> Address:
        """Return the address to which clients send requests."""
        ip, _, port = self.settings["listen"]["outbound"].rpartition(":")
        return Address(ip, int(port))
