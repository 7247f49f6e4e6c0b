"""Log lines for changes of state, written by eliot as JSON."""

import sys
from typing import Any

import eliot

__all__ = ["log_event", "open_log"]


def open_log(path: str, node: str) -> None:
    """Write log lines to the file at `path`, or to standard error for `-`."""
    out = sys.stderr if path == "-" else open(path, "a", encoding="utf-8")  # noqa: SIM115
    eliot.to_file(out)
    eliot.add_global_fields(node=node)


def log_event(name: str, **fields: Any) -> None:
    """Write one line about a change of state."""
    eliot.log_message(message_type=f"cactusshed:{name}", **fields)
