"""Detection of requests that a target may never answer.

Load pattern: a target leaves some requests without an answer, and whatever follows on
the same connections, while it answers on its other connections as usual. Waiting for
the deadline would use up a slot and all of the caller's time.
"""

from collections.abc import Callable, Iterator

import attrs

__all__ = ["SentRequest", "SilenceDetector"]

SERVICE_TIMES = 5.0
"""Multiple of its route's mean service time after which a request may be silent: the
slowest hundredth of the users' requests takes three to five times the mean."""
MIN_SECONDS = 0.2
"""Shortest time after which a request may be silent."""
MIN_SILENT = 3
"""Requests without an answer at the same time that show a target to leave some
unanswered; one or two of them may just take long."""


@attrs.define(eq=False)
class SentRequest:
    """A request that awaits its answer; times are in monotonic seconds."""

    route: str
    sent_at: float
    deadline: float
    report: Callable[[], None] | None
    """Reports the silence, so that the request is sent elsewhere, too; `None` if it
    can't be, or has been reported."""
    overtaken_by: int = 0
    """Number of requests that were sent later and have been answered."""


@attrs.define
class SilenceDetector:
    """The requests of one target that await their answers, in order of sending."""

    _sent: dict[SentRequest, None] = attrs.Factory(dict)

    def add(self, sent: SentRequest) -> None:
        """Add a request that is being sent."""
        self._sent[sent] = None

    def remove(self, sent: SentRequest, *, was_answered: bool) -> None:
        """Remove a request; its answer overtook the requests sent before it."""
        if was_answered:
            for other in self._sent:
                if other is sent:
                    break
                other.overtaken_by += 1
        del self._sent[sent]

    def find_silent(
        self, now: float, limit: int, get_service_time: Callable[[str], float]
    ) -> Iterator[SentRequest]:
        """Yield the requests that should be sent elsewhere besides being awaited.

        At least `limit` later ones, as many as the target runs at a time, must have
        been answered. So nothing is silent at a target that is slow as a whole, nor
        where the caller has no time for another attempt.
        """
        silent = [
            sent
            for sent in self._sent
            if sent.overtaken_by >= limit
            and now - sent.sent_at
            >= max(MIN_SECONDS, SERVICE_TIMES * get_service_time(sent.route))
        ]
        if len(silent) < MIN_SILENT:
            return
        for sent in silent:
            has_time = sent.deadline - now > get_service_time(sent.route)
            if sent.report is not None and has_time:
                yield sent
