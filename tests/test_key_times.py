"""Times in which added and removed keys take effect, at real processes.

Guards against keys that take effect too late, or return after they were removed: on
connections that stay open, in a burst of configurations, and around outages of the
store. Times count from the moment at which the store has acknowledged the version.
"""

import asyncio
import random
import signal
import time
from collections.abc import Iterator
from contextlib import asynccontextmanager

import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from cactusshed.mesh.upstream import Upstream, open_upstream
from soak.fleet import Fleet
from soak.proxy import Impairment
from standins.meshfleet import make_document, render_request, send_request, wait_for

ADDED_SECONDS = 2.5
"""Time in which an added key must be accepted: `bounds.config`."""
REMOVED_SECONDS = 5.0
"""Time in which a removed key must be refused: `bounds.revoke`."""
NODES = 4
"""Nodes in three data centres, so that one of them doesn't read the store itself."""
KEPT, REMOVED, ADDED = "kept-key-1c", "removed-key-2d", "added-key-3e"
REQUEST_SECONDS = 0.02
"""Pause between two requests of one connection."""
BURST_SECONDS = 0.2
"""Interval of the configurations of a burst."""
OUTAGE_SECONDS = 3.0
TEST_SECONDS = 60.0
"""Far above what a test needs, so that only a hang fails."""


@attrs.define(eq=False)
class KeyClient:
    """Sends requests with one key to one node, all over one connection."""

    key: str
    upstream: Upstream
    answers: list[tuple[float, float, int]] = attrs.Factory(list)
    """Times at which each request was sent and answered, and its status."""

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            sent = time.monotonic()
            headers = {"x-credential": self.key}
            request = render_request(b"GET", "/read/plain/0", headers)
            answer = await self.upstream.exchange(request)
            self.answers.append((sent, time.monotonic(), answer.status))
            await asyncio.sleep(REQUEST_SECONDS)

    def find_statuses(self, since: float, until: float = float("inf")) -> set[int]:
        """Return the statuses of the requests sent and answered in some time."""
        return {
            status
            for sent, answered, status in self.answers
            if since <= sent and answered < until
        }


def configure(fleet, *keys) -> float:
    """Write the next version, in which `keys` are valid; return the time."""
    fleet.version += 1
    routes = {"/read/": {}, "/other/": {"service": "b"}}
    document = make_document(fleet.version, routes, ["a", "b"])
    tenants = {"acme": [KEPT], "bolt": [key for key in keys if key != KEPT]}
    document["tenants"] = [
        {"name": name, "api_keys": found, "priority": 1}
        for name, found in tenants.items()
    ]
    fleet.store.put_json("op", "config", document)
    return time.monotonic()


async def ask(node, key) -> int:
    """Return the status of a request with `key` on a new connection."""
    headers = {"x-credential": key}
    address = node.caller_address
    return (await send_request(address, b"GET", "/read/plain/0", headers)).status


@asynccontextmanager
async def open_fleet(folder):
    """Yield a fleet in which two keys are valid."""
    fleet = await Fleet.open(NODES, folder, random.Random(1))
    try:
        configure(fleet, KEPT, REMOVED)

        async def is_served(node) -> bool:
            return await ask(node, REMOVED) == 200

        for node in fleet.nodes:
            await wait_for(lambda node=node: is_served(node))
        yield fleet
    finally:
        await fleet.close()


@asynccontextmanager
async def open_clients(fleet):
    """Yield clients that send requests, one for each key and node."""
    clients = [
        KeyClient(key, await open_upstream(node.caller_address))
        for node in fleet.nodes
        for key in (KEPT, REMOVED, ADDED)
    ]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    try:
        await asyncio.sleep(0.5)
        yield clients
    finally:
        for task in tasks:
            task.cancel()
        ended = await asyncio.gather(*tasks, return_exceptions=True)
    # A task that has ended by itself shows that a node has closed its connection.
    assert_that([type(e) for e in ended], Equals([asyncio.CancelledError] * len(tasks)))


def find_faults(clients, changed, added_by, removed_by) -> Iterator[str]:
    """Yield what is wrong with the answers before and after a change of keys.

    The key is to be accepted, or refused, by every request sent from these times.
    """
    for number, client in enumerate(clients):
        place = f"{client.key} at n{number // 3}"
        before = client.find_statuses(0.0, changed)
        first = {ADDED: 401}.get(client.key, 200)
        if before != {first}:
            yield f"{place}: {before} before the change"
        last, due = {
            KEPT: (200, changed),
            ADDED: (200, added_by),
            REMOVED: (401, removed_by),
        }[client.key]
        late = [sent for sent, _, status in client.answers if status != last]
        if client.find_statuses(due) != {last}:
            yield f"{place}: not {last} {max(late) - changed:.2f} s after the change"
        turns = [status for *_, status in client.answers]
        changes = sum(a != b for a, b in zip(turns, turns[1:], strict=False))
        if changes > 1:
            yield f"{place}: changed {changes} times"


async def keep_writing(fleet, *keys) -> None:
    """Write versions with the same keys until cancelled."""
    while True:
        await asyncio.sleep(BURST_SECONDS)
        configure(fleet, *keys)


@asynccontextmanager
async def write_burst(fleet, *keys):
    """Write versions with the same keys meanwhile."""
    task = asyncio.create_task(keep_writing(fleet, *keys))
    try:
        yield
    finally:
        task.cancel()


@asynccontextmanager
async def cut_store(fleet, impairment):
    """Cut all nodes off from the store; the operator reaches it."""
    for node in fleet.nodes:
        node.store_proxy.impairment = impairment
        if impairment == Impairment.REFUSED:
            node.store_proxy.reset()
    try:
        yield
    finally:
        for node in fleet.nodes:
            node.store_proxy.impairment = Impairment.NONE


def check_change(folder, change) -> None:
    """Check that the change of keys that `change` makes takes effect in time.

    It returns when the keys were changed, and from when on they must be in force.
    """

    async def work():
        async with (
            asyncio.timeout(TEST_SECONDS),
            open_fleet(folder) as fleet,
            open_clients(fleet) as clients,
        ):
            times = await change(fleet)
            await asyncio.sleep(max(times) + 1.0 - time.monotonic())
            faults = list(find_faults(clients, *times))
            return faults, min(len(client.answers) for client in clients)

    faults, answers = asyncio.run(work())
    assert_that(faults, Equals([]))
    assert_that(answers, GreaterThan(20))


def test_keys_take_effect_in_time_on_open_connections(tmp_path):
    """A connection must not keep the right that its earlier requests had."""

    async def change(fleet):
        changed = configure(fleet, KEPT, ADDED)
        return changed, changed + ADDED_SECONDS, changed + REMOVED_SECONDS

    check_change(tmp_path, change)


def test_keys_take_effect_in_time_in_a_burst_of_configurations(tmp_path):
    """A version that replaces the one before must not delay or undo its keys."""

    async def change(fleet):
        async with write_burst(fleet, KEPT, REMOVED):
            await asyncio.sleep(3.0)
        changed = configure(fleet, KEPT, ADDED)
        async with write_burst(fleet, KEPT, ADDED):
            await asyncio.sleep(REMOVED_SECONDS)
        return changed, changed + ADDED_SECONDS, changed + REMOVED_SECONDS

    check_change(tmp_path, change)


@pytest.mark.parametrize("impairment", [Impairment.SILENT, Impairment.REFUSED])
def test_keys_take_effect_in_time_between_outages_of_the_store(tmp_path, impairment):
    """The pause after failures must not delay a change, nor a later outage undo it.

    The operator writes other versions all the time.
    """

    async def change(fleet):
        async with write_burst(fleet, KEPT, REMOVED), cut_store(fleet, impairment):
            await asyncio.sleep(OUTAGE_SECONDS)
        changed = configure(fleet, KEPT, ADDED)
        async with write_burst(fleet, KEPT, ADDED):
            await asyncio.sleep(ADDED_SECONDS)
            async with cut_store(fleet, impairment):
                await asyncio.sleep(OUTAGE_SECONDS)
        return changed, changed + ADDED_SECONDS, changed + REMOVED_SECONDS

    check_change(tmp_path, change)


@pytest.mark.parametrize("fault", ["busy", "silent"])
def test_keys_take_effect_in_time_after_an_outage_of_the_store(tmp_path, fault):
    """Calls that the store has not answered must not hold up the next ones."""

    async def change(fleet):
        fleet.store.fault = fault
        await asyncio.sleep(OUTAGE_SECONDS)
        fleet.store.fault = "up"
        changed = configure(fleet, KEPT, ADDED)
        return changed, changed + ADDED_SECONDS, changed + REMOVED_SECONDS

    check_change(tmp_path, change)


@pytest.mark.parametrize("impairment", [Impairment.SILENT, Impairment.REFUSED])
def test_keys_take_effect_although_the_nodes_miss_the_change(tmp_path, impairment):
    """Nodes that are cut off at the change, and just after a poll of the store began.

    An added key can be accepted only once the store is reachable again. A removed one
    must be refused in time, as the outage is shorter than that.
    """

    async def change(fleet):
        configure(fleet, KEPT, REMOVED)
        await asyncio.sleep(0.1)
        async with cut_store(fleet, impairment):
            changed = configure(fleet, KEPT, ADDED)
            await asyncio.sleep(REMOVED_SECONDS - ADDED_SECONDS)
        reachable = time.monotonic()
        return changed, reachable + ADDED_SECONDS, changed + REMOVED_SECONDS

    check_change(tmp_path, change)


def test_removed_key_stays_refused_after_a_restart_in_a_burst(tmp_path):
    """A node that starts while versions follow one another must serve no old one."""

    async def work():
        async with asyncio.timeout(TEST_SECONDS), open_fleet(tmp_path) as fleet:
            removed = configure(fleet, KEPT, ADDED)
            node, statuses = fleet.nodes[0], set()
            async with write_burst(fleet, KEPT, ADDED):
                await asyncio.sleep(REMOVED_SECONDS)
                await node.stop(signal.SIGKILL)
                node.start()
                await fleet.wait_ready(node)
                while time.monotonic() < removed + 2 * REMOVED_SECONDS:
                    statuses |= {await ask(node, REMOVED)}
                    await asyncio.sleep(REQUEST_SECONDS)
            return statuses, await ask(node, ADDED)

    assert_that(asyncio.run(work()), Equals(({401}, 200)))
