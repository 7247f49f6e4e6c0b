"""Messages between the operators' tool and a node, sent as JSON."""

import attrs

from ..observe.histograms import PERCENTILES
from ..spread.survey import Centre
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
    """Edits to accept; `base` maps each path to the branch version read."""

    change_id: str
    author: str
    edits: list[Edit]
    base: dict[str, int]


@attrs.frozen
class ClosureRequest:
    """Withdraw or return a data centre, or drain or return a node or target.

    `kind` is `withdraw` or `drain`; `name` is what is closed or opened again.
    """

    change_id: str
    author: str
    kind: str
    name: str
    closed: bool
    force: bool = False


@attrs.frozen
class Accepted:
    """Answer to an accepted change."""

    number: int
    change_id: str
    digest: str


@attrs.frozen
class BranchView:
    """One branch as it is set."""

    path: str
    values: dict[str, str]
    version: int


@attrs.frozen
class TreeView:
    """A version, or the part of it below a path."""

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
    """Why a value holds: its branch, and who last changed that branch."""

    path: str
    key: str
    value: str
    source: str
    version: int = 0
    author: str = ""
    time: float = 0.0


@attrs.frozen
class MemberView:
    """A node as this one sees it."""

    node: str
    data_centre: str
    state: str
    targets: list[str]


@attrs.frozen
class GateView:
    """The gate of a target on this host."""

    target: str
    running: int
    queued: int
    limit: int
    ceiling: int
    highest: int


@attrs.frozen
class MoveView:
    """A move and how far it is."""

    service: str
    move_id: str
    to: str
    by: float
    share: float
    state: str
    reason: str


@attrs.frozen
class Status:
    """State of one node and, as far as it can tell, of the fleet.

    `everywhere` says whether each live node carries `number`.
    """

    node: str
    data_centre: str
    number: int
    digest: str
    ready: bool
    age: float | None
    parent: str
    everywhere: bool
    centres: list[Centre]
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
    """An error as it is sent to the tool."""

    code: str
    message: str
    step: str = ""
    peer: str = ""


def make_histogram_view(kind, histogram) -> HistogramView:
    """Return the percentiles of one class of calls."""
    seconds = {
        f"{percentile:g}": histogram.get_value_at_percentile(percentile) / 1e6
        for percentile in PERCENTILES
    }
    return HistogramView(
        kind.service, kind.route, kind.tenant, histogram.total_count, seconds
    )
