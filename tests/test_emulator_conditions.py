"""Conditions of emulated loads: links, slow hosts, bursts, faults, clients, causes."""

import asyncio
import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    Equals,
    GreaterThan,
    HasLength,
    LessThan,
    MatchesSetwise,
    Not,
)

from cactusshed.emulator.clients import run_load
from cactusshed.emulator.fleet import EmulatedFleet
from cactusshed.emulator.load import InvalidLoad, read_load
from cactusshed.emulator.report import count_losses, render_report
from cactusshed.emulator.virtualtime import run_in_virtual_time
from cactusshed.policy.uplink import Uplink

BASE = """
[load]
seconds = 4
data-centres = a, b
[service s]
slots = 8
{service}
[class read]
service = s
per-second = {rate}
work-ms = 50
spread = 0
aim-ms = 400
deadline-ms = 1000
{read}
"""


@pytest.fixture
def emulate(tmp_path):
    """Return a function that runs a load and returns its fleet and its outcomes."""

    def run(conditions="", rate=40, service="", read="", seed=1):
        path = tmp_path / "test.load"
        text = BASE.format(rate=rate, service=service, read=read) + conditions
        path.write_text(text)
        load = read_load(path)

        async def main():
            fleet = EmulatedFleet(load, random.Random(seed))
            return fleet, await run_load(fleet, random.Random(seed + 1))

        return run_in_virtual_time(main)

    return run


def count_causes(fleet, outcomes):
    """Return the causes of the class `read`."""
    return count_losses(outcomes, fleet.load).get("read", {})


@pytest.mark.parametrize(
    ("conditions", "error"),
    [
        ("[brust x]\n", "[brust x]: unknown type of section"),
        ("[burst x]\nclass = write\n", "[burst] class: 'write' is not known"),
        ("[outage x]\ndata-centre = z\n", "[outage] data-centre: 'z' is not known"),
        ("[fault x]\nservice = t\n", "[fault] service: 't' is not known"),
        ("[fault x]\nkind = slow\n", "kind: 'slow' is not one of shed, fail"),
        ("[fault x]\nshare = 2\n", "share: 2.0 is outside 0.0 to 1.0"),
        ("[retry-abuse x]\nretries = 0\n", "retries: 0 is outside 1 to 100"),
        ("[burst x]\nfactor = much\n", "factor: 'much' is not a number"),
    ],
)
def test_bad_conditions_are_refused(emulate, conditions, error):
    """A mistyped section, name or value is an error that names it, not ignored."""
    with pytest.raises(InvalidLoad) as caught:
        emulate(conditions)
    assert_that(str(caught.value), Contains(error))


def test_timer_shorter_than_the_clock_resolution_advances_the_clock():
    """Guards against a run that never ends.

    The scheduler of large answers waits for a fraction of a byte, which takes less than
    the clock can tell, and must find the byte sent when it looks again.
    """

    async def main():
        loop = asyncio.get_running_loop()
        await asyncio.sleep(100.0)
        before = loop.time()
        await asyncio.sleep(1e-17)
        return loop.time() - before

    assert_that(run_in_virtual_time(main), GreaterThan(0.0))


def test_arrivals_do_not_depend_on_what_becomes_of_requests(emulate):
    """Two fleets of different speed get the same requests at the same times.

    Otherwise two policies could not be compared under one seed.
    """
    arrivals = [
        [outcome.arrived_at for outcome in emulate(rate=200, service=speeds)[1]]
        for speeds in ("speeds = 1", "speeds = 0.2")
    ]
    assert_that(arrivals[0], Equals(arrivals[1]))


def test_number_of_targets_overrides_nodes_of_each_data_centre(emulate):
    """Services of one fleet may have different numbers of targets."""
    fleet, _ = emulate(service="targets = 5")
    centres = [node.data_centre for node in fleet.nodes]
    assert_that(centres, Equals(["a", "b", "a", "b", "a"]))


def test_large_answers_take_the_time_of_the_link(emulate):
    """Answers of 90 KB on a link of 4 Mbit/s take at least 180 ms."""
    _, outcomes = emulate(rate=4, service="links-mbps = 4", read="answer-bytes = 90000")
    latencies = [o.latency for o in outcomes if o.latency is not None]
    assert_that(latencies, Not(HasLength(0)))
    assert_that(min(latencies), GreaterThan(0.05 + 0.18))


def test_bytes_are_charged_to_a_link_once(emulate, monkeypatch):
    """Guards against a response that its node and the emulator both charge.

    With one target no answer goes to another node.
    """
    charged = []
    monkeypatch.setattr(Uplink, "charge", lambda _uplink, size: charged.append(size))
    service = "targets = 1\nlinks-mbps = 20"
    _, outcomes = emulate(rate=4, service=service, read="answer-bytes = 90000")
    served = sum(outcome.latency is not None for outcome in outcomes)
    assert_that(served, GreaterThan(0))
    assert_that(charged, Equals([90000] * served))


def test_slow_hosts_state_their_pace(emulate):
    """A host is slow for about the configured share of its periods, and says so."""
    service = "slow-share = 0.4\nslow-factor = 3\nslow-ms = 100\nspeeds = 0.5\n"
    fleet, outcomes = emulate(service=service + "states-pace = yes")
    fast = [o for o in outcomes if o.latency is not None and o.latency < 0.15]
    assert_that(fast, Not(HasLength(0)))
    assert_that(len(fast), LessThan(0.8 * len(outcomes)))
    for node in fleet.nodes:
        # Between twice the usual work time and three times that.
        usual = node.gate.notices.host_pace.usual
        assert_that(usual, GreaterThan(2.2))
        assert_that(usual, LessThan(5.0))


def test_burst_adds_requests_of_its_time_and_place_only(emulate):
    """A burst triples the requests of one data centre for a second."""
    plain = emulate()[1]
    burst = emulate("[burst x]\ndata-centre = a\nat = 1\nseconds = 2\nfactor = 3\n")[1]

    def count(outcomes, centre, begin, end):
        return sum(
            o.data_centre == centre and begin <= o.arrived_at < end for o in outcomes
        )

    assert_that(count(burst, "a", 1, 3), GreaterThan(2 * count(plain, "a", 1, 3)))
    assert_that(count(burst, "b", 1, 3), LessThan(2 * count(plain, "b", 1, 3)))
    assert_that(count(burst, "a", 3, 4), LessThan(2 * count(plain, "a", 3, 4)))


def test_refusals_of_targets_are_reported_with_the_budget(emulate):
    """Targets that shed half: retries succeed until the budget refuses them."""
    fault = "[fault x]\nkind = shed\nat = 0\nseconds = 4\nshare = 0.5\n"
    causes = count_causes(*emulate(fault, rate=200, read="retries = 0"))
    known = {"over the retry budget", "refused at the gate: target-refused"}
    assert_that(set(causes), Equals(known))


def test_failures_of_targets_are_told_from_failed_calls(emulate):
    """A failing target is not reported as the caller whose call fails with it."""
    fault = "[fault x]\nkind = fail\nservice = t\nat = 0\nseconds = 4\nshare = 1\n"
    service_t = "[service t]\n[class call]\nservice = t\nretries = 0\n"
    fleet, outcomes = emulate(service_t + fault, read="calls = call")
    causes = count_causes(fleet, outcomes)
    assert_that(set(causes) & {"a call of its own failed"}, HasLength(1))
    assert_that(set(causes), Not(Contains("failed by the target")))
    assert_that(set(fleet.losses.calls["call"]), Contains("failed by the target"))
    report = "\n".join(render_report(outcomes, fleet))
    assert_that(report, Contains("a call of its own failed"))
    assert_that(report, Contains("calls of targets"))


def test_deadlines_are_told_apart_by_what_the_request_was_doing(emulate):
    """Requests that take longer than their deadline end while they run."""
    causes = count_causes(*emulate(service="speeds = 0.01", rate=2))
    assert_that(set(causes), MatchesSetwise(Equals("deadline, while running")))


def test_abusive_clients_retry_at_once_and_often(emulate):
    """Clients that abuse retries make more attempts than their class allows."""
    fault = "[fault x]\nkind = shed\nat = 0\nseconds = 4\nshare = 1\n"
    abuse = "[retry-abuse x]\ndata-centre = a\nat = 0\nseconds = 4\nretries = 6\n"
    _, outcomes = emulate(fault + abuse, read="retries = 1")
    for outcome in outcomes:
        attempts = 7 if outcome.data_centre == "a" else 2
        assert_that(outcome.attempts, Equals(attempts))


def test_clients_return_when_they_are_told_to(emulate):
    """Refused clients that wait as advised are counted, and served once there is room.

    Clients of other classes wait for less than they are told if time is short.
    """
    burst = "[burst x]\nat = 1\nseconds = 0.5\nfactor = 8\n"
    told = emulate(burst, rate=150, read="returns-as-told = yes")[1]
    returned = [outcome for outcome in told if outcome.returned]
    assert_that(returned, Not(HasLength(0)))
    assert_that(sum(o.served_on_return for o in returned), GreaterThan(0))
    assert_that(any(o.returned for o in emulate(burst, rate=150)[1]), Equals(False))
