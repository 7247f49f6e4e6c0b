"""Checks of tenants' keys and of usage reports, each worded after a rule of the users.

Each function yields a text for every violation of the rule by whose name it is kept.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

from standins.usageapi import UsageReport

from .observations import Observations, is_isolated
from .usage import DUE_SECONDS, LEASE_SECONDS

__all__ = ["USAGE_CHECKS", "Check"]

REVOKE_SECONDS = 5.0
"""Time within which a removed key must be refused."""
THAW_SECONDS = 0.3
"""Time after its sender woke up in which a call is excused."""
OFF_SHARE = 0.05
"""Error that the counts of a window may have."""
EDGE_SECONDS = 0.1
"""Time around the ends of a window in which a call may count for either side, as it is
sent before its target starts to run it."""
REPORT_SECONDS = 1.0
"""Time before the end or freeze of a node whose counts may be missing."""
WAIT_SECONDS = 4.0
"""Time after the end of a window for which silent nodes are waited for."""
HELD_UP_KINDS = ("pause", "slow-host", "starved")
FLEET_KINDS = frozenset(
    {"store-busy", "store-silent", "store-loses", "store-late", "store-restart"}
    | {"api-busy"}
)
"""Faults in which no node reaches the store, or the platform's API."""
ENDING_KINDS = frozenset(
    {"kill", "term", "stop-service", "stop-centre", "end-host", "store-restart"}
    | {"holder-kill", "holder-term"}
)
"""Faults that end processes."""
Check = Callable[[Observations], Iterator[str]]


def _is_excused(observations: Observations, call: UsageReport) -> bool:
    """Return whether the sender has just woken up, or the soak itself was late."""
    return any(
        fault.began <= call.at <= fault.ended + THAW_SECONDS
        for fault in observations.injected_faults
        if fault.node == call.holder and fault.kind in HELD_UP_KINDS
    ) or any(
        began <= call.at <= ended + THAW_SECONDS
        for began, ended in observations.fleet.stalls
    )


def _list_calls(observations: Observations) -> list[UsageReport]:
    calls = observations.fleet.usage.calls
    return [call for call in calls if not _is_excused(observations, call)]


def _check_one_count(observations: Observations) -> Iterator[str]:
    """Find windows that were reported with different counts."""
    first: dict[int, dict[str, int]] = {}
    for call in observations.fleet.usage.calls:
        if first.setdefault(call.window, call.counts) != call.counts:
            yield f"window {call.window}: {first[call.window]}, then {call.counts}"


def _check_tokens(observations: Observations) -> Iterator[str]:
    """Find tokens used by two holders, and lower tokens after a higher one."""
    usage = observations.fleet.usage
    holders: dict[int, set[str]] = defaultdict(set)
    for _, holder, token in usage.rows:
        holders[token].add(holder)
    for call in usage.calls:
        holders[call.token].add(call.holder)
    for token, names in holders.items():
        if len(names) > 1:
            yield f"token {token} of {sorted(names)}"
    highest = 0
    for call in _list_calls(observations):
        if call.token < highest:
            yield f"token {call.token} of {call.holder} after {highest}"
        highest = max(highest, call.token)


def _check_turns(observations: Observations) -> Iterator[str]:
    """Find holders in the order A, B, A within the length of the lease."""
    calls = _list_calls(observations)
    for index, call in enumerate(calls):
        recent = [c.holder for c in calls[:index] if call.at - c.at < LEASE_SECONDS]
        if call.holder in recent:
            after = set(recent[recent.index(call.holder) :]) - {call.holder}
            if after:
                yield f"{call.holder} acted again soon after {sorted(after)}"


def _check_leases(observations: Observations) -> Iterator[str]:
    """Find calls made without a valid lease, later than just after a wake-up."""
    rows = observations.fleet.usage.rows
    for call in _list_calls(observations):
        writes = [row for row in rows if row[0] <= call.at]
        at, *owner = writes[-1] if writes else (0.0, "", 0)
        age = call.at - at
        if owner != [call.holder, call.token] or age > LEASE_SECONDS:
            text = f"lease of {owner} renewed {age:.2f} s before"
            yield f"{call.holder} with token {call.token}: {text}"


def _check_reports(observations: Observations) -> Iterator[str]:
    """Find windows without a report, or with a late one though all were reachable.

    Counted are windows that ended before the last fault. A second takeover before the
    report is due may take it beyond.
    """
    usage, faults = observations.fleet.usage, observations.injected_faults
    reported: dict[int, float] = {}
    for call in usage.calls:
        if call.is_accepted:
            reported.setdefault(call.window, call.at)
    starts = [run.started_at for run in observations.runs if run.tenant]
    end = max((f.ended for f in faults if f.kind != "starved"), default=0.0)
    if not starts:
        return
    for window in range(usage.find_window(min(starts)), usage.find_window(end)):
        ended = usage.compute_start(window + 1)
        if window not in reported:
            if not _may_be_lost(observations, window):
                yield f"window {window} was not reported"
            continue
        late = reported[window] - ended - DUE_SECONDS
        is_cut = any(
            f.began <= ended + DUE_SECONDS and ended - LEASE_SECONDS <= f.ended
            for f in faults
            if f.kind in FLEET_KINDS
        )
        tokens = {
            token
            for at, _, token in usage.rows
            if ended - LEASE_SECONDS <= at <= ended + DUE_SECONDS
        }
        if late > 0 and not is_cut and len(tokens) <= 2:
            yield f"window {window} was reported {late:.2f} s too late"


def _may_be_lost(observations: Observations, window: int) -> bool:
    """Return whether the store lost a window's counts, and then a node that had them.

    A return of the store loses the row; the counts of processes that had ended before
    are then with the holder alone.
    """
    usage, faults = observations.fleet.usage, observations.injected_faults
    started, due = usage.compute_start(window), usage.compute_start(window + 1)
    due += DUE_SECONDS
    kinds = {f.kind for f in faults if f.began <= due and started <= f.ended}
    return "store-returns" in kinds and not ENDING_KINDS.isdisjoint(kinds)


def _is_uncertain(observations: Observations, node: str, moment: float) -> bool:
    """Return whether a node's count of a run may be lost with it, or come too late."""
    usage = observations.fleet.usage
    window = usage.find_window(moment)
    due = usage.compute_start(window + 1) + WAIT_SECONDS
    fixed = min((c.at for c in usage.calls if c.window == window), default=0.0)
    for fault in observations.injected_faults:
        if fault.node != node or fault.kind not in (*HELD_UP_KINDS, "kill"):
            continue
        if fault.began - REPORT_SECONDS <= moment <= fault.ended + REPORT_SECONDS:
            return True
        # The window was fixed without a node that was silent for so long.
        is_long = fault.began <= fixed and due - REPORT_SECONDS <= fault.ended
        if is_long and fault.kind != "kill":
            return True
    return False


def _check_off(observations: Observations) -> Iterator[str]:
    """Find counts that are off by more than 5 % of what targets began to run."""
    usage = observations.fleet.usage
    tenants = {key.text: key.tenant for key in observations.fleet.keys.all}
    certain: dict[tuple[int, str], Counter[str]] = defaultdict(Counter)
    possible: Counter[tuple[int, str]] = Counter()
    for target in observations.targets:
        for run in target.run_log:
            if not run.tenant or "." in run.request_id:
                continue  # Calls that targets make are not counted.
            at = run.started_at
            windows = {usage.find_window(at + d) for d in (-EDGE_SECONDS, EDGE_SECONDS)}
            for window in windows:
                possible[window, run.tenant] += 1
            if len(windows) == 1 and not _is_uncertain(observations, target.node, at):
                certain[*windows, run.tenant][target.node] += 1
    for record in observations.records:
        # Attempts of such a request may have been sent to a target that ran none.
        if not record.is_sealed or not record.status:
            until = record.ended or record.sent + record.deadline
            first, last = usage.find_window(record.sent), usage.find_window(until)
            for window in range(first, last + 1):
                possible[window, tenants.get(record.key, "")] += 2
    counts = {call.window: call.counts for call in usage.calls}
    for window, reported in counts.items():
        for tenant in {key.tenant for key in observations.fleet.keys.all}:
            count, name = reported.get(tenant, 0), (window, tenant)
            low = (1 - OFF_SHARE) * certain[name].total() - 1
            if _may_be_lost(observations, window):
                low = 0
            high = (1 + OFF_SHARE) * possible[name] + 1
            if not low <= count <= high:
                truth = f"{dict(certain[name])} to {possible[name]}"
                yield f"window {window}: {tenant} {count}, not of {truth}"


def _check_removed_keys(observations: Observations) -> Iterator[str]:
    """Find keys that are served more than 5 s after their removal."""
    removed = {key.text: key.removed for key in observations.fleet.keys.all}
    for record in observations.records:
        age = record.sent - removed.get(record.key, float("inf"))
        if record.status != 200 or age <= REVOKE_SECONDS:
            continue
        if not is_isolated(observations, record.node, record.sent):
            yield f"{record.request_id} was served {age:.2f} s after the removal"


def _check_secrecy(observations: Observations) -> Iterator[str]:
    """Find logs with a key."""
    for node in observations.fleet.nodes:
        log = node.log_path.read_bytes() if node.log_path.exists() else b""
        if any(key.text.encode() in log for key in observations.fleet.keys.all):
            yield f"{node.name} logged a key"


USAGE_CHECKS: dict[str, Check] = {
    "one-count": _check_one_count,
    "token": _check_tokens,
    "turns": _check_turns,
    "lease": _check_leases,
    "reported": _check_reports,
    "usage-off": _check_off,
    "removed-key": _check_removed_keys,
    "secret": _check_secrecy,
}
"""Function that checks each rule, by the name of the guarantee."""
