"""Counts of one target's answers by route, for the comparison of versions."""

import attrs

from ..observe.tallies import TIME_BUCKETS, choose_time_bucket
from ..policy.comparison import Sample
from .frames import VersionTallies

__all__ = ["TallyRecorder", "make_samples"]


@attrs.define
class _Counts:
    calls: int = 0
    failures: int = 0
    errors: int = 0
    times: list[int] = attrs.Factory(lambda: [0] * TIME_BUCKETS)


class TallyRecorder:
    """Counts since `restart`; recorded only while the service has a move."""

    def __init__(self) -> None:
        """Create a recorder that records nothing until `restart`."""
        self.is_recording = False
        self._routes: dict[str, _Counts] = {}

    def restart(self) -> None:
        """Reset the counts and start recording."""
        self.is_recording = True
        self._routes.clear()

    def stop(self) -> None:
        """Discard the counts and stop recording."""
        self.is_recording = False
        self._routes.clear()

    def record(
        self, route: str, seconds: float | None, *, failed: bool, is_error: bool = False
    ) -> None:
        """Record one answer.

        `seconds` is `None` for an answer of a cold target, whose time must not count.
        `is_error` says that the target answered the failure by itself.
        """
        if not self.is_recording:
            return
        counts = self._routes.setdefault(route, _Counts())
        counts.calls += 1
        counts.failures += failed
        counts.errors += is_error
        if seconds is not None:
            counts.times[choose_time_bucket(seconds)] += 1

    def report(
        self, node: str, service: str, version: str, running: int
    ) -> VersionTallies:
        """Return the counts as a message."""
        routes = [
            (route, counts.calls, counts.failures, counts.times)
            for route, counts in self._routes.items()
        ]
        errors = {route: c.errors for route, c in self._routes.items() if c.errors}
        return VersionTallies(node, service, version, running, routes, errors)


def make_samples(reports: list[VersionTallies]) -> list[Sample]:
    """Return the samples of the reports of several gates."""
    return [
        Sample(
            route,
            report.node,
            calls,
            failures,
            tuple(times),
            report.errors.get(route, 0),
        )
        for report in reports
        for route, calls, failures, times in report.routes
    ]
