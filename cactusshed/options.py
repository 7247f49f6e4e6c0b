"""Parsers of option values; errors name the option and the value."""

import ipaddress
from collections.abc import Callable, Iterable
from typing import Any

import attrs

__all__ = [
    "Address",
    "BadOption",
    "parse_address",
    "parse_bool",
    "parse_choice",
    "parse_float",
    "parse_int",
    "parse_list",
    "parse_name",
]

_TRUE = frozenset({"1", "yes", "true", "on"})
_FALSE = frozenset({"0", "no", "false", "off"})
_NAME_CHARS = frozenset("abcdefghijklmnopqrstuvwxyz0123456789-_.")
MAX_NAME_CHARS = 64


class BadOption(ValueError):
    """An invalid value of an option."""


@attrs.frozen
class Address:
    """An IP address and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        ip = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{ip}:{self.port}"


def parse_bool(option: str, text: str) -> bool:
    """Parse a boolean such as `yes` or `off`."""
    word = text.strip().lower()
    if word in _TRUE:
        return True
    if word in _FALSE:
        return False
    raise BadOption(f"{option}: {text!r} is not one of yes, no")


def _parse_number(
    number_type: type, type_name: str, low: float, high: float
) -> Callable[[str, str], Any]:
    def parse(option: str, text: str) -> Any:
        try:
            value = number_type(text)
        except ValueError:
            raise BadOption(f"{option}: {text!r} is not a {type_name}") from None
        if not low <= value <= high:
            raise BadOption(f"{option}: {value} is outside {low} to {high}")
        return value

    return parse


def parse_int(low: int, high: int) -> Callable[[str, str], int]:
    """Return a parser of integers from `low` to `high`, both included."""
    return _parse_number(int, "whole number", low, high)


def parse_float(low: float, high: float) -> Callable[[str, str], float]:
    """Return a parser of numbers from `low` to `high`, both included."""
    return _parse_number(float, "number", low, high)


def parse_choice(choices: Iterable[str]) -> Callable[[str, str], str]:
    """Return a parser that accepts one of `choices`."""
    allowed = tuple(choices)

    def parse(option: str, text: str) -> str:
        if text not in allowed:
            raise BadOption(f"{option}: {text!r} is not one of {', '.join(allowed)}")
        return text

    return parse


def parse_name(option: str, text: str) -> str:
    """Parse a name of up to `MAX_NAME_CHARS` lower-case letters, digits and `-_.`."""
    if not text or len(text) > MAX_NAME_CHARS or not _NAME_CHARS.issuperset(text):
        raise BadOption(f"{option}: {text!r} is not a name (a-z, 0-9, - _ .)")
    return text


def parse_list(option: str, text: str) -> tuple[str, ...]:
    """Parse a comma-separated list of names."""
    parts = (part.strip() for part in text.split(","))
    return tuple(parse_name(option, part) for part in parts if part)


def parse_address(option: str, text: str) -> Address:
    """Parse an address of the form `ip:port` or `[ip]:port`."""
    ip, _, port = text.rpartition(":")
    ip = ip.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(ip)
    except ValueError:
        raise BadOption(f"{option}: {text!r} is not IP:PORT") from None
    return Address(ip, parse_int(0, 65535)(option, port))
