"""Boot settings that the platform passes to a process, mapped to typed settings."""

import os
from collections.abc import Iterator

import attrs

from ..decoding import decode_json
from ..errors import CactusError, InvalidSettings, Malformed
from ..fields import (
    read_address,
    read_int,
    read_number,
    read_seconds,
    read_table,
    read_text,
)
from ..options import Address

__all__ = ["Bounds", "Settings", "find_settings_path", "load_settings"]

PATH_VARIABLE = "CACTUSSHED_BOOT"


@attrs.frozen
class Bounds:
    """Limits that the users have set for the deployment; times in seconds."""

    drain: float
    """Time after an acknowledged leave in which a target may still get calls."""
    grace: float
    """Time from SIGTERM to SIGKILL."""
    apply: float
    """Time limit for an accepted configuration to take effect."""
    rollback: float
    """Time limit for rolling back a bad version."""
    retry_ratio: float
    """Retries that a service may get per request."""
    retry_window: float
    """Length of the window over which retries are counted."""
    retry_slack: float
    """Further retries that a service may get in each window."""
    exposed_share: float
    """Fraction of a service's requests that a bad version may get."""
    exposed_slack: float
    """Further requests that a bad version may get."""
    cold_factor: float
    """Multiple of a service's cold rate that a cold target may get."""
    cold_slack: float
    """Further requests a second that a cold target may get."""


@attrs.frozen
class Settings:
    """Settings of a node that serves one target."""

    node: str
    data_centre: str
    region: str
    service: str
    callers: Address
    """Listener for requests of clients and of the local target."""
    peers: Address
    """Listener for requests of other nodes."""
    probes: Address
    """Listener for the readiness probes of the platform."""
    announcements: Address
    """Listener for announcements of the local target."""
    target: Address
    store: Address
    heartbeat: float
    """Interval between announcements of a target, in seconds."""
    memory_bytes: int
    link_mbps: float
    row_bytes: int
    bounds: Bounds


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
    errors = list(_collect_values(fields, values))
    if errors:
        raise InvalidSettings("\n".join(errors), step="check settings", peer=path)
    bounds = {field.name: values.pop(field.name) for field in attrs.fields(Bounds)}
    values["memory_bytes"] = int(values["memory_bytes"] * (1 << 20))
    return Settings(**values, bounds=Bounds(**bounds))


_FIELDS = (
    ("node", "", "node", read_text),
    ("data_centre", "", "zone", read_text),
    ("region", "", "region", read_text),
    ("service", "", "service", read_text),
    ("callers", "listen", "outbound", read_address),
    ("peers", "listen", "inbound", read_address),
    ("probes", "listen", "ready", read_address),
    ("announcements", "listen", "control", read_address),
    ("target", "", "app_addr", read_address),
    ("store", "platform", "address", read_address),
    ("heartbeat", "", "heartbeat", read_seconds),
    ("memory_bytes", "limits", "memory_mb", read_number),
    ("link_mbps", "limits", "link_mbps", read_number),
    ("row_bytes", "platform", "row_bytes", read_int),
    ("drain", "bounds", "drain", read_seconds),
    ("grace", "bounds", "grace", read_seconds),
    ("apply", "bounds", "config", read_seconds),
    ("rollback", "bounds", "rollback", read_seconds),
    ("retry_ratio", "bounds", "budget_ratio", read_number),
    ("retry_window", "bounds", "budget_window", read_seconds),
    ("retry_slack", "bounds", "budget_slack", read_number),
    ("exposed_share", "bounds", "exposure_share", read_number),
    ("exposed_slack", "bounds", "exposure_slack", read_number),
    ("cold_factor", "bounds", "cold_overage", read_number),
    ("cold_slack", "bounds", "cold_slack", read_number),
)
"""For each setting: its name here, the table and field in the file, and its reader."""


def _collect_values(fields: object, values: dict) -> Iterator[str]:
    for name, section, field, read in _FIELDS:
        try:
            source = read_table(fields, section) if section else fields
            values[name] = read(source, field)
        except CactusError as error:
            label = f"{section}.{field}" if section else field
            yield f"{label}: {error.message}"
