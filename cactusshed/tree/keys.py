"""The keys that a branch may set, each with its parser, default and levels."""

from collections.abc import Callable
from typing import Any

import attrs

from ..options import (
    BadOption,
    parse_bool,
    parse_choice,
    parse_float,
    parse_int,
    parse_list,
    parse_name,
)

__all__ = ["CLASSES", "KEYS", "MOVE_PROGRESS_KEYS", "Key"]

ROOT_LEVEL, REGION_LEVEL, DATA_CENTRE_LEVEL, SERVICE_LEVEL, ROUTE_LEVEL = range(5)
CLASSES = ("internal", "normal", "bulk")
"""Classes of calls in order of priority, the most urgent first."""
MAX_TIMEOUT_MS = 600_000
MAX_SLOTS = 10_000
_METHOD_CHARS = frozenset("ABCDEFGHIJKLMNOPQRSTUVWXYZ")


@attrs.frozen
class Key:
    """Parser and default of one key, and the branch levels that may set it."""

    parse: Callable[[str, str], Any]
    default: Any = None
    levels: tuple[int, ...] = (0, 1, 2, 3, 4)


def _parse_prefix(option: str, text: str) -> str:
    if not text.startswith("/") or any(char <= " " for char in text):
        raise BadOption(f"{option}: {text!r} is not a path prefix")
    return text


def _parse_methods(option: str, text: str) -> tuple[str, ...]:
    methods = tuple(part.strip() for part in text.split(",") if part.strip())
    for method in methods:
        if not _METHOD_CHARS.issuperset(method):
            raise BadOption(f"{option}: {method!r} is not an HTTP method")
    return methods


_ROUTE_ONLY = (ROUTE_LEVEL,)
_SERVICE_ONLY = (SERVICE_LEVEL,)

KEYS: dict[str, Key] = {
    "prefix": Key(_parse_prefix, levels=_ROUTE_ONLY),
    "methods": Key(_parse_methods, (), levels=_ROUTE_ONLY),
    "idempotent": Key(parse_bool, levels=(SERVICE_LEVEL, ROUTE_LEVEL)),
    "class": Key(parse_choice(CLASSES), "normal"),
    "timeout-ms": Key(parse_int(1, MAX_TIMEOUT_MS), 5_000),
    "first-byte-ms": Key(parse_int(1, MAX_TIMEOUT_MS), 1_500),
    "queue-ms": Key(parse_int(0, MAX_TIMEOUT_MS), 500),
    "queue-length": Key(parse_int(0, 100_000), 64),
    "slots": Key(parse_int(1, MAX_SLOTS), 20),
    "warm-start": Key(parse_int(1, MAX_SLOTS), 1),
    "warm-seconds": Key(parse_float(0, 3600), 10.0),
    "cold-factor": Key(parse_float(1.5, 1000), 8.0),
    "retry-ratio": Key(parse_float(0, 1), 0.1),
    "max-attempts": Key(parse_int(1, 10), 3),
    "version": Key(parse_name, levels=(1, 2, 3)),
    "needs": Key(parse_list, (), levels=_SERVICE_ONLY),
    "move-to": Key(parse_name, levels=_SERVICE_ONLY),
    "move-by": Key(parse_float(0, 1e11), levels=_SERVICE_ONLY),
    "move-id": Key(parse_name, levels=_SERVICE_ONLY),
    "first-share": Key(parse_float(0.0, 1.0), 0.05),
    "withdrawn": Key(parse_bool, False, levels=(DATA_CENTRE_LEVEL,)),
    "drained": Key(parse_list, (), levels=(DATA_CENTRE_LEVEL,)),
}
"""Every key that an operator may set, by name."""

MOVE_PROGRESS_KEYS: dict[str, Key] = {
    "move-id": Key(parse_name),
    "to": Key(parse_name),
    "share": Key(parse_float(0.0, 1.0), 0.0),
    "state": Key(parse_choice(("running", "done", "reversed"))),
    "since": Key(parse_float(0, 1e11)),
    "reason": Key(lambda _option, text: text, ""),
}
"""The keys of the branches that the move duty writes."""
