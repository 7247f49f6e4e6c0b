"""Comparison of the served metrics with docs/METRICS.md."""

import re
from pathlib import Path

from testtools.assertions import assert_that
from testtools.matchers import Equals

from cactusshed.mesh.probes import ProbeHandler
from standins.meshfleet import MeshFleet, make_document

from .meshes import run_async

PAGE = Path(__file__).parent.parent / "docs" / "METRICS.md"


def test_documented_gauges_are_served():
    """Every documented gauge must be served, and no other."""

    async def work():
        fleet = await MeshFleet.open()
        document = make_document(1, {"/read/": {}}, ["a"])
        fleet.store.put_json("op", "config", document)
        try:
            (node,) = await fleet.start_connected("n1")
            await node.request("/read/x")
            sidecar = node.sidecar
            return [name for name, _ in ProbeHandler(sidecar).list_gauges()], [
                name for name, _ in sidecar.counters.list_all()
            ]
        finally:
            await fleet.close()

    gauges, counters = run_async(work)
    text = PAGE.read_text(encoding="utf-8")
    rows = [line for line in text.splitlines() if "| gauge |" in line]
    documented = re.findall(r"`cactusshed_([a-z_]+)`", "\n".join(rows))
    assert_that(sorted(documented), Equals(sorted(gauges)))
    for name in ("answered", "store_reads", "store_writes"):
        assert_that(name in counters, Equals(True))
