"""What this node knows of the store: configuration, orders and moves.

Knowledge comes from the store's feed or, while that is away, from another node;
either way it is never replaced by an older state.
"""

from collections.abc import Callable, Iterable

import attrs

from ..errors import Malformed
from ..observe.counters import Counters
from ..observe.lines import log_line
from ..platform.document import MoveOrder, decode_move, decode_table
from ..platform.orders import CONFIG_KEY, EVACUATION_PREFIX, MOVE_PREFIX, ORDERS
from ..platform.rows import StoredRow
from .table import EMPTY_TABLE, Table

__all__ = ["Order", "Records"]


@attrs.frozen
class Order:
    """An order to move a service, as of the store's `version`."""

    order: MoveOrder
    version: int


@attrs.define
class Records:
    """The operator's rows and what they mean; `revision` is the store's counter."""

    counters: Counters
    on_change: Callable[[], None]
    revision: int = 0
    table: Table = EMPTY_TABLE
    evacuated: frozenset[str] = frozenset()
    orders: dict[str, Order] = attrs.Factory(dict)
    rows: dict[str, StoredRow] = attrs.Factory(dict)
    _refused: dict[str, int] = attrs.Factory(dict)

    def take_changes(self, rows: Iterable[StoredRow], revision: int) -> None:
        """Take over the rows that changed up to `revision`."""
        if revision < self.revision:
            return
        changed = [row for row in rows if self._take_row(row)]
        self.revision = revision
        if changed:
            self._apply(changed)

    def take_all(self, rows: Iterable[StoredRow], revision: int) -> None:
        """Take over the whole of the operator's rows as of `revision`."""
        if revision < self.revision:
            return
        rows = list(rows)
        present = {row.key for row in rows}
        gone = [
            attrs.evolve(row, is_gone=True, version=max(row.version, revision))
            for key, row in self.rows.items()
            if key not in present and not row.is_gone
        ]
        self.take_changes([*rows, *gone], revision)

    def _take_row(self, row: StoredRow) -> bool:
        known = self.rows.get(row.key)
        if known is not None and known.version >= row.version:
            return False
        self.rows[row.key] = row
        return True

    def _apply(self, rows: list[StoredRow]) -> None:
        for row in rows:
            try:
                self._apply_row(row)
            except Malformed as error:
                self.counters.add("documents_refused")
                if self._refused.get(row.key) != row.version:
                    self._refused[row.key] = row.version
                    log_line("document-refused", key=row.key, cause=str(error))
        self.on_change()

    def _apply_row(self, row: StoredRow) -> None:
        if row.key == CONFIG_KEY and not row.is_gone:
            self._apply_table(decode_table(row.value))
        elif row.key.startswith(EVACUATION_PREFIX):
            self._apply_evacuation(row)
        elif row.key.startswith(MOVE_PREFIX):
            service = row.key.removeprefix(MOVE_PREFIX)
            if row.is_gone:
                self.orders.pop(service, None)
            else:
                self.orders[service] = Order(decode_move(row.value), row.version)
            log_line("move-order", service=service, gone=row.is_gone)

    def _apply_table(self, table: Table) -> None:
        if table.version <= self.table.version:
            return
        log_line(
            "configuration-applied",
            version=table.version,
            before=self.table.version,
            routes=sum(map(len, table.routes.values())),
        )
        self.counters.add("configurations_applied")
        self.table = table

    def _apply_evacuation(self, row: StoredRow) -> None:
        data_centre = row.key.removeprefix(EVACUATION_PREFIX)
        if row.is_gone:
            self.evacuated -= {data_centre}
        else:
            self.evacuated |= {data_centre}
        log_line("evacuation", data_centre=data_centre, ended=row.is_gone)

    def list_rows(self, known_version: int) -> list[tuple[str, str, bytes, int]]:
        """Return the rows for a node whose configuration is `known_version`."""
        return [
            (ORDERS, row.key, row.value, row.version)
            for row in self.rows.values()
            if not row.is_gone
            and not (row.key == CONFIG_KEY and known_version >= self.table.version)
        ]

    def take_snapshot(
        self, rows: Iterable[tuple[str, str, bytes, int]], revision: int
    ) -> None:
        """Take over the rows that another node knows, if they are newer."""
        stored = [StoredRow(*row) for row in rows]
        known = self.rows.get(CONFIG_KEY)
        if known is not None and all(row.key != CONFIG_KEY for row in stored):
            stored.append(known)
        self.take_all(stored, revision)
