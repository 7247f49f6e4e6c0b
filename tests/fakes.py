"""Small fakes at the interfaces: the platform's port."""

from cactusshed.errors import AnswerLost, ConditionFailed, PlatformUnavailable
from standins.platform import Store

__all__ = ["FakePort"]


class FakePort:
    """A platform in memory whose next requests can be made to fail.

    `faults` holds one word for each coming commit: `ok`, `down` (no effect),
    `lost` (it takes effect, its answer is lost) or `hang` (no effect yet, its
    answer is lost; `deliver` carries it out late). After a commit that was not
    answered the next `dark_reads` reads fail.
    """

    def __init__(self) -> None:
        """Start empty and up."""
        self.store = Store()
        self.faults: list[str] = []
        self.down = False
        self.dark_reads = 0
        self._dark = 0
        self.hanging: list[tuple] = []
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
        """Return rows by prefix."""
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
        """Carry out a transaction, or fail as the next fault says."""
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
            self.hanging.append((conditions, writes))
            raise AnswerLost("hang", step="fake")
        failed = self.store.commit(conditions, writes)
        if fault == "lost":
            raise AnswerLost("lost", step="fake")
        if failed:
            raise ConditionFailed(", ".join(failed), step="fake")

    def deliver(self) -> None:
        """Carry out, late, the writes that hang."""
        for conditions, writes in self.hanging:
            self.store.commit(conditions, writes)
        self.hanging.clear()
