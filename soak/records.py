"""What clients and targets recorded of each request; times in monotonic seconds."""

import attrs

__all__ = ["ROUTES", "InjectedFault", "Record", "Run", "is_unsafe"]

ROUTES = {
    "/read/": {},
    "/write/": {"kind": "unsafe"},
    "/other/": {"service": "b"},
    "/post/": {"service": "b", "kind": "unsafe"},
    "/long/": {"timeout": "4s"},
    "/slow/": {"service": "b", "kind": "unsafe", "timeout": "4s"},
}
"""Routes of the first configuration, to two services."""


PLANNED = frozenset(
    {
        "term",
        "hup",
        "configure",
        "keys",
        "holder-kill",
        "holder-term",
        "holder-pause",
        "holder-store-cut",
        "holder-api-cut",
        "api-cut",
        "api-busy",
        "add-route",
        "evacuate",
        "odd-rows",
        "end-host",
        "stop-service",
        "stop-centre",
    }
)
"""Planned operations, and faults of the platform's API: no client may lose an answer
through them. The faults of a holder are recorded as what they do to its node."""


def is_unsafe(path: str) -> bool:
    """Return whether a request with this path may run only once."""
    return ROUTES.get(f"/{path.split('/')[1]}/", {}).get("kind") == "unsafe"


@attrs.define
class Record:
    """One request and its answer; `status` is 0 if there was no answer.

    `was_sent` is false if no connection could be opened, and `ended` is 0 until the
    request has ended. `incarnation` numbers the processes of the node.
    """

    request_id: str
    path: str
    node: str
    incarnation: int
    sent: float
    ended: float = 0.0
    status: int = 0
    answer_digest: str = ""
    was_sent: bool = True
    cause: str = ""
    kind: str = "steady"
    """Name of the client's behaviour."""
    deadline: float = 1.0
    """Time in seconds that the client waits for the answer."""
    body_digest: str = ""
    written: float = 0.0
    """Time at which the last byte was written, 0 if it was not."""
    answered: float = 0.0
    """Time at which the answer began."""
    is_sealed: bool = True
    """Whether the answer bears the seal of a target."""
    retry_after: float = 0.0
    key: str = ""
    """Key of a tenant; empty for the calls of targets."""
    has_left: bool = False
    """Whether the client closed before the answer."""

    @property
    def route(self) -> str:
        """Return the first part of the path."""
        return self.path.split("/")[1]

    @property
    def shape(self) -> str:
        """Return the name of the answer that the request asks for."""
        return (self.path.split("/") + ["", ""])[2]


@attrs.define
class Run:
    """A request that a target started to run, and the answer that it made."""

    request_id: str
    path: str
    instance: str
    started_at: float
    is_cold: bool
    body_digest: str = ""
    ended: float = 0.0
    """0 if it did not end, or its caller had left."""
    status: int = 0
    answer_digest: str = ""
    tenant: str = ""
    """Tenant that the node stated."""


@attrs.define
class InjectedFault:
    """One injected fault; times in monotonic seconds."""

    kind: str
    node: str
    began: float
    ended: float = float("inf")

    @property
    def is_planned(self) -> bool:
        """Return whether clients must not be affected."""
        return self.kind in PLANNED
