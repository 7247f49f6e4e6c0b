"""Load files, which describe services, classes of requests and conditions.

A load is an INI file with the sections `load`, `service NAME`, `class NAME`, `outage
NAME`, `burst NAME`, `fault NAME` and `retry-abuse NAME`; see `examples/`.
"""

from collections.abc import Callable, Iterator
from configparser import ConfigParser
from pathlib import Path

from ..options import (
    BadOption,
    parse_bool,
    parse_choice,
    parse_float,
    parse_int,
    parse_list,
)
from .conditions import (
    ALL,
    Burst,
    Fault,
    InvalidLoad,
    Load,
    Outage,
    RequestClass,
    RetryAbuse,
    Service,
)

__all__ = ["InvalidLoad", "Load", "read_load"]

MAX_NUMBER = 100_000.0
MAX_SECONDS = 3600.0
MAX_MS = 3_600_000.0
MAX_ANSWER_BYTES = 64 << 20

_parse_number = parse_float(0.0, MAX_NUMBER)
_parse_milliseconds = parse_float(0.0, MAX_MS)


def _parse_ms_as_seconds(option: str, text: str) -> float:
    return _parse_milliseconds(option, text) / 1000


def _parse_numbers(low: float, high: float) -> Callable[[str, str], tuple[float, ...]]:
    parse_number = parse_float(low, high)

    def parse(option: str, text: str) -> tuple[float, ...]:
        return tuple(parse_number(option, part.strip()) for part in text.split(","))

    return parse


def _parse_slow_period(option: str, text: str) -> float:
    return parse_float(1.0, MAX_MS)(option, text) / 1000


def _parse_text(_option: str, text: str) -> str:
    return text.strip()


_LOAD_OPTIONS = {
    "seconds": ("seconds", parse_float(0.1, MAX_SECONDS), "20"),
    "data-centres": ("data_centres", parse_list, "a, b, c, d"),
    "nodes": ("nodes", parse_int(1, 100), "1"),
    "hop-ms": ("hop_seconds", _parse_ms_as_seconds, "1"),
    "retry-ratio": ("retry_ratio", parse_float(0.0, 100.0), "0.2"),
    "retry-window": ("retry_window", parse_float(0.1, MAX_SECONDS), "10"),
    "retry-slack": ("retry_slack", _parse_number, "50"),
}
_SERVICE_OPTIONS = {
    "slots": ("slots", parse_int(1, 10_000), "10"),
    "speeds": ("speeds", _parse_numbers(0.01, 100.0), "1"),
    "cold-seconds": ("cold_seconds", _parse_number, "0"),
    "cold-slowdown": ("cold_slowdown", parse_float(1.0, 100.0), "1"),
    "cold-rate": ("cold_rate", _parse_number, "10"),
    "targets": ("targets", parse_int(0, 10_000), "0"),
    "links-mbps": ("links_mbps", _parse_numbers(0.0, MAX_NUMBER), "0"),
    "slow-share": ("slow_share", parse_float(0.0, 1.0), "0"),
    "slow-factor": ("slow_factor", parse_float(1.0, 100.0), "1"),
    "slow-ms": ("slow_seconds", _parse_slow_period, "600"),
    "states-pace": ("states_pace", parse_bool, "no"),
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
    "answer-bytes": ("answer_bytes", parse_int(0, MAX_ANSWER_BYTES), "0"),
    "returns-as-told": ("returns_as_told", parse_bool, "no"),
}
_OUTAGE_OPTIONS = {
    "at": ("starts_at", _parse_number, "5"),
    "seconds": ("seconds", _parse_number, "2"),
    "data-centre": ("data_centre", _parse_text, ALL),
}
_BURST_OPTIONS = {
    **_OUTAGE_OPTIONS,
    "class": ("class_name", _parse_text, ALL),
    "factor": ("factor", parse_float(1.0, 100.0), "2"),
}
_FAULT_OPTIONS = {
    **_OUTAGE_OPTIONS,
    "service": ("service", _parse_text, ALL),
    "kind": ("kind", parse_choice(("shed", "fail")), "shed"),
    "share": ("share", parse_float(0.0, 1.0), "0.5"),
}
_ABUSE_OPTIONS = {
    **_OUTAGE_OPTIONS,
    "class": ("class_name", _parse_text, ALL),
    "share": ("share", parse_float(0.0, 1.0), "1"),
    "retries": ("retries", parse_int(1, 100), "8"),
    "pause-ms": ("pause", _parse_ms_as_seconds, "0"),
}
_CONDITIONS = {
    "outage": ("outages", Outage, _OUTAGE_OPTIONS),
    "burst": ("bursts", Burst, _BURST_OPTIONS),
    "fault": ("faults", Fault, _FAULT_OPTIONS),
    "retry-abuse": ("retry_abuses", RetryAbuse, _ABUSE_OPTIONS),
}
"""Field of the load, type and options of each type of section that may be repeated."""
_SECTION_TYPES = frozenset({"load", "service", "class", *_CONDITIONS})


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


def _check_names(load: Load) -> Iterator[str]:
    """Yield an error for each name that no section explains."""
    for request_class in load.classes.values():
        section = f"[class {request_class.name}]"
        if request_class.service not in load.services:
            yield f"{section} service: no section for this service"
        if request_class.call_class and request_class.call_class not in load.classes:
            yield f"{section} calls: no section for this class"
    known = {
        "data_centre": {ALL, *load.data_centres},
        "class_name": {ALL, *load.classes},
        "service": {ALL, *load.services},
    }
    for section_type, (field, _, options) in _CONDITIONS.items():
        for condition in getattr(load, field):
            for option, (name, *_) in options.items():
                value = getattr(condition, name)
                if name in known and value not in known[name]:
                    yield f"[{section_type}] {option}: {value!r} is not known"


def read_load(path: Path) -> Load:
    """Return the load in a file; raise `InvalidLoad` with all errors found."""
    parser = ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"), source=str(path))
    except Exception as error:
        raise InvalidLoad(str(error), step="read load", peer=str(path)) from error
    errors = [
        f"[{section}]: unknown type of section"
        for section in parser.sections()
        if section.partition(" ")[0] not in _SECTION_TYPES
    ]
    general = _read_section(parser, "load", _LOAD_OPTIONS, errors)
    services = {
        name: {"name": name, **_read_section(parser, section, _SERVICE_OPTIONS, errors)}
        for section, name in _list_named_sections(parser, "service")
    }
    classes = {
        name: {"name": name, **_read_section(parser, section, _CLASS_OPTIONS, errors)}
        for section, name in _list_named_sections(parser, "class")
    }
    conditions = {
        field: [
            (condition_type, _read_section(parser, section, options, errors))
            for section, _ in _list_named_sections(parser, section_type)
        ]
        for section_type, (field, condition_type, options) in _CONDITIONS.items()
    }
    if not errors:
        load = Load(
            **general,
            services={name: Service(**fields) for name, fields in services.items()},
            classes={name: RequestClass(**fields) for name, fields in classes.items()},
            **{
                field: tuple(make(**fields) for make, fields in sections)
                for field, sections in conditions.items()
            },
        )
        errors.extend(_check_names(load))
    if errors:
        raise InvalidLoad("; ".join(errors), step="read load", peer=str(path))
    return load
