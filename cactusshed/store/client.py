"""Client of the platform for the mesh's own records."""

from collections.abc import Iterable

from ..errors import CactusError
from ..observe.counters import Counters
from ..options import parse_address
from ..platform.rowkeys import SYSTEM_TABLE
from ..platform.rows import RowStore, StoredRow
from .port import Condition, Row, Write

__all__ = ["PlatformClient"]


class PlatformClient:
    """Implements `Port` on top of the platform's table service and object store."""

    def __init__(self, url: str, timeout: float, counters: Counters) -> None:
        """Connect to the platform at `url`; each request may take `timeout` seconds."""
        self._counters = counters
        address = parse_address("platform", url.removeprefix("http://"))
        self._store = RowStore(address, counters, timeout)

    async def aclose(self) -> None:
        """Close the connections."""
        self._store.close()

    async def get(self, key: str) -> Row | None:
        """Return the row at `key`, or `None`."""
        self._counters.add("platform_reads")
        with _FailureCounter(self._counters):
            row = await self._store.read_row(SYSTEM_TABLE, key)
        return None if row is None else _make_row(row)

    async def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Return up to `limit` rows past key `after` that start with `prefix`."""
        self._counters.add("platform_reads")
        with _FailureCounter(self._counters):
            rows = await self._store.scan(SYSTEM_TABLE, prefix, after, limit)
        return [_make_row(row) for row in rows]

    async def commit(
        self, conditions: Iterable[Condition], writes: Iterable[Write]
    ) -> None:
        """Perform all writes if all conditions hold."""
        self._counters.add("platform_writes")
        with _FailureCounter(self._counters):
            await self._store.commit(
                SYSTEM_TABLE,
                {condition.key: condition.version for condition in conditions},
                {
                    write.key: None if write.value is None else write.value.encode()
                    for write in writes
                },
            )

    async def put_object(self, name: str, data: bytes) -> None:
        """Store `data` as object `name`."""
        self._counters.add("platform_writes")
        with _FailureCounter(self._counters):
            await self._store.put_object(name, data)

    async def get_object(self, name: str) -> bytes | None:
        """Return the object `name`, or `None`."""
        self._counters.add("platform_reads")
        with _FailureCounter(self._counters):
            return await self._store.get_object(name)


class _FailureCounter:
    """Counts requests that failed because the platform was unavailable."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters

    def __enter__(self) -> None:
        return

    def __exit__(self, _error_type, error, _traceback) -> None:
        if isinstance(error, CactusError) and error.status == 503:
            self._counters.add("platform_failures")


def _make_row(row: StoredRow) -> Row:
    # Bytes that are no text are refused with the value, not with the whole scan.
    value = row.value.decode(errors="surrogateescape")
    return Row(row.key, value, row.version)
