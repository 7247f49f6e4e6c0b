"""Stand-in for the platform: a table service and an object store over HTTP.

`POST /fault` with `{"mode": "up|down|slow|lose-answers", "seconds": 0.0}` injects
a fault. `lose-answers` applies each write and then closes the connection.
"""

import base64
import bisect
import sys
from urllib.parse import parse_qs, unquote

import anyio
import attrs
import msgspec

from cactusshed.options import parse_address
from cactusshed.serve.asgi import read_body, send_json, send_text
from cactusshed.store.port import ABSENT, Condition, Row, Write

from .serving import serve_app

__all__ = ["Fault", "PlatformApp", "Store"]

MAX_BODY_BYTES = 64 << 20
MODES = ("up", "down", "slow", "lose-answers")


@attrs.frozen
class Fault:
    """Injected fault of the platform; `seconds` is the delay in mode `slow`."""

    mode: str = "up"
    seconds: float = 0.0


class Store:
    """Rows and objects in memory; row transactions are conditional and atomic."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.rows: dict[str, Row] = {}
        self.keys: list[str] = []
        self.objects: dict[str, bytes] = {}
        self.last_version = 0
        self.reads = 0
        self.writes = 0

    def get(self, key: str) -> Row | None:
        """Return the row at `key`, or `None`."""
        self.reads += 1
        return self.rows.get(key)

    def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Return up to `limit` rows with `prefix` whose key is greater than `after`."""
        self.reads += 1
        start = bisect.bisect_left(self.keys, prefix)
        if after >= prefix:
            start = max(start, bisect.bisect_right(self.keys, after))
        rows = []
        for key in self.keys[start : start + limit]:
            if not key.startswith(prefix):
                break
            rows.append(self.rows[key])
        return rows

    def commit(self, conditions, writes) -> list[str]:
        """Apply `writes` if all `conditions` hold; return the failed ones' keys."""
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
        self.last_version += 1
        if write.value is None:
            if self.rows.pop(write.key, None) is not None:
                self.keys.remove(write.key)
            return
        if write.key not in self.rows:
            bisect.insort(self.keys, write.key)
        self.rows[write.key] = Row(write.key, write.value, self.last_version)


class PlatformApp:
    """ASGI application that serves a store and applies the injected fault."""

    def __init__(self) -> None:
        """Create an empty platform without a fault."""
        self.store = Store()
        self.fault = Fault()

    async def __call__(self, scope, receive, send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        body = await read_body(receive, MAX_BODY_BYTES)
        path = scope["path"]
        if path == "/fault":
            self.fault = msgspec.json.decode(body, type=Fault)
            await send_json(send, {"mode": self.fault.mode})
        elif path == "/counts":
            store = self.store
            await send_json(send, {"reads": store.reads, "writes": store.writes})
        else:
            await self._serve_with_fault(scope, body, send)

    async def _serve_with_fault(self, scope, body, send) -> None:
        if self.fault.mode == "down":
            await send_text(send, "down\n", 503)
            return
        if self.fault.mode == "slow":
            await anyio.sleep(self.fault.seconds)
        answer, status = self._serve(scope, body)
        if self.fault.mode == "lose-answers" and scope["method"] != "GET":
            raise ConnectionError(
                "connection closed without an answer: injected fault lose-answers"
            )
        if isinstance(answer, bytes):
            await send({"type": "http.response.start", "status": status, "headers": []})
            await send({"type": "http.response.body", "body": answer})
        else:
            await send_json(send, answer, status)

    def _serve(self, scope, body):
        path = scope["raw_path"].decode().removeprefix("/cactusshed/")
        store = self.store
        if path == "rows-tx":
            failed = self._commit(msgspec.json.decode(body))
            return self._answer(rows=[]), 412 if failed else 200
        if path == "rows-get":
            query = parse_qs(scope["query_string"].decode(), keep_blank_values=True)
            return self._get({name: values[0] for name, values in query.items()}), 200
        call, _, name = path.partition("/")
        name = unquote(name)
        if call == "blob-put":
            store.writes += 1
            store.objects[name] = body
            return {}, 200
        if call != "blob-get":
            return {}, 404
        store.reads += 1
        data = store.objects.get(name)
        return data or b"", 200 if data is not None else 404

    def _answer(self, **fields) -> dict:
        return {
            **fields,
            "has_more": False,
            "ver": self.store.last_version,
            "now": "0ms",
        }

    def _get(self, query: dict[str, str]) -> dict:
        store = self.store
        store.reads += 1
        low, high = query.get("from", ""), query.get("to", "\U0010ffff")
        start = bisect.bisect_left(store.keys, low)
        stop = bisect.bisect_left(store.keys, high)
        keys = store.keys[start : min(stop, start + int(query.get("limit", 500)))]
        rows = [_render(query["table"], store.rows[key]) for key in keys]
        return self._answer(rows=rows)

    def _commit(self, transaction: dict) -> list[str]:
        conditions = [
            Condition(r["key"], r["ver"]) for r in transaction["expected_rev"]
        ]
        writes = [
            Write(row["key"], base64.b64decode(row["value"]).decode())
            for row in transaction["puts"]
        ]
        writes.extend(Write(row["key"], None) for row in transaction["remove"])
        return self.store.commit(conditions, writes)


def _render(table: str, row: Row) -> dict:
    value = base64.b64encode(row.value.encode()).decode()
    return {
        "table": table,
        "part": "",
        "key": row.key,
        "value": value,
        "ver": row.version,
    }


def main() -> None:
    """Serve at the address given as the only argument."""
    address = parse_address("listen", sys.argv[1])
    anyio.run(serve_app, PlatformApp(), address)


if __name__ == "__main__":
    main()
