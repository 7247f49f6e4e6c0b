"""Property-based state machine test of the gate of one target."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cactusshed.policy.admission import Gate, Ticket
from cactusshed.policy.tickets import TicketState
from cactusshed.tree.keys import CLASSES
from cactusshed.tree.table import Limits

SLOTS = 6


class GateMachine(RuleBasedStateMachine):
    """A gate, the tickets offered to it, and a model that counts running calls."""

    @initialize(slots=st.integers(1, SLOTS), queue_length=st.integers(0, 8))
    def start(self, slots, queue_length):
        """Open a gate."""
        self.limits = Limits(slots, queue_length, 0.5, 1, 2.0, 8.0)
        self.gate = Gate(SLOTS, self.limits)
        self.tickets = []
        self.now = 0.0
        self.closed = False
        self.ceiling = min(SLOTS, slots)
        self.previous_running = 0

    def _list(self, state):
        return [ticket for ticket in self.tickets if ticket.state == state]

    @rule(
        traffic_class=st.sampled_from(CLASSES),
        seconds_left=st.floats(-0.1, 3.0),
        may_wait=st.booleans(),
        alone=st.sampled_from([False, False, False, True]),
    )
    def offer(self, traffic_class, seconds_left, may_wait, alone):
        """Offer a ticket."""
        name = str(len(self.tickets))
        ticket = Ticket(name, traffic_class, self.now + seconds_left, may_wait, alone)
        self.tickets.append(ticket)
        running = len(self._list(TicketState.RUNNING))
        evicted = self.gate.offer(ticket, self.now)
        assert ticket.state != TicketState.NEW
        assert all(other.state == TicketState.REFUSED for other in evicted)
        if self.closed or seconds_left <= 0:
            assert ticket.state == TicketState.REFUSED
        if alone and running:
            assert ticket.state != TicketState.RUNNING

    @rule(index=st.integers(0, 50), latency=st.floats(0.0, 2.0), good=st.booleans())
    def finish(self, index, latency, good):
        """Finish a running or waiting call."""
        live = self._list(TicketState.RUNNING) + self._list(TicketState.WAITING)
        if not live:
            return
        ticket = live[index % len(live)]
        if good:
            self.gate.warmup.note_success("route", latency, self.now)
        else:
            self.gate.warmup.note_failure(self.now)
        self.gate.finish(ticket, self.now)

    @rule(seconds=st.floats(0.0, 1.0))
    def pass_time(self, seconds):
        """Advance the clock and the gate."""
        self.now += seconds
        self.gate.advance(self.now)

    @rule()
    def close(self):
        """Close the gate as for a withdrawn target."""
        self.gate.close("withdrawn")
        self.closed = True
        assert not self._list(TicketState.WAITING)

    @rule()
    def open(self):
        """Reopen the gate; the target is cold if the gate was closed."""
        self.gate.open(self.now)
        if self.closed:
            assert self.gate.get_limit() == 1
        self.closed = False

    @rule(slots=st.integers(1, SLOTS))
    def adjust(self, slots):
        """Change the slot limit."""
        self.limits = Limits(slots, self.limits.queue_length, 0.5, 1, 2.0, 8.0)
        self.gate.adjust(SLOTS, self.limits)
        self.ceiling = min(SLOTS, slots)

    @invariant()
    def counts_agree(self):
        """Check the gate's counts against the model."""
        if not hasattr(self, "gate"):
            return
        assert self.gate.running == len(self._list(TicketState.RUNNING))
        assert self.gate.queued == len(self._list(TicketState.WAITING))
        assert self.gate.queued <= self.limits.queue_length
        assert 1 <= self.gate.get_limit() <= self.ceiling

    @invariant()
    def admits_within_the_limit(self):
        """Check that calls are admitted only below the current limit."""
        if not hasattr(self, "gate"):
            return
        if self.gate.running > self.previous_running:
            assert self.gate.running <= self.gate.get_limit()
        self.previous_running = self.gate.running

    @invariant()
    def never_exceeds_its_slots(self):
        """Check the slot limit, and that an `alone` call runs without others."""
        if hasattr(self, "gate"):
            assert self.gate.running <= SLOTS
            alone = [t for t in self._list(TicketState.RUNNING) if t.alone]
            assert not alone or self.gate.running == 1

    @invariant()
    def calls_wait_only_while_others_run(self):
        """Check that no call waits at a gate without running calls."""
        if not hasattr(self, "gate") or not self._list(TicketState.WAITING):
            return
        assert self.gate.running


GateMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)
TestGateMachine = GateMachine.TestCase
