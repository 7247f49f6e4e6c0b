"""One call that a node has received: its plan, its state while tried, its outcome."""

from collections.abc import Callable

import attrs

from .exchange import TARGET_SILENT
from .frames import Call, Result
from .silentattempts import SilentAttempts

__all__ = ["CallPlan", "DispatchState", "Outcome"]

MAX_REFUSALS = 2
"""Refusals for lack of capacity after which no further gate is tried: the second
gate was already the next best choice. Gates whose target names a rate limit don't
count, since nodes seldom know how much of it is left."""


@attrs.define
class CallPlan:
    """A call and the limits for dispatching it; times are monotonic seconds.

    `max_attempts` limits the attempts that reach a target.
    """

    call: Call
    deadline: float
    soft_deadline: float
    max_attempts: int
    choose_version: Callable[[], str]
    """Returns the version that the call goes to; empty for any."""
    get_fallback_version: Callable[[str], str]
    """Returns the version to use when the chosen one has no capacity; may be empty."""
    soft_timeout: float = 0.0
    """Soft timeout of the route in seconds, or its timeout if it has none."""


@attrs.define
class Outcome:
    """The final result of a call, and how often the call reached a target."""

    result: Result
    arrivals: int
    target: str
    refusals: list[str] = attrs.Factory(list)
    """Codes with which gates refused the call."""


@attrs.define
class DispatchState:
    """State of one call during dispatch.

    Nodes in `tried` are not tried again; `last` is the node of the last attempt.
    """

    tried: set[str] = attrs.Factory(set)
    arrivals: int = 0
    probes: int = 0
    refusals: list[Result] = attrs.Factory(list)
    full_gates: int = 0
    """Gates without a named rate limit that refused for lack of capacity."""
    failure: Result | None = None
    last: str = ""
    version: str = ""
    is_suspected: bool = False
    """Whether the next attempt must be the only one of its request in the mesh."""
    silent: SilentAttempts = attrs.Factory(SilentAttempts)
    """Attempts at targets that have not answered so far."""

    @property
    def is_tried_beside(self) -> bool:
        """Return whether a target has not answered, so that others are tried, too."""
        return self.failure is not None and self.failure.code == TARGET_SILENT

    @property
    def has_exhausted_capacity(self) -> bool:
        """Return whether so many gates were full that no further one is tried."""
        return self.full_gates >= MAX_REFUSALS
