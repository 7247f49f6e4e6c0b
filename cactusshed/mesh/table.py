"""Routes and services in force, as the call path looks them up."""

from collections.abc import Iterable

import attrs

__all__ = ["EMPTY_TABLE", "Limits", "Part", "Route", "Service", "Table", "build_table"]


@attrs.frozen
class Part:
    """One of the services among which a route divides its requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """One route; times in seconds, rank 0 is the most urgent."""

    name: str
    host: str
    prefix: str
    parts: tuple[Part, ...]
    timeout: float
    attempts: int
    repeatable: bool
    aim: float
    rank: int


@attrs.frozen
class Service:
    """What is known of the targets of one service."""

    name: str
    health_path: str
    max_connections: int
    cold_seconds: float
    cold_rate: float
    """Requests a second that a cold target bears."""


@attrs.frozen
class Limits:
    """What a client may send; sizes in bytes, times in seconds."""

    header_bytes: int = 16 << 10
    body_bytes: int = 64 << 20
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@attrs.frozen
class Table:
    """One version of the configuration, ready for look-ups."""

    version: int
    routes: dict[str, dict[str, Route]]
    """Routes by host, then by prefix."""
    services: dict[str, Service]
    limits: Limits

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix that begins `path`."""
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


EMPTY_TABLE = Table(0, {}, {}, Limits())


def build_table(
    version: int, routes: Iterable[Route], services: Iterable[Service], limits: Limits
) -> Table:
    """Return the table of one version."""
    by_host: dict[str, dict[str, Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, {})[route.prefix] = route
    return Table(version, by_host, {s.name: s for s in services}, limits)
