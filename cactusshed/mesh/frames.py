"""Messages between nodes; `framing` encodes them.

The messages are msgspec structures in array form. Without field names the frame of
a call is less than half as long, and traffic between data centres is billed.
"""

import msgspec

from ..decoding import Count, FiniteNumber
from ..tenants.change import TenantsChange
from ..usage.frames import UsageHolder, UsageReceipt, UsageTotals

__all__ = [
    "ANSWERED",
    "NOT_RUN",
    "UNKNOWN",
    "BodyPart",
    "Call",
    "Cancel",
    "VersionTallies",
    "Frame",
    "Hello",
    "Load",
    "MoveUpdate",
    "Ping",
    "Pong",
    "PullRequest",
    "ReaderHeartbeat",
    "RecordsUpdate",
    "Result",
    "OutcomeQuery",
    "Silence",
    "StateUpdate",
    "Strike",
    "TableChange",
    "TargetState",
    "make_attempt_id",
]

ANSWERED, NOT_RUN, UNKNOWN = range(3)
"""Outcomes of a call. `NOT_RUN` guarantees that the target did not run it;
`UNKNOWN` means that it may have run."""


class TargetState(msgspec.Struct, array_like=True, frozen=True):
    """State of a node's local target as sent to the other nodes.

    `revision` increases with each change until the node restarts.
    """

    revision: Count = 0
    name: str = ""
    version: str = ""
    slots: Count = 0
    start_time: Count = 0
    is_open: bool = False
    """Whether new calls are accepted."""
    is_cold: bool = False
    leave_acknowledged: bool = False
    """Whether the target has announced its leave, and got an acknowledgement, or states
    in its answers that it is leaving."""
    rate_limit: FiniteNumber = 0.0
    """Requests per second that the target takes from all nodes; 0 for no limit."""


class Hello(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """First message on a connection, in both directions."""

    node: str
    start_time: Count
    data_centre: str
    address: str
    service: str
    state: TargetState
    link_mbps: FiniteNumber
    remembered: TargetState | None = None
    """Last state of the receiver's target known to the sender. A receiver that has
    restarted restores its target's state from it."""
    takes_parts: bool = False
    """Whether the sender accepts bodies in parts; earlier builds do not."""
    is_leaving: bool = False
    """Whether the sender is shutting down; earlier builds do not say so."""
    accepts_ms: Count = 0
    """Time for which a sender that is shutting down still accepts calls."""


class Load(msgspec.Struct, array_like=True, frozen=True):
    """Load of a gate, sent with each result."""

    running: int
    waiting: int
    limit: int
    mean_service_ms: FiniteNumber
    starts_left: int = 0
    """Requests that may start now under the target's rate limit, less those that wait;
    0 without such a limit."""
    transfer_ms: int = 0
    """Time until the link of the gate's host has sent the large answers that it is
    bound to send; 0 if there are none."""
    host_pace_percent: int = 0
    """Time that work takes on the target's host now, in percent of the usual; 0 if the
    target does not say."""


class Call(msgspec.Struct, array_like=True, tag=2):
    """A request that is sent to the gate of a target.

    `remaining_ms` and `soft_timeout_ms` are the times until the deadline and the
    soft deadline; `priority` is that of the route, 0 being served first.
    """

    number: int
    request_id: bytes
    attempt: int
    """Number of the attempt, which distinguishes several attempts of one request at
    the same gate."""
    method: bytes
    path: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    remaining_ms: int
    soft_timeout_ms: int
    route: str
    priority: int
    service: str
    version: str
    caller: str
    is_idempotent: bool
    is_retry: bool
    """Whether the call is a retry of a request that has reached a target before."""
    may_have_run: bool
    is_nested: bool
    """Whether a target makes the call while it runs another request."""
    parent_is_retry: bool
    """Whether that other request was itself a retry."""
    may_wait: bool
    body_size: int = 0
    """Size of a body that follows in parts; 0 if `body` is the whole body."""
    may_abandon: bool = False
    """For gates of earlier builds, which would end a silent call; always false."""
    reports_silence: bool = False
    """Whether the gate sends `Silence` to the first node if the target is silent."""
    tenant: str = ""
    """Organisation of the request; empty if there is none."""


class Result(msgspec.Struct, array_like=True, tag=3):
    """The outcome of a call; `code` is the reason if there is no answer."""

    number: int
    outcome: int
    load: Load
    status: int = 0
    headers: list[tuple[bytes, bytes]] = []
    body: bytes = b""
    code: str = ""
    retry_after_ms: int = 0
    reached_target: bool = False
    """Whether the request reached the target, even if the target did not run it."""
    body_size: int = 0
    """As in `Call`."""


class BodyPart(msgspec.Struct, array_like=True, tag=15):
    """The next part of the body of the call or result `number`."""

    number: int
    data: bytes


class Silence(msgspec.Struct, array_like=True, tag=16):
    """Reports that the target has not answered a call so far; a result follows."""

    number: int


class Cancel(msgspec.Struct, array_like=True, tag=4):
    """Cancels a call whose result is no longer needed."""

    number: int


class OutcomeQuery(msgspec.Struct, array_like=True, tag=5):
    """Asks for the outcome of a call, and fences the call if it is not dispatched."""

    number: int
    request_id: bytes
    attempt: int
    remaining_ms: int


class StateUpdate(msgspec.Struct, array_like=True, tag=6):
    """A change of the sender's target, or of the sender itself."""

    state: TargetState
    is_leaving: bool
    accepts_ms: Count = 0
    """As in `Hello`."""


class ReaderHeartbeat(msgspec.Struct, array_like=True, tag=7):
    """Reports how recent the sender's copy of the operator's rows is.

    `last_change` is the version of the last known change in the store, `version` that
    of the configuration.
    """

    last_change: int
    version: int
    store_age_ms: Count = 0
    """Age of the store's last answer to the sender; earlier builds do not state it."""


class PullRequest(msgspec.Struct, array_like=True, tag=8):
    """Asks for the receiver's rows; the sender has configuration `version`."""

    version: int


class TableChange(msgspec.Struct, array_like=True):
    """The difference of a configuration to version `base`, or all of it for base 0.

    Routes, services and limits are tuples of the fields of the classes in `table`.
    `tenants` is false for a configuration without tenants, and `None` from earlier
    builds, which do not know them.
    """

    base: int
    version: int
    routes: list[tuple]
    removed: list[tuple[str, str]]
    """Hosts and prefixes of removed routes."""
    services: list[tuple]
    limits: tuple
    tenants: TenantsChange | bool | None = None


class RecordsUpdate(msgspec.Struct, array_like=True, tag=14):
    """The sender's copy of the operator's rows."""

    revision: int
    """Version up to which the sender has read the store."""
    last_change: int
    rows: list[tuple[str, bytes, int]]
    """Key, value and version of each row except the configuration."""
    change: TableChange | None


class Strike(msgspec.Struct, array_like=True, tag=9):
    """Reports that a target crashed while a request of this fingerprint was in flight.

    `ran_alone` says that it was the only suspected request in flight.
    """

    fingerprint: bytes
    strike_id: bytes
    ran_alone: bool
    is_cleared: bool = False
    """Whether a request of this fingerprint has been answered since. Earlier builds
    ignore it for strikes that they know."""
    age_ms: Count = 0
    """Time since the crash."""


class VersionTallies(msgspec.Struct, array_like=True, tag=10):
    """Call counts and latencies of a gate's target during a move, by route.

    `running` counts the calls that run on the target or wait at the gate.
    """

    node: str
    service: str
    version: str
    running: int
    routes: list[tuple[str, int, int, list[int]]]
    """Route, calls, failures, and calls by latency bucket."""
    errors: dict[str, int] = {}
    """Failures by route that the target answered by itself; see `Sample`."""


class Ping(msgspec.Struct, array_like=True, tag=11):
    """Checks that the other side of a link still responds."""


class Pong(msgspec.Struct, array_like=True, tag=12):
    """Answers a ping."""


class MoveUpdate(msgspec.Struct, array_like=True, tag=13):
    """The sender's state of a move, and the version of its row in the store."""

    value: bytes
    version: int


Frame = (
    Hello
    | BodyPart
    | Call
    | Result
    | Silence
    | Cancel
    | OutcomeQuery
    | StateUpdate
    | PullRequest
    | ReaderHeartbeat
    | RecordsUpdate
    | Strike
    | VersionTallies
    | Ping
    | Pong
    | MoveUpdate
    | UsageHolder
    | UsageTotals
    | UsageReceipt
)


def make_attempt_id(frame: Call | OutcomeQuery) -> str:
    """Return the key by which gates identify one attempt of a request."""
    return f"{frame.request_id.decode('latin-1')}.{frame.attempt}"
