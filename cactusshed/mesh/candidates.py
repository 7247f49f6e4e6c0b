"""The open targets of a service, as the node that received a call sees them."""

from collections.abc import Callable, Iterator

import attrs

from ..clock import read_monotonic
from ..policy.placement import Candidate, LoadView, estimate_transfer_seconds
from .frames import Load
from .gate import Gate
from .member import Member
from .peers import Peers

__all__ = ["Candidates", "store_report"]


@attrs.define
class Candidates:
    """Lists the targets that a call may be sent to."""

    node: str
    data_centre: str
    link_mbps: float
    peers: Peers
    gate: Gate
    is_evacuated: Callable[[str], bool]
    local_view: LoadView = attrs.Factory(LoadView)

    def list_open(
        self, service: str, version: str, body_bytes: int, answer_bytes: int = 0
    ) -> Iterator[tuple[Candidate, Member | None]]:
        """Yield each open target and its node; the node is `None` for the local target.

        An empty `version` stands for any; `body_bytes` is the size of the call's body,
        `answer_bytes` that of its answer if it is large.
        """
        for member in self._list_members(service, version):
            yield self._make_remote(member, body_bytes, answer_bytes), member
        local = self._make_local(service, version, answer_bytes)
        if local is not None:
            yield local, None

    def _list_members(self, service: str, version: str) -> Iterator[Member]:
        now = read_monotonic()
        for member in self.peers.list_connected(service):
            if not self.find_obstacle(member, version, now):
                yield member

    def find_obstacle(self, member: Member, version: str, now: float) -> str:
        """Return why the target of a connected node gets no calls for `version`.

        The reason is empty if it does.
        """
        state = member.state
        if self.is_evacuated(member.data_centre):
            return "evacuated"
        if now >= member.accepts_until:
            return "leaving"
        if not state.is_open:
            return "leaving" if state.leave_acknowledged else "closed"
        if version and state.version != version:
            return "other-version"
        return ""

    def find_local_obstacle(self, version: str) -> str:
        """Return why the local target gets no calls for `version`; empty if it does."""
        gate = self.gate
        if not gate.is_open:
            return next(iter(gate.close_reasons))
        if version and version != gate.version:
            return "other-version"
        return ""

    def _make_local(
        self, service: str, version: str, answer_bytes: int
    ) -> Candidate | None:
        gate = self.gate
        if service != gate.service or self.find_local_obstacle(version):
            return None
        now = read_monotonic()
        self.refresh_local_view(now)
        return Candidate(
            self.node,
            self.local_view,
            False,
            gate.cold.is_cold(now),
            self.local_view.transfer_seconds if answer_bytes else 0.0,
            start_rate=gate.notices.rate_limit.rate or 0.0,
        )

    def estimate_delivery(self, answer_bytes: int, now: float) -> float:
        """Return the seconds that a large answer of another host takes to the caller.

        It passes this host's link as well, unlike one of the local target.
        """
        uplink = self.gate.uplink
        if uplink is None or not answer_bytes:
            return 0.0
        return uplink.estimate_delivery(answer_bytes, now)

    def refresh_local_view(self, now: float) -> None:
        """Store the present load of the local gate."""
        store_report(self.local_view, self.gate.get_load(), now)

    def _make_remote(
        self, member: Member, body_bytes: int, answer_bytes: int
    ) -> Candidate:
        is_far = member.data_centre != self.data_centre
        link_mbps = min(self.link_mbps, member.link_mbps) or self.link_mbps
        transfer_seconds = estimate_transfer_seconds(body_bytes, link_mbps)
        if answer_bytes:
            now = read_monotonic()
            transfer_seconds += member.view.estimate_answer_transfer(
                now, answer_bytes, member.link_mbps
            )
            transfer_seconds += self.estimate_delivery(answer_bytes, now)
        return Candidate(
            member.node,
            member.view,
            is_far,
            member.state.is_cold,
            transfer_seconds,
            body_bytes + answer_bytes,
            member.state.rate_limit,
        )


def store_report(view: LoadView, load: Load, now: float) -> None:
    """Store the load that a gate reported at monotonic time `now`."""
    view.report(
        load.running + load.waiting,
        load.limit,
        load.mean_service_ms / 1000,
        now,
        load.starts_left,
        load.transfer_ms / 1000,
        load.host_pace_percent / 100,
    )
