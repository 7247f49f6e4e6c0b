"""The capacity page, worked out from measured slopes.

    python -m bench.cost bench/slopes.json     # measures the slopes
    python -m bench.capacity > docs/CAPACITY.md

Nothing here is measured: every figure is a slope times a size.
"""

import json
from collections.abc import Iterator
from pathlib import Path

import attrs

from cactusshed.duty.moves import LOOK_SECONDS, QUESTIONS_PER_SECOND
from cactusshed.member.join import SEED_SECONDS, SEED_SLOTS
from cactusshed.member.rumors import SPREAD_FACTOR
from cactusshed.spread.parent import FAN_OUT, POLLERS
from cactusshed.store.accept import SNAPSHOT_EVERY
from cactusshed.store.claims import MAX_GROUP

FOLDER = Path(__file__).parent
DAY = 86_400.0
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
"""Share of calls that are submissions with a key; a guess to scale by."""
BUDGET_PERCENT = 2.8
BUDGET_MIB = 32.0
BUDGET_BYTES = 18 * 1024.0
BUDGET_ADDED_MS = 0.31
PLATFORM_READS = 2_000.0
PLATFORM_WRITES = 400.0
BRANCHES_PER_SERVICE = 4
MEMBER_BYTES = 110
"""One record of a member with a target on the wire."""
NEWS_PER_RESTART = 3
"""Leave, return, and the target's announcement."""
FLEET_DOUBLINGS = 14
STORM_READS = 5.2
"""Platform reads of a node in a storm; docs/MEASURED.md."""
ROLE_HEAD = ("role", "carries", "% of a core", "private MiB", "B/s", "by")
PLATFORM_HEAD = ("user", "reads/s", "writes/s", "by")


def fit_line(rows: list[list], x: int, y: int) -> tuple[float, float]:
    """Return intercept and slope of the least-squares line through two columns."""
    xs, ys = [row[x] for row in rows], [row[y] for row in rows]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    over = sum((a - mean_x) * (b - mean_y) for a, b in zip(xs, ys, strict=True))
    slope = over / sum((a - mean_x) ** 2 for a in xs)
    return mean_y - slope * mean_x, slope


@attrs.frozen
class Memory:
    """Private MiB of the process, of all members, and of the whole tree."""

    base: float
    members: float
    tree: float

    @property
    def total(self) -> float:
        """Return the sum."""
        return self.base + self.members + self.tree


def work_out_memory(slopes: dict) -> Memory:
    """Return the memory of a node that knows all members and branches."""
    base, per_member = fit_line(slopes["members"], 0, 1)
    _, per_branch = fit_line(slopes["services"], 1, 2)
    branches = SERVICES * BRANCHES_PER_SERVICE
    return Memory(base, per_member * NODES, per_branch * branches)


def work_out_churn() -> float:
    """Return the bytes a second of news about members at each node."""
    events = NEWS_PER_RESTART * (RESTARTS_PER_DAY + FAILURES_PER_DAY) / DAY
    return events * SPREAD_FACTOR * FLEET_DOUBLINGS * MEMBER_BYTES


def list_roles(slopes: dict) -> Iterator[tuple]:
    """Yield role, what it carries, percent, MiB, bytes a second, and module."""
    memory = work_out_memory(slopes).total
    per_second = CHANGES_PER_DAY / DAY
    apply = 100 * slopes["change_cpu_follower"] * per_second
    changes = slopes["change_bytes"] * per_second
    churn = work_out_churn()
    leaf, parent = slopes["leaf_percent"] + apply, slopes["parent_percent"] + apply
    more = max(0.0, slopes["parent_mib"] - slopes["leaf_mib"])
    up = slopes["leaf_bytes"] + churn + changes
    down = slopes["parent_bytes"] + churn + FAN_OUT * changes
    nodes = NODES / SERVICES
    asks = min(nodes / LOOK_SECONDS, QUESTIONS_PER_SECOND)
    duty = 100 * slopes["question_cpu"] * asks
    answers = 100 * slopes["evidence_cpu"] * asks / nodes
    yield (
        "leaf",
        "one link up, whole tree, all members",
        leaf,
        memory,
        up,
        "spread/follow, member/gossip",
    )
    yield (
        "relay in the feed",
        f"{FAN_OUT} children",
        parent,
        memory + more,
        down,
        "spread/feed, spread/reports",
    )
    yield (
        "lowest-rank poller",
        f"as a relay, 1 head/s, {CENTRES - 1} far peers",
        parent + slopes["poll_percent"],
        memory + more,
        down + churn,
        "spread/poll, member/gossip",
    )
    yield (
        "holder of one move's lease",
        f"{asks:.0f} questions/s to {nodes:.0f} nodes",
        leaf + duty,
        memory,
        up + slopes["evidence_bytes"] * asks,
        "duty/moves, duty/evidence",
    )
    yield (
        "node of a target whose service moves",
        f"{asks / nodes:.1f} answers/s",
        leaf + answers,
        memory,
        up + slopes["evidence_bytes"] * asks / nodes,
        "spread/servicer, observe/tallies",
    )
    yield (
        "operators' node",
        "one change and a survey of all data centres",
        leaf + 100 * slopes["change_cpu_acceptor"] * per_second,
        memory,
        up,
        "operate/editor, spread/survey",
    )


def list_platform(slopes: dict) -> Iterator[tuple]:
    """Yield each user of the table: reads and writes a second, and module."""
    per_second = CHANGES_PER_DAY / DAY
    readers = CENTRES * POLLERS
    keyed = CALLS_PER_SECOND * KEYED_SHARE
    label = f"claims, if {KEYED_SHARE:.0%} of calls carry a key"
    yield "head polls", float(readers), 0.0, f"spread/poll, {POLLERS} ranks"
    yield (
        "changes",
        per_second * (slopes["change_reads"] + 2 * readers),
        per_second * slopes["change_writes"],
        "platform/accept, spread/poll",
    )
    yield (
        "seeds",
        2 * CENTRES * SEED_SLOTS / SEED_SECONDS,
        RESTARTS_PER_DAY / DAY,
        "member/join",
    )
    yield (
        f"{MOVES_AT_ONCE} moves at once",
        MOVES_AT_ONCE / LOOK_SECONDS,
        MOVES_AT_ONCE / LOOK_SECONDS,
        "platform/lease",
    )
    yield label, 0.0, 2 * keyed, "platform/claims"


def render_table(head: tuple, rows: Iterator[tuple], budgets: dict) -> str:
    """Return a Markdown table; figures over the budget of their column are marked."""
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
    """Return the page."""
    memory = work_out_memory(slopes)
    per_node = CALLS_PER_SECOND / NODES
    first, second = slopes["call_cpu_first"], slopes["call_cpu_target"]
    per_centre = NODES // CENTRES
    role_budgets = {
        "% of a core": BUDGET_PERCENT,
        "private MiB": BUDGET_MIB,
        "B/s": BUDGET_BYTES,
    }
    table_budgets = {"reads/s": PLATFORM_READS, "writes/s": PLATFORM_WRITES}
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
        "platform_reads": PLATFORM_READS,
        "platform_writes": PLATFORM_WRITES,
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
        "keyed_alone": PLATFORM_WRITES / 2,
        "keyed_grouped": PLATFORM_WRITES * MAX_GROUP / 2,
        "apply_ms": 1000 * slopes["change_cpu_follower"],
        "per_centre": per_centre,
        "storm": STORM_READS,
        "storm_reads": STORM_READS * per_centre,
        "storm_seconds": STORM_READS * per_centre / PLATFORM_READS,
    }
    return (FOLDER / "capacity.md").read_text().format(**figures)


def main() -> None:
    """Print the page."""
    slopes = json.loads((FOLDER / "slopes.json").read_text())
    print(render_page(slopes), end="")


if __name__ == "__main__":
    main()
