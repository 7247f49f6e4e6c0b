"""Withdrawals and drains: check the remaining capacity, then change the tree."""

import attrs

from ..errors import InvalidTree, WithdrawalRefused
from ..member.view import Endpoint, View
from ..operate.editor import Editor
from ..operate.messages import Accepted, ChangeRequest, ClosureRequest
from ..policy.capacity import ServiceLoad, find_shortfalls
from ..policy.selection import select_open
from ..spread.activeversion import ActiveVersion
from ..tree.edit import Edit
from ..tree.keys import KEYS
from .tallies import TallyCollector

__all__ = ["ClosureHandler"]

CLOSURE_KINDS = ("withdraw", "drain")


@attrs.define
class ClosureHandler:
    """Turns requests to withdraw, drain or reopen into changes of the tree."""

    current: ActiveVersion
    view: View
    collector: TallyCollector
    editor: Editor

    async def accept(self, request: ClosureRequest) -> Accepted:
        """Accept the change; without `force` only if enough capacity remains."""
        if request.kind not in CLOSURE_KINDS:
            raise InvalidTree(f"kind: {request.kind!r} is not one of {CLOSURE_KINDS}")
        path = self._find_branch(request)
        if request.closed and not request.force:
            await self._check_capacity(request)
        branch = self.current.tree.branches.get(path)
        values = dict(branch.values) if branch else {}
        _set_closed(values, request)
        change = ChangeRequest(
            request.change_id,
            request.author,
            [Edit(path, values)],
            {path: branch.version if branch else 0},
        )
        return await self.editor.accept(change)

    def _find_branch(self, request: ClosureRequest) -> str:
        """Return the path of the data centre whose branch must change.

        It is the named data centre, or the one with the named node or target.
        """
        for member in self.view.list_all():
            names = {member.node, *(target.name for target in member.targets)}
            matches = member.data_centre == request.name
            if request.kind == "drain":
                matches = request.name in names
            if matches:
                return f"/{member.region}/{member.data_centre}"
        return self._find_closed_branch(request)

    def _find_closed_branch(self, request: ClosureRequest) -> str:
        """Return the branch that names a data centre, node or target now gone."""
        for path, branch in self.current.tree.branches.items():
            if request.kind == "withdraw" and path.endswith(f"/{request.name}"):
                if path.count("/") == 2:
                    return path
            elif request.name in _read_drained(branch.values):
                return path
        raise InvalidTree(
            f"no data centre, node or target is called {request.name!r}",
            step=request.kind,
        )

    async def _check_capacity(self, request: ClosureRequest) -> None:
        endpoints = self._list_open()
        closing = [endpoint for endpoint in endpoints if _matches(request, endpoint)]
        services = {endpoint.target.service for endpoint in closing}
        loads = []
        for service in sorted(services):
            tallies = await self.collector.collect(service)
            loads.append(ServiceLoad(service, tallies.running))
        shortfalls = list(find_shortfalls(endpoints, closing, loads))
        if shortfalls:
            raise WithdrawalRefused("; ".join(shortfalls), step=request.kind)

    def _list_open(self) -> list[Endpoint]:
        table = self.current.table
        found = []
        for service in table.limits:
            found.extend(select_open(self.view.list_endpoints(service), table))
        return found


def _matches(request: ClosureRequest, endpoint: Endpoint) -> bool:
    if request.kind == "withdraw":
        return endpoint.member.data_centre == request.name
    return request.name in (endpoint.member.node, endpoint.target.name)


def _read_drained(values: dict[str, str]) -> tuple[str, ...]:
    return KEYS["drained"].parse("drained", values.get("drained", ""))


def _set_closed(values: dict[str, str], request: ClosureRequest) -> None:
    if request.kind == "withdraw":
        values["withdrawn"] = "yes" if request.closed else "no"
        return
    names = set(_read_drained(values)) - {request.name}
    if request.closed:
        names.add(request.name)
    values["drained"] = ",".join(sorted(names))
