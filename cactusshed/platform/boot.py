"""Settings that the platform hands to a process, translated to ours."""

import os
from collections.abc import Iterator

import attrs
import msgspec

from ..errors import CactusError, InvalidSettings
from ..options import Address
from .fields import (
    read_address,
    read_int,
    read_number,
    read_seconds,
    read_table,
    read_text,
)

__all__ = ["Bounds", "Settings", "find_settings_path", "load_settings"]

PATH_VARIABLE = "CACTUSSHED_BOOT"


@attrs.frozen
class Bounds:
    """What the users have set for the deployment; times in seconds."""

    drain: float
    """Time after an acknowledged leave in which a target may still be reached."""
    grace: float
    """Time from SIGTERM to SIGKILL."""
    apply: float
    """Time in which an accepted configuration is in force."""
    rollback: float
    """Time in which a bad version is taken back."""
    retry_ratio: float
    """Repeats that a service may get for each of its requests."""
    retry_window: float
    """Length of the window over which repeats are counted."""
    retry_slack: float
    """Repeats that a service may get besides, in each window."""
    exposed_share: float
    """Share of a service's requests that a bad version may get."""
    exposed_slack: float
    """Requests that a bad version may get besides."""
    cold_factor: float
    """Multiple of a service's cold rate that a cold target may get."""
    cold_slack: float
    """Requests a second that a cold target may get besides."""


@attrs.frozen
class Settings:
    """Settings of a node beside one target."""

    node: str
    data_centre: str
    region: str
    service: str
    callers: Address
    """Where clients and the local target send their requests."""
    peers: Address
    """Where other nodes send theirs."""
    probes: Address
    """Where the platform asks whether the node is ready."""
    announcements: Address
    """Where the local target announces itself."""
    target: Address
    store: Address
    heartbeat: float
    """Time between two announcements of a target, in seconds."""
    memory_bytes: int
    link_mbps: float
    row_bytes: int
    bounds: Bounds


def find_settings_path() -> str:
    """Return the path of the settings file from the environment."""
    path = os.environ.get(PATH_VARIABLE, "")
    if not path:
        message = f"the variable {PATH_VARIABLE} is not set"
        raise InvalidSettings(message, step="find settings")
    return path


def load_settings(path: str) -> Settings:
    """Read the settings at `path`; raise `InvalidSettings` with every fault."""
    try:
        with open(path, "rb") as source:
            fields = msgspec.json.decode(source.read())
    except (OSError, msgspec.DecodeError) as error:
        raise InvalidSettings(str(error), step="read settings", peer=path) from error
    values: dict = {}
    faults = list(_collect(fields, values))
    if faults:
        raise InvalidSettings("\n".join(faults), step="check settings", peer=path)
    bounds = {field.name: values.pop(field.name) for field in attrs.fields(Bounds)}
    values["memory_bytes"] = int(values["memory_bytes"] * (1 << 20))
    return Settings(**values, bounds=Bounds(**bounds))


_READERS = (
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
"""Our name, the table and field of the file, and the reader of each setting."""


def _collect(fields: object, values: dict) -> Iterator[str]:
    for name, section, field, read in _READERS:
        try:
            source = read_table(fields, section) if section else fields
            values[name] = read(source, field)
        except CactusError as error:
            where = f"{section}.{field}" if section else field
            yield f"{where}: {error.message}"
