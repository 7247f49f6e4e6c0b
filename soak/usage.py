"""Tenants with changing keys, and what the platform saw of the duty to report usage."""

import asyncio
import itertools
import time

import attrs
import msgspec

from cactusshed.usage.dutyrow import DUTY_KEY
from standins.usageapi import UsageApiApp, UsageReport

__all__ = ["DUE_SECONDS", "LEASE_SECONDS", "USAGE_BOUNDS", "Key", "Keys", "UsageWatch"]

TENANTS = ("pulo", "kabo", "sefi")
WINDOW_SECONDS, DUE_SECONDS, LEASE_SECONDS = 5.0, 10.0, 3.0
USAGE_BOUNDS = {
    "report_window": f"{WINDOW_SECONDS}s",
    "usage_late": f"{DUE_SECONDS}s",
    "lease_time": f"{LEASE_SECONDS}s",
}
POLL_SECONDS = 0.1


@attrs.define(eq=False)
class Key:
    """A key of a tenant, and when versions with it and without it were acknowledged."""

    tenant: str
    text: str
    is_valid: bool = True
    added: float = float("inf")
    removed: float = float("inf")


class Keys:
    """The keys of all tenants: one for good, and others that come and go."""

    def __init__(self) -> None:
        """Give each tenant its lasting key."""
        self._numbers = itertools.count(1)
        self.changing: list[Key] = []
        self.lasting = [self._make(tenant) for tenant in TENANTS]

    def _make(self, tenant: str) -> Key:
        return Key(tenant, f"key-of-{tenant}-{next(self._numbers)}")

    @property
    def all(self) -> list[Key]:
        """Return all keys that there were."""
        return [*self.lasting, *self.changing]

    def add(self, tenant_point: float) -> Key:
        """Return a new key of some tenant, to be part of the next configuration."""
        key = self._make(TENANTS[int(tenant_point * len(TENANTS))])
        self.changing.append(key)
        return key

    def render(self) -> list[dict]:
        """Return the field `tenants` of a configuration."""
        valid = [key for key in self.all if key.is_valid]
        return [
            {
                "name": name,
                "api_keys": [key.text for key in valid if key.tenant == name],
                "priority": rank,
            }
            for rank, name in enumerate(TENANTS)
        ]


@attrs.define(eq=False)
class UsageWatch:
    """Calls of the duty that arrived, and writes of its row; times are monotonic."""

    api: UsageApiApp = attrs.Factory(UsageApiApp)
    rows: list[tuple[float, str, int]] = attrs.Factory(list)
    """Time, holder and token of each write."""
    refusing: int = 0
    """Number of faults in which the API refuses all calls."""
    clock_offset: float = attrs.Factory(lambda: time.time() - time.monotonic())

    @property
    def calls(self) -> list[UsageReport]:
        """Return all calls, also those that were refused."""
        return self.api.calls

    @property
    def holder(self) -> str:
        """Return the node that has written the row last."""
        return self.rows[-1][1] if self.rows else ""

    def note_write(self, key: str, value: bytes | None) -> None:
        """Record a write of the duty's row."""
        if key == DUTY_KEY and value is not None:
            row = msgspec.json.decode(value)
            self.rows.append((time.monotonic(), row["holder"], row["token"]))

    def find_window(self, moment: float) -> int:
        """Return the window of a time."""
        return int((moment + self.clock_offset) // WINDOW_SECONDS)

    def compute_start(self, window: int) -> float:
        """Return the time at which a window begins."""
        return window * WINDOW_SECONDS - self.clock_offset

    async def wait_reported(self, until: float, seconds: float) -> None:
        """Wait at most `seconds` for the report of the last window before `until`."""
        end, last = time.monotonic() + seconds, self.find_window(until) - 1
        while time.monotonic() < end:
            if any(call.window >= last and call.is_accepted for call in self.calls):
                return
            await asyncio.sleep(POLL_SECONDS)
