"""Cost of control at a node: private memory, processor time and bytes.

    python -m bench.cost [file]

A daemon joins through a simulated seed that lists many members in other data
centres, or applies a tree with many services. The slopes are the input of
`bench.capacity`; with a file name they are also written there as JSON.
"""

import json
import sys
import tempfile
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path

import grpc

from cactusshed.member.records import Member, Target, dump_member
from cactusshed.spread.topology import FAN_OUT
from cactusshed.wire import control_pb2 as pb
from cactusshed.wire.control_pb2_grpc import (
    ControlServicer,
    ControlStub,
    add_ControlServicer_to_server,
)
from standins.fleet import SECRET, Fleet, open_fleet
from standins.process import wait_for

from . import calls
from .measure import print_table, read_cpu, read_private_bytes
from .spread import BYTE_COUNTERS

MEMBER_COUNTS = (0, 100, 1_000, 13_000)
SERVICE_COUNTS = (10, 100, 420)
ROUTES_PER_SERVICE = 3
MEMBERS_PER_REPLY = 256
CHANGES = 40
TALLY_REQUESTS = 200
IDLE_WAIT_SECONDS = 4.0
"""Wait before an idle node is measured."""
WINDOW_SECONDS = 10.0
MEBIBYTE = 1 << 20


class Seed(ControlServicer):
    """A seed that sends a joining node many members."""

    def __init__(self, count: int) -> None:
        """Create a seed that lists `count` members."""
        self._members = [dump_member(make_member(number)) for number in range(count)]

    def Sync(self, _request, _context):  # noqa: N802
        """Send all members, in several replies."""
        for start in range(0, len(self._members), MEMBERS_PER_REPLY):
            yield pb.SyncReply(members=self._members[start : start + MEMBERS_PER_REPLY])


@contextmanager
def open_seed(count: int) -> Iterator[str]:
    """Yield the address of a seed that lists `count` members."""
    server = grpc.server(ThreadPoolExecutor(max_workers=2))
    add_ControlServicer_to_server(Seed(count), server)
    port = server.add_insecure_port("127.0.0.1:0")
    server.start()
    yield f"127.0.0.1:{port}"
    server.stop(0)


def make_member(number: int) -> Member:
    """Return a member with one target, in one of nine other data centres."""
    target = Target(f"t{number}", f"service-{number % 420}", "v1", 20, True)
    return Member(
        f"host-{number}",
        f"region-{number % 3}",
        f"centre-{number % 9}",
        "127.0.0.1",
        1,
        1,
        1,
        targets=(target,),
    )


def make_services(count: int) -> dict[str, dict[str, str]]:
    """Return the branches of `count` services with a few routes each."""
    edits: dict[str, dict[str, str]] = {}
    for number in range(count):
        edits[f"/*/*/service-{number}"] = {"version": "v1", "timeout-ms": "2000"}
        for route in range(ROUTES_PER_SERVICE):
            prefix = f"/service-{number}/route-{route}"
            edits[f"/*/*/service-{number}/route-{route}"] = {"prefix": prefix}
    return edits


def measure_node(fleet: Fleet, name: str) -> tuple[float, float, float]:
    """Return private MiB, percent of a core and control bytes/s of an idle node."""
    time.sleep(IDLE_WAIT_SECONDS)
    pid = fleet.processes[name].popen.pid
    cpu, sent = read_cpu(pid), sum_bytes(fleet, name)
    time.sleep(WINDOW_SECONDS)
    used = (read_cpu(pid) - cpu) / WINDOW_SECONDS
    rate = (sum_bytes(fleet, name) - sent) / WINDOW_SECONDS
    return read_private_bytes(pid) / MEBIBYTE, 100 * used, rate


def measure_members() -> list[list]:
    """Return a row per number of members that a node receives when it joins."""
    rows = []
    for count in MEMBER_COUNTS:
        with tempfile.TemporaryDirectory() as folder, open_fleet(Path(folder)) as fleet:
            with open_seed(count) as seed:
                fleet.start_node("one", "dakar", seeds=seed)
                fleet.wait_ready()
            fleet.start_node("two", "dakar")
            fleet.wait_ready()
            wait_for("members", lambda f=fleet, c=count: is_converged(f, c), 60)
            rows.append([count, *measure_node(fleet, "one")])
    return rows


def is_converged(fleet: Fleet, count: int) -> bool:
    """Return whether the first node has `count` members and no pending rumors."""
    found = fleet.fetch_metrics("one")
    return found["cactusshed_members"] > count and not found["cactusshed_rumors"]


def measure_services() -> tuple[list[list], dict[str, float]]:
    """Return a row per number of services, and the cost of a change at the largest."""
    rows = []
    with tempfile.TemporaryDirectory() as folder, open_fleet(Path(folder)) as fleet:
        fleet.start_node("one", "dakar")
        fleet.start_node("two", "dakar")
        fleet.wait_ready()
        for count in SERVICE_COUNTS:
            edits = make_services(count)
            started = time.monotonic()
            answer = fleet.submit("one", f"services-{count}", edits, {})
            assert answer.status == 200, answer.body
            elapsed = time.monotonic() - started
            branches = count * (1 + ROUTES_PER_SERVICE)
            rows.append([count, branches, *measure_node(fleet, "one"), elapsed])
        return rows, measure_changes(fleet)


def measure_changes(fleet: Fleet) -> dict[str, float]:
    """Return the cost of a small change at each node of a fleet with a large tree."""
    pids = {name: fleet.processes[name].popen.pid for name in fleet.nodes}
    before = {name: read_cpu(pid) for name, pid in pids.items()}
    sent = sum_bytes(fleet, "two")
    platform_before = fleet.fetch_platform_counts()
    started = time.monotonic()
    path = "/*/*/service-0"
    base = fleet.get_json("one", f"/v1/tree?path={path}")["branches"][0]["version"]
    for index in range(CHANGES):
        values = {"version": "v1", "timeout-ms": str(2001 + index)}
        answer = fleet.submit("one", f"c{index}", {path: values}, {path: base})
        assert answer.status == 200, answer.body
        base = answer.decode()["number"]
    wait_for(
        "the last change at node two",
        lambda: fleet.get_json("two", "/v1/status")["number"] == base,
    )
    elapsed = time.monotonic() - started
    used = {name: read_cpu(pid) - before[name] for name, pid in pids.items()}
    platform_after = fleet.fetch_platform_counts()
    # `change_reads` leaves out the head polls: one a second from each of two nodes.
    return {
        "change_cpu_acceptor": used["one"] / CHANGES,
        "change_cpu_follower": used["two"] / CHANGES,
        "change_bytes": (sum_bytes(fleet, "two") - sent) / CHANGES,
        "change_reads": (
            platform_after["reads"] - platform_before["reads"] - 2 * elapsed
        )
        / CHANGES,
        "change_writes": (platform_after["writes"] - platform_before["writes"])
        / CHANGES,
    }


def sum_bytes(fleet: Fleet, name: str) -> float:
    """Return the control bytes that a node has sent and received."""
    metrics = fleet.fetch_metrics(name)
    return sum(metrics.get(counter, 0.0) for counter in BYTE_COUNTERS)


def measure_parent() -> dict[str, float]:
    """Return the idle cost of a feed parent and of a leaf, with `FAN_OUT` children."""
    with tempfile.TemporaryDirectory() as folder, open_fleet(Path(folder)) as fleet:
        for index in range(FAN_OUT + 1):
            fleet.start_node(f"n{index}", "dakar")
        fleet.wait_ready(seconds=120)
        time.sleep(3 * IDLE_WAIT_SECONDS)
        counter = "cactusshed_feed_messages_sent_total"
        sent = {n: fleet.fetch_metrics(n).get(counter, 0.0) for n in fleet.nodes}
        parent = max(sent, key=lambda name: sent[name])
        leaf = min(sent, key=lambda name: sent[name])
        found = {}
        for name, role in ((parent, "parent"), (leaf, "leaf")):
            memory, percent, rate = measure_node(fleet, name)
            found[f"{role}_mib"] = memory
            found[f"{role}_percent"] = percent
            found[f"{role}_bytes"] = rate
        return found


def measure_tally_replies() -> dict[str, float]:
    """Return the processor time and the size of one reply with version tallies."""
    with tempfile.TemporaryDirectory() as folder, open_fleet(Path(folder)) as fleet:
        spec = fleet.start_node("one", "dakar")
        fleet.start_target("t1", "one", "service-0")
        fleet.wait_ready()
        fleet.submit("one", "services", make_services(1), {})
        for route in range(ROUTES_PER_SERVICE):
            fleet.call("one", f"/service-0/route-{route}")
        pid = fleet.processes["one"].popen.pid
        before, client_before = read_cpu(pid), time.process_time()
        size = 0
        metadata = (("cactusshed-secret", SECRET),)
        with grpc.insecure_channel(f"127.0.0.1:{spec.control_port}") as channel:
            stub = ControlStub(channel)
            for _ in range(TALLY_REQUESTS):
                request = pb.EvidenceRequest(service="service-0")
                size = stub.Evidence(request, metadata=metadata).ByteSize()
        used = (read_cpu(pid) - before) / TALLY_REQUESTS
        client_used = (time.process_time() - client_before) / TALLY_REQUESTS
    return {
        "evidence_cpu": used,
        "question_cpu": client_used,
        "evidence_bytes": float(size),
    }


def measure_calls() -> dict[str, float]:
    """Return processor time at both nodes of a call through a peer, and added ms."""
    with tempfile.TemporaryDirectory() as folder, calls.start_fleet(folder) as fleet:
        calls.prepare(fleet)
        times = {row[0]: row for row in calls.measure_times(fleet, 2_000)}
        loads = {row[0]: row for row in calls.measure_load(fleet)}
    _, _, first, second, _ = loads["through a peer"]
    return {
        "call_cpu_first": first / 1e6,
        "call_cpu_target": second / 1e6,
        "added_p99_peer_ms": times["through a peer"][-1],
        "added_p99_local_ms": times["local target"][-1],
    }


def main() -> None:
    """Print the tables and, with a file name, write the figures as JSON."""
    members = measure_members()
    services, changes = measure_services()
    parts = (changes, measure_parent(), measure_tally_replies(), measure_calls())
    others = {name: value for part in parts for name, value in part.items()}
    others["poll_percent"] = members[0][2] - others["leaf_percent"]
    print_table(
        "Idle node by number of members",
        ["members", "private MiB", "% of a core", "control B/s"],
        members,
    )
    print_table(
        "Idle node by number of services",
        [
            "services",
            "branches",
            "private MiB",
            "% of a core",
            "control B/s",
            "accept s",
        ],
        services,
    )
    print_table("Other slopes", ["slope", "value"], others.items())
    if len(sys.argv) > 1:
        figures = {"members": members, "services": services, **others}
        Path(sys.argv[1]).write_text(json.dumps(figures, indent=1) + "\n")


if __name__ == "__main__":
    main()
