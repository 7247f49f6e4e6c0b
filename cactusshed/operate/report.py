"""The status report of a node and of the fleet."""

import attrs

from ..clock import read_monotonic
from ..member.view import View
from ..serve.gates import Gates
from ..spread.activeversion import ActiveVersion
from ..spread.follower import Follower
from ..spread.survey import DataCentreStatus, Surveyor
from .messages import GateView, MemberView, MoveView, Status

__all__ = ["Reporter"]

MAX_MEMBERS = 500
"""Limit on members in one status."""


@attrs.define
class Reporter:
    """Builds the status report."""

    current: ActiveVersion
    view: View
    follower: Follower
    surveyor: Surveyor
    gates: Gates

    async def make_status(self) -> Status:
        """Return the status; queries one polling node of each data centre for it."""
        centres = await self.surveyor.survey()
        local = self.view.local_member
        current = self.current
        confirmed_at = current.confirmed_at
        age = None if confirmed_at is None else read_monotonic() - confirmed_at
        return Status(
            node=local.node,
            data_centre=local.data_centre,
            number=current.number,
            digest=current.tree.digest,
            ready=current.ready,
            age=age,
            parent=self.follower.parent,
            everywhere=_is_everywhere(centres, current.number),
            centres=centres,
            members=self._list_members(),
            gates=self._list_gates(),
            moves=list(self._list_moves()),
            withdrawn=sorted(current.table.withdrawn),
            drained=sorted(current.table.drained),
        )

    def _list_members(self) -> list[MemberView]:
        members = sorted(self.view.list_all(), key=lambda m: (m.data_centre, m.node))
        return [
            MemberView(
                member.node,
                member.data_centre,
                member.state.name.lower(),
                [f"{target.name}@{target.version}" for target in member.targets],
            )
            for member in members[:MAX_MEMBERS]
        ]

    def _list_gates(self) -> list[GateView]:
        return [
            GateView(
                name,
                gate.running,
                gate.queued,
                gate.get_limit(),
                gate.warmup.ceiling,
                gate.highest,
            )
            for name, gate in self.gates.list_gates()
        ]

    def _list_moves(self):
        services = set()
        for route in self.current.table.routes:
            move = route.move
            if move is None or route.service in services:
                continue
            services.add(route.service)
            yield MoveView(
                route.service,
                move.move_id,
                move.to,
                move.by,
                move.share,
                move.state,
                move.reason,
            )


def _is_everywhere(centres: list[DataCentreStatus], number: int) -> bool:
    return bool(centres) and all(centre.has_version(number) for centre in centres)
