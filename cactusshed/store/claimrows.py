"""Rows of claims on idempotency keys, and of the outcomes of claimed calls."""

import base64
import hashlib

import attrs
import msgspec

from ..decoding import Count, decode_json
from ..errors import Malformed
from .port import Row

__all__ = [
    "MAX_BODY_BYTES",
    "Claim",
    "ClaimRow",
    "OutcomeRow",
    "RecordedAnswer",
    "decode_body",
    "dump_row",
    "encode_body",
    "load_claim",
    "load_outcome",
    "make_claim_key",
    "make_outcome_key",
]

MAX_BODY_BYTES = 16 << 10
"""Limit of a recorded body; of a larger answer only its existence is recorded."""


@attrs.frozen
class RecordedAnswer:
    """A recorded answer; the body is base64."""

    status: Count
    headers: list[tuple[str, str]]
    body: str


@attrs.frozen
class ClaimRow:
    """Content of a claim row.

    `nonce` identifies one attempt to claim, `time` is wall time and `print` is
    the fingerprint of the request.
    """

    nonce: str
    node: str
    time: float
    print: str


@attrs.frozen
class OutcomeRow:
    """Content of an outcome row: how the call of the claim `nonce` ended.

    Outcomes are kept in separate rows, so that they can be inserted in groups
    without reading the row versions of the claims first.
    """

    nonce: str
    answer: RecordedAnswer | None


@attrs.frozen
class Claim:
    """A claim that this node holds."""

    key: str
    row: ClaimRow


def make_claim_key(service: str, organisation: str, key: str) -> str:
    """Return the row key of a claim.

    It is hashed because a caller's key may contain any character.
    """
    digest = hashlib.sha256(f"{organisation}\0{key}".encode()).hexdigest()[:40]
    return f"claim/{service}/{digest}"


def make_outcome_key(claim_key: str) -> str:
    """Return the key of the row with the outcome of a claimed call."""
    return claim_key.replace("claim/", "outcome/", 1)


def dump_row(row: ClaimRow | OutcomeRow) -> str:
    """Encode a row for storage."""
    return msgspec.json.encode(row).decode()


def load_claim(row: Row) -> ClaimRow:
    """Decode a claim row; raise `Malformed`."""
    return decode_json(row.value, ClaimRow, step="read claim", peer=row.key)


def load_outcome(row: Row) -> OutcomeRow:
    """Decode an outcome row; raise `Malformed`."""
    return decode_json(row.value, OutcomeRow, step="read outcome", peer=row.key)


def encode_body(body: bytes) -> str:
    """Encode the body of an answer for storage."""
    return base64.b64encode(body).decode()


def decode_body(text: str) -> bytes:
    """Decode the stored body of an answer; raise `Malformed`."""
    try:
        return base64.b64decode(text, validate=True)
    except ValueError as error:
        raise Malformed(str(error), step="read outcome") from error
