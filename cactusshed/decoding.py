"""Decoding of JSON that other programs wrote: every failure is `Malformed`."""

import sys
from typing import Annotated, Any

import msgspec

from .errors import Malformed

__all__ = ["MAX_COUNT", "Count", "FiniteNumber", "decode_json"]

MAX_COUNT = 2**53
"""Largest whole number that every reader of JSON represents exactly."""
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
"""Whole number that also fits into the 64 bits of the messages between nodes."""
FiniteNumber = Annotated[float, msgspec.Meta(ge=0.0, le=sys.float_info.max)]
MAX_CAUSE_CHARS = 200


def decode_json(
    data: bytes | str, type: Any = Any, *, step: str, peer: str = ""
) -> Any:
    """Return the value of `type` in `data`; raise `Malformed`.

    msgspec raises `RecursionError`, which is no `DecodeError`, for deep nesting.
    """
    try:
        return msgspec.json.decode(data, type=type)
    except (ValueError, RecursionError) as error:
        cause = str(error)[:MAX_CAUSE_CHARS]
        raise Malformed(cause, step=step, peer=peer) from error
