"""Load descriptions: services, classes of requests and power outages.

A load is an INI file with the sections `load`, `service NAME`, `class NAME` and
`outage NAME`; see `examples/recovery.load`.
"""

from configparser import ConfigParser
from pathlib import Path

import attrs

from ..errors import CactusError
from ..options import BadOption, parse_bool, parse_float, parse_int, parse_list

__all__ = ["InvalidLoad", "Load", "Outage", "RequestClass", "Service", "read_load"]

MAX_NUMBER = 100_000.0
MAX_SECONDS = 3600.0
MAX_MS = 3_600_000.0


class InvalidLoad(CactusError):
    """A load file is invalid; the message lists every error."""

    code = "bad-load"
    status = 400


@attrs.frozen
class Service:
    """A service whose targets run in every data centre; times in seconds."""

    name: str
    slots: int
    speeds: tuple[float, ...]
    """Speed factors, given to the targets in turn; 1 keeps the work time of a class."""
    cold_seconds: float
    cold_slowdown: float
    """Factor on the work time of requests that start at a cold target."""
    cold_rate: float
    """Request starts per second that a cold target can take."""


@attrs.frozen
class RequestClass:
    """A class of requests; times in seconds, `per_second` over all data centres."""

    name: str
    service: str
    per_second: float
    work_seconds: float
    spread: float
    """Sigma of the log-normal distribution of the work time."""
    soft_timeout: float
    timeout: float
    priority: int
    """0 is served first."""
    worth: float
    """Value of an answer within the soft timeout."""
    late_worth: float
    """Value of an answer after the soft timeout."""
    retries: int
    idempotent: bool
    call_class: str
    """Class of the nested calls that a request makes; empty for none."""
    call_count: int
    call_share: float
    """Share of the requests that make nested calls."""
    calls_in_parallel: bool


@attrs.frozen
class Outage:
    """Power outage of one data centre or all (`*`); its targets restart cold."""

    starts_at: float
    seconds: float
    data_centre: str


@attrs.frozen
class Load:
    """A load: its duration, the fleet, the classes of requests and the outages."""

    seconds: float
    data_centres: tuple[str, ...]
    nodes: int
    """Nodes of each service in each data centre."""
    hop_seconds: float
    """One-way latency between two nodes."""
    services: dict[str, Service]
    classes: dict[str, RequestClass]
    outages: tuple[Outage, ...]


_parse_number = parse_float(0.0, MAX_NUMBER)
_parse_milliseconds = parse_float(0.0, MAX_MS)


def _parse_ms_as_seconds(option: str, text: str) -> float:
    return _parse_milliseconds(option, text) / 1000


def _parse_speeds(option: str, text: str) -> tuple[float, ...]:
    parse = parse_float(0.01, 100.0)
    return tuple(parse(option, part.strip()) for part in text.split(","))


def _parse_text(_option: str, text: str) -> str:
    return text.strip()


_LOAD_OPTIONS = {
    "seconds": ("seconds", parse_float(0.1, MAX_SECONDS), "20"),
    "data-centres": ("data_centres", parse_list, "a, b, c, d"),
    "nodes": ("nodes", parse_int(1, 100), "1"),
    "hop-ms": ("hop_seconds", _parse_ms_as_seconds, "1"),
}
_SERVICE_OPTIONS = {
    "slots": ("slots", parse_int(1, 10_000), "10"),
    "speeds": ("speeds", _parse_speeds, "1"),
    "cold-seconds": ("cold_seconds", _parse_number, "0"),
    "cold-slowdown": ("cold_slowdown", parse_float(1.0, 100.0), "1"),
    "cold-rate": ("cold_rate", _parse_number, "10"),
}
_CLASS_OPTIONS = {
    "service": ("service", _parse_text, ""),
    "per-second": ("per_second", _parse_number, "0"),
    "work-ms": ("work_seconds", _parse_ms_as_seconds, "50"),
    "spread": ("spread", parse_float(0.0, 5.0), "0.5"),
    "aim-ms": ("soft_timeout", _parse_ms_as_seconds, "300"),
    "deadline-ms": ("timeout", _parse_ms_as_seconds, "1000"),
    "rank": ("priority", parse_int(0, 100), "0"),
    "worth": ("worth", _parse_number, "1"),
    "late-worth": ("late_worth", _parse_number, "0.1"),
    "retries": ("retries", parse_int(0, 100), "1"),
    "repeatable": ("idempotent", parse_bool, "yes"),
    "calls": ("call_class", _parse_text, ""),
    "call-count": ("call_count", parse_int(0, 100), "1"),
    "call-share": ("call_share", parse_float(0.0, 1.0), "1"),
    "calls-at-once": ("calls_in_parallel", parse_bool, "no"),
}
_OUTAGE_OPTIONS = {
    "at": ("starts_at", _parse_number, "5"),
    "seconds": ("seconds", _parse_number, "2"),
    "data-centre": ("data_centre", _parse_text, "*"),
}


def _read_section(
    parser: ConfigParser, section: str, options: dict, errors: list[str]
) -> dict:
    raw_values = dict(parser[section]) if parser.has_section(section) else {}
    errors.extend(
        f"[{section}] {name}: unknown option" for name in raw_values.keys() - options
    )
    fields = {}
    for option, (field, parse, default) in options.items():
        try:
            fields[field] = parse(option, raw_values.get(option, default))
        except BadOption as error:
            errors.append(f"[{section}] {error}")
    return fields


def _list_named_sections(
    parser: ConfigParser, section_type: str
) -> list[tuple[str, str]]:
    return [
        (section, section.partition(" ")[2].strip())
        for section in parser.sections()
        if section.partition(" ")[0] == section_type
    ]


def _check_names(load: Load, errors: list[str]) -> None:
    for request_class in load.classes.values():
        if request_class.service not in load.services:
            errors.append(
                f"[class {request_class.name}] service: no section for this service"
            )
        if request_class.call_class and request_class.call_class not in load.classes:
            errors.append(
                f"[class {request_class.name}] calls: no section for this class"
            )


def read_load(path: Path) -> Load:
    """Return the load in a file; raise `InvalidLoad` with all errors found."""
    parser = ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"), source=str(path))
    except Exception as error:
        raise InvalidLoad(str(error), step="read load", peer=str(path)) from error
    errors: list[str] = []
    general = _read_section(parser, "load", _LOAD_OPTIONS, errors)
    services = {
        name: {"name": name, **_read_section(parser, section, _SERVICE_OPTIONS, errors)}
        for section, name in _list_named_sections(parser, "service")
    }
    classes = {
        name: {"name": name, **_read_section(parser, section, _CLASS_OPTIONS, errors)}
        for section, name in _list_named_sections(parser, "class")
    }
    outages = [
        _read_section(parser, section, _OUTAGE_OPTIONS, errors)
        for section, _ in _list_named_sections(parser, "outage")
    ]
    if not errors:
        load = Load(
            **general,
            services={name: Service(**fields) for name, fields in services.items()},
            classes={name: RequestClass(**fields) for name, fields in classes.items()},
            outages=tuple(Outage(**fields) for fields in outages),
        )
        _check_names(load, errors)
    if errors:
        raise InvalidLoad("; ".join(errors), step="read load", peer=str(path))
    return load
