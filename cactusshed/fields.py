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
    "read_printable",
    "read_seconds",
    "read_table",
    "read_text",
]

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


def _limit_range(field: str, value: Any, highest: Any, is_capped: bool) -> Any:
    if is_capped and value > highest:
        return highest
    if not 0 <= value <= highest:
        raise Malformed(f"{field}: not from 0 to {highest:g}", step="read field")
    return value


def check_text(field: str, text: str) -> str:
    """Return a text that can stand in a header; raise `Malformed`."""
    if not text:
        raise Malformed(f"{field}: empty", step="read field")
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
    """Return a text of at least one character; it may hold any characters."""
    text = _read_field(source, field, str, default)
    if not text:
        raise Malformed(f"{field}: empty", step="read field")
    return text


def read_printable(source: Any, field: str, default: str | None = None) -> str:
    """Return a text that can stand in a header."""
    return check_text(field, _read_field(source, field, str, default))


def read_int(
    source: Any,
    field: str,
    default: int | None = None,
    highest: int = MAX_COUNT,
    *,
    is_capped: bool = False,
) -> int:
    """Return an integer from 0 to `highest`.

    Higher ones raise `Malformed`, or are read as `highest` if `is_capped`.
    """
    value = _read_field(source, field, int, default)
    return _limit_range(field, value, highest, is_capped)


def read_flag(source: Any, field: str, default: bool | None = None) -> bool:
    """Return a truth value."""
    return _read_field(source, field, bool, default)


def read_number(
    source: Any,
    field: str,
    default: float | None = None,
    *,
    is_capped: bool = False,
) -> float:
    """Return a number from 0 to `MAX_COUNT`; for `is_capped` see `read_int`."""
    value = _read_field(source, field, (int, float), default)
    return float(_limit_range(field, value, MAX_COUNT, is_capped))


def read_seconds(
    source: Any,
    field: str,
    default: str | None = None,
    *,
    is_capped: bool = False,
) -> float:
    """Return the seconds of a duration such as `1500ms` or `2.5s`; none is below 0.

    Durations above `MAX_SECONDS` are handled as in `read_int`.
    """
    text = _read_field(source, field, str, default)
    for unit, factor in (("ms", 1e-3), ("s", 1.0)):
        number = text.removesuffix(unit)
        if number != text:
            try:
                seconds = max(float(number) * factor, 0.0)
            except ValueError:
                break
            return _limit_range(field, seconds, MAX_SECONDS, is_capped)
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
