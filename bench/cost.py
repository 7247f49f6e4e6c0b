"""What a node costs for control: private memory, processor time, bytes.

    python -m bench.cost

Members are made known to a running daemon by datagrams in the peers' format, as
if they lived in other data centres; services by one tree. The slopes are what
docs/CAPACITY.md is worked out from.
"""

import json
import socket
import sys
import tempfile
import time
from pathlib import Path

from cactusshed.member.gossip import seal_packet
from cactusshed.member.records import Member, Target, dump_member
from cactusshed.wire import control_pb2 as pb
from standins.fleet import SECRET, Fleet, open_fleet, wait_for

from .measure import print_table, read_cpu, read_private_bytes
from .spread import BYTES

MEMBERS = (0, 100, 1_000, 13_000)
SERVICES = (10, 100, 420)
ROUTES = 3
IN_PACKET = 8
SETTLE_SECONDS = 4.0
WINDOW_SECONDS = 10.0
MEBIBYTE = 1 << 20


def send_members(fleet: Fleet, name: str, first: int, last: int) -> None:
    """Make members `first` to `last` known to a node."""
    address = ("127.0.0.1", fleet.nodes[name].control)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
        for start in range(first, last, IN_PACKET):
            numbers = range(start, min(last, start + IN_PACKET))
            rumors = [dump_member(make_member(number)) for number in numbers]
            packet = pb.Packet(kind=pb.GOSSIP, sender="bench", rumors=rumors)
            udp.sendto(seal_packet(packet, SECRET), address)
            time.sleep(0.001)


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
        for route in range(ROUTES):
            prefix = f"/service-{number}/route-{route}"
            edits[f"/*/*/service-{number}/route-{route}"] = {"prefix": prefix}
    return edits


def measure_node(fleet: Fleet, name: str) -> tuple[float, float, float]:
    """Return private MiB, percent of a core and control bytes a second, idle."""
    time.sleep(SETTLE_SECONDS)
    pid = fleet.processes[name].popen.pid
    cpu = read_cpu(pid)
    sent = sum(fleet.read_metrics(name).get(counter, 0.0) for counter in BYTES)
    time.sleep(WINDOW_SECONDS)
    used = (read_cpu(pid) - cpu) / WINDOW_SECONDS
    after = sum(fleet.read_metrics(name).get(counter, 0.0) for counter in BYTES)
    rate = (after - sent) / WINDOW_SECONDS
    return read_private_bytes(pid) / MEBIBYTE, 100 * used, rate


def measure_members() -> list[list]:
    """Return a row for each number of members known, on one daemon."""
    rows = []
    with tempfile.TemporaryDirectory() as folder, open_fleet(Path(folder)) as fleet:
        fleet.start_node("one", "dakar")
        fleet.start_node("two", "dakar")
        fleet.wait_ready()
        known = 0
        for count in MEMBERS:
            send_members(fleet, "one", known, count)
            known = count
            wait_for("members", lambda count=count: knows(fleet, count), 120)
            rows.append([count, *measure_node(fleet, "one")])
    return rows


def knows(fleet: Fleet, count: int) -> bool:
    """Return whether both nodes know nearly `count` members; datagrams are lost."""
    found = (fleet.read_metrics(n)["cactusshed_members"] for n in ("one", "two"))
    return all(members >= 0.98 * count for members in found)


def measure_services() -> list[list]:
    """Return a row for each number of services, on one daemon."""
    rows = []
    with tempfile.TemporaryDirectory() as folder, open_fleet(Path(folder)) as fleet:
        fleet.start_node("one", "dakar")
        fleet.wait_ready()
        for count in SERVICES:
            edits = make_services(count)
            started = time.monotonic()
            answer = fleet.submit("one", f"services-{count}", edits, {})
            assert answer.status == 200, answer.body
            took = time.monotonic() - started
            branches = count * (1 + ROUTES)
            rows.append([count, branches, *measure_node(fleet, "one"), took])
    return rows


def main() -> None:
    """Print both tables and, with a file name, keep the figures as JSON."""
    members, services = measure_members(), measure_services()
    print_table(
        "Members known to an idle node",
        ["members", "private MiB", "% of a core", "control B/s"],
        members,
    )
    print_table(
        "Services in the tree of an idle node",
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
    if len(sys.argv) > 1:
        figures = {"members": members, "services": services}
        Path(sys.argv[1]).write_text(json.dumps(figures, indent=1) + "\n")


if __name__ == "__main__":
    main()
