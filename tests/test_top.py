"""Targets in `cactusshedctl top`: load, limit and pace from the nodes' metrics."""

import asyncio

import msgspec
import pytest
from click.testing import CliRunner
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from cactusshed.clock import read_monotonic
from cactusshed.control import main
from cactusshed.mesh import sidecar as sidecar_module
from cactusshed.tool.targets import TargetView, render_targets
from standins.meshfleet import MeshFleet, make_document, wait_for
from standins.ports import choose_port

from .meshes import run_async


@pytest.fixture
def metrics_port(monkeypatch):
    """Return the port on which the first node of the test serves its metrics."""
    port = choose_port()
    monkeypatch.setattr(sidecar_module, "METRICS_PORT", port)
    return port


async def run_top(*arguments):
    """Run the tool beside the nodes; return its exit status and output."""
    result = await asyncio.to_thread(
        CliRunner().invoke, main, [*arguments, "--count", "1"]
    )
    return result.exit_code, result.output


def test_targets_are_shown_with_limit_and_pace(metrics_port):
    """An operator must see which targets are limited, and a node that is down."""

    async def work():
        fleet = await MeshFleet.open()
        fleet.store.put_json("op", "config", make_document(1, {"/read/": {}}, ["a"]))
        try:
            (node,) = await fleet.start_connected("a1")
            gate = node.sidecar.gate
            now = read_monotonic()
            gate.notices.host_pace.note(1.5, now)
            # The limit has changed from 4 slots to 2.
            concurrency = gate.exchange.concurrency
            await wait_for(lambda: concurrency.settled == 4)
            concurrency._set_limit(2, now)
            await wait_for(lambda: concurrency.settled == 2)
            address = f"127.0.0.1:{metrics_port}"
            targets = ("--target", address, "--target", "127.0.0.1:1")
            return (
                address,
                await run_top("top", *targets),
                await run_top("--json", "top", *targets),
                await run_top("top", "--target", "h:x"),
            )
        finally:
            await fleet.close()

    address, table, printed, wrong = run_async(work)
    assert_that(table[0], Equals(0), table[1])
    row = next(line for line in table[1].splitlines() if line.startswith(address))
    assert_that(row.split()[1:4], Equals(["0", "0", "2/4"]))
    assert_that(row, Contains(" 1.50 "))
    assert_that(table[1], Contains("unreachable"))
    views = msgspec.json.decode(printed[1], type=list[TargetView])
    assert_that((views[0].limit, views[0].slots, views[0].pace), Equals((2, 4, 1.5)))
    assert_that(views[1].error, Equals("unreachable"))
    assert_that(wrong[0], Equals(2))
    assert_that(wrong[1], Contains("'h:x' is not HOST:PORT"))


def test_target_without_a_pace_and_a_limit_on_trial_are_marked():
    """A pace of 0 would read as an infinitely fast host, a trial as a lasting limit."""
    view = TargetView("n:1", limit=3, slots=6, is_on_trial=True)
    row = list(render_targets([view]))[1]
    assert_that(row, Contains(" 3/6* "))
    assert_that(row.split()[5:7], Equals(["-", "-"]))
