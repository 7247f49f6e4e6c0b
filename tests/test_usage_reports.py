"""Usage reports: counting at the gate, the platform's call, and a fleet in one loop."""

import asyncio
import socket
import time
from collections import Counter

import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, Is, LessThan

from cactusshed.clock import read_boottime
from cactusshed.errors import AnswerLost, LeaseLost
from cactusshed.mesh.exchange import TargetExchange
from cactusshed.mesh.framing import FrameDecoder, encode_frame
from cactusshed.mesh.inbound import Inbound
from cactusshed.nodesettings import UsageSettings
from cactusshed.observe.counters import Counters
from cactusshed.options import Address
from cactusshed.platform.usagereports import send_report
from cactusshed.policy.plannedstop import PlannedStop
from cactusshed.policy.truetime import TrueTime
from cactusshed.policy.usagelease import DutyWatch, LeaseTimes, find_rank
from cactusshed.policy.usagewindows import WindowTotals, find_final_windows
from cactusshed.store.httpcalls import HttpCalls
from cactusshed.usage.counting import UsageCounter
from cactusshed.usage.frames import UsageHolder, UsageReceipt, UsageTotals
from cactusshed.usage.reporter import open_reporter
from standins.meshfleet import MeshFleet, make_document, wait_for
from standins.ports import choose_port
from standins.usageapi import open_usage_api

from .meshes import make_call, open_gate, run_async

WINDOW = 1.0
LEASE = 1.2


def make_counter(now=100.0, wall=1000.0):
    """Return a counter whose clock is settled, and a function that sets its time."""
    times = [now]
    clock = TrueTime(now - 60)
    clock.add_sample(wall, now)
    counter = UsageCounter(5.0, clock, lambda: times[0])
    return counter, lambda new: times.__setitem__(0, new)


# Counting.


@pytest.mark.parametrize(
    ("action", "counted"),
    [
        ("", 1),
        ("fail", 1),
        ("reset", 1),
        ("truncate", 1),
        ("unsealed", 1),
        ("hang", 1),
        ("shed", 0),
    ],
)
def test_gate_counts_calls_that_may_have_run(action, counted):
    """Guards against counting refused calls, or leaving out those of lost answers."""

    async def work():
        async with open_gate(script={"/a/": action}) as opened:
            counter, _ = make_counter()
            opened.gate.exchange.usage = counter
            call = make_call(tenant="pulo", remaining_ms=300, soft_timeout_ms=200)
            await opened.gate.run(call)
            return counter.windows, sum(opened.target.runs.values())

    windows, runs = run_async(work)
    assert_that(sum(c["pulo"] for c in windows.values()), Equals(counted))
    assert_that(runs, Equals(counted))


def test_call_for_another_instance_is_not_counted():
    """Guards against counting a call that a restarted target refuses with 421."""

    async def work():
        async with open_gate() as opened:
            counter, _ = make_counter()
            opened.gate.exchange.usage = counter
            opened.target.instance = "i-2"
            await opened.gate.run(make_call(tenant="pulo"))
            return counter.windows

    assert_that(run_async(work), Equals({200: {"pulo": 0}}))


def test_unsent_call_is_not_counted():
    """Guards against counting a call to a target that accepts no connection."""

    async def work():
        async with open_gate() as opened:
            counter, _ = make_counter()
            opened.gate.exchange.usage = counter
            opened.target.crash()
            await opened.gate.run(make_call(tenant="pulo"))
            return counter.windows

    assert_that(run_async(work), Equals({200: {"pulo": 0}}))


def test_calls_made_by_targets_are_not_counted():
    """A request must not be reported again for each call that it makes."""

    async def work():
        counter, _ = make_counter()
        async with open_gate() as opened:
            opened.gate.exchange.usage = counter
            await opened.gate.run(make_call(tenant="pulo", is_nested=True))
        return counter.windows

    assert_that(run_async(work), Equals({}))


def test_calls_without_an_organisation_are_not_counted():
    """Guards against an entry without a name in the reports."""

    async def work():
        async with open_gate() as opened:
            counter, _ = make_counter()
            opened.gate.exchange.usage = counter
            await opened.gate.run(make_call())
            return counter.windows

    assert_that(run_async(work), Equals({}))


def test_call_is_counted_in_the_window_of_its_start():
    """Guards against a refusal that is taken off the window of the answer."""
    counter, set_time = make_counter()
    started = counter.start("pulo")
    counter.start("pulo")
    set_time(105.0)
    counter.start("pulo")
    counter.undo("pulo", started)
    assert_that(counter.windows, Equals({200: {"pulo": 1}, 201: {"pulo": 1}}))


def test_calls_before_the_clock_is_compared_are_assigned_afterwards():
    """Guards against calls counted by a clock that is found to be wrong."""
    clock = TrueTime(100.0)
    clock.add_sample(5000.0, 100.0)
    times = [100.0]
    counter = UsageCounter(5.0, clock, lambda: times[0])
    counter.start("pulo")
    refused = counter.start("kabo")
    times[0] = 100.5
    counter.start("pulo")
    counter.undo("kabo", refused)
    clock.note_fleet_time(1000.5, 100.5)
    counter.refresh(100.5)
    assert_that(counter.windows, Equals({200: {"pulo": 2, "kabo": 0}}))


# Decisions.


def test_jump_of_the_wall_clock_does_not_move_the_time():
    """Guards against windows that follow a wall clock set forward and back."""
    clock = TrueTime(0.0)
    for second in range(0, 60, 2):
        clock.add_sample(1000.0 + second, second)
    for second in range(60, 100, 2):
        clock.add_sample(1007.0 + second, second)
    assert_that(clock.get_offset(), Equals(1000.0))


def test_late_message_does_not_correct_the_clock():
    """Guards against a correction by messages that waited for a frozen receiver."""
    clock = TrueTime(0.0)
    clock.add_sample(1000.0, 0.0)
    clock.note_fleet_time(1010.0, 10.0)
    clock.note_fleet_time(1011.0, 15.0)
    assert_that(clock.get_offset(), Equals(1000.0))


def test_lease_is_not_taken_before_it_has_ended():
    """Guards against a takeover while the holder may act, also with many candidates."""
    watch = DutyWatch(LeaseTimes(3.0), 0.0)
    watch.note("a", 4, 17, 10.0)
    assert_that(watch.is_due(12.9, 0, is_weak=False), Is(False))
    assert_that(watch.is_due(13.1, 0, is_weak=False), Is(True))
    assert_that(watch.is_due(13.1, 2, is_weak=False), Is(False))
    assert_that(watch.is_due(20.0, 0, is_weak=True), Is(False))
    assert_that(watch.may_take(17, 12.9), Is(False))
    assert_that(watch.may_take(18, 13.1), Is(False))
    assert_that(watch.may_take(17, 13.1), Is(True))
    assert_that(watch.note("a", 4, 17, 14.0), Is(False))


def test_ranks_are_distinct():
    """Guards against candidates that always read the row at the same time."""
    names = [f"n{number}" for number in range(20)]
    ranks = sorted(find_rank(name, names) for name in names)
    assert_that(ranks, Equals(list(range(20))))


def test_totals_are_merged_in_any_order():
    """Guards against repeats and old messages that change the counts."""
    totals = WindowTotals()
    totals.merge(("a", 1), 2, {7: {"pulo": 5}})
    totals.merge(("a", 1), 1, {7: {"pulo": 3}})
    totals.merge(("a", 1), 2, {7: {"pulo": 5}})
    totals.merge(("a", 2), 1, {7: {"pulo": 1}})
    assert_that(totals.sum_window(7), Equals({"pulo": 6}))
    totals.drop_before(8)
    assert_that(totals.find_first(), Is(None))


def test_window_is_fixed_once_all_nodes_have_reported():
    """Guards against windows fixed too early, or never because of a silent node."""
    totals = WindowTotals()

    def find(now, held_for=100.0):
        final = find_final_windows(
            totals,
            first=7,
            held=0,
            now=now,
            seconds=5.0,
            due=10.0,
            nodes=["a", "b"],
            held_for=held_for,
        )
        return list(final)

    totals.note_complete("a", 40.2)
    totals.note_complete("b", 39.9)
    assert_that(find(39.9), Equals([]))
    assert_that(find(40.3), Equals([]))
    assert_that(find(44.1, held_for=0.5), Equals([]))
    assert_that(find(44.1), Equals([7]))
    totals.note_complete("b", 40.1)
    assert_that(find(40.3), Equals([7]))


# Messages.


@pytest.mark.parametrize(
    "frame",
    [
        UsageHolder("a", 3, 17, 353445120, "b", 1_767_225_601_300),
        UsageTotals("a", 17, 4, {353445120: {"pulo": 412}}, 1, 2, True),
        UsageReceipt(4),
    ],
)
def test_messages_are_encoded_and_ignored_without_the_duty(frame):
    """Guards against a node without the duty that fails on a message about it."""
    (decoded,) = FrameDecoder().feed(encode_frame(frame))
    assert_that(decoded, Equals(frame))
    inbound = Inbound(None, None, None, None, PlannedStop())
    inbound.handle(None, decoded)


# The platform's call.


def test_report_has_the_form_that_the_platform_requires():
    """Guards against reports that the platform can't read."""

    async def work():
        address = Address("127.0.0.1", choose_port())
        app, listener = await open_usage_api(address)
        calls = HttpCalls("usage", address, Counters(), busy_statuses=())
        status = await send_report(
            calls, "a-1", 7, 353445120, {"pulo780": 412}, 1.0, lambda upstream: None
        )
        app.status = 429
        busy = await send_report(
            calls, "a-1", 7, 353445121, {}, 1.0, lambda upstream: None
        )
        calls.close()
        listener.stop()
        return status, busy, app.requests[0]

    status, busy, request = run_async(work)
    headers = {name.lower(): value for name, value in request.headers}
    assert_that((status, busy), Equals((204, 429)))
    assert_that((request.method, request.path), Equals((b"POST", b"/usage")))
    assert_that(headers[b"x-duty-holder"], Equals(b"a-1"))
    assert_that(headers[b"x-fence-token"], Equals(b"7"))
    assert_that(headers[b"content-type"], Equals(b"application/json"))
    assert_that(request.body, Equals(b'{"window":353445120,"counts":{"pulo780":412}}'))


def test_lease_is_checked_after_connecting():
    """Guards against a report sent although the lease ended while it was connecting."""

    async def work():
        address = Address("127.0.0.1", choose_port())
        app, listener = await open_usage_api(address)
        calls = HttpCalls("usage", address, Counters(), busy_statuses=())

        def fail(upstream):
            raise LeaseLost("the lease has expired")

        with pytest.raises(LeaseLost):
            await send_report(calls, "a-1", 7, 1, {}, 1.0, fail)
        calls.close()
        listener.stop()
        return app.requests

    assert_that(run_async(work), Equals([]))


def test_unread_report_is_discarded_at_its_time_limit():
    """Guards against the kernel delivering a report after the lease has ended."""

    async def work():
        server = socket.socket()
        server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        server.bind(("127.0.0.1", 0))
        server.listen()
        address = Address(*server.getsockname())
        fleet = attrs.make_class("Peers", ["members", "broadcast"])({}, print)
        settings = UsageSettings(address, window=5.0, due=10.0, lease=3.0)
        node = attrs.make_class("Settings", ["node", "usage"])("a-1", settings)
        reporter = open_reporter(node, 1, None, fleet, Counters())
        counts = {f"organisation-{number}": number for number in range(100_000)}
        with pytest.raises(AnswerLost):
            await reporter.send_report("a-1", 7, 1, counts, 0.3, lambda: None)
        accepted, _ = server.accept()
        await asyncio.sleep(0.1)
        received = 0
        try:
            while data := accepted.recv(1 << 16):
                received += len(data)
        except ConnectionResetError:
            return "reset"
        finally:
            server.close()
            accepted.close()
        return received

    assert_that(run_async(work), Equals("reset"))


# A fleet.


async def open_fleet(*names):
    """Return a fleet with usage reports, its nodes and the API."""
    address = Address("127.0.0.1", choose_port())
    app, listener = await open_usage_api(address)
    fleet = await MeshFleet.open()
    fleet.usage = UsageSettings(address, window=WINDOW, due=10.0, lease=LEASE)
    document = make_document(1, {"/pulo/": {}, "/kabo/": {}, "/shed/": {}}, ["a"])
    fleet.store.put_json("op", "config", document)
    nodes = await fleet.start_connected(*names)
    for node in nodes:
        node.target.script["/shed/x"] = "shed"
    return fleet, nodes, app, listener


@pytest.fixture
def sent(monkeypatch):
    """Set the organisation of each call from its path; return the times of sending."""
    times = []
    original = TargetExchange.send

    async def send(self, call, *rest):
        call.tenant = call.path.decode().split("/")[1]
        times.append((time.time(), call.tenant))
        return await original(self, call, *rest)

    monkeypatch.setattr(TargetExchange, "send", send)
    return times


async def request_for(nodes, seconds):
    """Send requests through all nodes for a while."""
    end = read_boottime() + seconds
    while read_boottime() < end:
        for node in nodes:
            for path in ("/pulo/x", "/kabo/x", "/pulo/y", "/shed/x"):
                await node.request(path)
        await asyncio.sleep(0.01)


def count_runs(fleet):
    """Return the runs of all targets by organisation."""
    paths = [line.split(b" ")[1] for n in fleet.nodes for line, *_ in n.target.requests]
    runs = Counter(path.decode().split("/")[1] for path in paths)
    del runs["shed"]
    return dict(runs)


def sum_counts(counts):
    """Return the counts of all windows together."""
    total = Counter()
    for window in counts.values():
        total.update(window)
    return dict(total)


def test_fleet_reports_what_its_targets_ran(sent):
    """Guards against reports that differ from the runs of the targets."""

    async def work():
        fleet, nodes, app, listener = await open_fleet("n1", "n2", "n3")
        try:
            await request_for(nodes, 4.0)
            runs = count_runs(fleet)
            await wait_for(lambda: sum_counts(app.get_counts()) == runs)
            return app.get_counts(), app.reports
        finally:
            await fleet.close()
            listener.stop()

    counts, reports = run_async(work)
    truth = Counter((int(at // WINDOW), tenant) for at, tenant in sent)
    windows = sorted(counts)
    assert_that(windows, Equals(list(range(windows[0], windows[-1] + 1))))
    assert_that({report.holder for report in reports}, HasLength(1))
    checked = 0
    for window in windows:
        # The calls of the first seconds are assigned in bins of an eighth of a window.
        for tenant in ("pulo", "kabo") if window > windows[0] + 1 else ():
            expected = truth[window, tenant]
            off = abs(counts[window].get(tenant, 0) - expected)
            # A call at the end of a window may be counted in either.
            assert_that(off, LessThan(2 + 0.05 * expected), f"{window} {tenant}")
            checked += expected
    assert_that(checked, GreaterThan(20))


def test_planned_stop_of_the_holder_loses_no_counts(sent):
    """Guards against counts and windows lost when the holder is stopped as planned."""

    async def work():
        fleet, nodes, app, listener = await open_fleet("n1", "n2", "n3")
        try:
            await request_for(nodes, 2.0)
            (holder,) = [n for n in nodes if n.sidecar.usage.duty.lease is not None]
            others = [node for node in nodes if node is not holder]
            await asyncio.gather(holder.shut_down(), request_for(others, 3.0))
            runs = count_runs(fleet)
            await wait_for(lambda: sum_counts(app.get_counts()) == runs)
            return app.reports
        finally:
            await fleet.close()
            listener.stop()

    reports = run_async(work)
    tokens = [report.token for report in reports]
    assert_that(tokens, Equals(sorted(tokens)))
    assert_that({report.holder for report in reports}, HasLength(2))


def test_nothing_is_created_or_sent_without_the_duty():
    """Guards against frames that nodes of the previous build can't read."""

    async def work():
        fleet = await MeshFleet.open()
        document = make_document(1, {"/pulo/": {}}, ["a"])
        fleet.store.put_json("op", "config", document)
        try:
            nodes = await fleet.start_connected("n1", "n2")
            await nodes[0].request("/pulo/x")
            keys = [key for _, key in fleet.store.rows]
            return [
                (
                    n.sidecar.usage,
                    n.sidecar.inbound.usage,
                    n.sidecar.gate.exchange.usage,
                )
                for n in nodes
            ], keys
        finally:
            await fleet.close()

    parts, keys = run_async(work)
    assert_that(parts, Equals([(None, None, None)] * 2))
    assert_that([key for key in keys if key.startswith("duty/")], Equals([]))
