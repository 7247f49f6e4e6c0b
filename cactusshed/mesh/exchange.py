"""Exchange of admitted calls with the local target: answers, silence, lost answers."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from ..clock import read_monotonic
from ..observe.counters import Counters
from ..observe.lines import log_line
from ..platform import headers as header_names
from ..policy.coldstart import ColdStartGuard
from ..policy.concurrency import ConcurrencyLimit
from ..policy.silence import SentRequest, SilenceDetector
from ..policy.tickets import Ticket
from .crashes import CrashTracker, RunningCall
from .frames import ANSWERED, NOT_RUN, UNKNOWN, Call, Load, Result
from .notices import TargetNotices
from .pool import ConnectionPool
from .tallies import TallyRecorder
from .targetclient import exchange_call, filter_headers
from .upstream import Answer, NotSent, Upstream, UpstreamFailed

if TYPE_CHECKING:
    from ..usage.counting import UsageCounter

__all__ = [
    "MIN_FAILURE_STATUS",
    "TARGET_SILENT",
    "OnSilent",
    "TargetExchange",
    "is_success",
]

OnSilent = Callable[[], None] | None
"""Called, at most once, if the target of a call is silent."""

ANSWER_GRACE_SECONDS = 0.05
"""Time past a call's deadline for which a late refusal of the target is accepted."""
TARGET_SILENT = "target-silent"
"""Code of a call that another target is tried for, while its answer is awaited."""
NOT_RUN_STATUSES = frozenset({408, 429, 503})
"""Statuses by which callers are promised that their request has not run."""
MAX_LOST_ANSWERS = 4
"""Lost answers in a row after which a target is taken for down until it is checked, if
no cold rate holds its starts back meanwhile."""
MIN_FAILURE_STATUS = 500
"""Lowest status of an answer that counts as a failure."""
OTHER_INSTANCE_STATUS = 421
"""Status of a target that a request was not addressed to, and that did not run it."""
TIMEOUT_STATUS = 504
"""Status by which a target answers that the deadline has passed."""


def is_success(result: Result) -> bool:
    """Return whether a result is an answer, and not that of a failure."""
    return result.outcome == ANSWERED and result.status < MIN_FAILURE_STATUS


def denies_run(answer: Answer) -> bool:
    """Return whether the target states that it did not run the request."""
    is_other = answer.status == OTHER_INSTANCE_STATUS
    return is_other or answer.find(header_names.NOT_RUN) is not None


@attrs.define(eq=False)
class TargetExchange:
    """Sends calls to the local target and turns its answers into results."""

    pool: ConnectionPool
    counters: Counters
    crash_tracker: CrashTracker
    tallies: TallyRecorder
    cold: ColdStartGuard
    notices: TargetNotices
    get_load: Callable[[], Load]
    get_instance: Callable[[], str]
    """Returns the identity of the target that requests are addressed to."""
    suspect_restart: Callable[..., None]
    """Called with `is_down` when the target may have restarted."""
    silence: SilenceDetector = attrs.Factory(SilenceDetector)
    usage: "UsageCounter | None" = None
    """Counts the calls of organisations; `None` without usage reports."""
    concurrency: ConcurrencyLimit = attrs.Factory(ConcurrencyLimit)
    _lost_answers: int = 0
    """Answers lost since the last one that came."""

    def refuse(self, call: Call, code: str, retry_after: float = 0.0) -> Result:
        """Return the result of a call that the target did not run."""
        self.counters.add(f"gate_refused_{code.replace('-', '_')}")
        retry_after_ms = int(retry_after * 1000)
        return Result(
            call.number,
            NOT_RUN,
            self.get_load(),
            code=code,
            retry_after_ms=retry_after_ms,
        )

    def report_silent(
        self, now: float, limit: int, get_service_time: Callable[[str], float]
    ) -> None:
        """Report answers that may never come; see `SilenceDetector`."""
        for sent in list(self.silence.find_silent(now, limit, get_service_time)):
            sent.report()
            sent.report = None

    async def send(
        self, call: Call, ticket: Ticket, on_silent: OnSilent = None
    ) -> tuple[Result, Answer | None]:
        """Send a call to the target; return its result, and the answer if it came.

        After `on_silent` was called the answer is awaited all the same, until the
        deadline or until this coroutine is cancelled.
        """
        instance = self.get_instance()
        started = read_monotonic()
        deadline = ticket.deadline
        limit = deadline - started + ANSWER_GRACE_SECONDS
        running = self.crash_tracker.begin(
            call, ticket.soft_deadline, started, is_suspected=ticket.is_suspected
        )
        upstream: Upstream | None = None
        answer: Answer | None = None
        report = on_silent and self._make_report(call, deadline, started, on_silent)
        sent = SentRequest(call.route, started, deadline, report)
        self.silence.add(sent)
        is_counted = self._counts_as_usage(call)
        counts_key = self.usage.start(call.tenant) if is_counted else 0
        was_refused = False
        try:
            async with asyncio.timeout(limit):
                upstream, answer = await exchange_call(
                    self.pool, call, deadline, instance
                )
        except NotSent as error:
            was_refused = True
            self.counters.add("target_unreachable")
            log_line("target-unreachable", cause=error.message, instance=instance)
            self.suspect_restart(is_down=True)
            return self.refuse(call, "target-unreachable"), None
        except UpstreamFailed as error:
            return self._handle_lost_answer(call, error, started), None
        except TimeoutError:
            self._record_answer(call, started, failed=True)
            return self._make_unknown(call, "timeout"), None
        except asyncio.CancelledError:
            if on_silent is not None and sent.report is None:
                # Another target has answered, or the caller has left.
                self._record_answer(call, started, failed=True)
            raise
        finally:
            self.crash_tracker.end(call)
            self.silence.remove(sent, was_answered=answer is not None)
            was_refused = was_refused or (answer is not None and denies_run(answer))
            if is_counted and was_refused:
                self.usage.undo(call.tenant, counts_key)
        self.pool.release(upstream)
        result = self._read_answer(running, answer, started)
        if is_success(result) and not running.has_made_calls:
            # With calls of its own, its time is mostly that of other targets.
            self._learn_limit(ticket, read_monotonic())
        return result, answer

    def forget_lost_answers(self) -> None:
        """Start to count lost answers anew, because the target was checked."""
        self._lost_answers = 0

    def _counts_as_usage(self, call: Call) -> bool:
        """Return whether a call is reported: calls that targets make are not."""
        return self.usage is not None and call.tenant != "" and not call.is_nested

    def _learn_limit(self, ticket: Ticket, now: float) -> None:
        pace = self.notices.host_pace.current
        if pace and not self.cold.is_cold(now):
            running = (ticket.running_at_start + self.get_load().running + 1) // 2
            seconds = (now - ticket.started) / pace
            self.concurrency.note(ticket.route, running, seconds, now)

    def _make_report(
        self,
        call: Call,
        deadline: float,
        started: float,
        on_silent: Callable[[], None],
    ) -> Callable[[], None]:
        def report() -> None:
            now = read_monotonic()
            self.counters.add("answers_silent")
            log_line(
                TARGET_SILENT,
                request=call.request_id,
                instance=self.get_instance(),
                after_ms=int((now - started) * 1000),
                left_ms=int((deadline - now) * 1000),
            )
            on_silent()

        return report

    def _handle_lost_answer(
        self, call: Call, error: UpstreamFailed, started: float
    ) -> Result:
        self.counters.add("answers_missing")
        log_line(
            "answer-missing",
            request=call.request_id,
            instance=self.get_instance(),
            cause=error.message,
            after_ms=int((read_monotonic() - started) * 1000),
        )
        self._record_answer(call, started, failed=True)
        self.crash_tracker.fail(call, read_monotonic())
        self._lost_answers += 1
        is_down = self._lost_answers >= MAX_LOST_ANSWERS and not self.cold.has_rate
        self.suspect_restart(is_down=is_down)
        return self._make_unknown(call, "answer-missing")

    def _make_unknown(self, call: Call, code: str) -> Result:
        load = self.get_load()
        return Result(call.number, UNKNOWN, load, code=code, reached_target=True)

    def _read_answer(
        self, running: RunningCall, answer: Answer, started: float
    ) -> Result:
        """Return the result of a complete answer of the target."""
        call = running.call
        self._lost_answers = 0
        if answer.status == OTHER_INSTANCE_STATUS:
            log_line(
                "other-instance", wanted=self.get_instance(), request=call.request_id
            )
            self.suspect_restart(is_down=False)
            return self.refuse(call, "other-instance")
        self.notices.read(answer, started)
        if answer.find(header_names.NOT_RUN) is not None:
            self.counters.add("target_refused")
            result = self.refuse(call, "target-refused")
            result.reached_target = True
            return result
        promises_no_run = answer.status in NOT_RUN_STATUSES
        failed = promises_no_run or answer.status >= MIN_FAILURE_STATUS
        # A failed call of the target or its deadline may be the cause of the failure.
        is_error = (
            failed
            and answer.status != TIMEOUT_STATUS
            and not running.unsuccessful_calls
        )
        self._record_answer(call, started, failed=failed, is_error=is_error)
        if promises_no_run:
            # The target ran the request, so its status would be a false promise.
            self.counters.add("answers_denying_run")
            log_line("status-withheld", request=call.request_id, status=answer.status)
            return self._make_unknown(call, "status-withheld")
        is_success = 200 <= answer.status < 300
        if is_success and answer.find(header_names.SEAL) is None:
            self.counters.add("answers_unsealed")
            return self._make_unknown(call, "answer-unsealed")
        if not failed or is_error:
            self.crash_tracker.clear(call)
        return Result(
            call.number,
            ANSWERED,
            self.get_load(),
            answer.status,
            list(filter_headers(answer.headers)),
            answer.body,
            reached_target=True,
        )

    def _record_answer(
        self, call: Call, started: float, *, failed: bool, is_error: bool = False
    ) -> None:
        now = read_monotonic()
        seconds = None if self.cold.is_cold(now) else now - started
        self.tallies.record(call.route, seconds, failed=failed, is_error=is_error)
