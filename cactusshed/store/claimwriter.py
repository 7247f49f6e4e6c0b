"""Claims: rows that allow one dispatch for each idempotency key.

Claims that arrive close together are written in one transaction, as are outcomes.
After a lost answer the rows are read back and compared by nonce.
"""

from collections.abc import Iterable

import anyio
import attrs

from ..clock import read_monotonic, read_wall
from ..errors import (
    AnswerLost,
    CactusError,
    ConditionFailed,
    Malformed,
    PlatformUnavailable,
)
from ..observe.counters import Counters
from .claimrows import (
    Claim,
    ClaimRow,
    OutcomeRow,
    RecordedAnswer,
    dump_row,
    load_claim,
    load_outcome,
    make_outcome_key,
)
from .port import ABSENT, Condition, Port, Write

__all__ = ["ClaimWriter"]

GROUP_SECONDS = 0.004
"""Time for which claims are collected into one transaction."""
MAX_GROUP = 49
"""Maximum number of rows in one transaction. The platform takes 100 entries: a
condition and a write for each row, and two for the era of the store."""
RETRY_SECONDS = 0.2
"""Wait before a failed write is retried."""


@attrs.define(eq=False)
class _PendingClaim:
    """A claim row to be inserted if absent, and the result.

    `holder` is the row that holds the key after the attempt. `abandoned` is set
    when the caller stopped waiting.
    """

    key: str
    row: ClaimRow
    done: anyio.Event = attrs.Factory(anyio.Event)
    holder: ClaimRow | None = None
    error: CactusError | None = None
    abandoned: bool = False


class ClaimWriter:
    """Writes claims and their outcomes in groups."""

    def __init__(self, port: Port, node: str, rate: int, counters: Counters) -> None:
        """Limit claims, outcomes and deletions to `rate` transactions a second each."""
        self._port = port
        self._node = node
        self._interval = 1.0 / rate
        self._counters = counters
        self._claim_sender, self._claim_receiver = anyio.create_memory_object_stream[
            _PendingClaim
        ](1000)
        self._outcome_sender, self._outcome_receiver = (
            anyio.create_memory_object_stream[_PendingOutcome](1000)
        )
        self._release_sender, self._release_receiver = (
            anyio.create_memory_object_stream[Claim](1000)
        )

    async def run(self) -> None:
        """Write claims and outcomes until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._write_claims)
            tasks.start_soon(self._write_outcomes)
            tasks.start_soon(self._delete_claims)

    async def claim(
        self, key: str, nonce: str, fingerprint: str, deadline: float
    ) -> _PendingClaim:
        """Insert a claim row if absent; `holder` of the result is the row in force.

        Tries until `deadline`, then raises `PlatformUnavailable`. The call has
        not been dispatched in either case.
        """
        row = ClaimRow(nonce, self._node, read_wall(), fingerprint)
        while True:
            pending = _PendingClaim(key, row)
            with anyio.move_on_after(max(0.0, deadline - read_monotonic())):
                await self._claim_sender.send(pending)
                await pending.done.wait()
            if pending.holder is not None:
                return pending
            pending.abandoned = True
            if read_monotonic() + RETRY_SECONDS >= deadline:
                raise PlatformUnavailable(
                    "the claim could not be written before the deadline", step="claim"
                )
            await anyio.sleep(RETRY_SECONDS)

    def record(self, claim: Claim, answer: RecordedAnswer | None) -> None:
        """Record the outcome of a claimed call in the background."""
        outcome = OutcomeRow(claim.row.nonce, answer)
        self._enqueue(
            self._outcome_sender, _PendingOutcome(make_outcome_key(claim.key), outcome)
        )

    def release(self, claim: Claim) -> None:
        """Delete the claim of a call that was not run, in the background."""
        self._enqueue(self._release_sender, claim)

    def _enqueue(self, stream, item: "_PendingOutcome | Claim") -> None:
        try:
            stream.send_nowait(item)
        except anyio.WouldBlock:
            self._counters.add("claim_ends_dropped")

    async def _write_claims(self) -> None:
        while True:
            group = [await self._claim_receiver.receive()]
            await anyio.sleep(GROUP_SECONDS)
            group.extend(_receive_ready(self._claim_receiver, MAX_GROUP - 1))
            active = [pending for pending in group if not pending.abandoned]
            await self._write_group(list(_deduplicate(active)))
            self._release_abandoned(active)
            await anyio.sleep(self._interval)

    def _release_abandoned(self, group: list[_PendingClaim]) -> None:
        """Release claims whose callers stopped waiting during the write."""
        for pending in group:
            if pending.abandoned and pending.holder is pending.row:
                self.release(Claim(pending.key, pending.row))

    async def _write_group(self, group: list[_PendingClaim]) -> None:
        if not group:
            return
        self._counters.add("claims", len(group))
        try:
            await self._port.commit(
                [Condition(pending.key, ABSENT) for pending in group],
                [Write(pending.key, dump_row(pending.row)) for pending in group],
            )
        except ConditionFailed:
            await self._write_unclaimed(group)
        except AnswerLost:
            await self._read_holders(group)
            _finish(group)
        except CactusError as error:
            _fail(group, error)
        else:
            for pending in group:
                pending.holder = pending.row
            _finish(group)

    async def _write_unclaimed(self, group: list[_PendingClaim]) -> None:
        """Read which keys of a group are already claimed, and write the others."""
        await self._read_holders(group)
        unclaimed = [
            pending
            for pending in group
            if pending.holder is None and pending.error is None
        ]
        if len(unclaimed) == len(group):
            # The conflicting claims were released meanwhile; the callers try again.
            _fail(unclaimed, ConditionFailed("claims changed meanwhile", step="claim"))
        else:
            await self._write_group(unclaimed)
        _finish(group)

    async def _read_holders(self, group: list[_PendingClaim]) -> None:
        """Read the current holder of each key in a group."""
        for pending in group:
            try:
                row = await self._port.get(pending.key)
                pending.holder = None if row is None else load_claim(row)
            except CactusError as error:
                pending.error = error

    async def read_outcome(self, key: str, holder: ClaimRow) -> OutcomeRow | None:
        """Return the outcome of the call that `holder` claimed, `None` if unknown."""
        try:
            row = await self._port.get(make_outcome_key(key))
            outcome = None if row is None else load_outcome(row)
        except CactusError:
            return None
        return outcome if outcome and outcome.nonce == holder.nonce else None

    async def _write_outcomes(self) -> None:
        while True:
            group = [await self._outcome_receiver.receive()]
            await anyio.sleep(GROUP_SECONDS)
            group.extend(_receive_ready(self._outcome_receiver, MAX_GROUP - 1))
            while not await self._insert_outcomes(group):
                await anyio.sleep(RETRY_SECONDS)
            await anyio.sleep(self._interval)

    async def _insert_outcomes(self, group: list["_PendingOutcome"]) -> bool:
        """Insert outcomes if absent; return whether no retry is needed."""
        try:
            await self._port.commit(
                [Condition(outcome.key, ABSENT) for outcome in group],
                [Write(outcome.key, dump_row(outcome.row)) for outcome in group],
            )
        except ConditionFailed:
            # One of them was written by an attempt whose answer was lost.
            if len(group) == 1:
                return True
            done = [await self._insert_outcomes([outcome]) for outcome in group]
            return all(done)
        except CactusError:
            return False
        return True

    async def _delete_claims(self) -> None:
        while True:
            claim = await self._release_receiver.receive()
            while not await self._delete_claim(claim):
                await anyio.sleep(RETRY_SECONDS)
            await anyio.sleep(self._interval)

    async def _delete_claim(self, claim: Claim) -> bool:
        """Delete a claim of this node; return whether no retry is needed."""
        try:
            row = await self._port.get(claim.key)
            if row is None or load_claim(row).nonce != claim.row.nonce:
                return True
            await self._port.commit(
                [Condition(claim.key, row.version)], [Write(claim.key, None)]
            )
        except Malformed:
            # Another writer has replaced the row.
            return True
        except CactusError:
            return False
        return True


@attrs.frozen
class _PendingOutcome:
    """An outcome row to be inserted."""

    key: str
    row: OutcomeRow


def _receive_ready(stream, limit: int) -> Iterable:
    for _ in range(limit):
        try:
            yield stream.receive_nowait()
        except anyio.WouldBlock:
            return


def _deduplicate(group: list[_PendingClaim]) -> Iterable[_PendingClaim]:
    """Yield the first claim for each key; later ones get its row as holder."""
    first: dict[str, _PendingClaim] = {}
    for pending in group:
        first_claim = first.setdefault(pending.key, pending)
        if first_claim is pending:
            yield pending
        else:
            pending.holder = first_claim.row
            pending.done.set()


def _fail(group: list[_PendingClaim], error: CactusError) -> None:
    for pending in group:
        pending.error = error
    _finish(group)


def _finish(group: list[_PendingClaim]) -> None:
    for pending in group:
        pending.done.set()
