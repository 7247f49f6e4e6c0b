"""Timelines of violations: all that is known of a request, in the order of time."""

from collections.abc import Iterator
from pathlib import Path

import msgspec

from .observations import Observations, Violation
from .records import Record

__all__ = ["write_timelines"]

MAX_TIMELINES = 40
"""Violations with a timeline; further ones mostly have the same cause."""
FAULTS_BEFORE_SECONDS = 6.0
LINES_BEFORE_SECONDS, AFTER_SECONDS = 1.0, 0.5
"""Time around a request of which the log lines of the nodes concerned are shown."""
Row = tuple[float, str, str]
"""Time, place and event."""


def _read_lines(path: Path) -> Iterator[dict]:
    for line in path.read_bytes().splitlines() if path.exists() else ():
        try:
            fields = msgspec.json.decode(line)
        except msgspec.DecodeError:
            continue  # A line that its process could not finish, or a traceback.
        if isinstance(fields, dict) and "mono" in fields:
            yield fields


def _list_client(record: Record) -> Iterator[Row]:
    place = f"client at {record.node}"
    yield record.sent, place, f"{record.kind} sends {record.path}"
    if record.written:
        yield record.written, place, "last byte written"
    if record.answered:
        yield record.answered, place, "answer begins"
    result = record.cause or f"status {record.status}, sealed {record.is_sealed}"
    yield record.ended, place, "closes before the answer" if record.has_left else result


def _list_runs(observations: Observations, request_id: str) -> Iterator[Row]:
    for node, run in observations.map_runs().get(request_id, ()):
        place = f"target of {node}"
        yield run.started_at, place, f"{run.instance} starts {run.path}"
        if run.ended:
            yield run.ended, place, f"{run.instance} has answered {run.status}"


def _list_faults(observations: Observations, since: float, until: float):
    for fault in observations.injected_faults:
        if fault.began <= until and fault.ended >= since:
            yield fault.began, f"fault at {fault.node}", f"{fault.kind} begins"
            if fault.ended <= until:
                yield fault.ended, f"fault at {fault.node}", f"{fault.kind} is over"


def _list_lines(lines: dict[str, list[dict]], record: Record, nodes: set[str]):
    since = record.sent - LINES_BEFORE_SECONDS
    for name, node_lines in lines.items():
        for line in node_lines:
            is_near = since <= line["mono"] <= record.ended + AFTER_SECONDS
            if line.get("request") == record.request_id or (is_near and name in nodes):
                shown = {k: v for k, v in line.items() if k not in ("time", "mono")}
                yield (
                    line["mono"],
                    f"log of {name}",
                    msgspec.json.encode(shown).decode(),
                )


def write_timelines(
    observations: Observations, violations: list[Violation], logs: Path, path: Path
) -> None:
    """Write the timelines of `violations`; `logs` holds the logs of the nodes."""
    records = {record.request_id: record for record in observations.records}
    names = [node.name for node in observations.fleet.nodes]
    lines = {name: list(_read_lines(logs / f"{name}.log")) for name in names}
    with path.open("w", encoding="utf-8") as out:
        for began, place, event in sorted(
            _list_faults(observations, 0.0, float("inf"))
        ):
            out.write(f"{began:.3f} {place}: {event}\n")
        for violation in violations[:MAX_TIMELINES]:
            out.write(f"{violation.guarantee}: {violation.text}\n")
            record = records.get(violation.request_id)
            if record is None:
                continue
            located_runs = observations.map_runs().get(record.request_id, ())
            nodes = {record.node, *(node for node, _ in located_runs)}
            until = record.ended + AFTER_SECONDS
            rows = [
                *_list_client(record),
                *_list_runs(observations, record.request_id),
                *_list_faults(observations, record.sent - FAULTS_BEFORE_SECONDS, until),
                *_list_lines(lines, record, nodes),
            ]
            for moment, place, event in sorted(rows):
                out.write(f"  {moment - record.sent:+8.3f}  {place:<18} {event}\n")
            out.write("\n")
