"""Leases in the platform's table, with fencing by epoch."""

from collections.abc import Callable

import attrs
import msgspec

from ..clock import read_monotonic, read_wall
from ..decoding import Count, decode_json
from ..errors import AnswerLost, ConditionFailed, LeaseLost
from ..policy.leases import LeaseTerms, choose_next_token, has_ended
from .port import ABSENT, Condition, Port, Row, Write

__all__ = ["Lease", "acquire_lease", "make_lease_key", "release_lease", "renew_lease"]

LEASE_SECONDS = 6.0
MARGIN_SECONDS = 1.5
"""A holder stops acting this long before its lease expires."""
TERMS = LeaseTerms(LEASE_SECONDS, MARGIN_SECONDS)


@attrs.frozen
class LeaseRow:
    """Content of a lease row; `expires` is wall time."""

    holder: str
    epoch: Count
    expires: float


@attrs.frozen
class Lease:
    """A lease as its holder knows it.

    `valid_until` is the monotonic time after which the holder must not act.
    """

    name: str
    holder: str
    epoch: int
    row_version: int
    valid_until: float

    def is_live(self, now: float) -> bool:
        """Return whether the holder may still act at monotonic time `now`."""
        return now < self.valid_until

    def make_guard(self) -> Condition:
        """Return the condition that lets a write take effect only in this epoch."""
        return Condition(make_lease_key(self.name), self.row_version)


def make_lease_key(name: str) -> str:
    """Return the key of the row of lease `name`."""
    return f"lease/{name}"


def _decode(row: Row) -> LeaseRow:
    return decode_json(row.value, LeaseRow, step="read lease", peer=row.key)


async def acquire_lease(
    port: Port,
    name: str,
    holder: str,
    *,
    wall: Callable[[], float] = read_wall,
    monotonic: Callable[[], float] = read_monotonic,
) -> Lease | None:
    """Acquire a lease that is free, expired or held by `holder`.

    Return `None` when another holder has it.
    """
    row = await port.get(make_lease_key(name))
    epoch = 0
    if row is not None:
        existing = _decode(row)
        epoch = existing.epoch
        is_held = existing.holder not in ("", holder)
        if is_held and not has_ended(existing.expires, wall()):
            return None
    version = row.version if row else ABSENT
    epoch = choose_next_token(epoch)
    return await _write_row(port, name, holder, epoch, version, wall, monotonic)


async def renew_lease(
    port: Port,
    lease: Lease,
    *,
    wall: Callable[[], float] = read_wall,
    monotonic: Callable[[], float] = read_monotonic,
) -> Lease:
    """Return `lease` with a later expiry; raise `LeaseLost` if that fails."""
    renewed = await _write_row(
        port,
        lease.name,
        lease.holder,
        lease.epoch,
        lease.row_version,
        wall,
        monotonic,
    )
    if renewed is None:
        raise LeaseLost(f"lease {lease.name} could not be renewed", step="renew lease")
    return renewed


async def release_lease(port: Port, lease: Lease) -> None:
    """Release the lease, unless another holder has acquired it."""
    released = LeaseRow("", lease.epoch, 0.0)
    write = Write(make_lease_key(lease.name), msgspec.json.encode(released).decode())
    try:
        await port.commit([lease.make_guard()], [write])
    except (ConditionFailed, AnswerLost):
        return


async def _write_row(port, name, holder, epoch, version, wall, monotonic):
    # Read the clock before the request: the holder then stops before the lease
    # expires for others.
    valid_until = TERMS.compute_act_end(monotonic())
    new_row = LeaseRow(holder, epoch, TERMS.compute_end(wall()))
    key = make_lease_key(name)
    write = Write(key, msgspec.json.encode(new_row).decode())
    try:
        await port.commit([Condition(key, version)], [write])
    except ConditionFailed:
        return None
    except AnswerLost:
        pass
    row = await port.get(key)
    if row is None or _decode(row) != new_row:
        return None
    return Lease(name, holder, epoch, row.version, valid_until)
