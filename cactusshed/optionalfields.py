"""Optional fields of documents; those that can't be read count as absent."""

from collections.abc import Callable
from functools import partial
from typing import Any

from .errors import Malformed
from .fields import read_int, read_number, read_seconds
from .observe.lines import log_line

__all__ = [
    "read_capped_int",
    "read_capped_number",
    "read_capped_seconds",
    "read_optional",
    "report_ignored",
]

MAX_REPORTED_FIELDS = 64
"""Fields, by name and cause, for which a line is logged."""
_reported_fields: set[tuple[str, str]] = set()

read_capped_int = partial(read_int, is_capped=True)
read_capped_number = partial(read_number, is_capped=True)
read_capped_seconds = partial(read_seconds, is_capped=True)


def read_optional(read: Callable, source: Any, field: str, default: Any) -> Any:
    """Return an optional field, or `default` if it is absent or can't be read."""
    if not isinstance(source, dict) or source.get(field) is None:
        return read({field: default}, field)
    try:
        return read(source, field)
    except Malformed as error:
        report_ignored(field, error.message, default)
        return read({field: default}, field)


def report_ignored(field: str, cause: str, default: object) -> None:
    """Log that a field is handled as `default`, once for each cause."""
    key = (field, cause)
    if key not in _reported_fields and len(_reported_fields) < MAX_REPORTED_FIELDS:
        _reported_fields.add(key)
        log_line("document-field-ignored", field=field, cause=cause, handled_as=default)
