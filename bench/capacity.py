"""The capacity page, worked out from measured slopes.

    python -m bench.cost bench/slopes.json     # measures the slopes
    python -m bench.capacity > docs/CAPACITY.md

Nothing here is measured: every figure is a slope times a size.
"""

import json
from collections.abc import Iterator
from pathlib import Path

import attrs

from cactusshed.duty.moves import HOLDERS, LOOK_SECONDS
from cactusshed.member.gossip import BRIDGES, FAN_OUT as GOSSIP_FAN_OUT
from cactusshed.member.join import SEED_SLOTS
from cactusshed.spread.parent import FAN_OUT, POLLERS

SLOPES = Path(__file__).parent / "slopes.json"
DAY = 86_400.0
MEBIBYTE = float(1 << 20)

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
"""Several hundred a second."""
CLAIM_GROUP = 50
BRANCHES_PER_SERVICE = 4
MEMBER_BYTES = 110
"""One record of a member with a target on the wire."""
RUMOR_FACTOR = 3
HEAD_POLL_SECONDS = 1.0
SEED_SECONDS = 10.0


@attrs.frozen
class Line:
    """One line of the page; `None` where a figure does not apply."""

    role: str
    carries: str
    state: str
    messages: str
    percent: float | None
    mib: float | None
    rate: float | None
    mechanism: str


def load_slopes() -> dict:
    """Return the measured slopes."""
    return json.loads(SLOPES.read_text())


def fit_slope(rows: list[list], x: int, y: int) -> tuple[float, float]:
    """Return intercept and slope of the least-squares line through two columns."""
    xs, ys = [row[x] for row in rows], [row[y] for row in rows]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    over = sum((a - mean_x) * (b - mean_y) for a, b in zip(xs, ys, strict=True))
    slope = over / sum((a - mean_x) ** 2 for a in xs)
    return mean_y - slope * mean_x, slope


@attrs.frozen
class Model:
    """Slopes turned into what one node spends at the size to design for."""

    slopes: dict

    def get_memory(self) -> float:
        """Return the private MiB of a node that knows everybody and the tree."""
        base, per_member = fit_slope(self.slopes["members"], 0, 1)
        _, per_branch = fit_slope(self.slopes["services"], 1, 2)
        return base + per_member * NODES + per_branch * SERVICES * BRANCHES_PER_SERVICE

    def get_parts(self) -> tuple[float, float, float]:
        """Return the MiB of the process, of all members and of the whole tree."""
        base, per_member = fit_slope(self.slopes["members"], 0, 1)
        _, per_branch = fit_slope(self.slopes["services"], 1, 2)
        branches = SERVICES * BRANCHES_PER_SERVICE
        return base, per_member * NODES, per_branch * branches

    def get_change_percent(self) -> float:
        """Return the percent of a core for applying all changes."""
        per_second = CHANGES_PER_DAY / DAY
        return 100 * self.slopes["change_cpu_follower"] * per_second

    def get_churn_rate(self) -> float:
        """Return the bytes a second of news about members, at each node.

        Each piece is sent by each node a few times the logarithm of the fleet.
        """
        events = 3 * (RESTARTS_PER_DAY + FAILURES_PER_DAY) / DAY
        sends = RUMOR_FACTOR * 14
        return events * sends * MEMBER_BYTES

    def get_leaf_percent(self) -> float:
        """Return the percent of a core of an idle node, and of applying changes."""
        return self.slopes["leaf_percent"] + self.get_change_percent()

    def get_parent_percent(self) -> float:
        """Return the same for a parent of as many children as the fan-out."""
        return self.slopes["parent_percent"] + self.get_change_percent()

    def get_change_rate(self) -> float:
        """Return the bytes a second that changes cost one link of the feed."""
        return self.slopes["change_bytes"] * CHANGES_PER_DAY / DAY

    def get_duty_percent(self) -> float:
        """Return the percent of a core that the holder of one move spends."""
        nodes = NODES / SERVICES
        return 100 * self.slopes["evidence_cpu"] * nodes / LOOK_SECONDS

    def get_duty_rate(self) -> float:
        """Return the bytes a second that the holder of one move receives."""
        return self.slopes["evidence_bytes"] * NODES / SERVICES / LOOK_SECONDS


def list_lines(model: Model) -> Iterator[Line]:
    """Yield the line of each role."""
    slopes = model.slopes
    churn, changes = model.get_churn_rate(), model.get_change_rate()
    memory = model.get_memory()
    yield Line(
        "any node, as a leaf",
        "version, view, one link up",
        "whole tree, 13,000 members",
        f"1 probe/{0.5:g} s, 1 report/s, 1 heartbeat/s",
        model.get_leaf_percent(),
        memory,
        slopes["leaf_bytes"] + churn + changes,
        "spread/follow, member/gossip",
    )
    yield Line(
        "relay in the feed",
        f"up to {FAN_OUT} children",
        "recent changes, 32 reports",
        f"{FAN_OUT} heartbeats/s out, {FAN_OUT} reports/s in",
        model.get_parent_percent(),
        memory + slopes["parent_mib"] - slopes["leaf_mib"],
        slopes["parent_bytes"] + churn + FAN_OUT * changes,
        "spread/feed, spread/reports",
    )
    yield Line(
        "lowest-rank poller",
        f"{POLLERS} a data centre",
        "as a relay",
        f"1 head/s, {CENTRES - 1} far peers a round with news",
        model.get_parent_percent() + 1.0 * slopes["leaf_percent"] / 2,
        memory + slopes["parent_mib"] - slopes["leaf_mib"],
        slopes["parent_bytes"] + 2 * churn + FAN_OUT * changes,
        "spread/poll, member/gossip (bridges)",
    )
    yield Line(
        "holder of one move's lease",
        f"{NODES / SERVICES:.0f} nodes asked",
        "evidence of 20 looks",
        f"{NODES / SERVICES / LOOK_SECONDS:.0f} questions/s",
        model.get_leaf_percent() + model.get_duty_percent(),
        memory,
        slopes["leaf_bytes"] + model.get_duty_rate(),
        "duty/moves, duty/evidence",
    )


def list_platform(model: Model) -> Iterator[tuple[str, float, float, str]]:
    """Yield what each user of the platform costs it: reads and writes a second."""
    per_second = CHANGES_PER_DAY / DAY
    reads, writes = model.slopes["change_reads"], model.slopes["change_writes"]
    yield (
        "head polls",
        CENTRES * POLLERS / HEAD_POLL_SECONDS,
        0.0,
        "spread/poll, three lowest ranks",
    )
    yield (
        "changes",
        per_second * (reads + CENTRES * POLLERS * 2),
        per_second * writes,
        "platform/accept; pollers read each",
    )
    yield (
        "seeds",
        2 * CENTRES * SEED_SLOTS / SEED_SECONDS,
        RESTARTS_PER_DAY / DAY,
        "member/join, three slots a data centre",
    )
    yield (
        f"{MOVES_AT_ONCE} moves at once",
        MOVES_AT_ONCE * 2 / LOOK_SECONDS,
        MOVES_AT_ONCE / LOOK_SECONDS,
        f"platform/lease, {HOLDERS} candidates",
    )
    keyed = CALLS_PER_SECOND * KEYED_SHARE
    yield (
        f"claims, {KEYED_SHARE:.0%} of calls keyed, alone in their groups",
        keyed,
        2 * keyed,
        "platform/claim",
    )
    yield (
        f"the same in groups of {CLAIM_GROUP}",
        keyed,
        keyed / CLAIM_GROUP + keyed,
        "platform/claim; outcomes are single writes",
    )


def render_flag(value: float | None, budget: float) -> str:
    """Return a figure, marked where it does not fit its budget."""
    if value is None:
        return "-"
    return f"{value:.3g}" + ("" if value <= budget else " **over**")


def render_page(model: Model) -> Iterator[str]:
    """Yield the lines of the page."""
    yield from _render_head()
    yield from _render_roles(model)
    yield from _render_platform(model)
    yield from _render_calls(model)
    yield from _render_verdict(model)


def _render_head() -> Iterator[str]:
    yield "# Capacity"
    yield ""
    yield "Printed by `python -m bench.capacity` from `bench/slopes.json`, which"
    yield "`python -m bench.cost bench/slopes.json` measures on one machine. Nothing"
    yield "on this page was run at its size: each figure is a slope times a size."
    yield ""
    yield f"Size: {NODES:,} targets, each with its node, {SERVICES} services,"
    yield f"{CALLS_PER_SECOND:,.0f} calls a second up to {DEPTH} deep, {REGIONS} regions,"
    yield f"{CENTRES} data centres, {CHANGES_PER_DAY:,.0f} changes a day. Budget of a node"
    yield f"for control: {BUDGET_PERCENT} % of a core, {BUDGET_MIB:g} MB, 18 KB a second."


def _render_roles(model: Model) -> Iterator[str]:
    yield ""
    yield "## Control, by role"
    yield ""
    yield "| role | carries | state | messages | % of a core | private MiB | B/s | by |"
    yield "|---|---|---|---|---|---|---|---|"
    for line in list_lines(model):
        cells = (
            line.role,
            line.carries,
            line.state,
            line.messages,
            render_flag(line.percent, BUDGET_PERCENT),
            render_flag(line.mib, BUDGET_MIB),
            render_flag(line.rate, BUDGET_BYTES),
            line.mechanism,
        )
        yield f"| {' | '.join(cells)} |"


def _render_platform(model: Model) -> Iterator[str]:
    yield ""
    yield "## Platform: table service"
    yield ""
    yield f"It gives {PLATFORM_READS:,.0f} reads and {PLATFORM_WRITES:g} writes a second."
    yield ""
    yield "| user | reads/s | writes/s | by |"
    yield "|---|---|---|---|"
    for name, reads, writes, mechanism in list_platform(model):
        read = render_flag(reads, PLATFORM_READS)
        write = render_flag(writes, PLATFORM_WRITES)
        yield f"| {name} | {read} | {write} | {mechanism} |"
    yield ""
    yield "Object store: one snapshot every 200 changes, "
    yield f"{CHANGES_PER_DAY / 200:.0f} writes a day; reads by nodes that restart alone."


def _render_calls(model: Model) -> Iterator[str]:
    per_node = CALLS_PER_SECOND / NODES
    first, second = model.slopes["call_cpu_first"], model.slopes["call_cpu_target"]
    added = model.slopes["added_p99_peer_ms"]
    local = model.slopes["added_p99_local_ms"]
    yield ""
    yield "## Calls"
    yield ""
    yield f"- {per_node:.0f} calls a second at each node, as first node and as target's."
    yield f"- Processor: {first * 1e6:.0f} us at the first node, {second * 1e6:.0f} us at the"
    yield f"  target's: {100 * per_node * (first + second):.0f} % of a core at each node."
    yield f"- Added for 99 in 100, through a peer: {added:.2f} ms; through a local target:"
    yield f"  {local:.2f} ms. Budget {BUDGET_ADDED_MS} ms: **over** for both."
    yield f"- A call {DEPTH} deep pays this {DEPTH} times."


def _render_verdict(model: Model) -> Iterator[str]:
    base, members, tree = model.get_parts()
    yield ""
    yield "## What does not fit, and what would make it fit"
    yield ""
    yield f"- **Memory.** {base:.1f} MiB is the process with its libraries, {members:.1f} MiB"
    yield f"  are {NODES:,} members, {tree:.1f} MiB the whole tree. Subscription by needed"
    yield "  services would leave a node the members and branches of a few services."
    yield "  It is not built."
    yield "- **Time added.** The HTTP work of both legs in Python. A local target needs"
    yield "  one leg only; a leg in a compiled proxy is ruled out."
    yield "- **Claims.** Each keyed submission costs a share of a grouped insert and one"
    yield f"  write of its outcome. The table's {PLATFORM_WRITES:g} writes end at about"
    yield f"  {PLATFORM_WRITES / (1 + 1 / CLAIM_GROUP):.0f} keyed submissions a second in the"
    yield "  whole fleet, other writers apart; grouped outcomes would bring it to"
    yield f"  {PLATFORM_WRITES * CLAIM_GROUP / 2:,.0f}. Past that nothing here carries it:"
    yield "  a replicated store of our own is ruled out."
    yield "- **Changes.** Each node validates and compiles the whole tree for each change:"
    yield f"  {model.slopes['change_cpu_follower'] * 1000:.0f} ms at this size, during which"
    yield "  its calls wait. Work on the touched branches alone would end that."
    yield ""
    yield "## Failures"
    yield ""
    per_centre = NODES // CENTRES
    yield f"- {RESTARTS_PER_DAY:,.0f} restarts a day: each joins through one peer and takes"
    yield "  the tree from its parent; at most 4 snapshots are sent at once by a relay."
    yield f"- A data centre of {per_centre:,} nodes restarts: {per_centre:,} scans of the"
    yield "  seeds if no seed is in the settings, spread by jitter over the joins; heads"
    yield f"  are read by {POLLERS} nodes. Relays: {per_centre // FAN_OUT} of them."
    yield f"- A lost data centre: {per_centre:,} members are found unreachable by failed"
    yield "  calls; their records stay, since only neighbours declare a death."
    yield "- Regions cut for an hour: each goes on with the version it has; the side"
    yield "  that sees the platform goes forward. Not run."
    yield f"- Gossip: {GOSSIP_FAN_OUT} peers a round while there is news, and {BRIDGES}"
    yield "  bridges a data centre."


def main() -> None:
    """Print the page."""
    for line in render_page(Model(load_slopes())):
        print(line.rstrip())


if __name__ == "__main__":
    main()
