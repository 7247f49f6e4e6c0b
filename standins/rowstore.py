"""Stand-in for the users' row store over HTTP, with injected faults."""

import asyncio
import base64
from collections.abc import Callable
from urllib.parse import parse_qs

import attrs
import msgspec

from cactusshed.mesh.listener import Listener
from cactusshed.mesh.messages import Request, Response, make_response
from cactusshed.mesh.table import Limits
from cactusshed.options import Address

__all__ = ["OPERATOR_TABLE", "RowStoreApp", "StoreCopy", "open_row_store"]

PREFIX = "/cactusshed/"
LIMITS = Limits(idle_seconds=60.0)
ANSWER_HEADERS = [(b"content-type", b"application/json")]
OPERATOR_TABLE = "op"
"""Table whose changes the operator writes again after the store has lost them."""


@attrs.frozen
class StoreCopy:
    """State of the store at one moment."""

    rows: dict[tuple[str, str], tuple[bytes, int]]
    history: list[tuple[str, str, bytes | None, int]]
    version: int


@attrs.define(eq=False)
class RowStoreApp:
    """Rows in memory, served with an optional fault.

    Values of `fault`: `up` (none), `busy` (answer 503), `silent` (never answer),
    `lose` (apply writes but do not answer them), `late` (do not answer writes, and
    apply them `late_seconds` later if their conditions still hold).
    """

    rows: dict[tuple[str, str], tuple[bytes, int]] = attrs.Factory(dict)
    history: list[tuple[str, str, bytes | None, int]] = attrs.Factory(list)
    version: int = 0
    compacted_version: int = 0
    fault: str = "up"
    late_seconds: float = 0.2
    era: int | None = None
    """Number of returns from a copy, sent with every answer; `None` sends none."""
    stale: StoreCopy | None = None
    """Older state from which table reads are answered, if there is one."""
    is_deaf: bool = False
    """Whether feeds report no changes."""
    calls: int = 0
    on_write: Callable[[str, bytes | None], object] = lambda _key, _value: None
    """Called with the key and the value of each row that is written."""
    _changed: asyncio.Event = attrs.Factory(asyncio.Event)

    def put(self, table: str, key: str, value: bytes | None) -> int:
        """Write a row, or remove it if `value` is `None`; return the new version."""
        self.version += 1
        self._store(table, key, value)
        return self.version

    def put_json(self, table: str, key: str, value: object) -> int:
        """Write a row whose value is `value` encoded as JSON."""
        return self.put(table, key, msgspec.json.encode(value))

    def _store(self, table: str, key: str, value: bytes | None) -> None:
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (value, self.version)
        self.history.append((table, key, value, self.version))
        self.on_write(key, value)
        self._changed.set()
        self._changed = asyncio.Event()

    def drop_history(self) -> None:
        """Drop the change history, so that a feed has to read the table again."""
        self.compacted_version = self.version
        self.history.clear()
        self._changed.set()
        self._changed = asyncio.Event()

    def take_copy(self) -> StoreCopy:
        """Return the present state, to which the store may return later."""
        return StoreCopy(dict(self.rows), list(self.history), self.version)

    def return_to(self, copy: StoreCopy) -> list[tuple[str, bytes | None]]:
        """Go back to `copy` and start the next era.

        Returns the operator's changes that are lost, for `rewrite`.
        """
        changes = [row for row in self.history if row[3] > copy.version]
        lost = {
            key: value for table, key, value, _ in changes if table == OPERATOR_TABLE
        }
        self.rows, self.history = dict(copy.rows), list(copy.history)
        self.version = copy.version
        self.era = (self.era or 0) + 1
        self._changed.set()
        self._changed = asyncio.Event()
        return list(lost.items())

    def rewrite(self, changes: list[tuple[str, bytes | None]]) -> None:
        """Write the operator's changes again."""
        for key, value in changes:
            self.put(OPERATOR_TABLE, key, value)

    async def serve(self, request: Request) -> Response:
        """Serve one request."""
        response = await self._serve(request)
        if self.era is not None:
            response.headers.append((b"store-era", b"%d" % self.era))
        return response

    async def _serve(self, request: Request) -> Response:
        self.calls += 1
        if self.fault == "busy":
            return make_response(503)
        if self.fault == "silent":
            await asyncio.sleep(3600)
        path, _, query = request.path.decode().partition("?")
        fields = {k: v[0] for k, v in parse_qs(query, keep_blank_values=True).items()}
        call = path.removeprefix(PREFIX)
        if call == "rows-get":
            return self._get(fields)
        if call == "rows-feed":
            return await self._feed(fields)
        if call == "rows-tx":
            return await self._write(msgspec.json.decode(request.body))
        return make_response(404)

    def _answer(self, status: int, **fields: object) -> Response:
        body = msgspec.json.encode({"ver": self.version, "now": "0ms", **fields})
        return Response(status, list(ANSWER_HEADERS), body)

    def _get(self, fields: dict) -> Response:
        low, high = fields.get("from", ""), fields.get("to", "\U0010ffff")
        state = self.stale or self
        rows = [
            _render(table, key, value, version)
            for (table, key), (value, version) in sorted(state.rows.items())
            if table == fields["table"] and low <= key < high
        ]
        return self._answer(200, rows=rows, has_more=False, ver=state.version)

    async def _feed(self, fields: dict) -> Response:
        after = int(fields["after"])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(fields["wait_ms"]) / 1000
        while True:
            if after < self.compacted_version or after > self.version:
                return make_response(410)
            newest = {
                (table, key): (value, version)
                for table, key, value, version in self.history
                if table == fields["table"] and version > after and not self.is_deaf
            }
            if newest or loop.time() >= end:
                break
            waiter = asyncio.create_task(self._changed.wait())
            await asyncio.wait([waiter], timeout=end - loop.time())
            waiter.cancel()
        rows = [_render(*name, *row) for name, row in newest.items()]
        rows.sort(key=lambda row: row["ver"])
        version = after if self.is_deaf else self.version
        return self._answer(200, rows=rows, ver=version)

    async def _write(self, body: dict) -> Response:
        if self.fault == "late":
            loop = asyncio.get_running_loop()
            loop.call_later(self.late_seconds, self._commit, body)
            await asyncio.sleep(3600)
        committed = self._commit(body)
        if self.fault == "lose":
            await asyncio.sleep(3600)
        return self._answer(200 if committed else 412, rows=[])

    def _commit(self, body: dict) -> bool:
        for row in body["expected_rev"]:
            _, version = self.rows.get((row["table"], row["key"]), (b"", 0))
            if version != row["ver"]:
                return False
        self.version += 1
        for row in body["puts"]:
            self._store(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in body["remove"]:
            self._store(row["table"], row["key"], None)
        return True


def _render(table: str, key: str, value: bytes | None, version: int) -> dict:
    row: dict = {"table": table, "part": "", "key": key, "ver": version}
    if value is None:
        row["deleted"] = True
    else:
        row["value"] = base64.b64encode(value).decode()
    return row


async def open_row_store(address: Address) -> tuple[RowStoreApp, Listener]:
    """Start an empty store at `address` in the current event loop."""
    app = RowStoreApp()
    listener = Listener(app.serve, lambda: LIMITS, lambda status: None)
    await listener.open(address.ip, address.port)
    return app, listener
