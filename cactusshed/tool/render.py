"""Text output of the operators' tool; each function yields lines."""

import time
from collections.abc import Iterator, Mapping

from ..operate.messages import (
    Explanation,
    HistogramView,
    LogEntry,
    Status,
    TreeView,
)

__all__ = [
    "render_diff",
    "render_explanation",
    "render_histograms",
    "render_log",
    "render_status",
    "render_tree",
]


def _render_time(seconds: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(seconds)) + "Z"


def render_tree(tree: TreeView) -> Iterator[str]:
    """Yield the lines of a tree file with the branches of `tree`."""
    yield f"# version {tree.number}"
    for branch in tree.branches:
        yield f"[{branch.path}]"
        yield from (f"{key} = {value}" for key, value in branch.values.items())


def render_diff(tree: TreeView, desired: Mapping[str, dict[str, str]]) -> Iterator[str]:
    """Yield a line for each value that `desired` would remove or set."""
    current = {branch.path: branch.values for branch in tree.branches}
    for path, values in desired.items():
        old = current.get(path, {})
        for key in sorted({*old, *values}):
            if old.get(key) == values.get(key):
                continue
            if key in old:
                yield f"- {path} {key} = {old[key]}"
            if key in values:
                yield f"+ {path} {key} = {values[key]}"


def render_log(entries: list[LogEntry]) -> Iterator[str]:
    """Yield a line for each accepted change."""
    for entry in entries:
        paths = ", ".join(edit.path for edit in entry.edits)
        when = _render_time(entry.time)
        yield f"{entry.number}  {when}  {entry.author}  {paths}  ({entry.change_id})"


def render_explanation(answer: Explanation) -> Iterator[str]:
    """Yield where a value is set and who last changed it."""
    yield f"{answer.key} = {answer.value} at {answer.path}"
    if answer.source == "default":
        yield "no branch sets it; this is the default"
        return
    yield f"set at {answer.source}, last changed in version {answer.version}"
    if answer.author:
        yield f"by {answer.author} at {_render_time(answer.time)}"


def render_status(status: Status) -> Iterator[str]:
    """Yield the status of a node and of the fleet."""
    ready = "ready" if status.ready else "not ready"
    age = "never confirmed"
    if status.age is not None:
        age = f"confirmed {status.age:.1f} s ago"
    where = "everywhere" if status.everywhere else "not everywhere"
    yield f"node {status.node} in {status.data_centre}: {ready}"
    yield f"version {status.number}, {age}, in force {where}"
    for centre in status.centres:
        lowest = "no answer" if centre.lowest is None else f"lowest {centre.lowest}"
        suffix = " (withdrawn)" if centre.name in status.withdrawn else ""
        yield (
            f"data centre {centre.name}{suffix}: {centre.reporting} of "
            f"{centre.expected} nodes, {lowest}, {centre.running} calls running"
        )
        for lagging in centre.behind:
            seconds = lagging.for_ms / 1000
            yield f"  behind: {lagging.node} at {lagging.number} for {seconds:.1f} s"
    for member in status.members:
        targets = ", ".join(member.targets) or "no target"
        yield f"member {member.node} ({member.data_centre}) {member.state}: {targets}"
    for gate in status.gates:
        yield (
            f"gate {gate.target}: {gate.running} running, {gate.queued} queued, "
            f"limit {gate.limit} of {gate.ceiling}, highest {gate.highest}"
        )
    for move in status.moves:
        yield (
            f"move of {move.service} to {move.to}: {move.state}, "
            f"share {move.share:.0%}, by {_render_time(move.by)} {move.reason}"
        )
    if status.drained:
        yield f"drained: {', '.join(status.drained)}"


def render_histograms(views: list[HistogramView]) -> Iterator[str]:
    """Yield the call count and latency percentiles of each class of calls."""
    for view in views:
        times = "  ".join(f"p{p} {s * 1000:.2f}" for p, s in view.seconds.items())
        name = f"{view.service}/{view.route} {view.tenant}"
        yield f"{name}: {view.count} calls, {times} ms"
