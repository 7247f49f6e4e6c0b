"""Client of the platform's row store: reads, change feed, conditional writes."""

import base64
from collections.abc import Iterable
from urllib.parse import quote

import attrs
import msgspec

from ..decoding import decode_json
from ..errors import (
    AnswerLost,
    CactusError,
    ConditionFailed,
    Malformed,
    PlatformUnavailable,
)
from ..fields import read_int, read_list
from ..mesh.upstream import Answer
from ..observe.counters import Counters
from ..observe.lines import log_line
from ..options import Address
from ..store.httpcalls import HttpCalls
from .headers import STORE_ERA, read_store_era
from .storedrows import StoredRow, find_last_key, read_rows

__all__ = ["ABSENT", "HistoryGone", "Page", "ConditionalPut", "RowStore", "StoredRow"]

PATH = "/cactusshed/"
ABSENT = 0
"""Expected version of a row that must not exist."""
CALL_TIMEOUT_SECONDS = 1.2
"""Time limit of a call: over twice the 0.5 s of a transaction in the slowest store."""
FEED_MARGIN_SECONDS = 0.6
"""Time for the feed's response beyond the requested wait."""


class HistoryGone(CactusError):
    """The store no longer has the changes from which the feed should resume."""

    code = "history-gone"
    status = 410


@attrs.frozen
class Page:
    """Rows as of transaction `version` of the store."""

    rows: list[StoredRow]
    version: int


@attrs.frozen
class ConditionalPut:
    """A row to write, or to delete if `value` is `None`.

    It takes effect only if the row is at version `expected`.
    """

    table: str
    key: str
    value: bytes | None
    expected: int


class RowStore:
    """Client of the store at one address; every call has a time limit."""

    def __init__(
        self, address: Address, counters: Counters, timeout: float | None = None
    ) -> None:
        """Use the store at `address`, allowing `timeout` seconds per call."""
        self._calls = HttpCalls("store", address, counters)
        self._counters = counters
        self._timeout = CALL_TIMEOUT_SECONDS if timeout is None else timeout
        self.era: int | None = None
        """Highest era that the store has stated; `None` if it states none."""

    async def read_table(self, table: str, prefix: str = "") -> Page:
        """Return the rows of `table` whose keys start with `prefix`."""
        rows: list[StoredRow] = []
        start = prefix
        while True:
            query = f"table={quote(table)}&part="
            if start:
                query += f"&from={quote(start, safe='')}"
            if prefix:
                query += f"&to={quote(prefix, safe='')}%7F"
            found, last_key, version = await self._read(
                f"rows-get?{query}", self._timeout
            )
            rows.extend(found)
            if not last_key:
                return Page(rows, version)
            start = last_key + "\x00"

    async def read_row(self, table: str, key: str) -> StoredRow | None:
        """Return one row, or `None` if it does not exist."""
        quoted_key = quote(key, safe="")
        query = f"table={quote(table)}&part=&from={quoted_key}&to={quoted_key}%00"
        found, _, _ = await self._read(f"rows-get?{query}", self._timeout)
        return found[0] if found else None

    async def scan(
        self, table: str, prefix: str, after: str, limit: int
    ) -> list[StoredRow]:
        """Return up to `limit` rows with `prefix` whose keys come after `after`."""
        start = quote(max(prefix, f"{after}\x00"), safe="")
        query = f"table={quote(table)}&part=&from={start}&limit={limit}"
        query += f"&to={quote(prefix, safe='')}%7F"
        found, _, _ = await self._read(f"rows-get?{query}", self._timeout)
        return found

    async def wait_for_changes(self, table: str, after: int, wait: float) -> Page:
        """Return the rows changed since version `after`.

        Without changes, waits up to `wait` seconds for one. Raises `HistoryGone` if
        the whole table must be read instead.
        """
        target = f"rows-feed?table={quote(table)}&after={after}"
        target += f"&wait_ms={int(wait * 1000)}"
        rows, _, version = await self._read(target, wait + FEED_MARGIN_SECONDS)
        return Page(rows, version)

    async def write(self, puts: Iterable[ConditionalPut]) -> int:
        """Apply all of `puts` or none; return the new version.

        Raises `ConditionFailed` or `PlatformUnavailable` if nothing was written, and
        `AnswerLost` if the write may have happened or may still happen.
        """
        puts = list(puts)
        return await self._transact(
            [{**_encode_key(p.table, p.key), "ver": p.expected} for p in puts],
            {(p.table, p.key): p.value for p in puts},
        )

    async def commit(
        self,
        table: str,
        expected: dict[str, int],
        values: dict[str, bytes | None],
    ) -> int:
        """Write or delete `values` if all rows in `expected` have these versions."""
        return await self._transact(
            [{**_encode_key(table, key), "ver": ver} for key, ver in expected.items()],
            {(table, key): value for key, value in values.items()},
        )

    async def _transact(
        self, expected: list[dict], values: dict[tuple[str, str], bytes | None]
    ) -> int:
        body = {
            "expected_rev": expected,
            "puts": [
                {**_encode_key(*name), "value": base64.b64encode(value).decode()}
                for name, value in values.items()
                if value is not None
            ],
            "remove": [_encode_key(*n) for n, value in values.items() if value is None],
        }
        self._counters.add("store_writes")
        data = msgspec.json.encode(body)
        answer = await self._calls.call(b"POST", PATH + "rows-tx", data, self._timeout)
        self._note_era(answer)
        if answer.status == 412:
            raise ConditionFailed("a row is at another version", step="write rows")
        fields = _decode(answer, "write rows")
        return read_int(fields, "ver", 0)

    async def put_object(self, name: str, data: bytes) -> None:
        """Store `data` as object `name`; raise `AnswerLost` if unconfirmed."""
        self._counters.add("store_writes")
        target = f"{PATH}blob-put/{quote(name, safe='')}"
        answer = await self._calls.call(b"PUT", target, data, self._timeout)
        if answer.status not in (200, 201, 204):
            raise self._calls.make_error(PlatformUnavailable, f"status {answer.status}")

    async def get_object(self, name: str) -> bytes | None:
        """Return the object `name`, or `None` if it does not exist."""
        self._counters.add("store_reads")
        target = f"{PATH}blob-get/{quote(name, safe='')}"
        try:
            answer = await self._calls.call(b"GET", target, b"", self._timeout)
        except AnswerLost as error:
            raise PlatformUnavailable(error.message, step=error.step) from error
        if answer.status == 404:
            return None
        if answer.status != 200:
            raise self._calls.make_error(PlatformUnavailable, f"status {answer.status}")
        return answer.body

    async def _read(self, target: str, timeout: float):
        self._counters.add("store_reads")
        try:
            answer = await self._calls.call(b"GET", PATH + target, b"", timeout)
        except AnswerLost as error:
            raise PlatformUnavailable(error.message, step=error.step) from error
        self._note_era(answer)
        if answer.status == 410:
            self._counters.add("store_history_gone")
            raise HistoryGone("the store no longer has the history", step="follow rows")
        fields = _decode(answer, "read rows")
        entries = read_list(fields, "rows")
        rows = list(read_rows(entries, self._counters))
        last_key = find_last_key(entries) if fields.get("has_more") else ""
        return rows, last_key, read_int(fields, "ver")

    def _note_era(self, answer: Answer) -> None:
        era = read_store_era(answer.find(STORE_ERA))
        if era is None or (self.era is not None and era <= self.era):
            return
        if self.era is not None:
            self._counters.add("store_returns")
            log_line("store-era", era=era, before=self.era)
        self.era = era

    def set_address(self, address: Address) -> None:
        """Use the store at another address from now on."""
        self._calls.set_address(address)

    def close(self) -> None:
        """Close the connections."""
        self._calls.close()


def _encode_key(table: str, key: str) -> dict[str, str]:
    return {"table": table, "part": "", "key": key}


def _decode(answer: Answer, step: str) -> dict:
    if answer.status != 200:
        text = answer.body[:200].decode("latin-1")
        raise PlatformUnavailable(f"status {answer.status}: {text}", step=step)
    fields = decode_json(answer.body, step=step)
    if not isinstance(fields, dict):
        raise Malformed("response is not an object", step=step)
    return fields
