"""Fake of the platform port."""

from cactusshed.errors import AnswerLost, ConditionFailed, PlatformUnavailable
from standins.platform import Store

__all__ = ["FakePort"]


class FakePort:
    """An in-memory platform whose next requests can be made to fail.

    `faults` lists the outcomes of the next commits: `ok`, `down` (refused, not
    applied), `lost` (applied, but the answer is lost) or `hang` (the answer is lost
    and the commit is applied only when `deliver` is called). After a commit without
    an answer the next `dark_reads` reads fail.
    """

    def __init__(self) -> None:
        """Create an empty platform without faults."""
        self.store = Store()
        self.faults: list[str] = []
        self.down = False
        self.dark_reads = 0
        self._dark = 0
        self.late_commits: list[tuple] = []
        self.before_commit = None

    def _next_fault(self) -> str:
        return self.faults.pop(0) if self.faults else "ok"

    def _read(self) -> None:
        if self.down or self._dark:
            self._dark = max(0, self._dark - 1)
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
            self._dark = self.dark_reads
        if fault == "hang":
            self.late_commits.append((conditions, writes))
            raise AnswerLost("hang", step="fake")
        failed = self.store.commit(conditions, writes)
        if fault == "lost":
            raise AnswerLost("lost", step="fake")
        if failed:
            raise ConditionFailed(", ".join(failed), step="fake")

    def deliver(self) -> None:
        """Apply the commits that were delayed by `hang`."""
        for conditions, writes in self.late_commits:
            self.store.commit(conditions, writes)
        self.late_commits.clear()
