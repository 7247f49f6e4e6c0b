"""Configuration of the emulated nodes: one table for the whole run, and no moves."""

import attrs

from ..mesh.table import (
    Limits,
    Route,
    Service,
    Table,
    WeightedService,
    build_table,
)
from .conditions import Load

__all__ = ["HOST", "Moves", "Records", "make_table"]

HOST = "emulated"
MAX_ATTEMPTS = 2


@attrs.define
class Records:
    """Stand-in for the configuration records; the table never changes."""

    table: Table


class Moves:
    """Stand-in for the moves of services; none is in progress."""

    def choose_version(self, _service: str) -> str:
        """Return no version, which stands for any."""
        return ""

    def get_fallback_version(self, _service: str, _version: str) -> str:
        """Return no other version."""
        return ""


def make_table(load: Load) -> Table:
    """Return the table of the classes and services of a load."""
    routes = [
        Route(
            name=request_class.name,
            host=HOST,
            prefix=f"/{request_class.name}/",
            weighted_services=(WeightedService(request_class.service, 1.0),),
            timeout=request_class.timeout,
            max_attempts=MAX_ATTEMPTS,
            idempotent=request_class.idempotent,
            soft_timeout=request_class.soft_timeout,
            priority=request_class.priority,
        )
        for request_class in load.classes.values()
    ]
    services = [
        Service(s.name, "/", s.slots, s.cold_seconds, s.cold_rate)
        for s in load.services.values()
    ]
    return build_table(1, routes, services, Limits())
