"""What a load consists of: services, classes of requests and the faults of a run.

All times are in seconds.
"""

import attrs

from ..errors import CactusError

__all__ = [
    "ALL",
    "Burst",
    "Fault",
    "InvalidLoad",
    "Load",
    "Outage",
    "RequestClass",
    "RetryAbuse",
    "Service",
]

ALL = "*"
"""Stands for every data centre, service or class."""


class InvalidLoad(CactusError):
    """A load file is invalid; the message lists every error."""

    code = "bad-load"
    status = 400


@attrs.frozen
class Service:
    """A service whose targets run in every data centre."""

    name: str
    slots: int
    speeds: tuple[float, ...]
    """Speed factors, given to the targets in turn; 1 keeps the work time of a class."""
    cold_seconds: float
    cold_slowdown: float
    """Factor on the work time of requests that start at a cold target."""
    cold_rate: float
    """Request starts per second that a cold target can take."""
    targets: int = 0
    """Targets over all data centres; 0 for `Load.nodes` in each of them."""
    links_mbps: tuple[float, ...] = (0.0,)
    """Rates of the hosts' links, given to them in turn; 0 for a link without limit."""
    slow_share: float = 0.0
    """Share of the time in which other work slows a host down."""
    slow_factor: float = 1.0
    """Factor on the work time meanwhile."""
    slow_seconds: float = 0.6
    """Length of a period in which a host is slow or is not."""
    states_pace: bool = False
    """Whether answers state how long work takes on the host at present."""


@attrs.frozen
class RequestClass:
    """A class of requests; `per_second` counts over all data centres."""

    name: str
    service: str
    per_second: float
    work_seconds: float
    spread: float
    """Sigma of the log-normal distribution of the work time."""
    soft_timeout: float
    timeout: float
    priority: int
    """0 is served first."""
    worth: float
    """Value of an answer within the soft timeout."""
    late_worth: float
    """Value of an answer after the soft timeout."""
    retries: int
    idempotent: bool
    call_class: str
    """Class of the nested calls that a request makes; empty for none."""
    call_count: int
    call_share: float
    """Share of the requests that make nested calls."""
    calls_in_parallel: bool
    answer_bytes: int = 0
    """Size of the body of an answer."""
    returns_as_told: bool = False
    """Whether clients wait for as long as `retry-after` says, and not less."""


@attrs.frozen
class Period:
    """A part of the run in which something is different."""

    starts_at: float
    seconds: float
    data_centre: str

    def covers(self, data_centre: str, now: float) -> bool:
        """Return whether a data centre is affected at `now`."""
        is_affected = self.data_centre in (ALL, data_centre)
        return is_affected and 0 <= now - self.starts_at < self.seconds


@attrs.frozen
class Outage(Period):
    """Power outage of one data centre or all; its targets restart cold."""


@attrs.frozen
class Burst(Period):
    """More requests of one class, or of all."""

    class_name: str
    factor: float


@attrs.frozen
class Fault(Period):
    """Targets of a service, or of all, that shed or fail a share of their requests.

    `shed` refuses them unrun; `fail` runs them and answers with an error.
    """

    service: str
    kind: str
    share: float


@attrs.frozen
class RetryAbuse(Period):
    """Clients of a class, or of all, that retry at once and often."""

    class_name: str
    share: float
    """Share of the clients that do."""
    retries: int
    pause: float
    """Time between an answer and the next attempt."""


@attrs.frozen
class Load:
    """A load: its duration, the fleet, the classes of requests and the conditions."""

    seconds: float
    data_centres: tuple[str, ...]
    nodes: int
    """Nodes of each service in each data centre."""
    hop_seconds: float
    """One-way latency between two nodes."""
    retry_ratio: float
    retry_window: float
    retry_slack: float
    """Retry budget: share of the requests, its window, and the retries beyond it."""
    services: dict[str, Service]
    classes: dict[str, RequestClass]
    outages: tuple[Outage, ...]
    bursts: tuple[Burst, ...] = ()
    faults: tuple[Fault, ...] = ()
    retry_abuses: tuple[RetryAbuse, ...] = ()
