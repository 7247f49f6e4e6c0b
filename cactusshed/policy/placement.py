"""Target selection in `mesh` by the lowest risk of a late answer.

Load pattern: targets of one service differ in speed and load, and a load report
is as old as the target's last answer. The calls that this node has sent since
then are added to the report, so that a burst from one node is not sent to a
single target. Links are slow, so a large body counts with the time that it takes.
A target in need takes few requests per second, and what is left of them is known to
its own node only.
"""

import random
from collections.abc import Iterable
from operator import itemgetter
from typing import NamedTuple

import attrs

from .hostpace import HostPace

__all__ = [
    "RISK_JITTER",
    "Candidate",
    "LoadView",
    "RiskParts",
    "assess_candidates",
    "estimate_late_probability",
    "estimate_transfer_seconds",
    "order_candidates",
]

MAX_REPORT_AGE_SECONDS = 1.0
"""Age from which a load report is ignored; queues drain well within this time."""
RISK_JITTER = 0.1
"""Relative random increase of a risk, so that nodes do not all choose one target."""
MAX_TRANSFER_AGE_SECONDS = 3.0
"""Age from which a report of the answers to send is ignored: what a link can send
within the longest deadlines of callers."""
SMOOTHING = 0.1
"""Weight of one outcome in the moving average of a target's failure rate."""


@attrs.define
class LoadView:
    """Load of one target as known to this node; times are in monotonic seconds."""

    busy: int = 0
    """Calls that the target was running or had queued at the last report."""
    limit: int = 1
    """Concurrency limit of the target."""
    mean_seconds: float = 0.0
    """Mean service time of the target in seconds; 0 if not yet reported."""
    reported_at: float = float("-inf")
    """Time of the last report."""
    in_flight: int = 0
    """Calls in flight from this node."""
    sent_since_report: int = 0
    """Calls that this node has sent since the last report."""
    transfer_seconds: float = 0.0
    """Time until the target's host had sent its large answers, at the last report."""
    large_since_report: int = 0
    """Calls with large answers that this node has sent since the last report."""
    host_pace: HostPace = attrs.Factory(HostPace)
    starts_left: int = 0
    """Calls that the target could start under its rate limit at the last report."""
    failure_rate: float = 0.0
    """Moving average of the share of calls that failed."""

    def report(
        self,
        busy: int,
        limit: int,
        mean_seconds: float,
        now: float,
        starts_left: int = 0,
        transfer_seconds: float = 0.0,
        host_pace: float = 0.0,
    ) -> None:
        """Store a load report that came with an answer."""
        self.transfer_seconds = transfer_seconds
        self.host_pace.note(host_pace, now)
        self.busy = busy
        self.limit = max(1, limit)
        self.mean_seconds = mean_seconds
        self.starts_left = starts_left
        self.reported_at = now
        self.sent_since_report = self.large_since_report = 0

    def note_outcome(self, *, failed: bool) -> None:
        """Update the failure rate with the outcome of a call."""
        self.failure_rate += SMOOTHING * (failed - self.failure_rate)

    def estimate_wait(self, now: float, baseline_latency: float) -> float:
        """Return the expected seconds until a call sent now would start."""
        busy = self.in_flight
        if now - self.reported_at < MAX_REPORT_AGE_SECONDS:
            busy = max(busy, self.busy + self.sent_since_report)
        excess = busy + 1 - self.limit
        return max(0, excess) * (self.mean_seconds or baseline_latency) / self.limit

    def estimate_answer_transfer(
        self, now: float, answer_bytes: int, link_mbps: float
    ) -> float:
        """Return the seconds until the target's host would have sent a large answer.

        The large answers that this node has asked for since the last report are ahead.
        """
        age = now - self.reported_at
        ahead = 0
        waiting = 0.0
        if age < MAX_TRANSFER_AGE_SECONDS:
            ahead = self.large_since_report
            waiting = max(0.0, self.transfer_seconds - age)
        size = estimate_transfer_seconds(answer_bytes, link_mbps)
        return waiting + (1 + ahead) * size

    def estimate_start_wait(self, now: float, start_rate: float) -> float:
        """Return the seconds until a target of limited `start_rate` would start a call.

        Without a recent report, other nodes are assumed to have taken all starts.
        """
        age = now - self.reported_at
        starts_left = 0.0
        if age < MAX_REPORT_AGE_SECONDS:
            gained = age * start_rate
            starts_left = self.starts_left + gained - self.sent_since_report
        return max(0.0, 1.0 - starts_left) / start_rate


FAR_RISK = 0.05
"""Risk added for a target in another data centre: the traffic of a small request costs
about a twentieth of the value of its answer."""
FAR_RISK_PER_KIB = 0.02
"""Further risk for each KiB of the request's body."""
MAX_FAR_RISK = 0.3
"""Limit of both: a caller whose own data centre is late is served from another one."""
COLD_RISK = 0.1
"""Risk added for a cold target, besides the slowness visible in its answers."""
STEEPNESS = 3.3
"""Shape of the service time distribution of user workloads: a third of the calls
take longer than the mean, one in twenty longer than 2.5 times the mean."""


MIN_TRANSFER_BYTES = 4 << 10
"""Size from which a body's time on the links counts: 7 ms at 5 Mbit/s."""


def estimate_transfer_seconds(body_bytes: int, link_mbps: float) -> float:
    """Return the seconds for which a body occupies a link of `link_mbps`."""
    if body_bytes < MIN_TRANSFER_BYTES or link_mbps <= 0:
        return 0.0
    return body_bytes * 8 / (link_mbps * 1e6)


@attrs.frozen
class Candidate:
    """A target that may be selected; `name` is the name of its node."""

    name: str
    view: LoadView
    is_far: bool
    is_cold: bool
    transfer_seconds: float = 0.0
    """Time for which the body of the request occupies the links to the target."""
    body_bytes: int = 0
    start_rate: float = 0.0
    """Requests per second that the target takes from all nodes; 0 for no limit."""


def estimate_late_probability(time_left: float, service_time: float) -> float:
    """Return the probability that a call takes longer than `time_left` seconds.

    `service_time` is the mean service time in seconds.
    """
    if time_left <= 0:
        return 1.0
    return 1.0 / (1.0 + (time_left / max(service_time, 1e-6)) ** STEEPNESS)


_get_risk = itemgetter(0)


class RiskParts(NamedTuple):
    """Risk of a late answer at one target and its parts; the times are in seconds.

    The risk is the sum of the four parts that follow it, without its random increase.
    """

    risk: float
    late: float
    """Probability that the answer is late or that the call fails."""
    far: float
    cold: float
    delay: float
    """Part for the wait and the transfer, which breaks ties if all would be late."""
    wait: float
    """Expected time until the call would start."""
    service_time: float
    """Expected service time of the call."""


def assess_candidates(
    options: list[Candidate], baseline_latency: float, time_left: float, now: float
) -> list[tuple]:
    """Return the fields of `RiskParts` for each candidate; no state is changed.

    They are plain tuples, since this is done for every request.

    `baseline_latency` is the mean service time of the route over all targets and
    `time_left` the time until the soft deadline, both in seconds.
    """
    means = [c.view.mean_seconds for c in options if c.view.mean_seconds]
    average_latency = sum(means) / len(means) if means else 1.0
    paces = [c.view.host_pace.estimate(now) for c in options]
    known_paces = [pace for pace in paces if pace]
    average_pace = sum(known_paces) / len(known_paces) if known_paces else 1.0
    assessed = []
    for candidate, pace in zip(options, paces, strict=True):
        view = candidate.view
        if pace:
            relative_time = pace / average_pace
        elif view.mean_seconds:
            relative_time = view.mean_seconds / average_latency
        else:
            relative_time = 1.0
        service_time = baseline_latency * relative_time
        wait = view.estimate_wait(now, service_time)
        if candidate.start_rate:
            wait = max(wait, view.estimate_start_wait(now, candidate.start_rate))
        delay = wait + candidate.transfer_seconds
        late = estimate_late_probability(time_left - delay, service_time)
        late = 1 - (1 - late) * (1 - view.failure_rate)
        far = 0.0
        if candidate.is_far:
            far = FAR_RISK + FAR_RISK_PER_KIB * candidate.body_bytes / 1024
            if far > MAX_FAR_RISK:
                far = MAX_FAR_RISK
        cold = COLD_RISK if candidate.is_cold else 0.0
        delay_risk = delay / (time_left + delay) if time_left > 0 else delay
        risk = late + far + cold + delay_risk
        assessed.append((risk, late, far, cold, delay_risk, wait, service_time))
    return assessed


def order_candidates(
    candidates: Iterable[Candidate],
    baseline_latency: float,
    time_left: float,
    now: float,
    rng: random.Random,
) -> list[tuple[float, Candidate]]:
    """Return (expected wait, candidate) pairs by increasing risk of a late answer.

    For the parameters see `assess_candidates`.
    """
    options = list(candidates)
    assessed = assess_candidates(options, baseline_latency, time_left, now)
    draw = rng.random
    scored = [
        (parts[0] * (1 + RISK_JITTER * draw()), parts[5], candidate)
        for parts, candidate in zip(assessed, options, strict=True)
    ]
    scored.sort(key=_get_risk)
    return [(wait, candidate) for _, wait, candidate in scored]
