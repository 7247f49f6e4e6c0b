"""Moves, withdrawals and cold targets under load, with a baseline in the same run.

    python -m bench.moves [variants...]

Bounds are set on shares and counts, not on times. The baseline spreads calls over the
targets in random order, without retries and without a warm-up.
"""

import random
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import attrs

from cactusshed.tree.edit import parse_tree_file
from standins.fleet import Fleet, open_fleet
from standins.load import Load, LoadRequest, LoadResult
from standins.process import wait_for

from .measure import print_table, take_percentile

RATE = 150
WARMUP_SECONDS = 12.0
MOVE_SECONDS = 12.0
OBSERVE_SECONDS = 4.0
CENTRES = ("dakar", "thies", "kaolack", "ziguinchor")
TREE = """
[/]
slots = {slots}
[/*/*/texts]
version = v1
[/*/*/texts/read]
prefix = /texts
[/*/*/texts/list]
prefix = /texts/list
"""
BUSY_OPTIONS = ("--ms=40",)
"""Slows both versions down so that several calls run at once."""
VARIANTS: dict[str, tuple[tuple[str, ...], tuple[str, ...]]] = {
    "good": ((), ()),
    "fails at once": ((), ("--fail-ratio=1.0",)),
    "fails one call in five": ((), ("--fail-ratio=0.2",)),
    "fails later": ((), ("--fail-ratio=1.0", f"--fail-after={WARMUP_SECONDS + 9:g}")),
    "fails on one route": ((), ("--fail-ratio=1.0", "--fail-path=/texts/list")),
    "is slow": ((), ("--ms=150",)),
    "fails under load": (BUSY_OPTIONS, (*BUSY_OPTIONS, "--overload-fails=2")),
}
"""Options of the old and the new version's targets, by behaviour of the new one."""


@attrs.frozen
class Workload:
    """A workload by name and by slots of each target."""

    name: str
    slots: int


WORKLOADS = (Workload("Teranga, 4 targets of 20", 20), Workload("Martelo, 4 of 6", 6))


def make_load_request(index: int) -> LoadRequest:
    """Return a read request; every fifth one reads the list."""
    return LoadRequest("GET", "/texts/list" if index % 5 == 0 else "/texts/1")


def start_fleet(
    fleet: Fleet,
    slots: int,
    old: tuple[str, ...] = (),
    new: tuple[str, ...] | None = None,
) -> None:
    """Start a node and targets in each data centre, and apply the tree.

    `old` and `new` are the options of each version's targets; with `new` as `None`
    no target of the new version is started.
    """
    for centre in CENTRES:
        fleet.start_node(centre, centre)
        size = f"--slots={slots}"
        fleet.start_target(f"texts-{centre}-a", centre, "texts", "v1", size, *old)
        if new is not None:
            fleet.start_target(f"texts-{centre}-b", centre, "texts", "v2", size, *new)
    fleet.wait_ready()
    fleet.wait_targets("dakar", "texts", len(CENTRES) * (1 if new is None else 2))
    text = TREE.format(slots=slots)
    edits = {path: dict(found) for path, found in parse_tree_file(text).items()}
    assert fleet.submit("dakar", "first", edits, {}).status == 200


def get_urls(fleet: Fleet) -> list[str]:
    """Return the callers' URLs of all nodes."""
    return [spec.callers_url for spec in fleet.nodes.values()]


def get_move(fleet: Fleet) -> dict:
    """Return the status of the only move, as reported by the first node."""
    return fleet.get_json("dakar", "/v1/status")["moves"][0]


def start_move(fleet: Fleet) -> None:
    """Submit the change that starts the move to v2."""
    values = {
        "version": "v1",
        "move-to": "v2",
        "move-by": f"{time.time() + MOVE_SECONDS:.3f}",
        "move-id": "m1",
    }
    answer = fleet.submit("dakar", "m1", {"/*/*/texts": values}, {"/*/*/texts": 1})
    assert answer.status == 200, answer.body


def measure_variant(variant: str, old: tuple[str, ...], new: tuple[str, ...]) -> list:
    """Run a move to one variant of the new version and return its row."""
    with tempfile.TemporaryDirectory() as folder, open_fleet(Path(folder)) as fleet:
        start_fleet(fleet, 20, old, new)
        with Load(get_urls(fleet), make_load_request, RATE) as load:
            time.sleep(WARMUP_SECONDS)
            start_move(fleet)
            started_at = load.get_elapsed()
            ended_at = _wait_move_end(fleet, load, started_at)
            time.sleep(OBSERVE_SECONDS)
        move = get_move(fleet)
    after = [r for r in load.results if r.sent_at >= started_at]
    bad = [r for r in after if r.status != 200]
    new_results = [r for r in after if r.version == "v2"]
    late = [
        r
        for r in after
        if r.sent_at > ended_at + 2.0 and (r.version == "v2" or r in bad)
    ]
    share = (
        (len(new_results) + len(bad)) / len(after)
        if move["state"] == "reversed"
        else 1.0
    )
    late_count = len(late) if move["state"] == "reversed" else 0
    return [
        variant,
        move["state"],
        ended_at - started_at,
        share,
        len(bad),
        len(after),
        late_count,
        move["reason"],
    ]


def _wait_move_end(fleet: Fleet, load: Load, started_at: float) -> float:
    """Return when the move was done or reversed, in seconds since the load began."""
    while load.get_elapsed() < started_at + MOVE_SECONDS + 12:
        if get_move(fleet)["state"] == "reversed":
            break
        done = get_move(fleet)["state"] == "done"
        if done and load.get_elapsed() > started_at + MOVE_SECONDS + 6:
            break
        time.sleep(0.1)
    if get_move(fleet)["state"] == "reversed":
        return load.get_elapsed()
    entries = fleet.get_json("dakar", "/v1/log?limit=100")
    since = max(float(e["edits"][0]["values"].get("since", 0)) for e in entries)
    return started_at + since - _get_accept_time(entries)


def _get_accept_time(entries: list) -> float:
    return next(e["time"] for e in entries if e["change_id"] == "m1")


def measure_withdrawal(workload: Workload) -> list[list]:
    """Return a row per phase of the withdrawal and return of a data centre."""
    with tempfile.TemporaryDirectory() as folder, open_fleet(Path(folder)) as fleet:
        start_fleet(fleet, workload.slots)
        path = "/sn-ouest/thies"
        with Load(get_urls(fleet), make_load_request, RATE) as load:
            time.sleep(WARMUP_SECONDS)
            marks = [load.get_elapsed()]
            time.sleep(4)
            answer = fleet.submit("dakar", "w", {path: {"withdrawn": "yes"}}, {path: 0})
            marks.append(load.get_elapsed())
            time.sleep(5)
            base = {path: answer.decode()["number"]}
            fleet.submit("dakar", "r", {path: {"withdrawn": "no"}}, base)
            marks.append(load.get_elapsed())
            time.sleep(5)
            marks.append(load.get_elapsed())
    rows = []
    for index, phase in enumerate(("before", "withdrawn", "returned")):
        part = [r for r in load.results if marks[index] <= r.sent_at < marks[index + 1]]
        rows.append([workload.name, phase, *_summarise(part, marks[index])])
    return rows


def _summarise(part: list[LoadResult], started_at: float) -> list:
    good = sum(r.status == 200 for r in part) / len(part)
    times = [1000 * r.seconds for r in part]
    served_times = [r.sent_at - started_at for r in part if r.target == "texts-thies-a"]
    return [
        len(part),
        good,
        take_percentile(times, 50),
        take_percentile(times, 99),
        len(served_times) / len(part),
        max(served_times, default=0.0),
    ]


def measure_cold() -> list[list]:
    """Return the load on a cold target: one row for the mesh, one for the baseline."""
    rows = []
    cold = ("--cold-seconds=5", "--cold-ms=60", "--cold-bears=3")
    policies: dict[str, Callable[[Fleet], list[str]]] = {
        "cactusshed": get_urls,
        "random choice, no warm-up": lambda fleet: list(fleet.target_urls.values()),
    }
    for name, list_urls in policies.items():
        with tempfile.TemporaryDirectory() as folder, open_fleet(Path(folder)) as fleet:
            start_fleet(fleet, 20)
            rng = random.Random(5)
            with Load(list_urls(fleet), make_load_request, 4 * RATE) as load:
                time.sleep(WARMUP_SECONDS)
            assert load.results
            fleet.start_target("texts-cold", "dakar", "texts", "v1", *cold)
            wait_for(
                "the cold target",
                lambda fleet=fleet: fleet.fetch_target_counts("texts-cold"),
            )
            urls = list_urls(fleet)
            rng.shuffle(urls)
            with Load(urls, make_load_request, 4 * RATE) as load:
                time.sleep(5)
            counts = fleet.fetch_target_counts("texts-cold")
            statuses = Counter(result.status for result in load.results)
            good = statuses[200] / len(load.results)
            rows.append([name, 3, counts["highest"], counts["overload"], good])
    return rows


def main() -> None:
    """Print the tables."""
    print_table(
        f"Moves within {MOVE_SECONDS:g} s at {RATE} calls/s on 4+4 targets",
        [
            "new version",
            "outcome",
            "after s",
            "share of calls to it",
            "failed",
            "calls",
            "calls to it later than 2 s after the end",
            "reason",
        ],
        [
            measure_variant(variant, *VARIANTS[variant])
            for variant in sys.argv[1:] or VARIANTS
        ],
    )
    print_table(
        f"Withdrawal and return of one of four data centres at {RATE} calls/s",
        [
            "workload",
            "phase",
            "calls",
            "good",
            "p50 ms",
            "p99 ms",
            "share at its target",
            "last call there s",
        ],
        [row for workload in WORKLOADS for row in measure_withdrawal(workload)],
    )
    print_table(
        f"Cold target with capacity for 3 calls, {4 * RATE} calls/s on 4 targets",
        ["policy", "capacity", "peak concurrency", "calls over capacity", "good"],
        measure_cold(),
    )


if __name__ == "__main__":
    main()
