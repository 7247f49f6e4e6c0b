"""Idempotency keys: claim a call's key, then run the call or replay its outcome."""

import secrets
from collections.abc import Awaitable, Callable

import attrs

from ..errors import Malformed, PlatformUnavailable
from ..observe.counters import Counters
from ..store.claimrows import (
    MAX_BODY_BYTES,
    Claim,
    ClaimRow,
    RecordedAnswer,
    decode_body,
    encode_body,
    make_claim_key,
)
from ..store.claimwriter import ClaimWriter
from .messages import Answered, Call, NotRun, Outcome, Reply, Unknown

__all__ = ["IdempotencyGuard"]

RunCall = Callable[[Call], Awaitable[Outcome]]
CLAIMED = Unknown("claimed")
KEY_REUSED = NotRun("key-reused")
CLAIM_UNAVAILABLE = NotRun("claim-unavailable", 2.0)


@attrs.define
class IdempotencyGuard:
    """Runs non-idempotent calls; a call with an idempotency key runs at most once."""

    claim_writer: ClaimWriter
    counters: Counters

    async def run(self, call: Call, run: RunCall) -> Outcome:
        """Run `call`, or return the recorded outcome of an earlier one with its key."""
        if not call.key:
            return await run(call)
        key = make_claim_key(call.service, call.tenant, call.key)
        nonce = secrets.token_hex(8)
        fingerprint = call.compute_fingerprint().hex()
        try:
            claim_attempt = await self.claim_writer.claim(
                key, nonce, fingerprint, call.deadline
            )
        except PlatformUnavailable:
            self.claim_writer.release(Claim(key, ClaimRow(nonce, "", 0.0, fingerprint)))
            return CLAIM_UNAVAILABLE
        if claim_attempt.holder.nonce != nonce:
            return await self._replay_outcome(key, claim_attempt.holder, fingerprint)
        outcome = await run(call)
        self._record_outcome(Claim(key, claim_attempt.row), outcome)
        return outcome

    async def _replay_outcome(
        self, key: str, holder: ClaimRow, fingerprint: str
    ) -> Outcome:
        """Return the recorded outcome of the call that holds the claim."""
        if holder.print != fingerprint:
            return KEY_REUSED
        outcome = await self.claim_writer.read_outcome(key, holder)
        if outcome is None or outcome.answer is None:
            self.counters.add("repeats_unknown")
            return CLAIMED
        try:
            reply = _decode_reply(outcome.answer)
        except (Malformed, UnicodeEncodeError):
            self.counters.add("repeats_unknown")
            return CLAIMED
        self.counters.add("repeats_replayed")
        return Answered(reply, replayed=True)

    def _record_outcome(self, claim: Claim, outcome: Outcome) -> None:
        if isinstance(outcome, NotRun):
            self.claim_writer.release(claim)
        elif isinstance(outcome, Answered):
            self.claim_writer.record(claim, _encode_reply(outcome.reply))
        else:
            self.claim_writer.record(claim, None)


def _decode_reply(answer: RecordedAnswer) -> Reply:
    headers = [(k.encode("latin-1"), v.encode("latin-1")) for k, v in answer.headers]
    return Reply(answer.status, headers, decode_body(answer.body))


def _encode_reply(reply: Reply) -> RecordedAnswer | None:
    if reply.rest is not None or len(reply.body) > MAX_BODY_BYTES:
        return None
    headers = [(k.decode("latin-1"), v.decode("latin-1")) for k, v in reply.headers]
    return RecordedAnswer(reply.status, headers, encode_body(reply.body))
