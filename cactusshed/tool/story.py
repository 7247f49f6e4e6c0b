"""The story of one request, told from the log lines of several nodes."""

from collections.abc import Iterable, Iterator
from typing import Any

import click
import msgspec

__all__ = ["explain_request", "read_lines", "tell_story"]

CONTEXT_SECONDS = 5.0
"""Time before a request's lines in which changes of belief may explain it."""
BELIEFS = frozenset(
    {
        "backpressure",
        "configuration-applied",
        "evacuation",
        "gate-closed",
        "gate-reopened",
        "leaving",
        "move",
        "peer-lost",
        "peer-silent",
        "started",
        "store-lost",
        "store-regained",
        "target-cold",
        "target-down",
        "target-found",
        "target-left",
        "target-warm",
    }
)
"""Lines that say what a node believed; those of the nodes involved are told."""
_COMMON = ("time", "mono", "node", "event", "request", "suppressed")


def read_lines(sources: Iterable[Iterable[bytes]]) -> Iterator[dict[str, Any]]:
    """Yield the log lines in `sources`; what is no log line is passed over.

    A line may begin with other text, such as a collector's time and host.
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


def tell_story(lines: Iterable[dict], request: str) -> list[str]:
    """Return the lines about `request` in order, with what nodes believed then.

    Calls that its target made extend its identity, and are told as well.
    """
    kept = sorted(lines, key=lambda line: line["time"])
    own = [line for line in kept if _belongs(line, request)]
    if not own:
        return []
    nodes = {line.get(key) for line in own for key in ("node", "target", "peer")}
    first, last = own[0]["time"], own[-1]["time"]
    told = [
        line
        for line in kept
        if _belongs(line, request)
        or (
            line["event"] in BELIEFS
            and line.get("node") in nodes
            and first - CONTEXT_SECONDS <= line["time"] <= last
        )
    ]
    return [_render(line, first, request) for line in told]


def _belongs(line: dict, request: str) -> bool:
    named = line.get("request")
    return named == request or str(named).startswith(f"{request}.")


def _render(line: dict, first: float, request: str) -> str:
    mark = "*" if _belongs(line, request) else " "
    fields = " ".join(
        f"{key}={value}" for key, value in line.items() if key not in _COMMON
    )
    offset = line["time"] - first
    return f"{mark} {offset:+8.3f} {line.get('node')} {line['event']} {fields}"


@click.command("explain-request")
@click.argument("request")
@click.argument("logs", nargs=-1, type=click.File("rb"))
def explain_request(request: str, logs: tuple) -> None:
    """Tell what became of REQUEST from LOGS of several nodes, or standard input.

    Lines about the request are marked; others say what its nodes believed in
    the five seconds before.
    """
    story = tell_story(read_lines(logs or (click.open_file("-", "rb"),)), request)
    if not story:
        raise click.ClickException(f"no line is about request {request!r}")
    for line in story:
        click.echo(line)
