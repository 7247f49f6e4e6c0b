"""Capacity page, extrapolated from the slopes that `bench.cost` measures.

    python -m bench.cost bench/slopes.json     # measures the slopes
    python -m bench.capacity > docs/CAPACITY.md

This script measures nothing: every figure is a measured slope times a fleet size.
"""

import json
from collections.abc import Iterator
from pathlib import Path

import attrs

from cactusshed.duty.moves import CHECK_SECONDS, QUERIES_PER_SECOND
from cactusshed.member.joiner import SEED_SECONDS, SEED_SLOTS
from cactusshed.member.rumors import SPREAD_FACTOR
from cactusshed.spread.topology import FAN_OUT, POLLERS
from cactusshed.store.acceptance import SNAPSHOT_EVERY
from cactusshed.store.claimwriter import MAX_GROUP

FOLDER = Path(__file__).parent
DAY_SECONDS = 86_400.0
NODES = 13_000
SERVICES = 420
CALLS_PER_SECOND = 1_800_000.0
DEPTH = 6
CENTRES = 10
REGIONS = 4
CHANGES_PER_DAY = 6_200.0
RESTARTS_PER_DAY = 2_000.0
FAILURES_PER_DAY = 45.0
MOVES_AT_ONCE = 20
KEYED_SHARE = 0.01
"""Assumed share of calls that are submissions with an idempotency key."""
BUDGET_PERCENT = 2.8
BUDGET_MIB = 32.0
BUDGET_BYTES_PER_SECOND = 18 * 1024.0
BUDGET_ADDED_MS = 0.31
PLATFORM_READS_PER_SECOND = 2_000.0
PLATFORM_WRITES_PER_SECOND = 400.0
BRANCHES_PER_SERVICE = 4
MEMBER_BYTES = 110
"""Encoded size of the record of a member with one target."""
UPDATES_PER_RESTART = 3
"""Member updates per restart: leaving, return, and the target's announcement."""
FLEET_DOUBLINGS = 14
"""Logarithm to base 2 of the number of nodes, rounded up."""
STORM_READS = 5.2
"""Platform reads per node when all nodes restart at once; docs/MEASURED.md."""
ROLE_HEAD = ("role", "carries", "% of a core", "private MiB", "B/s", "by")
PLATFORM_HEAD = ("user", "reads/s", "writes/s", "by")


def fit_line(rows: list[list], x: int, y: int) -> tuple[float, float]:
    """Return intercept and slope of the least-squares line of column `y` over `x`."""
    xs, ys = [row[x] for row in rows], [row[y] for row in rows]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    covariance = sum((a - mean_x) * (b - mean_y) for a, b in zip(xs, ys, strict=True))
    slope = covariance / sum((a - mean_x) ** 2 for a in xs)
    return mean_y - slope * mean_x, slope


@attrs.frozen
class Memory:
    """Private memory in MiB of the bare process, all members and the whole tree."""

    base: float
    members: float
    tree: float

    @property
    def total(self) -> float:
        """Return the memory of the node in MiB."""
        return self.base + self.members + self.tree


def estimate_memory(slopes: dict) -> Memory:
    """Return the memory of a node that holds all members and branches."""
    base, per_member = fit_line(slopes["members"], 0, 1)
    _, per_branch = fit_line(slopes["services"], 1, 2)
    branches = SERVICES * BRANCHES_PER_SERVICE
    return Memory(base, per_member * NODES, per_branch * branches)


def estimate_churn() -> float:
    """Return the bytes per second of member updates at each node."""
    events = UPDATES_PER_RESTART * (RESTARTS_PER_DAY + FAILURES_PER_DAY) / DAY_SECONDS
    return events * SPREAD_FACTOR * FLEET_DOUBLINGS * MEMBER_BYTES


def list_roles(slopes: dict) -> Iterator[tuple]:
    """Yield the rows of the role table; columns as in `ROLE_HEAD`."""
    memory = estimate_memory(slopes).total
    changes_per_second = CHANGES_PER_DAY / DAY_SECONDS
    apply_cpu = 100 * slopes["change_cpu_follower"] * changes_per_second
    change_byte_rate = slopes["change_bytes"] * changes_per_second
    churn = estimate_churn()
    leaf_cpu, parent_cpu = (
        slopes["leaf_percent"] + apply_cpu,
        slopes["parent_percent"] + apply_cpu,
    )
    parent_extra_mib = max(0.0, slopes["parent_mib"] - slopes["leaf_mib"])
    leaf_bytes = slopes["leaf_bytes"] + churn + change_byte_rate
    parent_bytes = slopes["parent_bytes"] + churn + FAN_OUT * change_byte_rate
    nodes_per_service = NODES / SERVICES
    query_rate = min(nodes_per_service / CHECK_SECONDS, QUERIES_PER_SECOND)
    holder_cpu = 100 * slopes["question_cpu"] * query_rate
    answer_cpu = 100 * slopes["evidence_cpu"] * query_rate / nodes_per_service
    yield (
        "leaf",
        "one link up, whole tree, all members",
        leaf_cpu,
        memory,
        leaf_bytes,
        "spread/follower, member/gossip",
    )
    yield (
        "relay in the feed",
        f"{FAN_OUT} children",
        parent_cpu,
        memory + parent_extra_mib,
        parent_bytes,
        "spread/feed, spread/reports",
    )
    yield (
        "lowest-rank poller",
        f"as a relay, 1 head/s, {CENTRES - 1} far peers",
        parent_cpu + slopes["poll_percent"],
        memory + parent_extra_mib,
        parent_bytes + churn,
        "spread/poller, member/gossip",
    )
    yield (
        "holder of one move's lease",
        f"{query_rate:.0f} questions/s to {nodes_per_service:.0f} nodes",
        leaf_cpu + holder_cpu,
        memory,
        leaf_bytes + slopes["evidence_bytes"] * query_rate,
        "duty/moves, duty/tallies",
    )
    yield (
        "node of a target whose service moves",
        f"{query_rate / nodes_per_service:.1f} answers/s",
        leaf_cpu + answer_cpu,
        memory,
        leaf_bytes + slopes["evidence_bytes"] * query_rate / nodes_per_service,
        "spread/servicer, observe/tallies",
    )
    yield (
        "operators' node",
        "one change and a survey of all data centres",
        leaf_cpu + 100 * slopes["change_cpu_acceptor"] * changes_per_second,
        memory,
        leaf_bytes,
        "operate/editor, spread/survey",
    )


def list_platform(slopes: dict) -> Iterator[tuple]:
    """Yield the rows of the platform table; columns as in `PLATFORM_HEAD`."""
    changes_per_second = CHANGES_PER_DAY / DAY_SECONDS
    readers = CENTRES * POLLERS
    keyed_rate = CALLS_PER_SECOND * KEYED_SHARE
    label = f"claims, if {KEYED_SHARE:.0%} of calls carry a key"
    yield "head polls", float(readers), 0.0, f"spread/poller, {POLLERS} ranks"
    yield (
        "changes",
        changes_per_second * (slopes["change_reads"] + 2 * readers),
        changes_per_second * slopes["change_writes"],
        "store/acceptance, spread/poller",
    )
    yield (
        "seeds",
        2 * CENTRES * SEED_SLOTS / SEED_SECONDS,
        RESTARTS_PER_DAY / DAY_SECONDS,
        "member/joiner",
    )
    yield (
        f"{MOVES_AT_ONCE} moves at once",
        MOVES_AT_ONCE / CHECK_SECONDS,
        MOVES_AT_ONCE / CHECK_SECONDS,
        "store/lease",
    )
    yield label, 0.0, 2 * keyed_rate, "store/claimwriter"


def render_table(head: tuple, rows: Iterator[tuple], budgets: dict) -> str:
    """Return a Markdown table; values over the budget of their column are marked."""
    lines = [f"| {' | '.join(head)} |", "|" + "---|" * len(head)]
    for row in rows:
        cells = [
            _render_cell(value, budgets.get(name))
            for name, value in zip(head, row, strict=True)
        ]
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)


def _render_cell(value, budget: float | None) -> str:
    if isinstance(value, str):
        return value
    mark = " **over**" if budget is not None and value > budget else ""
    return (f"{value:,.0f}" if value >= 100 else f"{value:.2g}") + mark


def render_page(slopes: dict) -> str:
    """Return the capacity page as Markdown."""
    memory = estimate_memory(slopes)
    per_node = CALLS_PER_SECOND / NODES
    first, second = slopes["call_cpu_first"], slopes["call_cpu_target"]
    per_centre = NODES // CENTRES
    role_budgets = {
        "% of a core": BUDGET_PERCENT,
        "private MiB": BUDGET_MIB,
        "B/s": BUDGET_BYTES_PER_SECOND,
    }
    table_budgets = {
        "reads/s": PLATFORM_READS_PER_SECOND,
        "writes/s": PLATFORM_WRITES_PER_SECOND,
    }
    figures = {
        "nodes": NODES,
        "services": SERVICES,
        "calls": CALLS_PER_SECOND,
        "depth": DEPTH,
        "regions": REGIONS,
        "centres": CENTRES,
        "changes": CHANGES_PER_DAY,
        "restarts": RESTARTS_PER_DAY,
        "small": FAN_OUT + 1,
        "budget_percent": BUDGET_PERCENT,
        "budget_mib": BUDGET_MIB,
        "budget_added": BUDGET_ADDED_MS,
        "platform_reads": PLATFORM_READS_PER_SECOND,
        "platform_writes": PLATFORM_WRITES_PER_SECOND,
        "roles": render_table(ROLE_HEAD, list_roles(slopes), role_budgets),
        "platform": render_table(PLATFORM_HEAD, list_platform(slopes), table_budgets),
        "snapshots": CHANGES_PER_DAY / SNAPSHOT_EVERY,
        "per_node": per_node,
        "first": 1e6 * first,
        "second": 1e6 * second,
        "call_percent": 100 * per_node * (first + second),
        "added_peer": slopes["added_p99_peer_ms"],
        "added_local": slopes["added_p99_local_ms"],
        "base": memory.base,
        "members": memory.members,
        "tree": memory.tree,
        "parent": slopes["parent_percent"],
        "poll": slopes["poll_percent"],
        "fan_out": FAN_OUT,
        "keyed_node": per_node * KEYED_SHARE,
        "keyed_alone": PLATFORM_WRITES_PER_SECOND / 2,
        "keyed_grouped": PLATFORM_WRITES_PER_SECOND * MAX_GROUP / 2,
        "apply_ms": 1000 * slopes["change_cpu_follower"],
        "per_centre": per_centre,
        "storm": STORM_READS,
        "storm_reads": STORM_READS * per_centre,
        "storm_seconds": STORM_READS * per_centre / PLATFORM_READS_PER_SECOND,
    }
    return (FOLDER / "capacity.md").read_text().format(**figures)


def main() -> None:
    """Print the page to standard output."""
    slopes = json.loads((FOLDER / "slopes.json").read_text())
    print(render_page(slopes), end="")


if __name__ == "__main__":
    main()
