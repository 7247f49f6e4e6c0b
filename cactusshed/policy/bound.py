"""Limits on how many requests a gate may start, beyond its free slots.

One allowance covers all starts, such as those of a cold target; others cover the
requests of one route, whose runs make calls that find no room.
"""

from collections.abc import Mapping

import attrs

__all__ = ["Allowance", "Bound"]


@attrs.define
class Allowance:
    """`tokens` starts now, and `rate` a second from then on."""

    rate: float
    tokens: int


@attrs.define
class Bound:
    """What is allowed at one moment; without allowances nothing is limited."""

    whole: Allowance | None = None
    routes: Mapping[str, Allowance] = attrs.Factory(dict)

    @property
    def is_spent(self) -> bool:
        """Return whether no request of any route may start now."""
        return self.whole is not None and self.whole.tokens <= 0

    def allows(self, route: str) -> bool:
        """Return whether a request of `route` may start now."""
        own = self.routes.get(route)
        return not self.is_spent and (own is None or own.tokens > 0)

    def take(self, route: str) -> None:
        """Use up one start of `route`."""
        if self.whole is not None:
            self.whole.tokens -= 1
        own = self.routes.get(route)
        if own is not None:
            own.tokens -= 1
