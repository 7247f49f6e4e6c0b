"""Start processes and send requests on loopback."""

import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import attrs
import httpcore
import msgspec

__all__ = ["IP", "Answer", "Process", "fetch", "wait_for"]

IP = "127.0.0.1"
STOP_SECONDS = 15.0
_CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


@attrs.frozen
class Answer:
    """An HTTP answer with lower-case header names.

    `header_names` has one entry per header line, duplicates included.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    header_names: tuple[str, ...] = ()

    def decode(self):
        """Return the JSON value of the body."""
        return msgspec.json.decode(self.body)


def fetch(
    method: str,
    url: str,
    *,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = 10.0,
) -> Answer:
    """Send one request on a new connection and return the answer."""
    limits = dict.fromkeys(("connect", "read", "write"), timeout)
    answer = httpcore.request(
        method, url, content=body, headers=headers, extensions={"timeout": limits}
    )
    answer_headers = {
        k.decode().lower(): v.decode("latin-1") for k, v in answer.headers
    }
    header_names = tuple(k.decode().lower() for k, _ in answer.headers)
    return Answer(answer.status, answer_headers, answer.content, header_names)


def wait_for(
    description: str, check: Callable[[], bool], seconds: float = 20.0
) -> float:
    """Wait until `check` is true and return the seconds that took.

    Raises `TimeoutError` with `description` after `seconds`.
    """
    started = time.monotonic()
    while time.monotonic() - started < seconds:
        try:
            if check():
                return time.monotonic() - started
        except (*_CONNECTION_ERRORS, KeyError):
            pass  # The process is not listening, or does not report the value yet.
        time.sleep(0.02)
    raise TimeoutError(f"timed out after {seconds:g} s waiting for: {description}")


class Process:
    """A process of the fleet."""

    def __init__(self, name: str, arguments: list[str], log: Path) -> None:
        """Run `python -m` with `arguments`; its output is appended to `log`."""
        self.name = name
        self._arguments = arguments
        self._log = log
        self.start()

    def start(self) -> None:
        """Start the process, also after it has ended."""
        with self._log.open("ab") as out:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", *self._arguments], stdout=out, stderr=out
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait until it has ended."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def stop(self) -> int:
        """Stop the process with SIGTERM and return its exit status.

        It is resumed first if it is paused, and killed after `STOP_SECONDS`.
        """
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            return self.popen.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()
            return -signal.SIGKILL

    def read_log(self) -> str:
        """Return the output of the process."""
        return self._log.read_text(errors="replace")
