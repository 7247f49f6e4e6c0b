"""Admission of calls to this host's targets, and the exchange with the target."""

from collections.abc import Callable

import anyio
import attrs

from ..clock import read_monotonic
from ..member.announcements import LocalTarget, TargetRegistry
from ..observe.counters import Counters
from ..observe.events import log_event
from ..observe.tallies import Tallies, TallyKey
from ..policy.admission import Gate, Ticket
from ..policy.callrecords import CallRecords, CallState, measure_answer
from ..policy.tickets import TicketState
from ..spread.activeversion import ActiveVersion
from ..tree.table import Limits
from .headers import filter_end_to_end
from .messages import (
    TARGET_DIED,
    Answered,
    Call,
    NotRun,
    Outcome,
    Reply,
    Unknown,
)
from .pool import AnswerMissing, ConnectionPool, NotSent
from .servedtarget import ServedTarget, open_target

__all__ = ["MIN_FAILURE_STATUS", "Gates"]

MAX_STORED_RESPONSE_BYTES = 64 << 10
"""Larger responses are not stored for outcome queries."""
MAINTENANCE_INTERVAL_SECONDS = 0.05
"""Seconds between two maintenance runs."""
MIN_FAILURE_STATUS = 500
"""Lowest HTTP status that counts as a failure of the target."""
FENCED = NotRun("fenced")
DEFAULT_LIMITS = Limits(20, 64, 0.5, 1, 10.0, 8.0)
"""Limits of a target whose service has none in the configuration yet."""


@attrs.define
class Gates:
    """The gates of all targets on this host, and the state of their calls."""

    target_registry: TargetRegistry
    current: ActiveVersion
    counters: Counters
    tallies: Tallies
    on_crash: Callable[[Call], None]
    data_centre: str
    node: str
    make_pool: Callable[..., ConnectionPool] = ConnectionPool
    call_records: CallRecords = attrs.Factory(CallRecords)
    leaving: bool = False
    _served: dict[str, ServedTarget] = attrs.Factory(dict)
    _end_events: dict[str, anyio.Event] = attrs.Factory(dict)

    def count_running(self, service: str = "") -> int:
        """Return the number of calls running here, for one service or for all."""
        return sum(
            served.gate.running
            for served in self._served.values()
            if not service or served.target.service == service
        )

    def list_gates(self) -> list[tuple[str, Gate]]:
        """Return pairs of a target's name and its gate."""
        return [(name, served.gate) for name, served in self._served.items()]

    def get_load(self, name: str) -> tuple[int, int]:
        """Return the number of running and queued calls, and the current limit."""
        served = self._served.get(name)
        if served is None:
            return (0, 1)
        return (served.gate.running + served.gate.queued, served.gate.get_limit())

    def apply_announcement(self, target: LocalTarget) -> None:
        """Create or update the gate of a target after its announcement."""
        limits = self.current.table.limits.get(target.service, DEFAULT_LIMITS)
        served = self._served.get(target.name)
        if served is not None and served.target.address == target.address:
            served.apply_announcement(target, limits)
            return
        self._served[target.name] = open_target(
            target, limits, self.make_pool, self.counters
        )

    async def run_maintenance(self) -> None:
        """Periodically expire targets and queued calls, and close idle connections."""
        while True:
            await anyio.sleep(MAINTENANCE_INTERVAL_SECONDS)
            now = read_monotonic()
            self.target_registry.expire(now)
            for name, served in list(self._served.items()):
                target = self.target_registry.get(name)
                limits = self.current.table.limits.get(served.target.service)
                served.adjust(limits, self._find_close_reason(target))
                served.advance(now)
                await served.pool.close_idle(now)
                if target is None and not served.gate.running:
                    del self._served[name]
                    await served.pool.aclose()

    def _find_close_reason(self, target: LocalTarget | None) -> str | None:
        """Return why a target accepts no new calls, or `None` if it does."""
        table = self.current.table
        if target is None:
            return "target-gone"
        if self.leaving:
            return "node-leaving"
        if target.health != "ready":
            return f"target-{target.health}"
        if self.data_centre in table.withdrawn:
            return "withdrawn"
        if self.node in table.drained or target.name in table.drained:
            return "drained"
        return None

    async def run(self, call: Call, name: str) -> Outcome:
        """Run `call` on the target `name` once it is admitted."""
        close_reason = self._find_close_reason(self.target_registry.get(name))
        served = self._served.get(name)
        if close_reason is not None or served is None:
            return NotRun(close_reason or "target-gone")
        if not self._begin_call(call):
            return self._refuse_duplicate(call)
        try:
            outcome = await self._run_admitted(call, served)
        except BaseException:
            self._end_call(call, None)
            raise
        self._end_call(call, outcome)
        return outcome

    def _begin_call(self, call: Call) -> bool:
        if not self.call_records.begin(call.call_id, read_monotonic()):
            return False
        self._end_events[call.call_id] = anyio.Event()
        return True

    def _refuse_duplicate(self, call: Call) -> Outcome:
        record = self.call_records.resolve(call.call_id, read_monotonic())
        return FENCED if record.state == CallState.FENCED else Unknown("repeated")

    def _end_call(self, call: Call, outcome: Outcome | None) -> None:
        now = read_monotonic()
        if call.idempotent:
            # It may be run again, so its outcome need not be stored.
            self.call_records.forget(call.call_id)
        elif isinstance(outcome, NotRun):
            self.call_records.refuse(call.call_id, now)
        elif isinstance(outcome, Answered) and _is_storable(outcome.reply):
            size = measure_answer(outcome.reply.headers, outcome.reply.body)
            self.call_records.finish(call.call_id, now, outcome, size)
        else:
            self.call_records.finish(call.call_id, now)
        self._end_events.pop(call.call_id).set()

    async def wait_ended(self, call_id: str) -> None:
        """Return once the call has ended, at once if it is not running here."""
        event = self._end_events.get(call_id)
        if event is not None:
            await event.wait()

    async def _run_admitted(self, call: Call, served: ServedTarget) -> Outcome:
        ticket = Ticket(
            call.call_id, call.traffic_class, call.deadline, call.may_wait, call.alone
        )
        is_slot_held = False
        try:
            await served.enter(ticket)
            if ticket.state != TicketState.RUNNING:
                return self._refuse(ticket)
            if not self.call_records.dispatch(call.call_id):
                return FENCED
            outcome = await self._send_to_target(call, served)
            is_slot_held = served.hold_until_sent(ticket, outcome)
            return outcome
        finally:
            if not is_slot_held:
                served.leave(ticket)

    def _refuse(self, ticket: Ticket) -> NotRun:
        refusal = ticket.refusal
        self.counters.add(f"refused_{refusal.code.replace('-', '_')}")
        return NotRun(refusal.code, refusal.retry_after)

    async def _send_to_target(self, call: Call, served: ServedTarget) -> Outcome:
        started = read_monotonic()
        try:
            reply = await served.send(call)
        except NotSent:
            served.gate.warmup.reset_to_cold(read_monotonic())
            self.counters.add("targets_unreachable")
            return NotRun("target-unreachable")
        except AnswerMissing as error:
            self._record_missing_response(call, served, started, error)
            return Unknown("timeout" if error.timed_out else TARGET_DIED)
        self._record_response(call, served, reply, read_monotonic() - started)
        return Answered(reply)

    def _record_missing_response(self, call, served, started, error) -> None:
        now = read_monotonic()
        self._record_tally(call, served, now - started, failed=True)
        if error.timed_out:
            served.gate.warmup.note_failure(now)
            return
        served.gate.warmup.reset_to_cold(now)
        self.counters.add("targets_died")
        self.on_crash(call)

    def _record_response(self, call, served, reply: Reply, latency: float) -> None:
        now = read_monotonic()
        reply.headers = list(filter_end_to_end(reply.headers))
        self._record_tally(
            call, served, latency, failed=reply.status >= MIN_FAILURE_STATUS
        )
        warmup = served.gate.warmup
        if reply.status >= MIN_FAILURE_STATUS:
            warmup.note_failure(now)
        elif warmup.note_success(call.route, latency, now):
            self.counters.add("targets_cold_again")
            log_event("target-cold", target=served.target.name)

    def _record_tally(self, call, served, seconds: float, *, failed: bool) -> None:
        target = served.target
        key = TallyKey(target.service, target.version, call.route, target.name)
        self.tallies.record(
            key, None if served.is_recently_started() else seconds, failed
        )


def _is_storable(reply: Reply) -> bool:
    return reply.rest is None and len(reply.body) <= MAX_STORED_RESPONSE_BYTES
