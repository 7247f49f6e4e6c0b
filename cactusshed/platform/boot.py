"""Boot settings that the platform passes to a process, mapped to typed settings."""

import os
from collections.abc import Callable, Iterator

import attrs

from ..decoding import decode_json
from ..errors import CactusError, InvalidSettings, Malformed
from ..fields import (
    read_address,
    read_int,
    read_list,
    read_number,
    read_printable,
    read_seconds,
    read_table,
)
from ..learnedlimits import LearnedLimits, read_learned_limits
from ..nodesettings import Bounds, Settings, UsageSettings

__all__ = ["find_settings_path", "load_settings"]

PATH_VARIABLE = "CACTUSSHED_BOOT"
USAGE_DUTY = "usage"
"""Name in the settings of the duty to report how much each organisation has used."""
MAX_SHOWN_CHARS = 60
"""Longest part of a wrong value that an error shows."""
REQUIRED = object()
"""Default of a field that must be present."""


def find_settings_path() -> str:
    """Return the path of the settings file from the environment."""
    path = os.environ.get(PATH_VARIABLE, "")
    if not path:
        message = f"the environment variable {PATH_VARIABLE} is not set"
        raise InvalidSettings(message, step="find settings")
    return path


def load_settings(path: str) -> Settings:
    """Read the settings at `path`; raise `InvalidSettings` with every error."""
    try:
        with open(path, "rb") as source:
            fields = decode_json(source.read(), step="read settings", peer=path)
    except (OSError, Malformed) as error:
        raise InvalidSettings(str(error), step="read settings", peer=path) from error
    values: dict = {}
    errors = list(_collect_values(fields, _FIELDS, values))
    usage: dict = {}
    if USAGE_DUTY in _read_duties(fields, errors):
        errors.extend(_collect_values(fields, _USAGE_FIELDS, usage))
    if errors:
        raise InvalidSettings("\n".join(errors), step="check settings", peer=path)
    bounds = {field.name: values.pop(field.name) for field in attrs.fields(Bounds)}
    values["memory_bytes"] = int(values["memory_bytes"] * (1 << 20))
    return Settings(
        **values,
        bounds=Bounds(**bounds),
        usage=UsageSettings(**usage) if usage else None,
    )


@attrs.frozen
class _Field:
    """One setting: its name here, its table and field in the file, and its reader."""

    name: str
    section: str
    field: str
    read: Callable
    default: object = REQUIRED


_FIELDS = (
    _Field("node", "", "node", read_printable),
    _Field("data_centre", "", "zone", read_printable),
    _Field("region", "", "region", read_printable, ""),
    _Field("service", "", "service", read_printable),
    _Field("callers", "listen", "outbound", read_address),
    _Field("peers", "listen", "inbound", read_address),
    _Field("probes", "listen", "ready", read_address),
    _Field("announcements", "listen", "control", read_address),
    _Field("target", "", "app_addr", read_address),
    _Field("store", "platform", "address", read_address),
    _Field("memory_bytes", "limits", "memory_mb", read_number, 128.0),
    _Field("max_descriptors", "limits", "max_fds", read_int, 1024),
    _Field("link_mbps", "limits", "link_mbps", read_number, 0.0),
    _Field("learned", "limits", "learned", read_learned_limits, LearnedLimits()),
    _Field("grace", "bounds", "grace", read_seconds, 5.0),
    _Field("retry_ratio", "bounds", "budget_ratio", read_number, 0.0),
    _Field("retry_window", "bounds", "budget_window", read_seconds, 10.0),
    _Field("retry_slack", "bounds", "budget_slack", read_number, 0.0),
    _Field("drain", "bounds", "drain", read_seconds, None),
    _Field("apply", "bounds", "config", read_seconds, None),
    _Field("evacuation", "bounds", "evacuation", read_seconds, None),
    _Field("rollback", "bounds", "rollback", read_seconds, None),
    _Field("exposed_share", "bounds", "exposure_share", read_number, None),
    _Field("exposed_slack", "bounds", "exposure_slack", read_number, None),
    _Field("cold_factor", "bounds", "cold_overage", read_number, None),
    _Field("cold_slack", "bounds", "cold_slack", read_number, None),
)
_USAGE_FIELDS = (
    _Field("address", "cloud", "address", read_address),
    _Field("window", "bounds", "report_window", read_seconds),
    _Field("due", "bounds", "usage_late", read_seconds),
    _Field("lease", "bounds", "lease_time", read_seconds),
)
"""Fields that are required if the node may have to report usage."""


def _collect_values(
    fields: object, expected: tuple[_Field, ...], values: dict
) -> Iterator[str]:
    for item in expected:
        try:
            values[item.name] = _read_value(fields, item)
        except CactusError as error:
            label = f"{item.section}.{item.field}" if item.section else item.field
            yield f"{label}: {error.message}{_show_value(fields, item)}"


def _read_value(fields: object, item: _Field) -> object:
    is_optional = item.default is not REQUIRED
    if is_optional and _is_absent(fields, item.section or item.field):
        return item.default
    source = read_table(fields, item.section) if item.section else fields
    if is_optional and _is_absent(source, item.field):
        return item.default
    return item.read(source, item.field)


def _is_absent(source: object, field: str) -> bool:
    return isinstance(source, dict) and source.get(field) is None


def _show_value(fields: object, item: _Field) -> str:
    source = fields.get(item.section) if item.section else fields
    value = source.get(item.field) if isinstance(source, dict) else source
    return "" if value is None else f" (got {repr(value)[:MAX_SHOWN_CHARS]})"


def _read_duties(fields: object, errors: list[str]) -> list:
    if _is_absent(fields, "cloud") or _is_absent(fields["cloud"], "duties"):
        return []
    try:
        return read_list(read_table(fields, "cloud"), "duties")
    except Malformed as error:
        # The other errors name settings that are no table at all.
        errors.append(f"cloud.duties: {error.message}")
        return []
