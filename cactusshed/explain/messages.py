"""The explanation of a choice, as JSON between a node and the operators' tool.

Times are in seconds, probabilities and shares between 0 and 1.
"""

import msgspec

__all__ = [
    "ExplainedRoute",
    "ExplainedService",
    "ExplainedTarget",
    "ExplainedVersion",
    "RequestQuery",
    "Risk",
    "RouteExplanation",
]


class RequestQuery(msgspec.Struct, frozen=True):
    """The request to explain; `path` is the raw path, `size` that of the body."""

    host: str
    path: str = "/"
    method: str = "GET"
    size: int = 0


class Risk(msgspec.Struct, frozen=True):
    """Risk of a late answer: the sum of `late`, `far`, `cold` and `delay`.

    The fields are those of `policy.placement.RiskParts`.
    """

    risk: float
    late: float
    far: float
    cold: float
    delay: float
    wait: float
    service_time: float


class ExplainedTarget(msgspec.Struct, frozen=True):
    """One target of a service, as the explaining node sees it."""

    node: str
    target: str
    data_centre: str
    is_local: bool
    is_far: bool
    version: str
    obstacle: str
    """Why the target gets no calls; empty if it is open."""
    busy: int
    """Calls that ran or waited at the last report."""
    sent_since_report: int
    in_flight: int
    report_age: float | None
    """`None` if the target has not reported yet."""
    slots: int
    limit: int
    learned_limit: int | None
    """Only known for the local target; `limit` includes it for all."""
    mean_seconds: float
    host_pace: float
    """Expected multiple of the usual time of work on the host; 0 if not known."""
    failure_rate: float
    is_cold: bool
    rate_limit: float
    """Requests per second that the target takes from all nodes; 0 for no limit."""
    transfer_seconds: float
    """Time for which the request and large answers occupy the links."""
    order: int | None
    """Position in which it would be tried, from 1, without the random increase."""
    may_be_first: bool
    """Whether the random increase of the risks can make it the first."""
    risk: Risk | None
    """`None` if the target gets no calls."""


class ExplainedVersion(msgspec.Struct, frozen=True):
    """A version in use; an empty name stands for any."""

    version: str
    share: float
    """Share of the service's requests."""
    fallback: str
    """Version whose targets are tried if this one has none; empty if there is none."""
    targets: list[ExplainedTarget]
    """By order, and then those that get no calls."""


class ExplainedService(msgspec.Struct, frozen=True):
    """One service of the split of a route."""

    service: str
    weight: float
    share: float
    """Share of the route's requests."""
    move: str
    """State of the move between versions; empty without one."""
    versions: list[ExplainedVersion]


class ExplainedRoute(msgspec.Struct, frozen=True):
    """The route of a request."""

    name: str
    host: str
    prefix: str
    is_idempotent: bool
    timeout: float
    soft_timeout: float
    max_attempts: int
    priority: int
    is_public: bool


class RouteExplanation(msgspec.Struct, frozen=True):
    """Where a request would be routed, and why."""

    node: str
    data_centre: str
    version: int
    """Version of the configuration."""
    is_leaving: bool
    """Whether the node shuts down; it may then refuse the request."""
    request: RequestQuery
    route: ExplainedRoute | None
    """`None` if no route matches: the client would get 404."""
    has_tenants: bool
    needs_key: bool
    """Whether a request without the key of a tenant would get 401."""
    baseline_latency: float
    """Mean latency of the route that the risk is based on."""
    time_left: float
    """Time until the soft deadline of a new request."""
    risk_jitter: float
    """Each risk is raised at random by up to this fraction for each request."""
    random: list[str]
    """What is decided at random for each request."""
    services: list[ExplainedService]
