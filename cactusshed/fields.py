"""Helpers that check one field of a decoded JSON body and name it in errors."""

from typing import Any

from .decoding import MAX_COUNT
from .errors import Malformed
from .options import Address, BadOption, parse_address

__all__ = [
    "check_address",
    "check_header_value",
    "check_text",
    "read_address",
    "read_flag",
    "read_int",
    "read_list",
    "read_number",
    "read_seconds",
    "read_table",
    "read_text",
]

MAX_TEXT_CHARS = 200
"""Longest key that the store accepts."""
MAX_SECONDS = 1e9
"""Longest duration; far longer ones exceed the range of timers."""


def _read_field(
    source: Any, field: str, expected_type: type | tuple, default: Any
) -> Any:
    if not isinstance(source, dict):
        raise Malformed(f"{field}: its parent is not an object", step="read field")
    value = source.get(field, default)
    is_unexpected_bool = isinstance(value, bool) and expected_type is not bool
    if value is None or is_unexpected_bool or not isinstance(value, expected_type):
        raise Malformed(
            f"{field}: missing or wrong type {type(value).__name__}",
            step="read field",
        )
    return value


def _check_range(field: str, value: float, highest: float) -> None:
    if not 0 <= value <= highest:
        raise Malformed(f"{field}: not from 0 to {highest:g}", step="read field")


def check_text(field: str, text: str) -> str:
    """Return a text that can stand in a key and in a header; raise `Malformed`."""
    if not text or len(text) > MAX_TEXT_CHARS:
        raise Malformed(
            f"{field}: length {len(text)} is not 1 to {MAX_TEXT_CHARS}",
            step="read field",
        )
    if not text.isprintable():
        raise Malformed(f"{field}: control characters", step="read field")
    return text


def check_header_value(field: str, value: Any) -> str:
    """Return a text that a header can carry unchanged; raise `Malformed`.

    The error does not describe the value, which may be a secret.
    """
    is_text = isinstance(value, str) and value.isprintable()
    if not is_text or not value or value != value.strip():
        raise Malformed(f"{field}: not a value of a header", step="read field")
    return value


def read_text(source: Any, field: str, default: str | None = None) -> str:
    """Return a printable text of 1 to `MAX_TEXT_CHARS` characters."""
    return check_text(field, _read_field(source, field, str, default))


def read_int(
    source: Any, field: str, default: int | None = None, highest: int = MAX_COUNT
) -> int:
    """Return an integer from 0 to `highest`."""
    value = _read_field(source, field, int, default)
    _check_range(field, value, highest)
    return value


def read_flag(source: Any, field: str, default: bool | None = None) -> bool:
    """Return a truth value."""
    return _read_field(source, field, bool, default)


def read_number(source: Any, field: str, default: float | None = None) -> float:
    """Return a number from 0 to `MAX_COUNT`."""
    value = _read_field(source, field, (int, float), default)
    _check_range(field, value, MAX_COUNT)
    return float(value)


def read_seconds(source: Any, field: str, default: str | None = None) -> float:
    """Return the seconds of a duration such as `1500ms` or `2.5s`; none is below 0."""
    text = _read_field(source, field, str, default)
    for unit, factor in (("ms", 1e-3), ("s", 1.0)):
        number = text.removesuffix(unit)
        if number != text:
            try:
                seconds = max(float(number) * factor, 0.0)
            except ValueError:
                break
            _check_range(field, seconds, MAX_SECONDS)
            return seconds
    raise Malformed(f"{field}: {text[:40]!r} is not a duration", step="read field")


def read_table(source: Any, field: str) -> dict:
    """Return a nested object."""
    return _read_field(source, field, dict, None)


def read_list(source: Any, field: str, *, is_required: bool = False) -> list:
    """Return a list, empty if the field is absent and not required."""
    return _read_field(source, field, list, None if is_required else [])


def read_address(source: Any, field: str) -> Address:
    """Return an IP address and a port."""
    return check_address(field, read_text(source, field))


def check_address(field: str, text: str) -> Address:
    """Return the IP address and port in `text`; raise `Malformed`."""
    try:
        address = parse_address(field, text)
    except BadOption as error:
        raise Malformed(str(error), step="read field") from error
    if not address.port:
        raise Malformed(f"{field}: port 0", step="read field")
    return address
