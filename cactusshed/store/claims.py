"""Claims: rows that allow one dispatch for each idempotency key.

Claims that arrive close together are written in one transaction, as are outcomes.
After a lost answer the rows are read back and compared by nonce.
"""

from collections.abc import Iterable

import anyio
import attrs

from ..clock import read_monotonic, read_wall
from ..errors import AnswerLost, CactusError, ConditionFailed, PlatformUnavailable
from ..observe.counters import Counters
from .claim import (
    Claim,
    ClaimRow,
    OutcomeRow,
    Recorded,
    dump_row,
    load_claim,
    load_outcome,
    make_outcome_key,
)
from .port import ABSENT, Condition, Port, Write

__all__ = ["Claims"]

GROUP_SECONDS = 0.004
"""Time for which claims are collected into one transaction."""
MAX_GROUP = 50
"""Maximum number of rows in one transaction."""
RETRY_SECONDS = 0.2
"""Wait before a failed write is retried."""


@attrs.define(eq=False)
class _Wish:
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


class Claims:
    """Writes claims and their outcomes in groups."""

    def __init__(self, port: Port, node: str, rate: int, counters: Counters) -> None:
        """Limit claims, outcomes and deletions to `rate` transactions a second each."""
        self._port = port
        self._node = node
        self._pause = 1.0 / rate
        self._counters = counters
        self._wishes, self._wished = anyio.create_memory_object_stream[_Wish](1000)
        self._ends, self._ended = anyio.create_memory_object_stream[_Outcome](1000)
        self._frees, self._freed = anyio.create_memory_object_stream[Claim](1000)

    async def run(self) -> None:
        """Write claims and outcomes until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._write_claims)
            tasks.start_soon(self._write_outcomes)
            tasks.start_soon(self._delete_claims)

    async def claim(self, key: str, nonce: str, print_: str, deadline: float) -> _Wish:
        """Insert a claim row if absent; `holder` of the result has the key.

        Tries until `deadline`, then raises `PlatformUnavailable`. The call has
        not been dispatched in either case.
        """
        row = ClaimRow(nonce, self._node, read_wall(), print_)
        while True:
            wish = _Wish(key, row)
            with anyio.move_on_after(max(0.0, deadline - read_monotonic())):
                await self._wishes.send(wish)
                await wish.done.wait()
            if wish.holder is not None:
                return wish
            wish.abandoned = True
            if read_monotonic() + RETRY_SECONDS >= deadline:
                raise PlatformUnavailable(
                    "the claim could not be written before the deadline", step="claim"
                )
            await anyio.sleep(RETRY_SECONDS)

    def record(self, claim: Claim, answer: Recorded | None) -> None:
        """Record the outcome of a claimed call in the background."""
        outcome = OutcomeRow(claim.row.nonce, answer)
        self._post(self._ends, _Outcome(make_outcome_key(claim.key), outcome))

    def release(self, claim: Claim) -> None:
        """Delete the claim of a call that was not run, in the background."""
        self._post(self._frees, claim)

    def _post(self, stream, end: "_Outcome | Claim") -> None:
        try:
            stream.send_nowait(end)
        except anyio.WouldBlock:
            self._counters.add("claim_ends_dropped")

    async def _write_claims(self) -> None:
        while True:
            group = [await self._wished.receive()]
            await anyio.sleep(GROUP_SECONDS)
            group.extend(_take_ready(self._wished, MAX_GROUP - 1))
            wanted = [wish for wish in group if not wish.abandoned]
            await self._write_group(list(_split_repeats(wanted)))
            self._release_abandoned(wanted)
            await anyio.sleep(self._pause)

    def _release_abandoned(self, group: list[_Wish]) -> None:
        """Release claims whose callers stopped waiting during the write."""
        for wish in group:
            if wish.abandoned and wish.holder is wish.row:
                self.release(Claim(wish.key, wish.row))

    async def _write_group(self, group: list[_Wish]) -> None:
        if not group:
            return
        self._counters.add("claims", len(group))
        try:
            await self._port.commit(
                [Condition(wish.key, ABSENT) for wish in group],
                [Write(wish.key, dump_row(wish.row)) for wish in group],
            )
        except ConditionFailed:
            await self._write_free(group)
        except AnswerLost:
            await self._read_back(group)
            _finish(group)
        except CactusError as error:
            _fail(group, error)
        else:
            for wish in group:
                wish.holder = wish.row
            _finish(group)

    async def _write_free(self, group: list[_Wish]) -> None:
        """Read which keys of a group are already claimed, and write the others."""
        await self._read_back(group)
        free = [wish for wish in group if wish.holder is None and wish.error is None]
        if len(free) == len(group):
            # The conflicting claims were released meanwhile; the callers try again.
            _fail(free, ConditionFailed("claims changed meanwhile", step="claim"))
        else:
            await self._write_group(free)
        _finish(group)

    async def _read_back(self, group: list[_Wish]) -> None:
        """Read the current holder of each key in a group."""
        for wish in group:
            try:
                row = await self._port.get(wish.key)
            except CactusError as error:
                wish.error = error
            else:
                wish.holder = None if row is None else load_claim(row)

    async def read_outcome(self, key: str, holder: ClaimRow) -> OutcomeRow | None:
        """Return the outcome of the call that `holder` claimed, `None` if unknown."""
        try:
            row = await self._port.get(make_outcome_key(key))
        except CactusError:
            return None
        if row is None:
            return None
        outcome = load_outcome(row)
        return outcome if outcome.nonce == holder.nonce else None

    async def _write_outcomes(self) -> None:
        while True:
            group = [await self._ended.receive()]
            await anyio.sleep(GROUP_SECONDS)
            group.extend(_take_ready(self._ended, MAX_GROUP - 1))
            while not await self._insert_outcomes(group):
                await anyio.sleep(RETRY_SECONDS)
            await anyio.sleep(self._pause)

    async def _insert_outcomes(self, group: list["_Outcome"]) -> bool:
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
            claim = await self._freed.receive()
            while not await self._delete_claim(claim):
                await anyio.sleep(RETRY_SECONDS)
            await anyio.sleep(self._pause)

    async def _delete_claim(self, claim: Claim) -> bool:
        """Delete a claim of this node; return whether no retry is needed."""
        try:
            row = await self._port.get(claim.key)
            if row is None or load_claim(row).nonce != claim.row.nonce:
                return True
            await self._port.commit(
                [Condition(claim.key, row.version)], [Write(claim.key, None)]
            )
        except CactusError:
            return False
        return True


@attrs.frozen
class _Outcome:
    """An outcome row to be inserted."""

    key: str
    row: OutcomeRow


def _take_ready(stream, limit: int) -> Iterable:
    for _ in range(limit):
        try:
            yield stream.receive_nowait()
        except anyio.WouldBlock:
            return


def _split_repeats(group: list[_Wish]) -> Iterable[_Wish]:
    """Yield the first claim for each key; later ones get its row as holder."""
    first: dict[str, _Wish] = {}
    for wish in group:
        winner = first.setdefault(wish.key, wish)
        if winner is wish:
            yield wish
        else:
            wish.holder = winner.row
            wish.done.set()


def _fail(group: list[_Wish], error: CactusError) -> None:
    for wish in group:
        wish.error = error
    _finish(group)


def _finish(group: list[_Wish]) -> None:
    for wish in group:
        wish.done.set()
