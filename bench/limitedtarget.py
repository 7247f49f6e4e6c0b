"""A simulated target behind the admission queue and the learned limit of `mesh`.

The admission queue and the learned limit work in virtual time. The target
shares its speed among the requests that it works on once they are more than its knee
(processor sharing), so that no throughput is gained beyond it. The oracle's limit is
the true knee at each moment. Requests are on time within three times the mean work of
their route, and end at twice that time. The first `WARM_UP` of a run is not counted.
"""

import heapq
import itertools
import math
import random
from collections.abc import Iterable, Iterator

import attrs

from cactusshed.policy.admissionqueue import AdmissionQueue
from cactusshed.policy.concurrency import ConcurrencyLimit
from cactusshed.policy.hostpace import HostPace
from cactusshed.policy.startlimits import StartLimits
from cactusshed.policy.tickets import Ticket, TicketState

__all__ = [
    "FIXED",
    "LEARNED",
    "ORACLE",
    "SLOTS",
    "Outcome",
    "Target",
    "simulate_target",
]

SLOTS = 12
WORK_SECONDS = 0.3
AIM_FACTOR = 3.0
TICK_SECONDS = 0.1
"""Interval at which the limit is computed and its error is measured."""
WARM_UP = 0.4
"""Share of a run that is not counted: the target was learned from nothing in it."""
WAVE_SECONDS = 5.0
NOISE_SECONDS = 0.6
NOISE_SHARE = 0.15
NOISE_PACE = 2.5
FOLLOWED_SECONDS = 1.0
"""Time for which a limit must be near the true one to count as having followed it."""
NO_LIMITS = StartLimits()
LEARNED, FIXED, ORACLE = "learned", "fixed", "oracle"


@attrs.frozen
class Target:
    """A row of the table: a target and its requests; times are in seconds."""

    name: str
    knee: int = SLOTS
    """Requests that the target works on without slowing down."""
    load: tuple[float, ...] = (0.4, 1.4)
    """Requests as shares of what the knee at the start serves, by turns."""
    seconds: float = 60.0
    work: tuple[float, ...] = (WORK_SECONDS,)
    """Mean work of each route."""
    sigma: float = 0.5
    """Spread of the work of a route, which is log-normal."""
    speed: float = 1.0
    has_noise: bool = False
    knees: tuple[tuple[float, int], ...] = ()
    """Later knees, with the times from which they hold."""
    calls: tuple[tuple[float, float, float], ...] = ()
    """Waits of half of the requests for other targets: mean time, start and end."""
    dependency: tuple[tuple[float, float, float], ...] = ()
    """The same for all requests; the gate does not see these waits."""

    def get_knee(self, now: float) -> int:
        """Return the knee at time `now`."""
        knee = self.knee
        for start, later in self.knees:
            if now >= start:
                knee = later
        return knee

    def get_limit(self, now: float) -> int:
        """Return the true limit: waiting requests need slots, but no speed."""
        return SLOTS if self.calls or self.dependency else self.get_knee(now)

    @property
    def per_second(self) -> float:
        """Return the requests per second that the knee at the start serves."""
        return self.knee * self.speed * len(self.work) / sum(self.work)


@attrs.frozen
class Outcome:
    """End of a run."""

    served: int
    """Requests that were answered within the aim."""
    error: float
    """Mean relative error of the limit."""
    followed: tuple[float, ...]
    """Seconds until each change of the knee was followed, infinite if it was not."""


@attrs.frozen
class _Request:
    arrival: float
    route: int
    work: float
    wait: float
    makes_calls: bool


def _get_wait(
    spells: tuple[tuple[float, float, float], ...], now: float, rng: random.Random
) -> float:
    for mean, start, end in spells:
        if start <= now < end:
            return mean * rng.lognormvariate(-0.125, 0.5)
    return 0.0


def _draw_requests(target: Target, rng: random.Random) -> Iterator[_Request]:
    now = 0.0
    while True:
        load = target.load[int(now / WAVE_SECONDS) % len(target.load)]
        now += rng.expovariate(target.per_second * load)
        if now >= target.seconds:
            return
        route = rng.randrange(len(target.work))
        work = target.work[route]
        work *= rng.lognormvariate(-target.sigma * target.sigma / 2, target.sigma)
        makes_calls = bool(target.calls) and rng.random() < 0.5
        wait = _get_wait(target.calls if makes_calls else target.dependency, now, rng)
        yield _Request(now, route, work, wait, makes_calls)


def _draw_paces(target: Target, rng: random.Random) -> Iterator[tuple[float, float]]:
    """Yield the times at which the pace of the host changes, and the paces."""
    yield 0.0, 1 / target.speed
    now = 0.0
    while target.has_noise:
        now += rng.expovariate(NOISE_SHARE / (1 - NOISE_SHARE) / NOISE_SECONDS)
        if now >= target.seconds:
            return
        yield now, NOISE_PACE / target.speed
        now += NOISE_SECONDS
        yield now, 1 / target.speed


def simulate_target(
    target: Target, policy: str, seed: str, learner: ConcurrencyLimit | None = None
) -> Outcome:
    """Return the outcome of one run; the same seed gives the same requests."""
    requests = list(_draw_requests(target, random.Random(f"requests {seed}")))
    paces = list(_draw_paces(target, random.Random(f"paces {seed}")))
    paces.append((math.inf, 0.0))
    learner = learner or ConcurrencyLimit(tries_full=True)
    queue = AdmissionQueue(SLOTS)
    pace, host_pace = paces[0][1], HostPace()
    warm_up = WARM_UP * target.seconds
    numbers = itertools.count()
    working: list[tuple] = []  # By the progress at which each has done its work.
    waiting: list[tuple] = []  # By the time at which each has its answers.
    by_ticket: dict[Ticket, _Request] = {}
    limits: list[tuple[float, int]] = []
    now = progress = next_tick = 0.0
    arrived = changed = served = 0

    def start(tickets: Iterable[Ticket]) -> None:
        for ticket in tickets:
            request = by_ticket[ticket]
            if ticket.state == TicketState.RUNNING:
                end = progress + request.work
                heapq.heappush(working, (end, next(numbers), ticket))
            elif ticket.state == TicketState.REFUSED:
                del by_ticket[ticket]

    def answer(ticket: Ticket) -> None:
        nonlocal served
        request = by_ticket.pop(ticket)
        if ticket.deadline > now:
            host_pace.note(pace, now)
            if not request.makes_calls:
                running = (ticket.running_at_start + queue.running + 1) // 2
                seconds = (now - ticket.started) / host_pace.current
                learner.note(ticket.route, running, seconds, now)
        queue.leave(ticket, now, was_answered=ticket.deadline > now)
        served += request.arrival >= warm_up and now <= ticket.soft_deadline
        start(queue.admit(now, NO_LIMITS))

    while now < target.seconds:
        knee = target.get_knee(now)
        rate = min(1.0, knee / max(1, len(working))) / pace
        arrival = requests[arrived].arrival if arrived < len(requests) else math.inf
        work_end = now + (working[0][0] - progress) / rate if working else math.inf
        wait_end = waiting[0][0] if waiting else math.inf
        pace_change = paces[changed + 1][0]
        later = min(arrival, work_end, wait_end, pace_change, next_tick)
        progress += rate * (later - now)
        now = later
        if now == work_end:
            ticket = heapq.heappop(working)[-1]
            wait = by_ticket[ticket].wait
            if wait:
                heapq.heappush(waiting, (now + wait, next(numbers), ticket))
            else:
                answer(ticket)
        elif now == wait_end:
            answer(heapq.heappop(waiting)[-1])
        elif now == arrival:
            request = requests[arrived]
            arrived += 1
            aim = AIM_FACTOR * target.work[request.route]
            ticket = Ticket(now + 2 * aim, now + aim, str(request.route))
            by_ticket[ticket] = request
            queue.offer(ticket, now, NO_LIMITS)
            start([ticket])
        elif now == pace_change:
            changed += 1
            pace = paces[changed][1]
        else:
            next_tick += TICK_SECONDS
            if policy == LEARNED:
                queue.learned_limit = learner.update(SLOTS, now)
            elif policy == ORACLE:
                queue.learned_limit = target.get_limit(now)
            limits.append((now, queue.limit))
            start(queue.expire(now, NO_LIMITS))
            start(queue.admit(now, NO_LIMITS))
    errors = [
        abs(limit - target.get_limit(at)) / target.get_limit(at)
        for at, limit in limits
        if at >= warm_up
    ]
    return Outcome(served, sum(errors) / len(errors), _measure_changes(target, limits))


def _measure_changes(
    target: Target, limits: list[tuple[float, int]]
) -> tuple[float, ...]:
    changes = (*target.knees, (target.seconds, 0))
    return tuple(
        _measure_change(change, knee, [(t, n) for t, n in limits if change <= t < end])
        for (change, knee), (end, _) in itertools.pairwise(changes)
    )


def _measure_change(change: float, knee: int, limits: list[tuple[float, int]]) -> float:
    since = math.inf
    for now, limit in limits:
        if abs(limit - knee) > max(1, knee / 4):
            since = math.inf
        elif math.isinf(since):
            since = now
        elif now - since >= FOLLOWED_SECONDS:
            return since - change
    return math.inf
