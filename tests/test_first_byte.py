"""Calls between nodes whose first byte is late, on connections used before."""

import asyncio
from contextlib import asynccontextmanager

import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from cactusshed.clock import read_monotonic
from cactusshed.member.announcements import LocalTarget, TargetRegistry
from cactusshed.member.records import Member, Target
from cactusshed.member.view import Endpoint
from cactusshed.observe.counters import Counters
from cactusshed.observe.tallies import Tallies
from cactusshed.options import Address
from cactusshed.serve.disconnect import DisconnectWatcher
from cactusshed.serve.gates import Gates
from cactusshed.serve.listener import Listener
from cactusshed.serve.messages import (
    SETTLED_NOT_RUN,
    Answered,
    Call,
    NotRun,
    Reply,
)
from cactusshed.serve.peerclient import PeerClient
from cactusshed.serve.peerserver import PeerApp
from cactusshed.settings import parse_settings
from cactusshed.spread.activeversion import ActiveVersion
from cactusshed.tree.branch import build_tree
from cactusshed.tree.edit import Edit, make_change
from standins.ports import choose_port

from .meshes import run_async
from .test_settings import GOOD

FIRST_BYTE_SECONDS = 0.3
WORK_SECONDS = 1.0
"""Time of work of a slow call, well within its timeout of five seconds."""


@attrs.define
class SlowTarget:
    """Answers each request after `work_seconds`; counts runs and broken-off ones."""

    work_seconds: float = 0.0
    runs: int = 0
    aborted: int = 0

    async def send(self, _request, **_limits):
        """Run one request."""
        self.runs += 1
        try:
            await asyncio.sleep(self.work_seconds)
        except asyncio.CancelledError:
            self.aborted += 1
            raise
        return Reply(200, [], b"done")


def make_table():
    """Return a configuration with one route."""
    current = ActiveVersion("r", "d", Counters())
    route = {"prefix": "/s", "first-byte-ms": str(int(FIRST_BYTE_SECONDS * 1000))}
    edits = [Edit("/*/*/s", {"version": "v1"}), Edit("/*/*/s/r", route)]
    change, tree = make_change(build_tree(0, ()), "c", "t", 0.0, edits)
    current.swap(tree, [change])
    return current


@asynccontextmanager
async def open_peer():
    """Yield a function that calls another node, that node's target, and the client."""
    current, counters, target = make_table(), Counters(), SlowTarget()
    settings = parse_settings(GOOD)
    port = choose_port()
    registry = TargetRegistry(1e9, lambda _targets: None)
    gates = Gates(
        registry,
        current,
        counters,
        Tallies(),
        lambda _call: None,
        "d",
        "n1",
        make_pool=lambda *_arguments: target,
    )
    local = LocalTarget(
        "t1", "s", "v1", Address("127.0.0.1", 1), 5, "i", "ready", 0, 0.0
    )
    registry._by_name[local.name] = local
    gates.apply_announcement(local)
    watcher = DisconnectWatcher()
    app = PeerApp(gates, counters, settings.secret, 1, 1 << 20, watcher)
    listener = Listener(app, Address("127.0.0.1", port), settings)
    tasks = [asyncio.create_task(run()) for run in (listener.run, watcher.run)]
    target_row = Target("t1", "s", "v1", 5, True)
    member = Member("n1", "r", "d", "127.0.0.1", port, port, 1, targets=(target_row,))
    client = PeerClient(settings, counters)
    (route,) = current.table.routes

    async def call(call_id, *, idempotent):
        method = "GET" if idempotent else "POST"
        deadline = read_monotonic() + route.timeout
        return await client.call(
            Call(
                call_id,
                method,
                b"/s",
                [],
                b"",
                deadline,
                0,
                "t",
                "s",
                "r",
                "normal",
                idempotent,
                route_settings=route,
            ),
            Endpoint(member, target_row),
        )

    try:
        yield call, target, client
    finally:
        listener.stop()
        await listener.ended.wait()
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)


@pytest.mark.parametrize("idempotent", [True, False])
def test_call_at_work_is_not_broken_off_on_a_reused_connection(idempotent):
    """Reads that took longer than the first-byte time were broken off at work.

    They ran again on another connection, or the caller got a 502 long before its
    timeout.
    """

    async def work():
        async with open_peer() as (call, target, _client):
            await call("quick", idempotent=idempotent)
            target.work_seconds = WORK_SECONDS
            outcome = await call("slow", idempotent=idempotent)
            return type(outcome), getattr(outcome, "code", ""), target.aborted

    assert_that(run_async(work), Equals((Answered, "", 0)))


def test_silent_connection_is_given_up_after_the_first_byte_time():
    """A read whose answer is lost with its connection need not wait any longer."""

    async def work():
        async with open_peer() as (call, target, client):
            await call("quick", idempotent=True)
            (pool,) = client._pools.values()
            (pooled,) = pool._idle
            pooled.connection._protocol.transport.pause_reading()
            started = read_monotonic()
            outcome = await call("lost", idempotent=True)
            return target.runs, outcome, read_monotonic() - started

    runs, outcome, seconds = run_async(work)
    assert_that((runs, outcome), Equals((2, NotRun(SETTLED_NOT_RUN))))
    assert_that(seconds, LessThan(WORK_SECONDS))
