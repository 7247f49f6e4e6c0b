"""The gate's side of the call path: admit a call and hand it to its target."""

from collections.abc import Callable

import anyio
import attrs

from ..clock import read_monotonic
from ..member.announce import LocalTarget, Targets
from ..observe.counters import Counters
from ..observe.events import log_event
from ..observe.tallies import Tallies, TallyKey
from ..policy.admit import Decision, Gate, Ticket
from ..policy.ledger import Ledger, Standing
from ..spread.current import Current
from ..tree.table import Limits
from .headers import keep_end_to_end
from .links import AnswerMissing, Links, NotSent
from .messages import (
    TARGET_DIED,
    Answered,
    Call,
    NotRun,
    Outcome,
    Reply,
    Unknown,
)
from .served import ServedTarget, open_target

__all__ = ["FAILED_STATUS", "Gates"]

KEPT_ANSWER_BYTES = 64 << 10
"""A larger answer is not kept for settling."""
UPKEEP_SECONDS = 0.05
FAILED_STATUS = 500
FENCED = NotRun("fenced")
DEFAULT_LIMITS = Limits(20, 64, 0.5, 1, 10.0, 8.0)


@attrs.define
class Gates:
    """The gates of all targets on this host, and the ledger of their calls."""

    targets: Targets
    current: Current
    counters: Counters
    tallies: Tallies
    on_crash: Callable[[Call], None]
    data_centre: str
    node: str
    make_links: Callable[..., Links] = Links
    ledger: Ledger = attrs.Factory(Ledger)
    leaving: bool = False
    _served: dict[str, ServedTarget] = attrs.Factory(dict)
    _ended: dict[str, anyio.Event] = attrs.Factory(dict)

    def count_running(self, service: str = "") -> int:
        """Return the calls that the targets here run, of one service or of all."""
        return sum(
            served.gate.running
            for served in self._served.values()
            if not service or served.target.service == service
        )

    def list_gates(self) -> list[tuple[str, Gate]]:
        """Return the gate of each target by name."""
        return [(name, served.gate) for name, served in self._served.items()]

    def get_load(self, name: str) -> tuple[int, int]:
        """Return calls running and waiting on a target, and its present limit."""
        served = self._served.get(name)
        if served is None:
            return (0, 1)
        return (served.gate.running + served.gate.queued, served.gate.get_limit())

    def take_announcement(self, target: LocalTarget) -> None:
        """Open or adjust the gate of a target that announced itself."""
        limits = self.current.table.limits.get(target.service, DEFAULT_LIMITS)
        served = self._served.get(target.name)
        if served is not None and served.target.address == target.address:
            served.take_announcement(target, limits)
            return
        self._served[target.name] = open_target(
            target, limits, self.make_links, self.counters
        )

    async def run_upkeep(self) -> None:
        """Expire targets and waiting calls, and retire old connections."""
        while True:
            await anyio.sleep(UPKEEP_SECONDS)
            now = read_monotonic()
            self.targets.expire(now)
            for name, served in list(self._served.items()):
                target = self.targets.get(name)
                limits = self.current.table.limits.get(served.target.service)
                served.adjust(limits, self._find_closure(target))
                served.advance(now)
                await served.links.retire(now)
                if target is None and not served.gate.running:
                    del self._served[name]
                    await served.links.aclose()

    def _find_closure(self, target: LocalTarget | None) -> str | None:
        """Return why a target takes nothing new, or `None` when it does."""
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
        """Run `call` on the target of that name, once it is admitted."""
        closure = self._find_closure(self.targets.get(name))
        served = self._served.get(name)
        if closure is not None or served is None:
            return NotRun(closure or "target-gone")
        if not self._enter_ledger(call):
            return self._refuse_repeat(call)
        try:
            outcome = await self._run_admitted(call, served)
        except BaseException:
            self._leave_ledger(call, None)
            raise
        self._leave_ledger(call, outcome)
        return outcome

    def _enter_ledger(self, call: Call) -> bool:
        if not self.ledger.begin(call.call_id, read_monotonic()):
            return False
        self._ended[call.call_id] = anyio.Event()
        return True

    def _refuse_repeat(self, call: Call) -> Outcome:
        entry = self.ledger.settle(call.call_id, read_monotonic())
        return FENCED if entry.standing == Standing.FENCED else Unknown("repeated")

    def _leave_ledger(self, call: Call, outcome: Outcome | None) -> None:
        now = read_monotonic()
        if call.idempotent:
            # It may run again, so nothing of it needs to be known later.
            self.ledger.forget(call.call_id)
        elif isinstance(outcome, NotRun):
            self.ledger.refuse(call.call_id, now)
        elif isinstance(outcome, Answered) and _is_kept(outcome.reply):
            self.ledger.finish(call.call_id, now, outcome)
        else:
            self.ledger.finish(call.call_id, now)
        self._ended.pop(call.call_id).set()

    async def wait_ended(self, call_id: str) -> None:
        """Return once a call that is running here has ended."""
        event = self._ended.get(call_id)
        if event is not None:
            await event.wait()

    async def _run_admitted(self, call: Call, served: ServedTarget) -> Outcome:
        ticket = Ticket(
            call.call_id, call.kind, call.deadline, call.may_wait, call.alone
        )
        is_held = False
        try:
            await served.enter(ticket)
            if ticket.state != Decision.ADMITTED:
                return self._refuse(ticket)
            if not self.ledger.dispatch(call.call_id):
                return FENCED
            outcome = await self._send(call, served)
            is_held = served.hold_for_rest(ticket, outcome)
            return outcome
        finally:
            if not is_held:
                served.leave(ticket)

    def _refuse(self, ticket: Ticket) -> NotRun:
        refusal = ticket.refusal
        self.counters.add(f"refused_{refusal.code.replace('-', '_')}")
        return NotRun(refusal.code, refusal.retry_after)

    async def _send(self, call: Call, served: ServedTarget) -> Outcome:
        started = read_monotonic()
        try:
            reply = await served.send(call)
        except NotSent:
            served.gate.warmup.chill(read_monotonic())
            self.counters.add("targets_unreachable")
            return NotRun("target-unreachable")
        except AnswerMissing as error:
            self._note_missing(call, served, started, error)
            return Unknown("timeout" if error.timed_out else TARGET_DIED)
        self._note_answer(call, served, reply, read_monotonic() - started)
        return Answered(reply)

    def _note_missing(self, call, served, started, error) -> None:
        now = read_monotonic()
        self._tally(call, served, now - started, failed=True)
        if error.timed_out:
            served.gate.warmup.note_failure(now)
            return
        served.gate.warmup.chill(now)
        self.counters.add("targets_died")
        self.on_crash(call)

    def _note_answer(self, call, served, reply: Reply, latency: float) -> None:
        now = read_monotonic()
        reply.headers = list(keep_end_to_end(reply.headers))
        self._tally(call, served, latency, failed=reply.status >= FAILED_STATUS)
        warmup = served.gate.warmup
        if reply.status >= FAILED_STATUS:
            warmup.note_failure(now)
        elif warmup.note_success(call.route, latency, now):
            self.counters.add("targets_cold_again")
            log_event("target-cold", target=served.target.name)

    def _tally(self, call, served, seconds: float, *, failed: bool) -> None:
        target = served.target
        key = TallyKey(target.service, target.version, call.route, target.name)
        self.tallies.record(key, None if served.is_new() else seconds, failed)


def _is_kept(reply: Reply) -> bool:
    return reply.rest is None and len(reply.body) <= KEPT_ANSWER_BYTES
