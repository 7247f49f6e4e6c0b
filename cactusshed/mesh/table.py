"""What the operator orders: routes and services of one version, and moves."""

from collections.abc import Iterable

import attrs

from ..tenants.directory import Tenants

__all__ = [
    "EMPTY_TABLE",
    "Limits",
    "MoveOrder",
    "WeightedService",
    "Route",
    "Service",
    "Table",
    "build_table",
    "read_host_name",
]


@attrs.frozen
class WeightedService:
    """One of the services among which a route splits its requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """One route; times are in seconds.

    Requests of `priority` 0 are served first.
    """

    name: str
    host: str
    prefix: str
    weighted_services: tuple[WeightedService, ...]
    timeout: float
    max_attempts: int
    idempotent: bool
    soft_timeout: float
    priority: int
    is_public: bool = False
    """Whether requests are served without the key of a tenant."""

    def choose_service(self, point: float) -> str:
        """Return the service for `point`, a random number from 0 to 1, by weight."""
        total = sum(weighted.weight for weighted in self.weighted_services)
        cumulative = 0.0
        for weighted in self.weighted_services:
            cumulative += weighted.weight / total if total else 0.0
            if point < cumulative:
                return weighted.service
        return self.weighted_services[-1].service


@attrs.frozen
class Service:
    """Settings of the targets of one service."""

    name: str
    health_path: str
    max_connections: int
    cold_seconds: float
    cold_rate: float
    """Requests per second that a cold target can serve."""


@attrs.frozen
class Limits:
    """Limits on requests and connections; sizes in bytes, times in seconds."""

    header_bytes: int = 16 << 10
    body_bytes: int = 64 << 20
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@attrs.frozen
class MoveOrder:
    """The operator's order to move a service to a version within `seconds`."""

    service: str
    to: str
    seconds: float


@attrs.frozen
class Table:
    """One version of the configuration, indexed for lookups."""

    version: int
    routes: dict[str, dict[str, Route]]
    """Routes by host, then by prefix."""
    services: dict[str, Service]
    limits: Limits
    tenants: Tenants | None = None
    """`None` if the configuration has none: requests then need no key."""

    def match_request(self, host: bytes, target: bytes) -> Route | None:
        """Return the route of a request with this host header and request target."""
        path = target.partition(b"?")[0].decode("latin-1")
        return self.find_route(read_host_name(host), path)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`, if any."""
        prefixes = self.routes.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while True:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route


def read_host_name(host: bytes) -> str:
    """Return the name in a host header, in lower case and without the port."""
    host_name = host.decode("latin-1").lower()
    name, _, port = host_name.rpartition(":")
    return name if port.isdigit() else host_name


EMPTY_TABLE = Table(0, {}, {}, Limits())


def build_table(
    version: int,
    routes: Iterable[Route],
    services: Iterable[Service],
    limits: Limits,
    tenants: Tenants | None = None,
) -> Table:
    """Build the table of one configuration version."""
    by_host: dict[str, dict[str, Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, {})[route.prefix] = route
    return Table(version, by_host, {s.name: s for s in services}, limits, tenants)
