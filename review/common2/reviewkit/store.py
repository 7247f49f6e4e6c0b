"""Stand-in for the platform's metadata store, as PROTOCOL.md has it."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs

from .http import Answer, Head, serve

__all__ = ["Store"]

PREFIX = "/cactusshed/"
OPERATOR_TABLES = ("op", "servers")
HISTORY_SECONDS = 20.0
MAX_ROWS = 500

Name = tuple[str, str, str]
"""Table, part and key."""


class Store:
    """Rows in memory; versions come from one counter."""

    def __init__(self) -> None:
        """Start empty."""
        self.rows: dict[Name, tuple[str, int]] = {}
        self.history: list[tuple[Name, str | None, int, float]] = []
        self.version = 0
        self.era: int | None = None
        self.address = ""
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self._addresses: list[str] = []
        self._given_up: set[str] = set()

    async def open(self, ip: str) -> None:
        """Listen on a free port; the last address opened is the one in force."""
        address = ""

        async def handle(head: Head) -> Answer:
            if address in self._given_up:
                return 503, {}, b""
            return await self._handle(head)

        server = await serve(ip, 0, handle)
        self._servers.append(server)
        address = self.address = f"{ip}:{server.sockets[0].getsockname()[1]}"
        self._addresses.append(address)

    def give_up_former(self) -> None:
        """Answer 503 to each call at an address that is no longer in force."""
        self._given_up.update(self._addresses[:-1])

    def put(self, table: str, key: str, value: object) -> float:
        """Write or remove (`None`) a row for the operator; return the time."""
        text = None
        if value is not None:
            text = base64.b64encode(json.dumps(value).encode()).decode()
        self._commit([((table, "", key), text)])
        return time.monotonic()

    def find(self, table: str, key: str) -> object:
        """Return the value of a row, `None` if there is none."""
        row = self.rows.get((table, "", key))
        return json.loads(base64.b64decode(row[0])) if row else None

    def _commit(self, changes: list[tuple[Name, str | None]]) -> None:
        self.version += 1
        now = time.monotonic()
        for name, text in changes:
            if text is None:
                self.rows.pop(name, None)
            else:
                self.rows[name] = (text, self.version)
            self.history.append((name, text, self.version, now))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, head: Head) -> Answer:
        path, _, query = head.first[1].partition("?")
        fields = {k: v[0] for k, v in parse_qs(query, keep_blank_values=True).items()}
        call = path.removeprefix(PREFIX)
        if call == "rows-get":
            status, body = 200, self._get(fields)
        elif call == "rows-feed":
            status, body = await self._feed(fields)
        elif call == "rows-tx":
            status, body = self._transact(json.loads(head.body))
        else:
            status, body = 404, {}
        now = f"{int(time.monotonic() * 1000)}ms"
        body = {"ver": self.version, "now": now, **body}
        headers = {"content-type": "application/json"}
        if self.era is not None:
            headers["store-era"] = str(self.era)
        return status, headers, json.dumps(body).encode()

    def _get(self, fields: dict) -> dict:
        low, high = fields.get("from", "").encode(), fields.get("to")
        limit = min(MAX_ROWS, int(fields.get("limit", MAX_ROWS)))
        names = sorted(
            (
                name
                for name in self.rows
                if name[:2] == (fields["table"], fields.get("part", ""))
                and name[2].encode() >= low
                and (high is None or name[2].encode() < high.encode())
            ),
            key=lambda name: name[2].encode(),
        )
        rows = [_render(name, *self.rows[name]) for name in names[:limit]]
        return {"rows": rows, "has_more": len(names) > limit}

    async def _feed(self, fields: dict) -> tuple[int, dict]:
        after, end = int(fields["after"]), time.monotonic()
        end += int(fields.get("wait_ms", 0)) / 1000
        while True:
            self._drop_history()
            oldest = self.history[0][2] if self.history else self.version + 1
            if after > self.version or after < oldest - 1:
                return 410, {}
            newest = {
                name: (text, version)
                for name, text, version, _ in self.history
                if name[0] == fields["table"] and version > after
            }
            left = end - time.monotonic()
            if newest or left <= 0:
                rows = [_render(name, *row) for name, row in newest.items()]
                return 200, {"rows": sorted(rows, key=lambda row: row["ver"])}
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _drop_history(self) -> None:
        oldest = time.monotonic() - HISTORY_SECONDS
        while self.history and self.history[0][3] < oldest:
            del self.history[0]

    def _transact(self, body: dict) -> tuple[int, dict]:
        entries = [*body.get("puts", []), *body.get("remove", [])]
        if any(entry["table"] in OPERATOR_TABLES for entry in entries):
            return 403, {}
        expected = body.get("expected_rev", [])
        current = [(_name(row), row["ver"]) for row in expected]
        if any(self.rows.get(name, ("", 0))[1] != ver for name, ver in current):
            rows = [_render(n, *self.rows[n]) for n, _ in current if n in self.rows]
            return 412, {"rows": rows}
        changes = [(_name(row), row["value"]) for row in body.get("puts", [])]
        changes += [(_name(row), None) for row in body.get("remove", [])]
        self._commit(changes)
        return 200, {}


def _name(row: dict) -> Name:
    return row["table"], row.get("part", ""), row["key"]


def _render(name: Name, text: str | None, version: int) -> dict:
    table, part, key = name
    row = {"table": table, "part": part, "key": key, "ver": version}
    return row | ({"deleted": True} if text is None else {"value": text})
