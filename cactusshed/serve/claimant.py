"""Calls with an idempotency key: claim it first, then run or replay."""

import secrets
from collections.abc import Awaitable, Callable

import attrs

from ..errors import PlatformUnavailable
from ..observe.counters import Counters
from ..store.claim import (
    MAX_BODY_BYTES,
    Claim,
    ClaimRow,
    Recorded,
    decode_body,
    encode_body,
    make_claim_key,
)
from ..store.claims import Claims
from .messages import Answered, Call, NotRun, Outcome, Reply, Unknown

__all__ = ["Claimant"]

Run = Callable[[Call], Awaitable[Outcome]]
CLAIMED = Unknown("claimed")
KEY_REUSED = NotRun("key-reused")
NO_CLAIMS = NotRun("claim-unavailable", 2.0)


@attrs.define
class Claimant:
    """Runs non-idempotent calls; one with a key runs at most once ever."""

    claims: Claims
    counters: Counters

    async def run(self, call: Call, run: Run) -> Outcome:
        """Return the outcome of `call`, now or as recorded when it ran before."""
        if not call.key:
            return await run(call)
        key = make_claim_key(call.service, call.tenant, call.key)
        nonce = secrets.token_hex(8)
        print_ = call.compute_fingerprint().hex()
        try:
            wish = await self.claims.claim(key, nonce, print_, call.deadline)
        except PlatformUnavailable:
            self.claims.release(Claim(key, ClaimRow(nonce, "", 0.0, print_)))
            return NO_CLAIMS
        if wish.holder.nonce != nonce:
            return await self._repeat(key, wish.holder, print_)
        outcome = await run(call)
        self._record(Claim(key, wish.row), outcome)
        return outcome

    async def _repeat(self, key: str, holder: ClaimRow, print_: str) -> Outcome:
        """Return what is known of the call that holds the claim."""
        if holder.print != print_:
            return KEY_REUSED
        outcome = await self.claims.read_outcome(key, holder)
        if outcome is None or outcome.answer is None:
            self.counters.add("repeats_unknown")
            return CLAIMED
        self.counters.add("repeats_replayed")
        return Answered(_read_record(outcome.answer), replayed=True)

    def _record(self, claim: Claim, outcome: Outcome) -> None:
        if isinstance(outcome, NotRun):
            self.claims.release(claim)
        elif isinstance(outcome, Answered):
            self.claims.record(claim, _make_record(outcome.reply))
        else:
            self.claims.record(claim, None)


def _read_record(answer: Recorded) -> Reply:
    headers = [(k.encode("latin-1"), v.encode("latin-1")) for k, v in answer.headers]
    return Reply(answer.status, headers, decode_body(answer.body))


def _make_record(reply: Reply) -> Recorded | None:
    if reply.rest is not None or len(reply.body) > MAX_BODY_BYTES:
        return None
    headers = [(k.decode("latin-1"), v.decode("latin-1")) for k, v in reply.headers]
    return Recorded(reply.status, headers, encode_body(reply.body))
