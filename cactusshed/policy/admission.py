"""Admission to one target in `serve`: slots, a bounded queue, priority classes."""

import math
from collections import deque
from collections.abc import Iterator

import attrs

from ..tree.keys import CLASSES
from ..tree.table import Limits
from .tickets import Refusal, TicketState
from .warmup import Warmup

__all__ = ["Gate", "Ticket"]

RETRY_AFTER_SECONDS = 0.25
"""Retry delay advised to a caller when the queue is full."""


@attrs.define(eq=False)
class Ticket:
    """One call at the gate; times are in monotonic seconds.

    A call marked `alone` runs only while no other call is running.
    """

    call_id: str
    traffic_class: str
    deadline: float
    may_wait: bool = True
    alone: bool = False
    state: TicketState = TicketState.NEW
    refusal: Refusal | None = None


class Gate:
    """Admission control for one target; every call to the target passes it."""

    def __init__(self, slots: int, limits: Limits) -> None:
        """Start cold with the number of slots that the target announced."""
        self._slots = slots
        self._limits = limits
        self._queues: dict[str, deque[Ticket]] = {
            traffic_class: deque() for traffic_class in CLASSES
        }
        self._running: set[Ticket] = set()
        self._close_reason: str | None = None
        ceiling = min(slots, limits.slots)
        self.warmup = Warmup(
            limits.warm_start, ceiling, limits.warm_seconds, limits.cold_factor
        )
        self.highest = 0
        """Highest number of calls that ran concurrently."""

    def adjust(self, slots: int, limits: Limits) -> None:
        """Apply new limits; calls that are already running are not affected."""
        self._slots = slots
        self._limits = limits
        ceiling = min(slots, limits.slots)
        self.warmup.adjust(
            limits.warm_start, ceiling, limits.warm_seconds, limits.cold_factor
        )

    @property
    def running(self) -> int:
        """Return the number of running calls."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Return the number of waiting calls."""
        return sum(len(queue) for queue in self._queues.values())

    def get_limit(self) -> int:
        """Return the current concurrency limit."""
        return self.warmup.get_limit()

    def close(self, code: str) -> list[Ticket]:
        """Stop admitting; refuse the waiting tickets with `code` and return them."""
        self._close_reason = code
        return [self._refuse(ticket, Refusal(code)) for ticket in self._pop_all()]

    def open(self, now: float) -> None:
        """Resume admission; treat the target as cold if the gate was closed."""
        if self._close_reason is not None:
            self._close_reason = None
            self.warmup.reset_to_cold(now)

    def offer(self, ticket: Ticket, now: float) -> list[Ticket]:
        """Admit, queue or refuse `ticket`; return the tickets evicted for it."""
        if self._close_reason is not None:
            self._refuse(ticket, Refusal(self._close_reason))
            return []
        if now >= ticket.deadline:
            self._refuse(ticket, Refusal("deadline"))
            return []
        if not self.queued and self._has_capacity(ticket):
            self._admit(ticket)
            return []
        if not ticket.may_wait:
            self._refuse(ticket, Refusal("target-busy", RETRY_AFTER_SECONDS))
            return []
        return self._enqueue(ticket, now)

    def _has_capacity(self, ticket: Ticket) -> bool:
        if any(other.alone for other in self._running):
            return False
        if ticket.alone:
            return not self._running
        return len(self._running) < self.get_limit()

    def _admit(self, ticket: Ticket) -> None:
        ticket.state = TicketState.RUNNING
        self._running.add(ticket)
        self.highest = max(self.highest, len(self._running))

    def _refuse(self, ticket: Ticket, refusal: Refusal) -> Ticket:
        ticket.state = TicketState.REFUSED
        ticket.refusal = refusal
        return ticket

    def _compute_queue_limit(self) -> int:
        """Return the queue limit, scaled by how far the target has warmed up.

        It is higher if the target was seen to serve more calls in the queue timeout: a
        node that stalls for a moment then finds many calls at once, all still in time.
        """
        queue_length = self._limits.queue_length
        fraction = self.get_limit() / max(1, self.warmup.ceiling)
        scaled = math.ceil(queue_length * fraction)
        latency = self.warmup.get_slowest_baseline()
        if latency is None:
            return scaled
        served = self.get_limit() * self._limits.queue_timeout / max(latency, 1e-6)
        return min(queue_length, max(scaled, int(served)))

    def _enqueue(self, ticket: Ticket, now: float) -> list[Ticket]:
        evicted = []
        if self.queued >= self._compute_queue_limit():
            victim = self._pop_victim(ticket.traffic_class)
            if victim is None:
                self._refuse(ticket, Refusal("target-busy", RETRY_AFTER_SECONDS))
                return []
            evicted.append(self._refuse(victim, Refusal("shed", RETRY_AFTER_SECONDS)))
        ticket.deadline = min(ticket.deadline, now + self._limits.queue_timeout)
        ticket.state = TicketState.WAITING
        self._queues[ticket.traffic_class].append(ticket)
        return evicted

    def _pop_victim(self, traffic_class: str) -> Ticket | None:
        """Remove and return the newest ticket of the lowest class below this one."""
        for lower in reversed(CLASSES[CLASSES.index(traffic_class) + 1 :]):
            if self._queues[lower]:
                return self._queues[lower].pop()
        return None

    def finish(self, ticket: Ticket, now: float) -> list[Ticket]:
        """Remove a ticket; return the other tickets whose state changed."""
        if ticket.state == TicketState.WAITING:
            self._queues[ticket.traffic_class].remove(ticket)
        self._running.discard(ticket)
        ticket.state = TicketState.DONE
        return self.advance(now)

    def advance(self, now: float) -> list[Ticket]:
        """Refuse expired waiting tickets, then admit those that fit; return both."""
        return [*self._expire(now), *self._admit_waiting()]

    def _expire(self, now: float) -> Iterator[Ticket]:
        for queue in self._queues.values():
            expired = [ticket for ticket in queue if now >= ticket.deadline]
            for ticket in expired:
                queue.remove(ticket)
                yield self._refuse(
                    ticket, Refusal("queue-timeout", RETRY_AFTER_SECONDS)
                )

    def _admit_waiting(self) -> Iterator[Ticket]:
        for queue in self._queues.values():
            while queue and self._has_capacity(queue[0]):
                ticket = queue.popleft()
                self._admit(ticket)
                yield ticket
            if queue:
                # Lower classes must not be admitted before a waiting higher class.
                return

    def _pop_all(self) -> Iterator[Ticket]:
        for queue in self._queues.values():
            while queue:
                yield queue.popleft()
