"""Counters of requests by tenant."""

from collections import Counter

__all__ = ["TenantCounts"]

MAX_TENANTS = 128
"""Tenants with counters of their own; later ones are counted together. Configurations
have some 80, and names that are no longer configured keep their counters."""
OTHER_TENANT = "other"


class TenantCounts:
    """Counts of requests by tenant and outcome since the process started."""

    def __init__(self) -> None:
        """Start with every counter at zero."""
        self._counts: dict[str, Counter[str]] = {}

    def add(self, tenant: str, outcome: str) -> None:
        """Count one request of `tenant`; one without a tenant is not counted."""
        if not tenant:
            return
        if tenant not in self._counts and len(self._counts) >= MAX_TENANTS:
            tenant = OTHER_TENANT
        self._counts.setdefault(tenant, Counter())[outcome] += 1

    def list_all(self) -> list[tuple[str, str, int]]:
        """Return tenant, outcome and count, sorted."""
        return sorted(
            (tenant, outcome, count)
            for tenant, counts in self._counts.items()
            for outcome, count in counts.items()
        )
