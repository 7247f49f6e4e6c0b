"""Helpers that check one field of a decoded JSON body and name it in errors."""

from typing import Any

from ..errors import Malformed
from ..options import Address, BadOption, parse_address

__all__ = [
    "read_address",
    "read_int",
    "read_list",
    "read_number",
    "read_seconds",
    "read_table",
    "read_text",
]

MAX_TEXT_CHARS = 200
"""Longest key that the platform's store accepts."""


def _read_field(
    source: Any, field: str, expected_type: type | tuple, default: Any
) -> Any:
    if not isinstance(source, dict):
        raise Malformed(f"{field}: its parent is not an object", step="read field")
    value = source.get(field, default)
    is_unexpected_bool = isinstance(value, bool) and expected_type is not bool
    if value is None or is_unexpected_bool or not isinstance(value, expected_type):
        raise Malformed(
            f"{field}: missing or wrong type: {str(value)[:40]!r}",
            step="read field",
        )
    return value


def read_text(source: Any, field: str, default: str | None = None) -> str:
    """Return a non-empty text of at most `MAX_TEXT_CHARS` characters."""
    text = _read_field(source, field, str, default)
    if not text or len(text) > MAX_TEXT_CHARS:
        raise Malformed(
            f"{field}: length {len(text)} is not 1 to {MAX_TEXT_CHARS}",
            step="read field",
        )
    return text


def read_int(source: Any, field: str, default: int | None = None) -> int:
    """Return a non-negative integer."""
    value = _read_field(source, field, int, default)
    if value < 0:
        raise Malformed(f"{field}: {value} is negative", step="read field")
    return value


def read_number(source: Any, field: str, default: float | None = None) -> float:
    """Return a non-negative number."""
    value = float(_read_field(source, field, (int, float), default))
    if value < 0:
        raise Malformed(f"{field}: {value} is negative", step="read field")
    return value


def read_seconds(source: Any, field: str, default: str | None = None) -> float:
    """Return the seconds of a duration such as `1500ms` or `2.5s`."""
    text = _read_field(source, field, str, default)
    for unit, factor in (("ms", 1e-3), ("s", 1.0)):
        number = text.removesuffix(unit)
        if number != text:
            try:
                return max(0.0, float(number) * factor)
            except ValueError:
                break
    raise Malformed(f"{field}: {text[:40]!r} is not a duration", step="read field")


def read_table(source: Any, field: str) -> dict:
    """Return a nested object."""
    return _read_field(source, field, dict, None)


def read_list(source: Any, field: str) -> list:
    """Return a list, empty if the field is absent."""
    return _read_field(source, field, list, [])


def read_address(source: Any, field: str) -> Address:
    """Return an IP address and a port."""
    try:
        return parse_address(field, read_text(source, field))
    except BadOption as error:
        raise Malformed(str(error), step="read field") from error
