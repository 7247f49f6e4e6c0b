"""Propagation of versions: convergence, control bytes and platform load by size.

    python -m bench.spread [sizes...]

In the baseline, measured in the same run, every node polls the head.
"""

import sys
import tempfile
import threading
import time
from pathlib import Path

import anyio

from cactusshed.tree.edit import parse_tree_file
from standins.fleet import Fleet, open_fleet
from standins.polling import PollingNode, run_polling_nodes
from standins.process import wait_for

from .measure import print_table, take_percentile

SIZES = (8, 16, 32)
CENTRES = ("recife", "fortaleza", "salvador", "natal")
CHANGES = 10
RESTARTS = 5
IDLE_SECONDS = 10.0
RUMORS_GAUGE = "cactusshed_rumors"
TREE = Path(__file__).parent.parent / "examples" / "martelo.ini"
BYTE_COUNTERS = (
    "cactusshed_control_bytes_sent_total",
    "cactusshed_control_bytes_received_total",
)


def start_nodes(fleet: Fleet, size: int) -> list[str]:
    """Start `size` nodes spread over the data centres and apply the tree."""
    names = [f"n{index}" for index in range(size)]
    for index, name in enumerate(names):
        fleet.start_node(name, CENTRES[index % len(CENTRES)], region="br-ne")
    fleet.wait_ready(seconds=120)
    wait_for("members", lambda: count_alive(fleet, names) == size * size, 120)
    text = TREE.read_text()
    edits = {path: dict(found) for path, found in parse_tree_file(text).items()}
    assert fleet.submit(names[0], "first", edits, {}).status == 200
    wait_for("version 1", lambda: is_everywhere(fleet, names[0], 1), 60)
    return names


def count_alive(fleet: Fleet, names: list[str]) -> int:
    """Return the number of live members, summed over the views of all nodes."""
    statuses = (fleet.get_json(name, "/v1/status")["members"] for name in names)
    return sum(m["state"] == "alive" for members in statuses for m in members)


def is_everywhere(fleet: Fleet, name: str, number: int) -> bool:
    """Return whether a node reports that version `number` is applied everywhere."""
    status = fleet.get_json(name, "/v1/status")
    return status["everywhere"] and status["number"] >= number


def read_apply_times(fleet: Fleet, name: str) -> dict[int, float]:
    """Return the wall-clock time at which a node applied each version."""
    import msgspec

    applied = {}
    for line in fleet.processes[name].read_log().splitlines():
        if '"cactusshed:version"' in line:
            entry = msgspec.json.decode(line)
            applied[entry["number"]] = entry["timestamp"]
    return applied


def sum_counter(fleet: Fleet, names: list[str], *counters: str) -> float:
    """Return the sum of `counters` over the nodes."""
    metrics = [fleet.fetch_metrics(name) for name in names]
    return sum(found.get(counter, 0.0) for found in metrics for counter in counters)


def measure_changes(fleet: Fleet, names: list[str], pause_seconds: float) -> dict:
    """Submit changes; return the seconds to the last node, bytes and reads."""
    before = sum_counter(fleet, names, *BYTE_COUNTERS)
    reads = fleet.fetch_platform_counts()["reads"]
    accepted = {}
    number = fleet.get_json(names[0], "/v1/status")["number"]
    base = next(
        b["version"]
        for b in fleet.get_json(names[0], "/v1/tree")["branches"]
        if b["path"] == "/"
    )
    for index in range(CHANGES):
        values = {"timeout-ms": "3000", "slots": str(6 + index % 2)}
        started = time.time()
        answer = fleet.submit(
            names[index % len(names)], f"c{number}-{index}", {"/": values}, {"/": base}
        )
        base = answer.decode()["number"]
        accepted[base] = started
        wait_for(
            "the change at all nodes",
            lambda base=base: all_have_version(fleet, names, base),
            30,
        )
        time.sleep(pause_seconds)
    applied = [read_apply_times(fleet, name) for name in names]
    last = [
        max(a[n] for a in applied) - submitted_at
        for n, submitted_at in accepted.items()
    ]
    return {
        "last": last,
        "bytes": sum_counter(fleet, names, *BYTE_COUNTERS) - before,
        "reads": fleet.fetch_platform_counts()["reads"] - reads,
    }


def all_have_version(fleet: Fleet, names: list[str], number: int) -> bool:
    """Return whether every node has at least version `number`."""
    found = (fleet.fetch_metrics(name)["cactusshed_version"] for name in names)
    return all(version >= number for version in found)


def measure_idle(fleet: Fleet, names: list[str]) -> tuple[float, float]:
    """Return control bytes per second and node, and platform reads per second."""
    wait_for(
        "no pending rumors", lambda: sum_counter(fleet, names, RUMORS_GAUGE) == 0, 120
    )
    bytes_before = sum_counter(fleet, names, *BYTE_COUNTERS)
    reads_before = fleet.fetch_platform_counts()["reads"]
    time.sleep(IDLE_SECONDS)
    bytes_after = sum_counter(fleet, names, *BYTE_COUNTERS)
    reads = fleet.fetch_platform_counts()["reads"] - reads_before
    rate = (bytes_after - bytes_before) / IDLE_SECONDS / len(names)
    return rate, reads / IDLE_SECONDS


def measure_churn(fleet: Fleet, names: list[str], idle: float) -> float:
    """Return the bytes above idle traffic that a target's restart costs each node.

    A restart causes three member updates: leaving, gone, and started again.
    """
    before = sum_counter(fleet, names, *BYTE_COUNTERS)
    started = time.monotonic()
    for number in range(RESTARTS):
        name = f"rounds-{number}"
        fleet.start_target(name, names[0], "rounds")
        fleet.wait_targets(names[-1], "rounds", 1)
        fleet.processes[name].stop()
        wait_for(
            "the target to be gone", lambda: not knows_target(fleet, names[-1]), 30
        )
    wait_for(
        "no pending rumors", lambda: sum_counter(fleet, names, RUMORS_GAUGE) == 0, 60
    )
    elapsed = time.monotonic() - started
    bytes_per_node = (sum_counter(fleet, names, *BYTE_COUNTERS) - before) / len(names)
    return (bytes_per_node - idle * elapsed) / RESTARTS


def knows_target(fleet: Fleet, name: str) -> bool:
    """Return whether a node lists any target."""
    return any(m["targets"] for m in fleet.get_json(name, "/v1/status")["members"])


def measure_storm(fleet: Fleet, names: list[str]) -> int:
    """Kill all nodes, restart them at once, and return the platform reads."""
    before = fleet.fetch_platform_counts()["reads"]
    for name in names:
        fleet.processes[name].kill()
    for name in names:
        fleet.processes[name].start()
    fleet.wait_ready(seconds=120)
    return fleet.fetch_platform_counts()["reads"] - before


def measure_polling(fleet: Fleet, size: int, start: str) -> tuple[list[float], float]:
    """Return the baseline's seconds to the last node and its reads per second."""
    nodes = [PollingNode(fleet.platform_url, seed) for seed in range(size)]
    thread = threading.Thread(target=anyio.run, args=(run_polling_nodes, nodes, 20.0))
    thread.start()
    time.sleep(4)
    reads = sum(node.counters.get("platform_reads") for node in nodes)
    time.sleep(5)
    rate = (sum(n.counters.get("platform_reads") for n in nodes) - reads) / 5
    last = []
    for _ in range(3):
        tree = fleet.get_json(start, "/v1/tree")["branches"]
        base = next(b["version"] for b in tree if b["path"] == "/")
        values = {"timeout-ms": "3000", "slots": str(6 + base % 2)}
        submitted_at = time.monotonic()
        answer = fleet.submit(start, f"plain-{base}", {"/": values}, {"/": base})
        number = answer.decode()["number"]
        wait_for(
            "the change at all polling nodes",
            lambda number=number: all_polled(nodes, number),
        )
        last.append(max(node.applied_at[number] for node in nodes) - submitted_at)
    thread.join()
    return last, rate


def all_polled(nodes: list[PollingNode], number: int) -> bool:
    """Return whether every polling node has at least version `number`."""
    return all(node.tree.number >= number for node in nodes)


def measure_size(size: int) -> list:
    """Measure a fleet of `size` nodes and return its row."""
    with tempfile.TemporaryDirectory() as folder, open_fleet(Path(folder)) as fleet:
        names = start_nodes(fleet, size)
        idle_bytes, idle_reads = measure_idle(fleet, names)
        churn = measure_churn(fleet, names, idle_bytes)
        changes = measure_changes(fleet, names, 0.2)
        polling_last, polling_reads = measure_polling(fleet, size, names[0])
        storm = measure_storm(fleet, names)
    return [
        size,
        take_percentile(changes["last"], 50),
        max(changes["last"]),
        take_percentile(polling_last, 50),
        idle_bytes,
        churn,
        idle_reads,
        polling_reads,
        storm,
        storm / size,
    ]


def main() -> None:
    """Print a table with a row per fleet size."""
    sizes = [int(word) for word in sys.argv[1:]] or list(SIZES)
    print_table(
        f"{CHANGES} changes, seconds from submission to the last node",
        [
            "nodes",
            "median s",
            "worst s",
            "polling median s",
            "idle B/s per node",
            "bytes per node for a target's restart",
            "idle reads/s",
            "polling reads/s",
            "storm reads",
            "storm reads per node",
        ],
        [measure_size(size) for size in sizes],
    )


if __name__ == "__main__":
    main()
