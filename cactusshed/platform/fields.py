"""Helpers that read one field of a decoded JSON body and name it when it is bad."""

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
"""Longest name that the platform's store takes for a key."""


def _get(source: Any, field: str, kind: type | tuple, default: Any) -> Any:
    if not isinstance(source, dict):
        raise Malformed(f"{field}: its parent is no table", step="read field")
    value = source.get(field, default)
    wrong_bool = isinstance(value, bool) and kind is not bool
    if value is None or wrong_bool or not isinstance(value, kind):
        raise Malformed(f"{field}: {str(value)[:40]!r}", step="read field")
    return value


def read_text(source: Any, field: str, default: str | None = None) -> str:
    """Return a text that is not empty; raise `Malformed` otherwise."""
    text = _get(source, field, str, default)
    if not text or len(text) > MAX_TEXT_CHARS:
        raise Malformed(f"{field}: length {len(text)}", step="read field")
    return text


def read_int(source: Any, field: str, default: int | None = None) -> int:
    """Return a whole number that is not negative."""
    value = _get(source, field, int, default)
    if value < 0:
        raise Malformed(f"{field}: {value} is negative", step="read field")
    return value


def read_number(source: Any, field: str, default: float | None = None) -> float:
    """Return a number that is not negative."""
    value = float(_get(source, field, (int, float), default))
    if value < 0:
        raise Malformed(f"{field}: {value} is negative", step="read field")
    return value


def read_seconds(source: Any, field: str, default: str | None = None) -> float:
    """Return seconds from a text such as `1500ms` or `2.5s`."""
    text = _get(source, field, str, default)
    for unit, factor in (("ms", 1e-3), ("s", 1.0)):
        number = text.removesuffix(unit)
        if number != text:
            try:
                return max(0.0, float(number) * factor)
            except ValueError:
                break
    raise Malformed(f"{field}: {text[:40]!r} is no time", step="read field")


def read_table(source: Any, field: str) -> dict:
    """Return a nested table."""
    return _get(source, field, dict, None)


def read_list(source: Any, field: str) -> list:
    """Return a list; absent stands for empty."""
    return _get(source, field, list, [])


def read_address(source: Any, field: str) -> Address:
    """Return an IP address and port."""
    try:
        return parse_address(field, read_text(source, field))
    except BadOption as error:
        raise Malformed(str(error), step="read field") from error
