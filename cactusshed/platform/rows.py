"""Client of the platform's row store: reads, change feed, conditional writes."""

import base64
from collections.abc import Iterable
from urllib.parse import quote

import msgspec

from ..decoding import decode_json
from ..errors import AnswerLost, ConditionFailed, Malformed, PlatformUnavailable
from ..fields import read_int, read_list
from ..mesh.upstream import Answer
from ..observe.counters import Counters
from ..options import Address
from ..store.eras import RowName, StoreEras
from ..store.httpcalls import HttpCalls
from ..store.rowtypes import ABSENT, ConditionalPut, HistoryGone, Page, StoredRow
from ..store.versions import get_era, get_number, make_version
from .headers import STORE_ERA, read_store_era
from .storedrows import find_last_key, read_rows

__all__ = ["ABSENT", "HistoryGone", "Page", "ConditionalPut", "RowStore", "StoredRow"]

PATH = "/cactusshed/"
CALL_TIMEOUT_SECONDS = 1.2
"""Time limit of a call: over twice the 0.5 s of a transaction in the slowest store."""
FEED_MARGIN_SECONDS = 0.6
"""Time for the answer to a feed call beyond its wait, unless another is set."""


class RowStore:
    """Client of the store at one address; every call has a time limit."""

    def __init__(
        self, address: Address, counters: Counters, timeout: float | None = None
    ) -> None:
        """Use the store at `address`, allowing `timeout` seconds per call."""
        self._calls = HttpCalls("store", address, counters)
        self._counters = counters
        self._timeout = CALL_TIMEOUT_SECONDS if timeout is None else timeout
        self.feed_margin = FEED_MARGIN_SECONDS
        self.eras = StoreEras(counters)

    @property
    def era(self) -> int:
        """Return the highest era that the store has stated, 0 if it states none."""
        return self.eras.current

    async def read_table(self, table: str, prefix: str = "") -> Page:
        """Return the rows of `table` whose keys start with `prefix`."""
        rows: list[StoredRow] = []
        start = prefix
        era = None
        while True:
            query = f"table={quote(table)}&part="
            if start:
                query += f"&from={quote(start, safe='')}"
            if prefix:
                query += f"&to={quote(prefix, safe='')}%7F"
            found, last_key, version = await self._read(
                f"rows-get?{query}", self._timeout
            )
            if get_era(version) != era and rows:
                # The pages so far are of another state of the table.
                rows, start, era = [], prefix, None
                continue
            era = get_era(version)
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
        if not self.eras.is_current(after):
            raise HistoryGone("the store has come back", step="follow rows")
        target = f"rows-feed?table={quote(table)}&after={get_number(after)}"
        target += f"&wait_ms={int(wait * 1000)}"
        rows, _, version = await self._read(target, wait + self.feed_margin)
        if get_era(version) != get_era(after):
            raise HistoryGone("the store has come back", step="follow rows")
        return Page(rows, version)

    async def write(self, puts: Iterable[ConditionalPut]) -> int:
        """Apply all of `puts` or none; return the new version.

        Raises `ConditionFailed` or `PlatformUnavailable` if nothing was written, and
        `AnswerLost` if the write may have happened or may still happen. An expected
        version of an earlier era is no longer that of any row.
        """
        puts = list(puts)
        return await self._transact(
            {(p.table, p.key): p.expected for p in puts},
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
            {(table, key): version for key, version in expected.items()},
            {(table, key): value for key, value in values.items()},
        )

    async def mark_era(self) -> int:
        """Mark the present era; return a version above all that were read before."""
        return await self._transact({}, self.eras.list_marks(is_forced=True))

    async def _transact(
        self, expected: dict[RowName, int], values: dict[RowName, bytes | None]
    ) -> int:
        known_era = self.eras.stated
        numbers = self.eras.list_conditions(expected)
        values = {**values, **self.eras.list_marks()}
        body = {
            "expected_rev": [
                {**_encode_key(*name), "ver": number}
                for name, number in numbers.items()
            ],
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
        era = self._read_era(answer)
        if answer.status == 412:
            raise ConditionFailed("a row is at another version", step="write rows")
        fields = _decode(answer, "write rows")
        if known_era not in (None, era):
            raise AnswerLost("the store has come back", step="write rows")
        self.eras.note_written(known_era)
        return make_version(era, read_int(fields, "ver", 0))

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
        era = self._read_era(answer)
        if answer.status == 410:
            self._counters.add("store_history_gone")
            raise HistoryGone("the store no longer has the history", step="follow rows")
        fields = _decode(answer, "read rows")
        entries = read_list(fields, "rows")
        rows = list(read_rows(entries, self._counters, era))
        last_key = find_last_key(entries) if fields.get("has_more") else ""
        return rows, last_key, make_version(era, read_int(fields, "ver"))

    def _read_era(self, answer: Answer) -> int:
        return self.eras.note_answer(read_store_era(answer.find(STORE_ERA)))

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
