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
    tries_full: bool = False
    """Whether targets that are always full get trials of half their limit. They show
    whether such a target is slow because it is full. Off by default: where slots are
    right, a trial costs half of the throughput for seconds, when it is needed most."""
    lowest: int = 1
    highest: int | None = None
    """Highest limit, also of targets from which nothing is learned; `None` for the
    slots that the target states."""


def read_learned_limits(source: Any, field: str) -> LearnedLimits:
    """Return what a field says.

    That is `on`, `off`, `trials` for trials of full targets as well, or bounds as in
    `2-5`, `2-` or `-5`.
    """
    text = read_text(source, field)
    if text in ("on", "off", "trials"):
        return LearnedLimits(text != "off", text == "trials")
    match = _BOUNDS.fullmatch(text)
    if match is None or text == "-":
        message = f"{field}: none of 'on', 'off', 'trials' or bounds such as '2-5'"
        raise Malformed(message, step="read field")
    lowest, highest = (int(part) if part else None for part in match.groups())
    if lowest == 0 or (highest is not None and highest < (lowest or 1)):
        message = f"{field}: bounds below 1 or in the wrong order"
        raise Malformed(message, step="read field")
    return LearnedLimits(lowest=lowest or 1, highest=highest)
