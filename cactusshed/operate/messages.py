"""JSON messages between the operators' tool and a node."""

import attrs

from ..observe.histograms import PERCENTILES
from ..spread.survey import DataCentreStatus
from ..tree.edit import Edit

__all__ = [
    "Accepted",
    "BranchView",
    "ChangeRequest",
    "ClosureRequest",
    "ErrorView",
    "Explanation",
    "GateView",
    "HistogramView",
    "LogEntry",
    "MemberView",
    "MoveView",
    "Status",
    "TreeView",
]


@attrs.frozen
class ChangeRequest:
    """A change to accept.

    `base` maps each path to the branch version that the edits are based on.
    """

    change_id: str
    author: str
    edits: list[Edit]
    base: dict[str, int]


@attrs.frozen
class ClosureRequest:
    """A request to withdraw a data centre, drain a node or target, or undo either.

    `kind` is `withdraw` for a data centre and `drain` for a node or target;
    `name` names it. `closed` is false to send calls to it again.
    """

    change_id: str
    author: str
    kind: str
    name: str
    closed: bool
    force: bool = False


@attrs.frozen
class Accepted:
    """Response to an accepted change."""

    number: int
    change_id: str
    digest: str


@attrs.frozen
class BranchView:
    """The values set at one branch."""

    path: str
    values: dict[str, str]
    version: int


@attrs.frozen
class TreeView:
    """A version of the tree, or the part of it at and below a path."""

    number: int
    digest: str
    branches: list[BranchView]


@attrs.frozen
class LogEntry:
    """One accepted change."""

    number: int
    change_id: str
    author: str
    time: float
    edits: list[Edit]


@attrs.frozen
class Explanation:
    """The branch that a value comes from, and who last changed that branch."""

    path: str
    key: str
    value: str
    source: str
    version: int = 0
    author: str = ""
    time: float = 0.0


@attrs.frozen
class MemberView:
    """The state of a node in the membership view of the answering node."""

    node: str
    data_centre: str
    state: str
    targets: list[str]


@attrs.frozen
class GateView:
    """The gate of a target on this host.

    `limit` is the number of calls that may run at once now; it never exceeds
    `ceiling`. `highest` is the most calls that ran at once.
    """

    target: str
    running: int
    queued: int
    limit: int
    ceiling: int
    highest: int


@attrs.frozen
class MoveView:
    """A move of a service and its progress; `by` is its deadline in Unix time."""

    service: str
    move_id: str
    to: str
    by: float
    share: float
    state: str
    reason: str


@attrs.frozen
class Status:
    """State of one node and, as far as this node knows, of the fleet.

    `age` is the time in seconds since version `number` was last confirmed to be
    the newest. `everywhere` is true if it is in force on every live node.
    """

    node: str
    data_centre: str
    number: int
    digest: str
    ready: bool
    age: float | None
    parent: str
    everywhere: bool
    centres: list[DataCentreStatus]
    members: list[MemberView]
    gates: list[GateView]
    moves: list[MoveView]
    withdrawn: list[str]
    drained: list[str]


@attrs.frozen
class HistogramView:
    """Call times of one class, in seconds by percentile."""

    service: str
    route: str
    tenant: str
    count: int
    seconds: dict[str, float]


@attrs.frozen
class ErrorView:
    """An error, as sent to the tool."""

    code: str
    message: str
    step: str = ""
    peer: str = ""


def make_histogram_view(call_class, histogram) -> HistogramView:
    """Return the call count and latency percentiles of one class of calls."""
    seconds = {
        f"{percentile:g}": histogram.get_value_at_percentile(percentile) / 1e6
        for percentile in PERCENTILES
    }
    return HistogramView(
        call_class.service,
        call_class.route,
        call_class.tenant,
        histogram.total_count,
        seconds,
    )
