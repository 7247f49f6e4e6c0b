"""Admission at the gate of one target: slots, a bounded queue, classes."""

import math
from collections import deque
from collections.abc import Iterator
from enum import Enum

import attrs

from ..tree.keys import CLASSES
from ..tree.table import Limits
from .warmup import Warmup

__all__ = ["Decision", "Gate", "Refusal", "Ticket"]

RETRY_SECONDS = 0.25
"""What a refused caller is told to wait when the gate is full."""


class Decision(Enum):
    """State of a ticket at the gate."""

    NEW = "new"
    ADMITTED = "admitted"
    QUEUED = "queued"
    REFUSED = "refused"
    DONE = "done"


@attrs.frozen
class Refusal:
    """Why a call was not admitted, and when to come back, in seconds."""

    code: str
    retry_after: float = 0.0


@attrs.define(eq=False)
class Ticket:
    """One call at the gate; times are monotonic seconds.

    `alone` marks a call that may only run while nothing else does.
    """

    call_id: str
    kind: str
    deadline: float
    may_wait: bool = True
    alone: bool = False
    state: Decision = Decision.NEW
    refusal: Refusal | None = None


class Gate:
    """Exact counts of one target; the only way to it."""

    def __init__(self, slots: int, limits: Limits) -> None:
        """Start cold, with the slots that the target announced."""
        self._slots = slots
        self._limits = limits
        self._queues: dict[str, deque[Ticket]] = {kind: deque() for kind in CLASSES}
        self._running: set[Ticket] = set()
        self._closed: str | None = None
        ceiling = min(slots, limits.slots)
        self.warmup = Warmup(
            limits.warm_start, ceiling, limits.warm_seconds, limits.cold_factor
        )
        self.highest = 0
        """Most calls that ran at once."""

    def adjust(self, slots: int, limits: Limits) -> None:
        """Take over new limits; what runs already runs on."""
        self._slots = slots
        self._limits = limits
        ceiling = min(slots, limits.slots)
        self.warmup.adjust(
            limits.warm_start, ceiling, limits.warm_seconds, limits.cold_factor
        )

    @property
    def running(self) -> int:
        """Return the number of calls that the target runs."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Return the number of calls that wait."""
        return sum(len(queue) for queue in self._queues.values())

    def get_limit(self) -> int:
        """Return the number of calls that may run at once now."""
        return self.warmup.get_limit()

    def close(self, code: str) -> list[Ticket]:
        """Admit nothing more; return the waiting tickets, refused with `code`."""
        self._closed = code
        return [self._refuse(ticket, Refusal(code)) for ticket in self._drain()]

    def open(self, now: float) -> None:
        """Admit again; a target that was closed off counts as cold."""
        if self._closed is not None:
            self._closed = None
            self.warmup.chill(now)

    def offer(self, ticket: Ticket, now: float) -> list[Ticket]:
        """Decide on `ticket`; return other tickets that it pushed out."""
        if self._closed is not None:
            self._refuse(ticket, Refusal(self._closed))
            return []
        if now >= ticket.deadline:
            self._refuse(ticket, Refusal("deadline"))
            return []
        if not self.queued and self._has_room(ticket):
            self._admit(ticket)
            return []
        if not ticket.may_wait:
            self._refuse(ticket, Refusal("target-busy", RETRY_SECONDS))
            return []
        return self._enqueue(ticket, now)

    def _has_room(self, ticket: Ticket) -> bool:
        if any(other.alone for other in self._running):
            return False
        if ticket.alone:
            return not self._running
        return len(self._running) < self.get_limit()

    def _admit(self, ticket: Ticket) -> None:
        ticket.state = Decision.ADMITTED
        self._running.add(ticket)
        self.highest = max(self.highest, len(self._running))

    def _refuse(self, ticket: Ticket, refusal: Refusal) -> Ticket:
        ticket.state = Decision.REFUSED
        ticket.refusal = refusal
        return ticket

    def _count_places(self) -> int:
        """Return the queue's length, in proportion to how warm the target is."""
        share = self.get_limit() / max(1, self.warmup.ceiling)
        return math.ceil(self._limits.queue_length * share)

    def _enqueue(self, ticket: Ticket, now: float) -> list[Ticket]:
        pushed = []
        if self.queued >= self._count_places():
            victim = self._find_victim(ticket.kind)
            if victim is None:
                self._refuse(ticket, Refusal("target-busy", RETRY_SECONDS))
                return []
            pushed.append(self._refuse(victim, Refusal("shed", RETRY_SECONDS)))
        ticket.deadline = min(ticket.deadline, now + self._limits.queue_wait)
        ticket.state = Decision.QUEUED
        self._queues[ticket.kind].append(ticket)
        return pushed

    def _find_victim(self, kind: str) -> Ticket | None:
        """Remove and return the latest ticket of a class below `kind`."""
        for lower in reversed(CLASSES[CLASSES.index(kind) + 1 :]):
            if self._queues[lower]:
                return self._queues[lower].pop()
        return None

    def finish(self, ticket: Ticket, now: float) -> list[Ticket]:
        """Take a ticket out; return those whose state changed because of it."""
        if ticket.state == Decision.QUEUED:
            self._queues[ticket.kind].remove(ticket)
        self._running.discard(ticket)
        ticket.state = Decision.DONE
        return self.advance(now)

    def advance(self, now: float) -> list[Ticket]:
        """Refuse waiting tickets past their time, then admit what has room."""
        return [*self._expire(now), *self._admit_waiting()]

    def _expire(self, now: float) -> Iterator[Ticket]:
        for queue in self._queues.values():
            late = [ticket for ticket in queue if now >= ticket.deadline]
            for ticket in late:
                queue.remove(ticket)
                yield self._refuse(ticket, Refusal("queue-timeout", RETRY_SECONDS))

    def _admit_waiting(self) -> Iterator[Ticket]:
        for queue in self._queues.values():
            while queue and self._has_room(queue[0]):
                ticket = queue.popleft()
                self._admit(ticket)
                yield ticket
            if queue:
                # A higher class that waits keeps lower ones from overtaking it.
                return

    def _drain(self) -> Iterator[Ticket]:
        for queue in self._queues.values():
            while queue:
                yield queue.popleft()
