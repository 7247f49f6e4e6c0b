"""Stand-in for the platform: a table service and an object store over HTTP.

`POST /fault` with `{"mode": "up|down|slow|lose-answers", "seconds": 0.0}` sets
how it fails. `lose-answers` carries writes out and then breaks the connection.
"""

import bisect
import sys
from urllib.parse import parse_qs, unquote

import anyio
import attrs
import msgspec

from cactusshed.options import parse_address
from cactusshed.serve.asgi import read_body, send_json, send_text
from cactusshed.store.client import Commit, Scan
from cactusshed.store.port import ABSENT, Row

from .serving import serve_app

__all__ = ["Fault", "PlatformApp", "Store"]

MAX_BODY = 64 << 20
MODES = ("up", "down", "slow", "lose-answers")


@attrs.frozen
class Fault:
    """How the platform fails; `seconds` is the delay when it is slow."""

    mode: str = "up"
    seconds: float = 0.0


class Store:
    """Rows and objects in memory; every write is conditional and atomic."""

    def __init__(self) -> None:
        """Start empty."""
        self.rows: dict[str, Row] = {}
        self.keys: list[str] = []
        self.objects: dict[str, bytes] = {}
        self.clock = 0
        self.reads = 0
        self.writes = 0

    def get(self, key: str) -> Row | None:
        """Return the row at `key`, or `None`."""
        self.reads += 1
        return self.rows.get(key)

    def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Return up to `limit` rows with `prefix` past key `after`."""
        self.reads += 1
        start = bisect.bisect_left(self.keys, prefix)
        if after >= prefix:
            start = max(start, bisect.bisect_right(self.keys, after))
        found = []
        for key in self.keys[start : start + limit]:
            if not key.startswith(prefix):
                break
            found.append(self.rows[key])
        return found

    def commit(self, conditions, writes) -> list[str]:
        """Carry out `writes` if `conditions` hold; return the keys that did not."""
        self.writes += 1
        failed = [c.key for c in conditions if self._get_version(c.key) != c.version]
        if failed:
            return failed
        for write in writes:
            self._write(write)
        return []

    def _get_version(self, key: str) -> int:
        row = self.rows.get(key)
        return row.version if row else ABSENT

    def _write(self, write) -> None:
        self.clock += 1
        if write.value is None:
            if self.rows.pop(write.key, None) is not None:
                self.keys.remove(write.key)
            return
        if write.key not in self.rows:
            bisect.insort(self.keys, write.key)
        self.rows[write.key] = Row(write.key, write.value, self.clock)


class PlatformApp:
    """The ASGI application over a store."""

    def __init__(self) -> None:
        """Start empty and up."""
        self.store = Store()
        self.fault = Fault()

    async def __call__(self, scope, receive, send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        body = await read_body(receive, MAX_BODY)
        path = scope["path"]
        if path == "/fault":
            self.fault = msgspec.json.decode(body, type=Fault)
            await send_json(send, {"mode": self.fault.mode})
        elif path == "/counts":
            store = self.store
            await send_json(send, {"reads": store.reads, "writes": store.writes})
        else:
            await self._serve_faulty(scope, body, send)

    async def _serve_faulty(self, scope, body, send) -> None:
        if self.fault.mode == "down":
            await send_text(send, "down\n", 503)
            return
        if self.fault.mode == "slow":
            await anyio.sleep(self.fault.seconds)
        answer, status = self._serve(scope, body)
        if self.fault.mode == "lose-answers" and scope["method"] != "GET":
            raise ConnectionError("answer lost on purpose")
        if isinstance(answer, bytes):
            await send({"type": "http.response.start", "status": status, "headers": []})
            await send({"type": "http.response.body", "body": answer})
        else:
            await send_json(send, answer, status)

    def _serve(self, scope, body):
        path, method, store = scope["raw_path"].decode(), scope["method"], self.store
        if path == "/table/commit" and method == "POST":
            asked = msgspec.json.decode(body, type=Commit)
            failed = store.commit(asked.conditions, asked.writes)
            return {"failed": failed}, 409 if failed else 200
        if path == "/table/rows":
            query = parse_qs(scope["query_string"].decode(), keep_blank_values=True)
            rows = store.scan(
                query["prefix"][0], query["after"][0], int(query["limit"][0])
            )
            return Scan(rows), 200
        if path.startswith("/table/rows/"):
            row = store.get(unquote(path.removeprefix("/table/rows/")))
            return row or {}, 200 if row else 404
        name = unquote(path.removeprefix("/objects/"))
        if method == "PUT":
            store.writes += 1
            store.objects[name] = body
            return {}, 200
        store.reads += 1
        data = store.objects.get(name)
        return data or b"", 200 if data is not None else 404


def main() -> None:
    """Serve at the address given as the one argument."""
    address = parse_address("listen", sys.argv[1])
    anyio.run(serve_app, PlatformApp(), address)


if __name__ == "__main__":
    main()
