"""What clients, targets and the fault injector saw, and which faults excuse what."""

import re
from collections import defaultdict
from collections.abc import Iterable

import attrs

from .fleet import EVACUATION_SECONDS, Fleet
from .records import InjectedFault, Record, Run
from .target import SoakTarget

__all__ = [
    "AFTEREFFECT_SECONDS",
    "Observations",
    "Violation",
    "find_excuse",
    "is_isolated",
    "overlaps_fault",
    "was_restarted",
]

AFTEREFFECT_SECONDS = 3.0
"""Time after the end of a fault in which an answer may still be lost because of it; the
recovery is checked after this time."""


@attrs.frozen
class Violation:
    """A violated guarantee."""

    guarantee: str
    text: str
    request_id: str = ""
    """Request for which a timeline shows the cause, if it is one request."""


@attrs.frozen
class Observations:
    """All that clients, targets and the fault injector recorded in one soak."""

    fleet: Fleet
    records: list[Record]
    injected_faults: list[InjectedFault]
    evacuations: list[tuple[str, float, float]]
    added_routes: dict[str, float] = attrs.Factory(dict)
    """Time at which each route was added, by its name."""

    @property
    def targets(self) -> list[SoakTarget]:
        """Return the targets of all nodes."""
        return [node.target for node in self.fleet.nodes]

    @property
    def runs(self) -> list[Run]:
        """Return the runs of all targets."""
        return [run for target in self.targets for run in target.run_log]

    def map_runs(self) -> dict[str, list[tuple[str, Run]]]:
        """Return the runs of each request, with the node of their target."""
        runs: dict[str, list[tuple[str, Run]]] = defaultdict(list)
        for target in self.targets:
            for run in target.run_log:
                runs[run.request_id].append((target.node, run))
        return runs

    def map_nodes(self) -> dict[str, str]:
        """Return the node at which each request began, by its id."""
        return {record.request_id: record.node for record in self.records}


def overlaps_fault(
    observations: Observations, record: Record, kinds: Iterable[str] = ()
) -> bool:
    """Return whether a fault of `kinds` (default: all unplanned) overlaps a request."""
    return any(
        fault.began <= record.ended and record.sent <= fault.ended + AFTEREFFECT_SECONDS
        for fault in observations.injected_faults
        if (fault.kind in kinds if kinds else not fault.is_planned)
    )


def is_isolated(observations: Observations, node: str, moment: float) -> bool:
    """Return whether a fault may have kept a node from reading an evacuation order."""
    kinds = ("pause", "kill", "term", "slow-host", "starved")
    return any(
        fault.began <= moment and moment <= fault.ended + EVACUATION_SECONDS
        for fault in observations.injected_faults
        if (fault.node == node and fault.kind in kinds)
        or fault.kind.startswith("store-")
    )


def was_restarted(
    observations: Observations, node: str | None, since: float, until: float
) -> bool:
    """Return whether a node was stopped or paused in some time."""
    kinds = ("pause", "kill", "term", "slow-host", "starved")
    return any(
        fault.began <= until and since <= fault.ended
        for fault in observations.injected_faults
        if fault.node == node and fault.kind in kinds
    )


def _find_tried_nodes(observations: Observations, record: Record) -> set[str]:
    """Return the nodes that log a request, and those to which they sent it."""
    names: set[str] = set()
    mark = b'"request":"%s"' % record.request_id.encode()
    for node in observations.fleet.nodes:
        log = node.log_path.read_bytes() if node.log_path.exists() else b""
        for line in log.splitlines():
            if mark in line:
                found = re.findall(rb'"target":"(\w+)"', line)
                names |= {node.name, *(name.decode() for name in found)}
    return names - {record.node}


def find_excuse(
    observations: Observations, record: Record, nodes: Iterable[str]
) -> InjectedFault | None:
    """Return an unplanned disruption at a node concerned, up to the end of a request.

    "Disruption of the store alone excuses nothing for safe and unsafe requests."
    """
    tried = _find_tried_nodes(observations, record)
    concerned = {record.node, *nodes, *tried} if nodes or tried else None
    for fault in observations.injected_faults:
        if fault.is_planned or fault.kind.startswith("store-"):
            continue
        if concerned is None or fault.node in concerned:
            is_over = record.sent > fault.ended + AFTEREFFECT_SECONDS
            if fault.began <= record.ended and not is_over:
                return fault
    return None
