"""Stand-in for callers: a bounded load on loopback and a record of each answer."""

import threading
import time
from collections.abc import Callable, Iterable

import anyio
import attrs
import httpcore
import msgspec

__all__ = ["Load", "Result", "Shot", "run_load"]

TIMEOUT_SECONDS = 15.0
MAX_SECONDS = 120.0
SENDING = "http11.send_request_headers.started"
"""What httpcore tells as the first byte of a request goes out."""
_LOST = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)


@attrs.frozen
class Shot:
    """One request to send."""

    method: str
    path: str
    body: bytes = b""
    key: str = ""


@attrs.frozen
class Result:
    """What came of one shot; `at` counts from the start of the load, in seconds.

    It is the time at which the request was sent: a busy load may hold a shot back
    for seconds. `seconds` is the time from then to the whole answer.
    `status` is 0 when no whole answer came. `run` is the system's own word on
    the call: `answered`, `not-run`, `unknown`, or empty without an answer.
    """

    shot: Shot
    at: float
    seconds: float
    status: int
    run: str = ""
    code: str = ""
    target: str = ""
    version: str = ""


async def _fire(pool, url: str, shot: Shot, began: float, keep) -> None:
    """Send one shot of a load that began at `began`, in monotonic seconds."""
    headers = {"cactusshed-tenant": "load"}
    if shot.key:
        headers["idempotency-key"] = shot.key
    limits = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_SECONDS)
    sent = [time.monotonic()]

    async def note_sending(event: str, _info: dict) -> None:
        if event == SENDING:
            sent[0] = time.monotonic()

    try:
        answer = await pool.request(
            shot.method,
            url + shot.path,
            headers=headers,
            content=shot.body,
            extensions={"timeout": limits, "trace": note_sending},
        )
    except _LOST:
        keep(Result(shot, sent[0] - began, time.monotonic() - sent[0], 0))
        return
    took = time.monotonic() - sent[0]
    found = {k.decode().lower(): v.decode("latin-1") for k, v in answer.headers}
    said = _decode(answer.content) if answer.status == 200 else {}
    keep(
        Result(
            shot,
            sent[0] - began,
            took,
            answer.status,
            found.get("cactusshed-run", ""),
            found.get("cactusshed-code", ""),
            said.get("target", ""),
            said.get("version", ""),
        )
    )


def _decode(content: bytes) -> dict:
    try:
        return msgspec.json.decode(content)
    except msgspec.DecodeError:
        return {}


async def run_load(
    urls: list[str],
    make_shot: Callable[[int], Shot],
    rate: float,
    seconds: float,
    keep: Callable[[Result], None],
    stopped: Callable[[], bool] = lambda: False,
) -> None:
    """Send `rate` shots a second, spread over `urls`, for at most `seconds`."""
    seconds = min(seconds, MAX_SECONDS)
    pools = [httpcore.AsyncConnectionPool(max_connections=200) for _ in urls]
    started = time.monotonic()
    count = 0
    async with anyio.create_task_group() as tasks:
        while not stopped():
            now = time.monotonic() - started
            if now >= seconds:
                break
            while count < now * rate:
                index = count % len(urls)
                shot = make_shot(count)
                tasks.start_soon(_fire, pools[index], urls[index], shot, started, keep)
                count += 1
            await anyio.sleep(min(0.01, 1.0 / rate))
    for pool in pools:
        await pool.aclose()


class Load:
    """A load that runs in a thread of its own until `stop`."""

    def __init__(
        self,
        urls: Iterable[str],
        make_shot: Callable[[int], Shot],
        rate: float,
        seconds: float = MAX_SECONDS,
    ) -> None:
        """Start to send."""
        self.results: list[Result] = []
        self.started = time.monotonic()
        self._stopped = False
        self._thread = threading.Thread(
            target=anyio.run,
            args=(
                run_load,
                list(urls),
                make_shot,
                rate,
                seconds,
                self.results.append,
                lambda: self._stopped,
            ),
        )
        self._thread.start()

    def read_clock(self) -> float:
        """Return the seconds since the load started."""
        return time.monotonic() - self.started

    def stop(self) -> list[Result]:
        """Send nothing more, wait for the answers, and return all results."""
        self._stopped = True
        self._thread.join()
        return self.results

    def __enter__(self) -> "Load":
        return self

    def __exit__(self, *_error) -> None:
        self.stop()
