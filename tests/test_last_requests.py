"""Requests that reach a stopping node just before its end are refused, not dropped."""

import asyncio
import select
import socket
import time

import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, StartsWith

from cactusshed.clock import read_monotonic
from cactusshed.mesh import shutdown, sidecar
from cactusshed.mesh.listener import Listener
from cactusshed.mesh.messages import make_response
from cactusshed.mesh.shutdown import (
    LAST_ANSWERS_SECONDS,
    QUIET_POLLS,
    UNREADY_NOTICE_SECONDS,
    drain,
)
from cactusshed.mesh.table import Limits
from cactusshed.policy.plannedstop import PlannedStop, ReaderProgress
from standins.meshfleet import MeshFleet, make_document, render_request, wait_for
from standins.ports import choose_port

from .meshes import run_async

HELD_UP_SECONDS = 0.3
"""Time for which the machine gives the process no time; above `loss_slack`, the time
after which an unanswered request counts as lost."""
BEFORE_END_SECONDS = 0.1
DRAIN_SECONDS = 0.2
QUEUED_CONNECTIONS = 20
"""More than asyncio takes from the kernel in one turn."""


@pytest.mark.parametrize("work_seconds", [0.0, LAST_ANSWERS_SECONDS + 0.4])
def test_request_that_came_while_the_stopping_node_was_held_up_is_answered(
    work_seconds,
):
    """A client's connection was reset, 0.3 s after its request had been sent.

    The node ended with connections that it had only just accepted, and whatever ran
    longer than its last refusals may take.
    """

    async def work():
        fleet = await MeshFleet.open()
        document = make_document(1, {"/read/": {}}, ["a"])
        fleet.store.put_json("op", "config", document)
        try:
            (node,) = await fleet.start_connected("n1")
            await wait_for(node.is_reachable_and_ready)
            node.target.work_seconds = work_seconds
            stopping = asyncio.create_task(node.shut_down())
            await asyncio.sleep(UNREADY_NOTICE_SECONDS - BEFORE_END_SECONDS)
            callers = node.settings.callers
            with socket.create_connection((callers.ip, callers.port)) as client:
                client.sendall(render_request(b"GET", "/read/x", {}))
                time.sleep(HELD_UP_SECONDS)
                await stopping
                # The process would end now.
                client.setblocking(False)
                try:
                    return client.recv(1000)
                except OSError:
                    # Reset, or nothing received yet.
                    return b""
        finally:
            await fleet.close()

    assert_that(run_async(work), StartsWith(b"HTTP/1.1 "))


def close_with_listener(listener, connection):
    """Close `connection` as a node that stops does."""
    listener.close_idle()


def close_alone(listener, connection):
    """Close `connection` as its idle timeout does."""
    connection.close_if_idle()


@pytest.mark.parametrize("close", [close_with_listener, close_alone])
def test_connection_with_an_unread_request_is_not_idle(close):
    """A stopping node that was held up reset connections with unread requests.

    It took the connections for idle, since it had not read from them for 0.1 s.
    """

    async def serve(_request):
        return make_response(200)

    async def work():
        listener = Listener(serve, Limits, lambda status: None)
        port = choose_port()
        await listener.open("127.0.0.1", port)
        loop = asyncio.get_running_loop()
        with socket.create_connection(("127.0.0.1", port)) as client:
            await wait_for(lambda: listener.connections)
            (connection,) = listener.connections
            client.sendall(render_request(b"GET", "/read/x", {}))
            # The request arrives without a turn of the event loop, as in a pause.
            select.select([connection._transport.get_extra_info("socket")], [], [])
            close(listener, connection)
            client.setblocking(False)
            answer = await loop.sock_recv(client, 1000)
        listener.stop()
        return answer

    assert_that(run_async(work), StartsWith(b"HTTP/1.1 200 "))


@pytest.mark.parametrize("turns", range(6))
def test_request_on_a_connection_that_a_stopping_listener_has_not_opened_is_answered(
    turns,
):
    """The kernel reset connections that it had accepted and the process had not.

    They are in the queue of the listening socket, which it drops on close. In the turns
    of the event loop that follow, asyncio accepts them, and dropped those for which it
    had no transport when the listener closed. The client had sent its whole request,
    and did not know whether it had run.
    """

    async def serve(_request):
        return make_response(503)

    async def work():
        listener = Listener(serve, Limits, lambda status: None)
        port = choose_port()
        await listener.open("127.0.0.1", port)
        loop = asyncio.get_running_loop()
        clients = []
        for _ in range(QUEUED_CONNECTIONS):
            # Connects and sends without a turn of the event loop.
            client = socket.create_connection(("127.0.0.1", port))
            client.sendall(render_request(b"GET", "/read/x", {}))
            client.setblocking(False)
            clients.append(client)
        for _ in range(turns):
            await asyncio.sleep(0)
        listener.is_closing = True
        listener.stop()
        answers = []
        for client in clients:
            with client:
                try:
                    async with asyncio.timeout(1.0):
                        answers.append((await loop.sock_recv(client, 1000))[:12])
                except OSError as error:
                    answers.append(type(error))
        return answers

    answers = run_async(work)
    assert_that(answers, Equals([b"HTTP/1.1 503"] * QUEUED_CONNECTIONS))


@pytest.mark.parametrize("is_connected", [True, False])
def test_request_that_arrives_in_a_pause_past_the_end_of_a_drain_is_refused(
    is_connected,
):
    """A process was stopped and continued once its time to drain was over.

    The drain ended at once, and the process exited with a request that it had not read.
    """
    planned_stop = PlannedStop()

    async def serve(_request):
        accepts = planned_stop.accepts(read_monotonic() + 1.0)
        return make_response(200 if accepts else 503)

    async def work():
        listener = Listener(serve, Limits, lambda status: None)
        port = choose_port()
        await listener.open("127.0.0.1", port)
        inbound = attrs.make_class("Inbound", {"running": attrs.field(default=0)})()
        with socket.socket() as client:
            if is_connected:
                client.connect(("127.0.0.1", port))
                await wait_for(lambda: listener.connections)
            now = read_monotonic()
            planned_stop.begin(now, now + DRAIN_SECONDS)
            readers = ReaderProgress([])
            draining = asyncio.create_task(
                drain(listener, inbound, planned_stop, readers)
            )
            await asyncio.sleep(DRAIN_SECONDS / 2)
            if not is_connected:
                client.connect(("127.0.0.1", port))
            client.sendall(render_request(b"GET", "/read/x", {}))
            time.sleep(DRAIN_SECONDS + LAST_ANSWERS_SECONDS + HELD_UP_SECONDS)
            await draining
            # The process would end now.
            client.setblocking(False)
            try:
                return client.recv(1000)
            except OSError:
                # Reset, or nothing received.
                return b""

    assert_that(run_async(work), StartsWith(b"HTTP/1.1 503 "))


@attrs.define
class LateListener:
    """A listener that gets one request right after check number `late_check`."""

    planned_stop: PlannedStop
    late_check: int
    checks: int = 0
    running: int = 0
    is_closing: bool = False
    connections: tuple = ()

    def count_busy(self):
        """Return the number of requests being served."""
        self.checks += 1
        if self.checks == self.late_check:
            asyncio.get_running_loop().call_soon(self.receive)
        return self.running

    def receive(self):
        """Accept a request, unless it is refused."""
        if self.planned_stop.accepts(0.0):
            self.running += 1
            loop = asyncio.get_running_loop()
            loop.call_later(LAST_ANSWERS_SECONDS + 0.4, self.answer)

    def answer(self):
        """End the request."""
        self.running -= 1

    def close_idle(self, _min_idle=0.0):
        """Do nothing."""

    def stop(self):
        """Do nothing."""


@pytest.mark.parametrize("late_check", range(1, QUIET_POLLS + 1))
def test_request_accepted_after_the_last_check_is_not_cut_off(monkeypatch, late_check):
    """A read got a 502 at the end of a stop, while its target was at work on it.

    It came after the check that ended the stop, and before requests were refused.
    """
    monkeypatch.setattr("cactusshed.mesh.shutdown.UNREADY_NOTICE_SECONDS", 0.0)

    async def work():
        now = read_monotonic()
        stop = PlannedStop()
        stop.begin(now, now + 4.0)
        listener = LateListener(stop, late_check)
        inbound = attrs.make_class("Inbound", {"running": attrs.field(default=0)})()
        await drain(listener, inbound, stop, ReaderProgress([]))
        return listener.running

    assert_that(run_async(work), Equals(0))


@pytest.mark.parametrize("is_accepted", [True, False])
def test_announcement_at_the_end_of_a_stop_is_answered(is_accepted):
    """A stopping node ended with an announcement of its target unread or unanswered.

    Its listeners for targets, probes and operators stay open until the process ends.
    """

    async def work():
        fleet = await MeshFleet.open()
        fleet.store.put_json("op", "config", make_document(1, {"/read/": {}}, ["a"]))
        try:
            (node,) = await fleet.start_connected("n1")
            address = node.settings.announcements
            body = b"{}"
            path = f"/cactusshed/rpc?call=instances.heartbeat&of={node.target.instance}"
            with socket.socket() as client:
                drained = shutdown.await_readers

                async def send_and_await(*args):
                    await drained(*args)
                    client.connect((address.ip, address.port))
                    client.sendall(render_request(b"POST", path, {}, body))
                    for _ in range(4 * is_accepted):
                        await asyncio.sleep(0)

                with pytest.MonkeyPatch.context() as patch:
                    patch.setattr(sidecar, "await_readers", send_and_await)
                    await node.shut_down()
                # The process would end now.
                client.setblocking(False)
                try:
                    return client.recv(1000)
                except OSError:
                    # Reset, or nothing received.
                    return b""
        finally:
            await fleet.close()

    assert_that(run_async(work), StartsWith(b"HTTP/1.1 "))
