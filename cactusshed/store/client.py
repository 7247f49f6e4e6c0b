"""HTTP client of the platform behind the port, one request per connection use."""

from collections.abc import Iterable
from urllib.parse import quote

import attrs
import httpcore
import msgspec

from ..errors import (
    AnswerLost,
    CactusError,
    ConditionFailed,
    Malformed,
    PlatformUnavailable,
)
from ..observe.counters import Counters
from .port import Condition, Row, Write

__all__ = ["Client", "Commit", "Scan"]

MAX_CONNECTIONS = 4
KEEP_SECONDS = 20.0
_NOT_SENT = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
_FAILED = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)


@attrs.frozen
class Commit:
    """Body of a transaction request."""

    conditions: list[Condition]
    writes: list[Write]


@attrs.frozen
class Scan:
    """Body of an answer to a scan."""

    rows: list[Row]


class Client:
    """Port to a platform at `url`; state is its connections."""

    def __init__(self, url: str, timeout: float, counters: Counters) -> None:
        """Talk to the platform at `url`, each request within `timeout` seconds."""
        self._url = url
        self._counters = counters
        self._extensions = {
            "timeout": dict.fromkeys(("connect", "read", "write", "pool"), timeout)
        }
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS, keepalive_expiry=KEEP_SECONDS
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    async def get(self, key: str) -> Row | None:
        """Return the row at `key`, or `None`."""
        answer = await self._read(f"/table/rows/{quote(key, safe='')}", "get row")
        return None if answer.status == 404 else _decode(answer, Row, "get row")

    async def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Return up to `limit` rows past key `after` that start with `prefix`."""
        query = f"prefix={quote(prefix)}&after={quote(after)}&limit={limit}"
        answer = await self._read(f"/table/rows?{query}", "scan rows")
        return _decode(answer, Scan, "scan rows").rows

    async def commit(
        self, conditions: Iterable[Condition], writes: Iterable[Write]
    ) -> None:
        """Carry out all writes if all conditions hold."""
        body = msgspec.json.encode(Commit(list(conditions), list(writes)))
        answer = await self._write("POST", "/table/commit", body, "commit")
        if answer.status == 409:
            raise ConditionFailed(
                answer.content.decode(errors="replace"),
                step="commit",
                peer=self._url,
            )

    async def put_object(self, name: str, data: bytes) -> None:
        """Store `data` as object `name`."""
        await self._write("PUT", f"/objects/{quote(name)}", data, "put object")

    async def get_object(self, name: str) -> bytes | None:
        """Return the object `name`, or `None`."""
        answer = await self._read(f"/objects/{quote(name)}", "get object")
        return None if answer.status == 404 else answer.content

    async def _read(self, target: str, step: str) -> httpcore.Response:
        self._counters.add("platform_reads")
        try:
            answer = await self._pool.request(
                "GET", self._url + target, extensions=self._extensions
            )
        except (*_NOT_SENT, *_FAILED) as error:
            raise self._fail(PlatformUnavailable, step, error) from error
        return self._check(answer, step)

    async def _write(
        self, method: str, target: str, body: bytes, step: str
    ) -> httpcore.Response:
        self._counters.add("platform_writes")
        try:
            answer = await self._pool.request(
                method, self._url + target, content=body, extensions=self._extensions
            )
        except _NOT_SENT as error:
            raise self._fail(PlatformUnavailable, step, error) from error
        except _FAILED as error:
            raise self._fail(AnswerLost, step, error) from error
        return self._check(answer, step)

    def _check(self, answer: httpcore.Response, step: str) -> httpcore.Response:
        if answer.status in (200, 204, 404, 409):
            return answer
        raise self._fail(PlatformUnavailable, step, f"status {answer.status}")

    def _fail(self, kind: type[CactusError], step: str, error: object) -> CactusError:
        self._counters.add("platform_failures")
        cause = str(error) or type(error).__name__
        return kind(cause, step=step, peer=self._url)


def _decode(answer: httpcore.Response, kind, step: str):
    try:
        return msgspec.json.decode(answer.content, type=kind)
    except (msgspec.DecodeError, ValueError) as error:
        raise Malformed(str(error), step=step) from error
