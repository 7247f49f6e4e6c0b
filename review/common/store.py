"""Stand-in of the platform's store: rows, feed and conditional writes in memory."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs

from .http import encode_message, read_message

__all__ = ["Store"]


class Store:
    """A store without faults of its own."""

    def __init__(self):
        """Start empty."""
        self.version = 0
        self._rows = {}
        self._history = []
        self._changed = asyncio.Event()
        self._server = None
        self.address = ""

    async def open(self, ip, port):
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, ip, port)
        self.address = f"{ip}:{port}"

    def put(self, table, key, document):
        """Write a row as the operator; its value is `document` as JSON."""
        self.version += 1
        self._apply(table, key, json.dumps(document).encode())

    def find(self, table, prefix):
        """Return the values of the rows whose keys begin with `prefix`."""
        return {
            key: value
            for (row_table, key), (value, _) in sorted(self._rows.items())
            if row_table == table and key.startswith(prefix)
        }

    def _apply(self, table, key, value):
        if value is None:
            self._rows.pop((table, key), None)
        else:
            self._rows[table, key] = (value, self.version)
        self._history.append((table, key, value, self.version))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                status, fields = await self._answer(request)
                fields |= {
                    "ver": self.version,
                    "now": f"{int(time.monotonic() * 1000)}ms",
                }
                headers = {"content-type": "application/json"}
                body = json.dumps(fields).encode()
                writer.write(encode_message(f"HTTP/1.1 {status} X", headers, body))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        path, _, query = request.path.partition("?")
        fields = {k: v[0] for k, v in parse_qs(query, keep_blank_values=True).items()}
        call = path.removeprefix("/cactusshed/")
        if call == "rows-get":
            return 200, self._get(fields)
        if call == "rows-feed":
            return 200, await self._feed(fields)
        if call == "rows-tx":
            return self._transact(json.loads(request.body))
        return 404, {}

    def _get(self, fields):
        low, high = fields.get("from", ""), fields.get("to", "\U0010ffff")
        rows = [
            _render(table, key, value, version)
            for (table, key), (value, version) in sorted(self._rows.items())
            if table == fields["table"] and low <= key < high
        ]
        return {"rows": rows, "has_more": False}

    async def _feed(self, fields):
        end = time.monotonic() + int(fields["wait_ms"]) / 1000
        while True:
            newest = {
                (table, key): (value, version)
                for table, key, value, version in self._history
                if table == fields["table"] and version > int(fields["after"])
            }
            left = end - time.monotonic()
            if newest or left <= 0:
                break
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue
        rows = [_render(*name, *row) for name, row in newest.items()]
        return {"rows": sorted(rows, key=lambda row: row["ver"])}

    def _transact(self, body):
        for row in body["expected_rev"]:
            _, version = self._rows.get((row["table"], row["key"]), (b"", 0))
            if version != row["ver"]:
                return 412, {"rows": []}
        self.version += 1
        for row in body["puts"]:
            self._apply(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in body.get("remove", []):
            self._apply(row["table"], row["key"], None)
        return 200, {"rows": []}


def _render(table, key, value, version):
    row = {"table": table, "part": "", "key": key, "ver": version}
    if value is None:
        return {**row, "deleted": True}
    return {**row, "value": base64.b64encode(value).decode()}
