"""Silent links that are kept only for results that may still come."""

import asyncio
import socket
from contextlib import asynccontextmanager, suppress
from types import SimpleNamespace

from testtools.assertions import assert_that
from testtools.matchers import Equals

from cactusshed.mesh.link import dial_link
from cactusshed.mesh.pending import SWEEP_SECONDS, PendingCalls
from cactusshed.options import Address
from cactusshed.policy.bodybudget import BodyBudget

from .meshes import make_call, run_async

SHORT_SECONDS = 0.1
UNSENT_BYTES = 32 << 20
"""Far more than the sockets hold."""
LONG_SECONDS = 1.5
"""Time of a read that is still awaited when the silence of its link is found."""


@asynccontextmanager
async def open_dead_link():
    """Yield a member whose link gets no data, and the calls that are sent on it."""
    has_ended = asyncio.Event()

    async def swallow(reader, writer):
        with suppress(ConnectionError):
            await reader.read(-1)
        writer.close()
        has_ended.set()

    server = await asyncio.start_server(swallow, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname())
    pending = PendingCalls(BodyBudget(1 << 20), lambda link: pending.retire(link))
    link = await dial_link(address, pending.handle, pending.fail)
    sweeping = asyncio.create_task(pending.sweep())
    try:
        yield SimpleNamespace(link=link, is_up=True, node="n2"), pending
    finally:
        sweeping.cancel()
        link.close()
        server.close()
        await has_ended.wait()


async def await_call(member, pending, seconds):
    """Send a read and give it up after `seconds`."""
    with suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await pending.send(member, make_call())


def test_retired_link_is_closed_after_its_last_call():
    """Dead links stayed open, one more with each cut of the network.

    A call that had been given up before kept the link under watch for good.
    """

    async def work():
        async with open_dead_link() as (member, pending):
            await await_call(member, pending, SHORT_SECONDS)
            await await_call(member, pending, LONG_SECONDS)
            was_retired = member.link.is_retired
            await asyncio.sleep(5 * SWEEP_SECONDS)
            return was_retired, member.link.is_closed

    assert_that(run_async(work), Equals((True, True)))


def test_retired_link_sends_no_more_of_calls_that_are_not_awaited_on_it():
    """A slow link went on with bodies that were being sent again over the next one."""

    async def work():
        pending = PendingCalls(BodyBudget(1 << 20), lambda link: pending.retire(link))
        with socket.create_server(("127.0.0.1", 0)) as server:
            address = Address(*server.getsockname())
            link = await dial_link(address, pending.handle, pending.fail)
            link.takes_parts = True
            member = SimpleNamespace(link=link, is_up=True, node="n2")
            body = bytes(UNSENT_BYTES)
            calls = [make_call(), make_call(body=body, is_idempotent=False)]
            tasks = [asyncio.create_task(pending.send(member, c)) for c in calls]
            await asyncio.sleep(SHORT_SECONDS)
            before = link.count_unsent_bytes()
            pending.retire(link)
            after = link.count_unsent_bytes()
            link.close()
            await asyncio.wait(tasks)
            for task in tasks:
                task.exception()
            return before > UNSENT_BYTES // 2, after < UNSENT_BYTES // 100

    assert_that(run_async(work), Equals((True, True)))
