"""Leases: one holder for each epoch, and no writes by a paused holder."""

import anyio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cactusshed.errors import CactusError
from cactusshed.store.lease import (
    LEASE_SECONDS,
    acquire_lease,
    release_lease,
    renew_lease,
)
from cactusshed.store.port import Write

from .fakes import FakePort

HOLDERS = 3


class Leases(RuleBasedStateMachine):
    """Holders that acquire, renew, write and pause; all writes are recorded."""

    @initialize()
    def start(self):
        """Start with a free lease."""
        self.port = FakePort()
        self.now = 1000.0
        self.leases = [None] * HOLDERS
        self.epochs = []

    def _clock(self):
        return self.now

    def _run(self, work, *arguments):
        try:
            return anyio.run(work, *arguments)
        except CactusError:
            return None

    @rule(
        holder=st.integers(0, HOLDERS - 1),
        act=st.sampled_from(["acquire", "renew", "write", "release", "apply_late"]),
        fault=st.sampled_from(["ok", "ok", "ok", "down", "lost", "hang"]),
        seconds=st.sampled_from([0.0, 0.0, 1.0, LEASE_SECONDS, 2 * LEASE_SECONDS]),
    )
    def take_turn(self, holder, act, fault, seconds):
        """Let one holder act, then advance the clock; other holders may be paused."""
        if act == "acquire":
            self._acquire(holder, fault)
        elif act == "renew":
            self._renew(holder, fault)
        elif act == "write":
            self._write(holder)
        elif act == "release":
            self._release(holder)
        else:
            self.port.apply_late_commits()
        self.now += seconds

    def _acquire(self, holder, fault):
        """Try to acquire the lease."""
        self.port.faults = [fault]

        async def work():
            return await acquire_lease(
                self.port,
                "move",
                f"h{holder}",
                wall=self._clock,
                monotonic=self._clock,
            )

        self.leases[holder] = self._run(work) or self.leases[holder]
        self.port.faults = []

    def _renew(self, holder, fault):
        """Renew the lease; the holder gives it up if that fails."""
        lease = self.leases[holder]
        if lease is None or not lease.is_live(self.now):
            return
        self.port.faults = [fault]

        async def work():
            return await renew_lease(
                self.port, lease, wall=self._clock, monotonic=self._clock
            )

        self.leases[holder] = self._run(work)
        self.port.faults = []

    def _release(self, holder):
        """Release the lease."""
        lease = self.leases[holder]
        if lease is not None:
            self._run(release_lease, self.port, lease)
            self.leases[holder] = None

    def _write(self, holder):
        """Write under the lease even after it expired, as a paused holder would."""
        lease = self.leases[holder]
        if lease is None:
            return

        async def work():
            write = Write("work", f"{lease.epoch}/{holder}")
            await self.port.commit([lease.make_guard()], [write])
            return True

        if self._run(work):
            self.epochs.append((lease.epoch, holder))

    @invariant()
    def at_most_one_holder(self):
        """Check that at most one holder has a live lease."""
        if hasattr(self, "leases"):
            live = [x for x in self.leases if x is not None and x.is_live(self.now)]
            assert len(live) <= 1

    @invariant()
    def epochs_never_decrease(self):
        """Check that the epochs of writes never decrease, each with one holder."""
        if not hasattr(self, "epochs"):
            return
        assert self.epochs == sorted(self.epochs, key=lambda pair: pair[0])
        owners = dict(self.epochs)
        assert all(owners[epoch] == holder for epoch, holder in self.epochs)


Leases.TestCase.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)
TestLeases = Leases.TestCase
