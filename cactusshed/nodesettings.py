"""Settings of a node that runs beside one target."""

import attrs

from .learnedlimits import LearnedLimits
from .options import Address

__all__ = ["Bounds", "Settings", "UsageSettings"]


@attrs.frozen
class Bounds:
    """Limits that the users have set for the deployment; times in seconds.

    A deployment that does not use a feature leaves out its bounds. They are then
    `None`, or as strict as possible where the gate needs a figure.
    """

    grace: float
    """Time from SIGTERM to SIGKILL."""
    retry_ratio: float
    """Retries that a service may get per request."""
    retry_window: float
    """Length of the window over which retries are counted."""
    retry_slack: float
    """Further retries that a service may get in each window."""
    drain: float | None = None
    """Time after an acknowledged leave in which a target may still get calls."""
    apply: float | None = None
    """Time limit for an accepted configuration to take effect."""
    evacuation: float | None = None
    """Time limit for the evacuation of a data centre to take effect."""
    rollback: float | None = None
    """Time limit for rolling back a bad version."""
    exposed_share: float | None = None
    """Fraction of a service's requests that a bad version may get."""
    exposed_slack: float | None = None
    """Further requests that a bad version may get."""
    cold_factor: float | None = None
    """Multiple of a service's cold rate that a cold target may get."""
    cold_slack: float | None = None
    """Further requests a second that a cold target may get."""


@attrs.frozen
class UsageSettings:
    """How the usage of organisations is reported; times in seconds."""

    address: Address
    """Address of the platform's API."""
    window: float
    """Length of the window that one report covers."""
    due: float
    """Time after the end of a window within which its report is due."""
    lease: float
    """Time within which reports may not come from one node, another, and the first."""


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
    memory_bytes: int
    link_mbps: float
    """Bandwidth of the host's link; 0 if unknown."""
    bounds: Bounds
    max_descriptors: int = 1024
    learned: LearnedLimits = LearnedLimits()
    usage: UsageSettings | None = None
    """`None` if the deployment has no usage reports."""
