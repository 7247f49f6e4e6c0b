"""The history of one request, collected from the log lines of several nodes."""

from collections.abc import Iterable, Iterator
from typing import Any

import click
import msgspec

__all__ = ["collect_history", "explain_request", "read_log_lines"]

CONTEXT_SECONDS = 5.0
"""Seconds before the first line of a request in which state changes are shown."""
STATE_EVENTS = frozenset(
    {
        "backpressure",
        "configuration-applied",
        "evacuation",
        "gate-closed",
        "gate-reopened",
        "learned-limit",
        "leaving",
        "link-malformed",
        "move",
        "peer-lost",
        "peer-silent",
        "started",
        "store-era",
        "store-lost",
        "store-regained",
        "target-cold",
        "target-down",
        "target-found",
        "target-left",
        "target-rate-limit",
        "target-warm",
    }
)
"""Events that change the state of a node; shown for the nodes involved."""
_HIDDEN_FIELDS = ("time", "mono", "node", "event", "request", "suppressed")


def read_log_lines(sources: Iterable[Iterable[bytes]]) -> Iterator[dict[str, Any]]:
    """Yield the log lines in `sources` and skip all other lines.

    A line may start with other text, such as the time and host of a log collector.
    """
    for source in sources:
        for line in source:
            start = line.find(b"{")
            if start < 0:
                continue
            try:
                fields = msgspec.json.decode(line[start:])
            except msgspec.DecodeError:
                continue
            if isinstance(fields, dict) and "event" in fields and "time" in fields:
                yield fields


def collect_history(lines: Iterable[dict], request: str) -> list[str]:
    """Return the lines about `request` and related state changes in order of time.

    Calls that its target made are included: their ids extend the id of `request`.
    """
    ordered = sorted(lines, key=lambda line: line["time"])
    request_lines = [line for line in ordered if _is_about(line, request)]
    if not request_lines:
        return []
    nodes = {
        line.get(key) for line in request_lines for key in ("node", "target", "peer")
    }
    first, last = request_lines[0]["time"], request_lines[-1]["time"]
    selected = [
        line
        for line in ordered
        if _is_about(line, request)
        or (
            line["event"] in STATE_EVENTS
            and line.get("node") in nodes
            and first - CONTEXT_SECONDS <= line["time"] <= last
        )
    ]
    return [_render(line, first, request) for line in selected]


def _is_about(line: dict, request: str) -> bool:
    line_request = line.get("request")
    return line_request == request or str(line_request).startswith(f"{request}.")


def _render(line: dict, first: float, request: str) -> str:
    marker = "*" if _is_about(line, request) else " "
    fields = " ".join(
        f"{key}={value}" for key, value in line.items() if key not in _HIDDEN_FIELDS
    )
    offset = line["time"] - first
    return f"{marker} {offset:+8.3f} {line.get('node')} {line['event']} {fields}"


@click.command("explain-request")
@click.argument("request")
@click.argument("logs", nargs=-1, type=click.File("rb"))
def explain_request(request: str, logs: tuple) -> None:
    """Show the history of REQUEST from LOGS of several nodes or standard input.

    Lines about the request are marked with *; the others show state changes of
    the nodes involved, from five seconds before the first marked line.
    """
    history = collect_history(
        read_log_lines(logs or (click.open_file("-", "rb"),)), request
    )
    if not history:
        raise click.ClickException(f"no log line mentions request {request!r}")
    for line in history:
        click.echo(line)
