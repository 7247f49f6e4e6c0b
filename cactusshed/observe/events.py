"""JSON log lines about state changes, written by eliot."""

import sys
from typing import Any

import eliot

__all__ = ["log_event", "open_log"]


def open_log(path: str, node: str) -> None:
    """Write log lines to the file at `path`, or to standard error for `-`."""
    stream = sys.stderr if path == "-" else open(path, "a", encoding="utf-8")  # noqa: SIM115
    eliot.to_file(stream)
    eliot.add_global_fields(node=node)


def log_event(name: str, **fields: Any) -> None:
    """Write one log line about a state change."""
    eliot.log_message(message_type=f"cactusshed:{name}", **fields)
