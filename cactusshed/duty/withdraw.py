"""Withdrawals and drains: check the remaining capacity, then change the tree."""

import attrs

from ..errors import InvalidTree, WithdrawalRefused
from ..member.view import Endpoint, View
from ..operate.editor import Editor
from ..operate.messages import Accepted, ChangeRequest, ClosureRequest
from ..policy.capacity import ServiceLoad, find_shortfalls
from ..policy.pick import select_open
from ..spread.current import Current
from ..tree.edit import Edit
from ..tree.keys import KEYS
from .evidence import Collector

__all__ = ["Withdrawer"]

KINDS = ("withdraw", "drain")


@attrs.define
class Withdrawer:
    """Turns requests to withdraw, drain or reopen into changes of the tree."""

    current: Current
    view: View
    collector: Collector
    editor: Editor

    async def accept(self, asked: ClosureRequest) -> Accepted:
        """Accept the change; without `force` only if enough capacity remains."""
        if asked.kind not in KINDS:
            raise InvalidTree(f"kind: {asked.kind!r} is not one of {KINDS}")
        path = self._find_branch(asked)
        if asked.closed and not asked.force:
            await self._check_remainder(asked)
        branch = self.current.tree.branches.get(path)
        values = dict(branch.values) if branch else {}
        _set_closed(values, asked)
        change = ChangeRequest(
            asked.change_id,
            asked.author,
            [Edit(path, values)],
            {path: branch.version if branch else 0},
        )
        return await self.editor.accept(change)

    def _find_branch(self, asked: ClosureRequest) -> str:
        """Return the path of the data centre that is named or contains the name."""
        for member in self.view.list_all():
            names = {member.node, *(target.name for target in member.targets)}
            is_meant = member.data_centre == asked.name
            if asked.kind == "drain":
                is_meant = asked.name in names
            if is_meant:
                return f"/{member.region}/{member.data_centre}"
        return self._find_set_branch(asked)

    def _find_set_branch(self, asked: ClosureRequest) -> str:
        """Return the branch that names a data centre, node or target now gone."""
        for path, branch in self.current.tree.branches.items():
            if asked.kind == "withdraw" and path.endswith(f"/{asked.name}"):
                if path.count("/") == 2:
                    return path
            elif asked.name in _read_drained(branch.values):
                return path
        raise InvalidTree(
            f"no data centre, node or target is called {asked.name!r}", step=asked.kind
        )

    async def _check_remainder(self, asked: ClosureRequest) -> None:
        endpoints = self._list_open()
        goes = [endpoint for endpoint in endpoints if _is_meant(asked, endpoint)]
        services = {endpoint.target.service for endpoint in goes}
        loads = []
        for service in sorted(services):
            evidence = await self.collector.collect(service)
            loads.append(ServiceLoad(service, evidence.running))
        faults = list(find_shortfalls(endpoints, goes, loads))
        if faults:
            raise WithdrawalRefused("; ".join(faults), step=asked.kind)

    def _list_open(self) -> list[Endpoint]:
        table = self.current.table
        found = []
        for service in table.limits:
            found.extend(select_open(self.view.list_endpoints(service), table))
        return found


def _is_meant(asked: ClosureRequest, endpoint: Endpoint) -> bool:
    if asked.kind == "withdraw":
        return endpoint.member.data_centre == asked.name
    return asked.name in (endpoint.member.node, endpoint.target.name)


def _read_drained(values: dict[str, str]) -> tuple[str, ...]:
    return KEYS["drained"].parse("drained", values.get("drained", ""))


def _set_closed(values: dict[str, str], asked: ClosureRequest) -> None:
    if asked.kind == "withdraw":
        values["withdrawn"] = "yes" if asked.closed else "no"
        return
    names = set(_read_drained(values)) - {asked.name}
    if asked.closed:
        names.add(asked.name)
    values["drained"] = ",".join(sorted(names))
