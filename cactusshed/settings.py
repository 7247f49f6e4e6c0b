"""Settings of a node, read from an INI file and checked as a whole."""

import configparser
import ipaddress
import os
from collections.abc import Callable
from typing import Any

import attrs

from .errors import InvalidSettings
from .options import (
    Address,
    BadOption,
    parse_address,
    parse_float,
    parse_int,
    parse_name,
)

__all__ = ["Settings", "load_settings", "parse_settings"]

MIN_SECRET_CHARS = 8


@attrs.frozen
class Settings:
    """All settings of one node; times in seconds, sizes in bytes."""

    node: str
    region: str
    data_centre: str
    callers: Address
    calls: Address
    control: Address
    operators: Address
    secret: str
    token: str
    platform: str
    seeds: tuple[Address, ...] = ()
    calls_advertised: Address | None = None
    tls_cert: str = ""
    tls_key: str = ""
    tls_ca: str = ""
    platform_timeout: float = 2.0
    poll_interval: float = 1.0
    probe_interval: float = 0.5
    drain_limit: float = 30.0
    drain_grace: float = 1.0
    announce_ttl: float = 5.0
    max_body: int = 8 << 20
    max_connections: int = 1000
    memory_bytes: int = 512 << 20
    claim_rate: int = 200
    log: str = "-"


def _parse_text(option: str, text: str) -> str:
    if not text:
        raise BadOption(f"{option}: is empty")
    return text


def _parse_url(option: str, text: str) -> str:
    if not text.startswith("http://"):
        raise BadOption(f"{option}: {text!r} is not http://IP:PORT")
    parse_address(option, text.removeprefix("http://").rstrip("/"))
    return text.rstrip("/")


def _parse_secret(option: str, text: str) -> str:
    if len(text) < MIN_SECRET_CHARS:
        raise BadOption(f"{option}: is shorter than {MIN_SECRET_CHARS} characters")
    return text


def _parse_seeds(option: str, text: str) -> tuple[Address, ...]:
    parts = (part.strip() for part in text.split(","))
    return tuple(parse_address(option, part) for part in parts if part)


def _parse_megabytes(option: str, text: str) -> int:
    return parse_int(64, 1 << 20)(option, text) << 20


_OPTIONS: dict[tuple[str, str], tuple[str, Callable[[str, str], Any]]] = {
    ("node", "name"): ("node", parse_name),
    ("node", "region"): ("region", parse_name),
    ("node", "data-centre"): ("data_centre", parse_name),
    ("node", "log"): ("log", _parse_text),
    ("node", "memory-mb"): ("memory_bytes", _parse_megabytes),
    ("callers", "listen"): ("callers", parse_address),
    ("callers", "max-body"): ("max_body", parse_int(1024, 1 << 30)),
    ("callers", "max-connections"): ("max_connections", parse_int(1, 100_000)),
    ("peers", "calls"): ("calls", parse_address),
    ("peers", "calls-advertised"): ("calls_advertised", parse_address),
    ("peers", "control"): ("control", parse_address),
    ("peers", "secret"): ("secret", _parse_secret),
    ("peers", "seeds"): ("seeds", _parse_seeds),
    ("peers", "tls-cert"): ("tls_cert", _parse_text),
    ("peers", "tls-key"): ("tls_key", _parse_text),
    ("peers", "tls-ca"): ("tls_ca", _parse_text),
    ("peers", "probe-interval"): ("probe_interval", parse_float(0.05, 60)),
    ("operators", "listen"): ("operators", parse_address),
    ("operators", "token"): ("token", _parse_secret),
    ("platform", "url"): ("platform", _parse_url),
    ("platform", "timeout"): ("platform_timeout", parse_float(0.01, 60)),
    ("platform", "poll-interval"): ("poll_interval", parse_float(0.05, 60)),
    ("platform", "claim-rate"): ("claim_rate", parse_int(1, 10_000)),
    ("target", "announce-ttl"): ("announce_ttl", parse_float(0.2, 300)),
    ("drain", "limit"): ("drain_limit", parse_float(0, 3600)),
    ("drain", "grace"): ("drain_grace", parse_float(0, 60)),
}
_LISTENERS = ("callers", "calls", "control", "operators")
_TLS_FIELDS = ("tls_cert", "tls_key", "tls_ca")


def load_settings(path: str) -> Settings:
    """Read and check the settings file at `path`."""
    try:
        with open(path, encoding="utf-8") as source:
            text = source.read()
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidSettings(str(error), step="read settings", peer=path) from error
    return parse_settings(text, path)


def parse_settings(text: str, name: str = "settings") -> Settings:
    """Parse settings in INI form; raise `InvalidSettings` with every error."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, name)
    except configparser.Error as error:
        message = str(error).replace("\n", " ")
        raise InvalidSettings(message, step="parse settings", peer=name) from error
    values: dict[str, Any] = {}
    errors = list(_collect_values(parser, values))
    errors.extend(_find_missing(values))
    errors.extend(_find_conflicts(values))
    if errors:
        raise InvalidSettings("\n".join(errors), step="check settings", peer=name)
    return Settings(**values)


def _collect_values(parser, values):
    for section in parser.sections():
        for option, text in parser.items(section):
            entry = _OPTIONS.get((section, option))
            label = f"[{section}] {option}"
            if entry is None:
                yield f"{label}: unknown option (value {text!r})"
                continue
            field, parse = entry
            try:
                values[field] = parse(label, _expand(label, text))
            except BadOption as error:
                yield str(error)


def _expand(label: str, text: str) -> str:
    """Replace `env:NAME` by that environment variable.

    This keeps secrets out of the settings file.
    """
    if not text.startswith("env:"):
        return text
    name = text.removeprefix("env:")
    if name not in os.environ:
        raise BadOption(f"{label}: the environment variable {name!r} is not set")
    return os.environ[name]


def _find_missing(values):
    required = {field.name for field in attrs.fields(Settings) if _is_required(field)}
    labels = {field: label for label, (field, _) in _OPTIONS.items()}
    for field in sorted(required - values.keys() - {"token", "secret"}):
        section, option = labels[field]
        yield f"[{section}] {option}: is missing"


def _is_required(field) -> bool:
    return field.default is attrs.NOTHING


def _find_conflicts(values):
    exposed_listeners = [
        field
        for field in _LISTENERS
        if field in values and not ipaddress.ip_address(values[field].ip).is_loopback
    ]
    for field, option in (("token", "[operators] token"), ("secret", "[peers] secret")):
        if field in values:
            continue
        if exposed_listeners:
            yield f"{option}: is missing, and {exposed_listeners[0]} is not on loopback"
        else:
            values[field] = ""
    present = [field for field in _TLS_FIELDS if field in values]
    if present and len(present) < len(_TLS_FIELDS):
        yield "[peers] tls-cert, tls-key, tls-ca: give all three or none"
