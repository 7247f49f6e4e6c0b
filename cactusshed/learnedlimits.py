"""Setting of a service: what its gates may learn of their targets."""

import re
from typing import Any

import attrs

from .errors import Malformed
from .fields import read_text

__all__ = ["LearnedLimits", "read_learned_limits"]

_BOUNDS = re.compile(r"(\d{0,6})-(\d{0,6})", re.ASCII)


@attrs.frozen
class LearnedLimits:
    """Whether a gate learns how many requests its target takes well, and bounds of it.

    On by default: a target that does not slow down early keeps its slots, and one that
    does would make all of its requests late.
    """

    is_enabled: bool = True
    lowest: int = 1
    highest: int | None = None
    """Highest limit, also of targets from which nothing is learned; `None` for the
    slots that the target states."""


def read_learned_limits(source: Any, field: str) -> LearnedLimits:
    """Return what a field says: `on`, `off`, or bounds as in `2-5`, `2-` or `-5`."""
    text = read_text(source, field)
    if text in ("on", "off"):
        return LearnedLimits(is_enabled=text == "on")
    match = _BOUNDS.fullmatch(text)
    if match is None or text == "-":
        message = f"{field}: neither 'on' nor 'off' nor bounds such as '2-5'"
        raise Malformed(message, step="read field")
    lowest, highest = (int(part) if part else None for part in match.groups())
    if lowest == 0 or (highest is not None and highest < (lowest or 1)):
        message = f"{field}: bounds below 1 or in the wrong order"
        raise Malformed(message, step="read field")
    return LearnedLimits(True, lowest or 1, highest)
