"""Requests at a gate of `mesh`, and their states and refusals, also used in `serve`."""

from enum import Enum

import attrs

__all__ = ["Refusal", "Ticket", "TicketState"]


class TicketState(Enum):
    """State of a ticket."""

    NEW = "new"
    RUNNING = "running"
    WAITING = "waiting"
    REFUSED = "refused"
    DONE = "done"


@attrs.frozen
class Refusal:
    """Why a request was not admitted, and the advised retry delay in seconds."""

    code: str
    retry_after: float = 0.0


@attrs.define(eq=False)
class Ticket:
    """One request at the gate; times are in monotonic seconds.

    Priority 0 is served first. A call made by a target (`is_nested`) has the
    priority and soft deadline of the request on whose behalf it is made. `may_wait`
    is false for a request that should be refused rather than queued, so that
    another target can be tried.
    """

    deadline: float
    soft_deadline: float
    route: str = ""
    priority: int = 0
    is_nested: bool = False
    may_wait: bool = True
    transfer_seconds: float = 0.0
    """Time that the host's link needs until it has sent a large answer, as expected on
    arrival; what is ahead on the link is sent while the request waits."""
    state: TicketState = TicketState.NEW
    refusal: Refusal | None = None
    started: float = 0.0
    is_suspected: bool = False
    """Whether it may have crashed targets and runs as the only such request."""
    running_at_start: int = 0
    """Requests that ran when this one had started, itself included."""
    _is_late: bool = False
