"""Local copy of the operator's rows: configuration, evacuations and move orders.

The rows come from the store's feed or from another node. A row is never replaced
by an older version. Versions include the store's era, so that all rows are newer than
those known before a return of the store from an older copy. The configuration has a
number of its own, which never goes back.
"""

from collections import deque
from collections.abc import Callable, Iterable, Iterator

import attrs

from ..errors import Malformed
from ..observe.counters import Counters
from ..observe.lines import log_line
from ..platform.document import decode_move, decode_table
from ..platform.rowkeys import (
    CONFIG_KEY,
    EVACUATION_PREFIX,
    MOVE_PREFIX,
    OPERATOR_TABLE,
)
from ..platform.rows import StoredRow
from ..tenants.change import find_changed_tenants
from .change import decode_change, encode_change, find_changed_routes
from .frames import RecordsUpdate
from .table import EMPTY_TABLE, MoveOrder, Table

__all__ = ["Records", "StoredOrder"]


@attrs.frozen
class StoredOrder:
    """An order to move a service, and the version of its row."""

    order: MoveOrder
    version: int


HISTORY_LENGTH = 40
"""Number of past configurations for which a difference can be sent, enough for a
burst of changes over some seconds."""


@attrs.define
class Records:
    """The operator's rows and the state decoded from them.

    `revision` is the version up to which this node has read the store, `last_change`
    that of the last known change. The value of the configuration's row is
    not stored, only the decoded table.
    """

    counters: Counters
    on_change: Callable[[], None]
    publish: Callable[[int], None]
    """Called after a change from the feed with the previous configuration version."""
    revision: int = 0
    last_change: int = 0
    table: Table = EMPTY_TABLE
    evacuated: frozenset[str] = frozenset()
    orders: dict[str, StoredOrder] = attrs.Factory(dict)
    rows: dict[str, StoredRow] = attrs.Factory(dict)
    _refused_versions: dict[str, int] = attrs.Factory(dict)
    _history: deque[tuple[int, frozenset, frozenset]] = attrs.Factory(
        lambda: deque(maxlen=HISTORY_LENGTH)
    )
    """Earlier versions, with the routes and tenants that the next version changed."""

    def apply_changes(
        self, rows: Iterable[StoredRow], revision: int, changed_at: int = 0
    ) -> bool:
        """Apply the rows that changed up to `revision`.

        Other nodes take over the result if their last change is before `changed_at` or
        a row. Returns false, and changes nothing, if more is known already.
        """
        if revision < self.revision:
            self._note_older_read(revision)
            return False
        changed = [row for row in rows if self._store_row(row)]
        self.revision = revision
        if changed:
            base = self.table.version
            versions = (row.version for row in changed)
            self.last_change = max(self.last_change, changed_at, *versions)
            self._apply(changed)
            self.publish(base)
        return True

    def replace_all(
        self, rows: Iterable[StoredRow], revision: int, changed_at: int = 0
    ) -> bool:
        """Replace all rows by the operator's rows as of `revision`.

        For `changed_at` and the result see `apply_changes`.
        """
        rows = list(rows)
        removed = self._find_removed_rows(rows, revision)
        return self.apply_changes([*rows, *removed], revision, changed_at)

    def add_all(self, rows: Iterable[StoredRow], revision: int) -> bool:
        """Apply the operator's rows as of `revision`, which may lack recent changes.

        After a return of the store, a row may be missing, or an order may be an earlier
        one, until the operator has written again what was lost. Returns false, and
        changes nothing, if more is known already.
        """
        certain = (row for row in rows if not row.key.startswith(MOVE_PREFIX))
        return self.apply_changes(certain, revision)

    def _note_older_read(self, revision: int) -> None:
        self.counters.add("store_reads_older")
        log_line("store-read-older", revision=self.revision, read=revision)

    def _find_removed_rows(
        self, rows: list[StoredRow], revision: int
    ) -> Iterator[StoredRow]:
        """Yield the stored rows that are missing from `rows`, marked as removed."""
        present = {row.key for row in rows}
        for key, row in self.rows.items():
            if key not in present and not row.is_deleted and key != CONFIG_KEY:
                version = max(row.version, revision)
                yield attrs.evolve(row, is_deleted=True, version=version)

    def _store_row(self, row: StoredRow) -> bool:
        previous = self.rows.get(row.key)
        if previous is not None and previous.version >= row.version:
            if previous.version > row.version:
                self.counters.add("rows_older")
                log_line(
                    "row-older", key=row.key, known=previous.version, row=row.version
                )
            return False
        stored = attrs.evolve(row, value=b"") if row.key == CONFIG_KEY else row
        self.rows[row.key] = stored
        return True

    def _apply(self, rows: list[StoredRow]) -> None:
        for row in rows:
            try:
                self._apply_row(row)
                self._refused_versions.pop(row.key, None)
            except Malformed as error:
                self._note_refused(row, error)
        self.on_change()

    def _note_refused(self, row: StoredRow, error: Malformed) -> None:
        self.counters.add("documents_refused")
        if self._refused_versions.get(row.key) == row.version:
            return
        self._refused_versions[row.key] = row.version
        log_line(
            "document-refused",
            key=row.key,
            row=row.version,
            cause=str(error),
            in_force=self.table.version,
        )

    def count_refused(self) -> int:
        """Return the number of the operator's rows that this node can't read.

        What they said before is still in force.
        """
        return len(self._refused_versions)

    def _apply_row(self, row: StoredRow) -> None:
        if row.key == CONFIG_KEY and not row.is_deleted:
            self._apply_table(decode_table(row.value), row.version)
        elif row.key.startswith(EVACUATION_PREFIX):
            self._apply_evacuation(row)
        elif row.key.startswith(MOVE_PREFIX):
            service = row.key.removeprefix(MOVE_PREFIX)
            if row.is_deleted:
                self.orders.pop(service, None)
            else:
                self.orders[service] = StoredOrder(decode_move(row.value), row.version)
            log_line("move-order", service=service, gone=row.is_deleted)

    def _apply_table(self, table: Table, row_version: int | None = None) -> None:
        """Make `table` the configuration unless it is older.

        `row_version` is the version of its row, `None` if it came from another node.
        """
        if table.version <= self.table.version:
            return
        keys = find_changed_routes(self.table, table)
        tenants = find_changed_tenants(self.table.tenants, table.tenants)
        log_line(
            "configuration-applied",
            version=table.version,
            before=self.table.version,
            row=row_version,
            routes=sum(map(len, table.routes.values())),
            changed=len(keys),
            tenants_changed=len(tenants),
        )
        self.counters.add("configurations_applied")
        self._history.append((self.table.version, keys, tenants))
        self.table = table
        self._refused_versions.pop(CONFIG_KEY, None)

    def _apply_evacuation(self, row: StoredRow) -> None:
        data_centre = row.key.removeprefix(EVACUATION_PREFIX)
        if row.is_deleted:
            self.evacuated -= {data_centre}
        else:
            self.evacuated |= {data_centre}
        log_line("evacuation", data_centre=data_centre, ended=row.is_deleted)

    # Exchange with other nodes.

    def make_update(self, base: int) -> RecordsUpdate:
        """Return an update for a node whose configuration has version `base`."""
        rows = [
            (row.key, row.value, row.version)
            for row in self.rows.values()
            if not row.is_deleted and row.key != CONFIG_KEY
        ]
        change = None
        if base < self.table.version:
            change = encode_change(self.table, base, *self._find_changes_since(base))
        return RecordsUpdate(self.revision, self.last_change, rows, change)

    def _find_changes_since(self, base: int) -> tuple[set | None, set | None]:
        """Return the routes, by host and prefix, and tenants that changed since `base`.

        Returns `None` for both if the history does not reach back to `base`.
        """
        routes: set = set()
        tenants: set = set()
        for version, changed_routes, changed_tenants in reversed(self._history):
            routes |= changed_routes
            tenants |= changed_tenants
            if version == base:
                return routes, tenants
        return None, None

    def apply_update(self, update: RecordsUpdate) -> bool:
        """Apply an update from another node; return whether this node is up to date.

        It is not if the update holds a difference to a configuration that this
        node does not have.
        """
        change = update.change
        if change is not None and change.version > self.table.version:
            if change.tenants is None and self.table.tenants is not None:
                # An earlier build has dropped the tenants. Applying its update would
                # serve requests without a key; a later update or the store has them.
                self.counters.add("updates_without_tenants")
                return True
            if change.base not in (0, self.table.version):
                return False
            try:
                self._apply_table(decode_change(change, self.table))
            except (TypeError, ValueError) as error:
                raise Malformed(f"update: {error}", step="read update") from error
        if update.last_change > self.last_change:
            rows = [StoredRow(OPERATOR_TABLE, *row) for row in update.rows]
            rows.extend(self._find_removed_rows(rows, update.last_change))
            self.last_change = update.last_change
            self._apply([row for row in rows if self._store_row(row)])
        else:
            self.on_change()
        self.revision = max(self.revision, update.revision)
        return update.change is None or self.table.version >= update.change.version
