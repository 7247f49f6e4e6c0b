"""Admission queue of one target in `mesh`, designed for overload.

Load pattern: requests arrive faster than the slots can serve them, for seconds or
permanently. A first-in, first-out queue then makes every answer late. This queue
accepts only requests that it can still serve and refuses the others on arrival.
Requests that can meet their soft deadline go before those that can't, and are
then ordered by priority. Among requests of equal priority, calls made by targets
go first, since their callers hold a slot elsewhere.
"""

import heapq
import itertools
from collections import Counter
from collections.abc import Iterator

from .startlimits import StartLimits
from .tickets import Refusal, Ticket, TicketState

__all__ = ["AdmissionQueue"]

SMOOTHING = 0.1
"""Weight of one answer in the mean service time; about the last 20 answers count."""
INITIAL_SERVICE_SECONDS = 0.05
"""Service time assumed before the first answer: typical for user workloads."""
LATE_FRACTION = 0.6
"""Fraction of the time to its deadline within which a request that will miss its soft
deadline must be expected to finish, or it is refused. It is queued only while no
queued request can meet its soft deadline."""
LATE_LINK_FRACTION = 0.3
"""The same for a large answer that will be late: it takes the link from those that can
still be on time."""
ON_TIME_FACTOR = 2.0
"""Multiple of a route's mean service time that a request is expected to take at most;
one in ten takes longer. A queue in overload is as long as admission allows, so that
with the mean itself half of the requests that wait the longest were late."""
MIN_SERVICE_FRACTION = 0.5
"""Fraction of a route's mean service time that must be left to start a request."""
MIN_RETRY_SECONDS = 0.02
"""Shortest advised retry delay; covers a round trip and the connection set-up."""
MAX_RETRY_SECONDS = 2.0
"""Longest advised retry delay."""
MIN_DRAIN_RATE = 0.1
"""Minimum start rate per second in a wait estimate; keeps the estimate finite."""


class AdmissionQueue:
    """Slots and queue of one target."""

    def __init__(self, slots: int) -> None:
        """Start open and empty."""
        self.slots = slots
        self.learned_limit: int | None = None
        """Limit below the stated slots, if the target slows down earlier."""
        self.running = 0
        self.mean_seconds = 0.0
        self._service_times: dict[str, float] = {}
        self._heap: list[tuple] = []
        self._waiting_counts = {False: 0, True: 0}
        self._sequence = itertools.count()
        self._close_reason = ""

    @property
    def limit(self) -> int:
        """Return the number of requests that may run at the same time."""
        if self.learned_limit is None:
            return self.slots
        return min(self.slots, self.learned_limit)

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return self._waiting_counts[False] + self._waiting_counts[True]

    @property
    def close_reason(self) -> str:
        """Return the code with which all requests are refused, empty while open."""
        return self._close_reason

    def get_mean_seconds(self) -> float:
        """Return the mean service time over all routes, in seconds."""
        return self.mean_seconds or INITIAL_SERVICE_SECONDS

    def get_service_time(self, route: str) -> float:
        """Return the mean service time of a route, in seconds."""
        return self._service_times.get(route) or self.get_mean_seconds()

    def close(self, code: str) -> list[Ticket]:
        """Stop admitting; refuse the waiting tickets with `code` and return them."""
        self._close_reason = code
        tickets = [ticket for *_, ticket in self._heap if _is_waiting(ticket)]
        self._heap.clear()
        self._waiting_counts = {False: 0, True: 0}
        for ticket in tickets:
            _refuse(ticket, Refusal(code))
        return tickets

    def open(self) -> None:
        """Resume admission."""
        self._close_reason = ""

    def offer(self, ticket: Ticket, now: float, limits: StartLimits) -> None:
        """Start, queue or refuse `ticket`, subject to `limits` on starts."""
        if self._close_reason:
            _refuse(ticket, Refusal(self._close_reason))
        elif ticket.deadline <= now:
            _refuse(ticket, Refusal("deadline"))
        elif ticket.transfer_seconds and not self._has_link_time(ticket, now):
            retry_after = min(MAX_RETRY_SECONDS, ticket.transfer_seconds)
            _refuse(ticket, Refusal("link-busy", retry_after))
        elif (
            self.running < self.limit
            and not self.waiting
            and limits.allows(ticket.route)
        ):
            limits.take(ticket.route)
            self._start(ticket, now)
        elif not ticket.may_wait:
            _refuse(
                ticket,
                Refusal("target-busy", self._estimate_retry_after(ticket, limits)),
            )
        else:
            self._enqueue(ticket, now, limits)

    def _has_link_time(self, ticket: Ticket, now: float) -> bool:
        """Return whether the host's link can send a large answer in time.

        Answers in excess of the link's rate would otherwise make all of them late.
        """
        service_time = self.get_service_time(ticket.route)
        expected_end = now + ON_TIME_FACTOR * service_time
        expected_end += ticket.transfer_seconds
        if ticket.soft_deadline > now:
            return expected_end <= ticket.soft_deadline
        return expected_end <= now + LATE_LINK_FRACTION * (ticket.deadline - now)

    def _start(self, ticket: Ticket, now: float) -> None:
        ticket.state = TicketState.RUNNING
        ticket.started = now
        self.running += 1
        ticket.running_at_start = self.running

    def _estimate_wait(
        self, ticket: Ticket, ahead: int, route_ahead: int, limits: StartLimits
    ) -> float:
        """Return the expected seconds until `ticket` starts after `ahead` others.

        `route_ahead` is the number of those with the same route.
        """
        drain_rate = max(1, self.limit) / self.get_mean_seconds()
        if limits.overall is not None:
            drain_rate = max(MIN_DRAIN_RATE, min(drain_rate, limits.overall.rate))
        wait = (ahead + 1) / drain_rate
        route_limit = limits.routes.get(ticket.route)
        if route_limit is None:
            return wait
        return max(wait, (route_ahead + 1) / max(MIN_DRAIN_RATE, route_limit.rate))

    def _count_waiting_on_route(self, route: str) -> int:
        """Return the number of waiting requests of a route."""
        waiting = (entry[-1] for entry in self._heap if _is_waiting(entry[-1]))
        return sum(ticket.route == route for ticket in waiting)

    def _estimate_retry_after(self, ticket: Ticket, limits: StartLimits) -> float:
        route_ahead = self._count_waiting_on_route(ticket.route)
        wait = self._estimate_wait(ticket, self.waiting, route_ahead, limits)
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait))

    def _enqueue(self, ticket: Ticket, now: float, limits: StartLimits) -> None:
        service_time = self.get_service_time(ticket.route)
        ahead = self._count_ahead(ticket)
        route_ahead = self._count_waiting_on_route(ticket.route)
        wait = self._estimate_wait(ticket, ahead, route_ahead, limits)
        remaining_seconds = ticket.deadline - now
        expected_end = now + wait + service_time + ticket.transfer_seconds
        margin = 0.0
        if limits.overall is None:
            # The wait at a limited start rate hardly varies.
            margin = (ON_TIME_FACTOR - 1) * service_time
        if expected_end + margin <= min(ticket.soft_deadline, ticket.deadline):
            self._push(ticket, is_late=False)
        elif ticket.is_nested and expected_end <= ticket.deadline:
            # The caller's work would be wasted by a refusal, so the late call is
            # queued behind all requests that can meet their soft deadline.
            self._push(ticket, is_late=True)
        elif (
            not self._waiting_counts[False]
            and wait <= LATE_FRACTION * remaining_seconds - service_time
        ):
            self._push(ticket, is_late=True)
        else:
            _refuse(
                ticket, Refusal("no-room", self._estimate_retry_after(ticket, limits))
            )

    def _count_ahead(self, ticket: Ticket) -> int:
        """Return the number of waiting requests that would start before `ticket`."""
        key = _make_key(ticket, is_late=False)
        return sum(entry[:3] <= key and _is_waiting(entry[-1]) for entry in self._heap)

    def _push(self, ticket: Ticket, *, is_late: bool) -> None:
        ticket.state = TicketState.WAITING
        ticket._is_late = is_late
        self._waiting_counts[is_late] += 1
        key = _make_key(ticket, is_late=is_late)
        heapq.heappush(self._heap, (*key, next(self._sequence), ticket))

    def leave(self, ticket: Ticket, now: float, *, was_answered: bool = False) -> None:
        """Remove a ticket; if `was_answered`, its service time updates the means."""
        if ticket.state == TicketState.RUNNING:
            self.running -= 1
            if was_answered:
                self._record_service_time(ticket.route, now - ticket.started)
        elif ticket.state == TicketState.WAITING:
            self._waiting_counts[ticket._is_late] -= 1
        ticket.state = TicketState.DONE

    def _record_service_time(self, route: str, seconds: float) -> None:
        previous = self._service_times.get(route, seconds)
        self._service_times[route] = previous + SMOOTHING * (seconds - previous)
        mean = self.mean_seconds or seconds
        self.mean_seconds = mean + SMOOTHING * (seconds - mean)

    def admit(self, now: float, limits: StartLimits) -> Iterator[Ticket]:
        """Yield the waiting tickets that start now or are refused as too late.

        A ticket whose route is throttled keeps its position in the queue.
        """
        throttled = []
        while self.running < self.limit and not limits.is_exhausted:
            entry = self._pop()
            if entry is None:
                break
            ticket = entry[-1]
            if self._cannot_finish(ticket, now):
                yield _refuse(ticket, Refusal("no-time"))
            elif self._misses_soft_deadline(ticket, now):
                self._push(ticket, is_late=True)
            elif not limits.allows(ticket.route):
                throttled.append(entry)
            else:
                limits.take(ticket.route)
                self._start(ticket, now)
                yield ticket
        for entry in throttled:
            self._waiting_counts[entry[-1]._is_late] += 1
            heapq.heappush(self._heap, entry)

    def _pop(self) -> tuple | None:
        """Remove and return the next entry whose ticket is still waiting."""
        while self._heap:
            entry = heapq.heappop(self._heap)
            if _is_waiting(entry[-1]):
                self._waiting_counts[entry[-1]._is_late] -= 1
                return entry
        return None

    def _misses_soft_deadline(self, ticket: Ticket, now: float) -> bool:
        if ticket._is_late or ticket.is_nested:
            return False
        return (
            now + MIN_SERVICE_FRACTION * self.get_service_time(ticket.route)
            > ticket.soft_deadline
        )

    def _cannot_finish(self, ticket: Ticket, now: float) -> bool:
        min_seconds = MIN_SERVICE_FRACTION * self.get_service_time(ticket.route)
        return now + min_seconds > ticket.deadline

    def expire(self, now: float, limits: StartLimits) -> Iterator[Ticket]:
        """Refuse and yield the waiting tickets that can no longer finish in time.

        A ticket is refused as soon as the requests ahead of it are expected to use
        up all of its time.
        """
        ahead = 0
        route_ahead: Counter[str] = Counter()
        for *_, ticket in sorted(self._heap):
            if not _is_waiting(ticket):
                continue
            # A lower bound: the first waiting request is assumed to start now.
            count = route_ahead[ticket.route]
            wait = self._estimate_wait(ticket, ahead - 1, count - 1, limits)
            if self._cannot_finish(ticket, now):
                refusal = Refusal("no-time")
            elif self._cannot_finish(ticket, now + wait):
                refusal = Refusal("no-room", self._estimate_retry_after(ticket, limits))
            else:
                ahead += 1
                route_ahead[ticket.route] += 1
                continue
            self._waiting_counts[ticket._is_late] -= 1
            yield _refuse(ticket, refusal)


def _is_waiting(ticket: Ticket) -> bool:
    return ticket.state == TicketState.WAITING


def _make_key(ticket: Ticket, *, is_late: bool) -> tuple[bool, int, bool]:
    return is_late, ticket.priority, not ticket.is_nested


def _refuse(ticket: Ticket, refusal: Refusal) -> Ticket:
    ticket.state = TicketState.REFUSED
    ticket.refusal = refusal
    return ticket
