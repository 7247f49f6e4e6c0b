"""Links between nodes that stay open and have gone silent for good."""

import asyncio
from contextlib import asynccontextmanager, suppress
from types import SimpleNamespace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cactusshed.mesh.frames import OutcomeQuery
from cactusshed.mesh.link import Link, LinkLost, dial_link, serve_links
from cactusshed.mesh.pending import PendingCalls
from cactusshed.options import Address
from cactusshed.policy.bodybudget import BodyBudget
from standins.ports import choose_port

from .meshes import make_call, run_async

DEADLINE_SECONDS = 0.25
"""Deadline of internal checks on the users' sites."""


@asynccontextmanager
async def open_link(address):
    """Yield a member with a link to `address`, and the calls that are sent on it."""
    pending = PendingCalls(BodyBudget(1 << 20), Link.close)
    link = await dial_link(address, pending.handle, pending.fail)
    sweeping = asyncio.create_task(pending.sweep())
    try:
        yield SimpleNamespace(link=link, is_up=True, node="n2"), pending
    finally:
        sweeping.cancel()
        link.close()


async def send_calls(member, pending, frames, seconds=DEADLINE_SECONDS):
    """Send frames one after the other; return how many timed out before a loss."""
    timed_out = 0
    for frame in frames:
        try:
            async with asyncio.timeout(seconds):
                await pending.send(member, frame)
        except TimeoutError:
            timed_out += 1
        except LinkLost:
            break
    return timed_out


def make_frames(kind):
    """Yield calls or outcome queries."""
    for number in range(1, 20):
        if kind == "query":
            yield OutcomeQuery(number, b"r", 1, 250)
        else:
            yield make_call(number=number, remaining_ms=250)


@pytest.mark.parametrize("kind", ["call", "query"])
def test_silent_link_is_found_although_no_call_lasts_so_long(kind):
    """Calls with short deadlines timed out on a dead link, one after the other."""

    async def work():
        has_ended = asyncio.Event()

        async def swallow(reader, writer):
            with suppress(ConnectionError):
                await reader.read(-1)
            writer.close()
            has_ended.set()

        server = await asyncio.start_server(swallow, "127.0.0.1", 0)
        address = Address(*server.sockets[0].getsockname())
        try:
            async with open_link(address) as (member, pending):
                timed_out = await send_calls(member, pending, make_frames(kind))
                return timed_out <= 4, member.link.is_closed
        finally:
            server.close()
            await has_ended.wait()

    assert_that(run_async(work), Equals((True, True)))


def test_link_that_answers_pings_stays_open_under_calls_that_time_out():
    """A node whose target is slow is not a node that has gone silent."""

    async def work():
        address = Address("127.0.0.1", choose_port())
        server = await serve_links(address, lambda *_: None, lambda _link: None)
        try:
            async with open_link(address) as (member, pending):
                frames = make_frames("call")
                timed_out = await send_calls(member, pending, frames, 0.1)
                return timed_out, member.link.is_closed
        finally:
            server.close()

    assert_that(run_async(work), Equals((19, False)))


def test_link_is_pinged_once_after_a_call_was_given_up():
    """One answered ping ends the watch: idle links cost nothing."""

    async def work():
        received = []
        address = Address("127.0.0.1", choose_port())
        server = await serve_links(address, lambda *_: None, lambda _link: None)
        try:
            async with open_link(address) as (member, pending):
                link = member.link
                send = link.send
                link.send = lambda frame: received.append(frame) or send(frame)
                await send_calls(member, pending, [make_call()], 0.05)
                await asyncio.sleep(1.2)
                return [type(frame).__name__ for frame in received]
        finally:
            server.close()

    assert_that(run_async(work), Equals(["Call", "Cancel", "Ping"]))
