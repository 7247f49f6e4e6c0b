"""Helpers for tests of the mesh: calls, and a gate with a stand-in target."""

import asyncio
from contextlib import asynccontextmanager

import attrs

from cactusshed.mesh.crashes import STRIKES_TO_SUSPECT, CrashTracker
from cactusshed.mesh.frames import Call
from cactusshed.mesh.gate import Gate
from cactusshed.mesh.pool import ConnectionPool
from cactusshed.mesh.tallies import TallyRecorder
from cactusshed.observe.counters import Counters
from cactusshed.platform import headers as header_names
from cactusshed.policy.gateretries import GateRetryBudget
from cactusshed.policy.quarantine import Quarantine
from standins.meshtarget import open_mesh_target

__all__ = ["make_call", "open_gate", "run_async"]

WARM_RATE = 1000.0
"""Cold rate of the stand-in target, far above that of any test: unless a test sets
another, the gate lets in all calls before it has seen the target."""
TEST_SECONDS = 20.0
"""Timeout of one test; far above what any test needs, so that only a hang fails."""


def run_async(work):
    """Run a coroutine function with a timeout."""

    async def limited():
        async with asyncio.timeout(TEST_SECONDS):
            return await work()

    return asyncio.run(limited())


def make_call(request_id="r1", path="/a/", **fields):
    """Return a call as a first node sends it, with `fields` replaced."""
    values = {
        "number": 1,
        "request_id": request_id.encode(),
        "attempt": 1,
        "method": b"GET",
        "path": path.encode(),
        "headers": [(b"host", b"h")],
        "body": b"",
        "remaining_ms": 2000,
        "soft_timeout_ms": 1000,
        "route": "r",
        "priority": 0,
        "service": "s",
        "version": "",
        "caller": "c",
        "is_idempotent": True,
        "is_retry": False,
        "may_have_run": False,
        "is_nested": False,
        "parent_is_retry": False,
        "may_wait": True,
    }
    return Call(**{**values, **fields})


@attrs.define
class OpenGate:
    """A gate, its stand-in target, and what it has reported.

    `restarts` has an entry for each suspected restart, `leaves` the time of sending of
    each request whose answer says that the target is leaving.
    """

    gate: Gate
    target: object
    restarts: list
    leaves: list


@asynccontextmanager
async def open_gate(slots=2, **fields):
    """Yield an open gate with a warm stand-in target of `slots` slots."""
    target = await open_mesh_target(**fields)
    restarts = []
    leaves = []
    quarantine = Quarantine(STRIKES_TO_SUSPECT)
    gate = Gate(
        pool=ConnectionPool(target.address, header_names.ATTEMPT_ID),
        counters=Counters(),
        retry_budget=GateRetryBudget(0.2, 10.0, 50.0),
        crash_tracker=CrashTracker(quarantine),
        tallies=TallyRecorder(),
        service="s",
        count_gates=lambda: 1,
        on_restart_suspected=lambda: restarts.append(1),
        on_leaving=leaves.append,
    )
    gate.instance = target.instance
    gate.version = "v1"
    gate.queue.slots = slots
    gate.set_close_reason("target-unknown", False)
    gate.cold.adjust(WARM_RATE, 1.0, WARM_RATE)
    gate.cold.set_cold_time(0.0, 0.0)
    ticking = asyncio.create_task(gate.tick())
    try:
        yield OpenGate(gate, target, restarts, leaves)
    finally:
        ticking.cancel()
        gate.pool.close()
        target.close()
