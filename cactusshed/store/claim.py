"""Rows of claims and of the outcomes of claimed calls."""

import base64
import hashlib

import attrs
import msgspec

from .port import Row

__all__ = [
    "MAX_BODY_BYTES",
    "Claim",
    "ClaimRow",
    "OutcomeRow",
    "Recorded",
    "decode_body",
    "dump_row",
    "encode_body",
    "load_claim",
    "load_outcome",
    "make_claim_key",
    "make_outcome_key",
]

MAX_BODY_BYTES = 16 << 10
"""A larger answer is not recorded, only that there was one."""


@attrs.frozen
class Recorded:
    """A recorded answer; the body is base64."""

    status: int
    headers: list[tuple[str, str]]
    body: str


@attrs.frozen
class ClaimRow:
    """Content of a claim row. `print` is the fingerprint of the request."""

    nonce: str
    node: str
    time: float
    print: str


@attrs.frozen
class OutcomeRow:
    """Content of an outcome row: how the call of the claim `nonce` ended.

    It is a row of its own, so that outcomes are inserted in groups without
    reading the claims' row versions first.
    """

    nonce: str
    answer: Recorded | None


@attrs.frozen
class Claim:
    """A claim that this node won."""

    key: str
    row: ClaimRow


def make_claim_key(service: str, tenant: str, key: str) -> str:
    """Return the row key of a claim; caller's keys may hold any character."""
    digest = hashlib.sha256(f"{tenant}\0{key}".encode()).hexdigest()[:40]
    return f"claim/{service}/{digest}"


def make_outcome_key(claim_key: str) -> str:
    """Return the key of the row with the outcome of a claimed call."""
    return claim_key.replace("claim/", "outcome/", 1)


def dump_row(row: ClaimRow | OutcomeRow) -> str:
    """Return the stored form of a row."""
    return msgspec.json.encode(row).decode()


def load_claim(row: Row) -> ClaimRow:
    """Return the claim in a row."""
    return msgspec.json.decode(row.value, type=ClaimRow)


def load_outcome(row: Row) -> OutcomeRow:
    """Return the outcome in a row."""
    return msgspec.json.decode(row.value, type=OutcomeRow)


def encode_body(body: bytes) -> str:
    """Return the stored form of an answer's body."""
    return base64.b64encode(body).decode()


def decode_body(text: str) -> bytes:
    """Return the answer's body from its stored form."""
    return base64.b64decode(text)
