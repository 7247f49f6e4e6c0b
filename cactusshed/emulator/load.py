"""Description of a load: services, kinds of requests, and losses of power.

It is read from an INI file with sections `load`, `service NAME`, `class NAME` and
`outage NAME`; see `examples/recovery.load`.
"""

from configparser import ConfigParser
from pathlib import Path

import attrs

from ..errors import CactusError
from ..options import BadOption, parse_bool, parse_float, parse_int, parse_list

__all__ = ["BadLoad", "Load", "Outage", "RequestClass", "Service", "read_load"]

MAX_RATE = 100_000.0
MAX_SECONDS = 3600.0
MAX_MS = 3_600_000.0


class BadLoad(CactusError):
    """A load file that can't be used; the message names every fault."""

    code = "bad-load"
    status = 400


@attrs.frozen
class Service:
    """Targets of one service, one or more in each data centre; times in seconds."""

    name: str
    slots: int
    speeds: tuple[float, ...]
    """Speed of each target in turn, 1 for the stated work times."""
    cold_seconds: float
    cold_slowdown: float
    cold_rate: float
    """Starts a second that a cold target bears."""


@attrs.frozen
class RequestClass:
    """One kind of request; times in seconds, rates a second over all callers."""

    name: str
    service: str
    per_second: float
    work: float
    spread: float
    aim: float
    deadline: float
    rank: int
    worth: float
    late_worth: float
    retries: int
    repeatable: bool
    calls: str
    """Class of the calls that a run makes; empty for none."""
    call_count: int
    call_share: float
    calls_at_once: bool


@attrs.frozen
class Outage:
    """All targets of a data centre, or of all (`*`), lose power and return cold."""

    at: float
    seconds: float
    data_centre: str


@attrs.frozen
class Load:
    """A whole load."""

    seconds: float
    data_centres: tuple[str, ...]
    nodes: int
    """Nodes of each service in each data centre."""
    hop_seconds: float
    services: dict[str, Service]
    classes: dict[str, RequestClass]
    outages: tuple[Outage, ...]


_NUMBER = parse_float(0.0, MAX_RATE)
_MS = parse_float(0.0, MAX_MS)


def _parse_ms(option: str, text: str) -> float:
    return _MS(option, text) / 1000


def _parse_speeds(option: str, text: str) -> tuple[float, ...]:
    parse = parse_float(0.01, 100.0)
    return tuple(parse(option, part.strip()) for part in text.split(","))


def _parse_text(_option: str, text: str) -> str:
    return text.strip()


_LOAD = {
    "seconds": ("seconds", parse_float(0.1, MAX_SECONDS), "20"),
    "data-centres": ("data_centres", parse_list, "a, b, c, d"),
    "nodes": ("nodes", parse_int(1, 100), "1"),
    "hop-ms": ("hop_seconds", _parse_ms, "1"),
}
_SERVICE = {
    "slots": ("slots", parse_int(1, 10_000), "10"),
    "speeds": ("speeds", _parse_speeds, "1"),
    "cold-seconds": ("cold_seconds", _NUMBER, "0"),
    "cold-slowdown": ("cold_slowdown", parse_float(1.0, 100.0), "1"),
    "cold-rate": ("cold_rate", _NUMBER, "10"),
}
_CLASS = {
    "service": ("service", _parse_text, ""),
    "per-second": ("per_second", _NUMBER, "0"),
    "work-ms": ("work", _parse_ms, "50"),
    "spread": ("spread", parse_float(0.0, 5.0), "0.5"),
    "aim-ms": ("aim", _parse_ms, "300"),
    "deadline-ms": ("deadline", _parse_ms, "1000"),
    "rank": ("rank", parse_int(0, 100), "0"),
    "worth": ("worth", _NUMBER, "1"),
    "late-worth": ("late_worth", _NUMBER, "0.1"),
    "retries": ("retries", parse_int(0, 100), "1"),
    "repeatable": ("repeatable", parse_bool, "yes"),
    "calls": ("calls", _parse_text, ""),
    "call-count": ("call_count", parse_int(0, 100), "1"),
    "call-share": ("call_share", parse_float(0.0, 1.0), "1"),
    "calls-at-once": ("calls_at_once", parse_bool, "no"),
}
_OUTAGE = {
    "at": ("at", _NUMBER, "5"),
    "seconds": ("seconds", _NUMBER, "2"),
    "data-centre": ("data_centre", _parse_text, "*"),
}


def _read_section(
    parser: ConfigParser, section: str, known: dict, faults: list[str]
) -> dict:
    given = dict(parser[section]) if parser.has_section(section) else {}
    faults.extend(f"[{section}] {name}: unknown" for name in given.keys() - known)
    fields = {}
    for option, (field, parse, default) in known.items():
        try:
            fields[field] = parse(option, given.get(option, default))
        except BadOption as error:
            faults.append(f"[{section}] {error}")
    return fields


def _list_named(parser: ConfigParser, kind: str) -> list[tuple[str, str]]:
    return [
        (section, section.partition(" ")[2].strip())
        for section in parser.sections()
        if section.partition(" ")[0] == kind
    ]


def _check_names(load: Load, faults: list[str]) -> None:
    for each in load.classes.values():
        if each.service not in load.services:
            faults.append(f"[class {each.name}] service: no section for it")
        if each.calls and each.calls not in load.classes:
            faults.append(f"[class {each.name}] calls: no section for it")


def read_load(path: Path) -> Load:
    """Return the load in a file; raise `BadLoad` with all its faults."""
    parser = ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"), source=str(path))
    except Exception as error:
        raise BadLoad(str(error), step="read load", peer=str(path)) from error
    faults: list[str] = []
    head = _read_section(parser, "load", _LOAD, faults)
    services = {
        name: {"name": name, **_read_section(parser, section, _SERVICE, faults)}
        for section, name in _list_named(parser, "service")
    }
    classes = {
        name: {"name": name, **_read_section(parser, section, _CLASS, faults)}
        for section, name in _list_named(parser, "class")
    }
    outages = [
        _read_section(parser, section, _OUTAGE, faults)
        for section, _ in _list_named(parser, "outage")
    ]
    if not faults:
        load = Load(
            **head,
            services={name: Service(**fields) for name, fields in services.items()},
            classes={name: RequestClass(**fields) for name, fields in classes.items()},
            outages=tuple(Outage(**fields) for fields in outages),
        )
        _check_names(load, faults)
    if faults:
        raise BadLoad("; ".join(faults), step="read load", peer=str(path))
    return load
