"""Latency that the mesh adds to a call, compared with direct calls in the same run.

    python -m bench.calls [calls]

The argument is the number of calls per path.
"""

import sys
import tempfile
import time
from pathlib import Path

import anyio

from cactusshed.options import parse_address
from cactusshed.serve.connection import exchange, make_request, open_connection
from cactusshed.tree.edit import parse_tree_file
from standins.fleet import Fleet, open_fleet
from standins.process import wait_for

from .measure import print_table, read_cpu, take_percentile

TREE = """
[/*/*/texts]
version = v1
[/*/*/texts/read]
prefix = /texts
[/*/*/texts/submit]
prefix = /texts
methods = POST
"""
WARMUP_CALLS = 300
ROUNDS = 5
LOAD_WORKERS = 16
LOAD_CALLS = 6_000


def start_fleet(folder: str):
    """Return a context manager for a fleet in `folder`; see `prepare`."""
    return open_fleet(Path(folder))


def prepare(fleet: Fleet) -> None:
    """Start two nodes, a target at the second, and wait until calls succeed."""
    fleet.start_node("first", "dakar")
    fleet.start_node("second", "dakar")
    fleet.start_target("texts-1", "second", "texts")
    fleet.wait_ready()
    fleet.wait_targets("first", "texts", 1)
    edits = {path: dict(values) for path, values in parse_tree_file(TREE).items()}
    fleet.submit("first", "first", edits, {})
    for name in fleet.nodes:
        wait_for(
            "calls to succeed",
            lambda name=name: fleet.call(name, "/texts").status == 200,
        )


async def time_calls(url: str, method: str, count: int) -> list[float]:
    """Send `count` calls one after the other; return their latencies in ms."""
    address = parse_address("url", url.removeprefix("http://"))
    connection = await open_connection(address, None, 1.0)
    request = make_request(address, method, b"/texts/1", [], b"")
    times = []
    for _ in range(count):
        started = time.perf_counter()
        reply = await exchange(connection, request)
        times.append((time.perf_counter() - started) * 1000)
        assert reply.status == 200, reply.status
    await connection.aclose()
    return times


async def time_concurrent_calls(url: str, workers: int, count: int) -> float:
    """Return the seconds that `workers` concurrent clients take for `count` calls."""
    started = time.perf_counter()
    async with anyio.create_task_group() as tasks:
        for _ in range(workers):
            tasks.start_soon(time_calls, url, "GET", count // workers)
    return time.perf_counter() - started


def measure_times(fleet: Fleet, count: int) -> list[list]:
    """Return a row per path: p50 and p99 with ratio and difference to direct calls."""
    paths = {
        "direct": (fleet.target_urls["texts-1"], "GET"),
        "local target": (fleet.nodes["second"].callers_url, "GET"),
        "through a peer": (fleet.nodes["first"].callers_url, "GET"),
        "through a peer, submission": (fleet.nodes["first"].callers_url, "POST"),
    }
    times: dict[str, list[float]] = {name: [] for name in paths}
    for url, method in paths.values():
        anyio.run(time_calls, url, method, WARMUP_CALLS)
    for _ in range(ROUNDS):
        for name, (url, method) in paths.items():
            times[name] += anyio.run(time_calls, url, method, count // ROUNDS)
    direct_p50 = take_percentile(times["direct"], 50)
    direct_p99 = take_percentile(times["direct"], 99)
    rows = []
    for name, path_times in times.items():
        p50, p99 = take_percentile(path_times, 50), take_percentile(path_times, 99)
        rows.append(
            [
                name,
                p50,
                p99,
                p50 / direct_p50,
                p99 / direct_p99,
                p50 - direct_p50,
                p99 - direct_p99,
            ]
        )
    return rows


def measure_load(fleet: Fleet) -> list[list]:
    """Return a row per path: calls per second and processor time per call."""
    rows = []
    for name, node in (("local target", "second"), ("through a peer", "first")):
        url = fleet.nodes[node].callers_url
        pids = {n: fleet.processes[n].popen.pid for n in ("first", "second")}
        before = {n: read_cpu(pid) for n, pid in pids.items()}
        elapsed = anyio.run(time_concurrent_calls, url, LOAD_WORKERS, LOAD_CALLS)
        used = {n: read_cpu(pid) - before[n] for n, pid in pids.items()}
        per_call = [1e6 * used[n] / LOAD_CALLS for n in ("first", "second")]
        total = sum(used.values())
        rows.append([name, LOAD_CALLS / elapsed, *per_call, LOAD_CALLS / total])
    return rows


def main() -> None:
    """Print both tables."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 2_000
    with tempfile.TemporaryDirectory() as folder, start_fleet(folder) as fleet:
        prepare(fleet)
        print_table(
            f"Latency of sequential calls, {count} calls per path",
            ["path", "p50 ms", "p99 ms", "p50 ratio", "p99 ratio", "+p50", "+p99"],
            measure_times(fleet, count),
        )
        print_table(
            f"{LOAD_WORKERS} concurrent clients, {LOAD_CALLS} calls",
            [
                "path",
                "calls/s",
                "us first node",
                "us target's node",
                "calls/s per core",
            ],
            measure_load(fleet),
        )


if __name__ == "__main__":
    main()
