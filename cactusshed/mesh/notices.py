"""What the local target says of itself in the headers of its answers."""

from collections.abc import Callable

import attrs

from ..clock import read_monotonic
from ..observe.lines import log_line
from ..platform import headers as header_names
from ..policy.hostpace import HostPace
from ..policy.ratelimit import NamedRateLimit
from .upstream import Answer

__all__ = ["TargetNotices"]


@attrs.define(eq=False)
class TargetNotices:
    """Reads every answer of the target, whatever became of the request."""

    get_instance: Callable[[], str]
    """Returns the identity of the target."""
    on_leaving: Callable[[float], None]
    """Called with the time at which the request was sent if the target is leaving."""
    rate_limit: NamedRateLimit = attrs.Factory(NamedRateLimit)
    host_pace: HostPace = attrs.Factory(HostPace)

    def read(self, answer: Answer, sent_at: float) -> None:
        """Read the answer to a request that was sent at `sent_at`."""
        if answer.find(header_names.RATE_LIMIT) is None:
            self._note_rate(None, sent_at)
        pace = header_names.read_host_pace(answer.find(header_names.LOAD))
        if pace is not None:
            self.host_pace.note(pace, read_monotonic())
        self.read_health(answer, sent_at)

    def read_health(self, answer: Answer, sent_at: float) -> None:
        """Read the answer to a health request, which may omit the limit."""
        rate = header_names.read_rate_limit(answer.find(header_names.RATE_LIMIT))
        if rate is not None:
            self._note_rate(rate, sent_at)
        if (answer.find(header_names.LEAVING) or b"").strip() == b"1":
            self.on_leaving(sent_at)

    def _note_rate(self, rate: float | None, sent_at: float) -> None:
        limit = self.rate_limit
        starts = limit.starts
        if limit.note_answer(rate, sent_at, read_monotonic()):
            log_line(
                "target-rate-limit",
                instance=self.get_instance(),
                rate=limit.rate,
                started_before=starts,
            )
            limit.starts = 0
