"""Fake of the platform port."""

from cactusshed.errors import AnswerLost, ConditionFailed, PlatformUnavailable
from standins.platform import Store

__all__ = ["FakePort"]


class FakePort:
    """An in-memory platform whose next requests can be made to fail.

    `faults` lists the outcomes of the next commits: `ok`, `down` (refused, not
    applied), `lost` (applied, but the answer is lost) or `hang` (the answer is lost
    and the commit is applied only when `apply_late_commits` is called). After a
    commit without an answer the next `failing_reads` reads fail; `reads_to_fail`
    counts those that are left.
    """

    def __init__(self) -> None:
        """Create an empty platform without faults."""
        self.store = Store()
        self.faults: list[str] = []
        self.down = False
        self.failing_reads = 0
        self.reads_to_fail = 0
        self.late_commits: list[tuple] = []
        self.before_commit = None

    def _next_fault(self) -> str:
        return self.faults.pop(0) if self.faults else "ok"

    def _read(self) -> None:
        if self.down or self.reads_to_fail:
            self.reads_to_fail = max(0, self.reads_to_fail - 1)
            raise PlatformUnavailable("down", step="fake")

    async def get(self, key):
        """Return the row at `key`, or `None`."""
        self._read()
        return self.store.get(key)

    async def scan(self, prefix, after, limit):
        """Return up to `limit` rows with `prefix` whose key is greater than `after`."""
        self._read()
        return self.store.scan(prefix, after, limit)

    async def get_object(self, name):
        """Return an object, or `None`."""
        self._read()
        return self.store.objects.get(name)

    async def put_object(self, name, data):
        """Store an object."""
        self._read()
        self.store.objects[name] = data

    async def commit(self, conditions, writes):
        """Apply a transaction, or fail with the next outcome in `faults`."""
        conditions, writes = list(conditions), list(writes)
        if self.before_commit is not None:
            hook, self.before_commit = self.before_commit, None
            await hook()
        fault = "down" if self.down else self._next_fault()
        if fault == "down":
            raise PlatformUnavailable("down", step="fake")
        if fault in ("hang", "lost"):
            self.reads_to_fail = self.failing_reads
        if fault == "hang":
            self.late_commits.append((conditions, writes))
            raise AnswerLost("hang", step="fake")
        failed = self.store.commit(conditions, writes)
        if fault == "lost":
            raise AnswerLost("lost", step="fake")
        if failed:
            raise ConditionFailed(", ".join(failed), step="fake")

    def apply_late_commits(self) -> None:
        """Apply the commits that were delayed by `hang`."""
        for conditions, writes in self.late_commits:
            self.store.commit(conditions, writes)
        self.late_commits.clear()
