"""The move duty: the holder of a service's lease advances its move."""

from collections import deque
from collections.abc import Iterator

import anyio
import attrs
import xxhash

from ..clock import read_monotonic, read_wall
from ..errors import CactusError, LeaseLost
from ..member.view import View
from ..observe.counters import Counters
from ..observe.events import log_event
from ..operate.editor import Editor
from ..policy.comparison import Comparison, compare_versions
from ..policy.progress import Plan, Progress, advance_move, needs_control
from ..spread.activeversion import ActiveVersion
from ..store.acceptance import Proposal
from ..store.lease import Lease, acquire_lease, release_lease, renew_lease
from ..store.port import Port
from ..tree.branch import make_progress_path
from ..tree.edit import Edit
from ..tree.inherit import Location, resolve_values
from ..tree.table import Move, Route, read_progress
from .tallies import ServiceTallies, TallyCollector, subtract_tallies

__all__ = ["MoveController", "MoveDuty", "choose_candidates", "find_moves"]

CHECK_SECONDS = 0.5
"""Shortest time between two interim checks of a move."""
QUERIES_PER_SECOND = 30
"""Limit on the queries that the holder of one lease sends, to bound its load."""
SCAN_SECONDS = 0.5
"""Longest time between two scans for moves that need a holder."""
MAX_CANDIDATES = 3
"""Number of candidates for a service's lease; each tries after the one before."""
ACQUIRE_DELAY_SECONDS = 2.0
"""Delay from one candidate's attempt to the next's, and after a failure."""
WINDOW_CHECKS = 20
"""Length of the recent window, in interim checks; it is also compared on its own."""
AUTHOR = "move-duty"


def find_moves(routes: tuple[Route, ...]) -> dict[str, Move]:
    """Return the move of each service that has one."""
    return {route.service: route.move for route in routes if route.move is not None}


def choose_candidates(service: str, nodes: list[str]) -> list[str]:
    """Return the candidates for a service's lease in order of preference.

    Rendezvous hashing (highest random weight), after Thaler and Ravishankar
    (1998).
    """

    def compute_weight(node: str) -> int:
        return xxhash.xxh64_intdigest(f"{service}\0{node}".encode())

    return sorted(nodes, key=compute_weight, reverse=True)[:MAX_CANDIDATES]


@attrs.define
class MoveDuty:
    """State of the move duty on this node: the moves that it controls."""

    port: Port
    current: ActiveVersion
    view: View
    collector: TallyCollector
    editor: Editor
    counters: Counters
    _active_moves: dict[str, str] = attrs.Factory(dict)

    async def run(self) -> None:
        """Control moves until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                for service, move in self._find_due():
                    self._active_moves[service] = move.move_id
                    tasks.start_soon(self._control_move, service)
                await self.current.wait_change(SCAN_SECONDS)

    def _find_due(self) -> Iterator[tuple[str, Move]]:
        """Yield the moves that this node should start to control."""
        if not self.current.ready:
            return
        for service, move in find_moves(self.current.table.routes).items():
            if service in self._active_moves or not self._is_due(service):
                continue
            if self._get_candidate_rank(service) is not None:
                yield service, move

    def _is_due(self, service: str) -> bool:
        progress = self.get_progress(service)
        return progress is not None and needs_control(progress, read_wall())

    def _get_candidate_rank(self, service: str) -> int | None:
        """Return this node's rank among the candidates, `None` if it is not one."""
        nodes = [
            member.node
            for centre in self.view.list_data_centres()
            for member in self.view.list_live(centre)
        ]
        candidates = choose_candidates(service, nodes)
        local_node = self.view.local_member.node
        return candidates.index(local_node) if local_node in candidates else None

    async def _control_move(self, service: str) -> None:
        try:
            rank = self._get_candidate_rank(service) or 0
            await anyio.sleep(rank * ACQUIRE_DELAY_SECONDS)
            lease = await acquire_lease(self.port, f"move-{service}", self._holder_name)
            if lease is None:
                await anyio.sleep(ACQUIRE_DELAY_SECONDS)
                return
            log_event("lease-acquired", lease=lease.name, epoch=lease.epoch)
            async with self.collector.reuse_channels() as collector:
                await MoveController(self, service, lease, collector).run()
        except CactusError as error:
            self.counters.add("duties_failed")
            log_event("duty-failed", service=service, error=str(error))
            await anyio.sleep(ACQUIRE_DELAY_SECONDS)
        finally:
            del self._active_moves[service]

    @property
    def _holder_name(self) -> str:
        local_member = self.view.local_member
        return f"{local_member.node}/{local_member.incarnation}"

    def get_progress(self, service: str) -> Progress | None:
        """Return the progress of a service's move, `None` when it has none."""
        move = find_moves(self.current.table.routes).get(service)
        if move is None:
            return None
        stored = read_progress(self.current.tree, service)
        if stored["move-id"] != move.move_id:
            return Progress(move.move_id, move.to, 0.0, "running", 0.0)
        return Progress(
            move.move_id,
            move.to,
            stored["share"],
            stored["state"],
            stored["since"],
            stored["reason"],
        )

    def make_plan(self, service: str, start: float) -> Plan | None:
        """Return the plan of a service's move, `None` when it has none."""
        move = find_moves(self.current.table.routes).get(service)
        if move is None:
            return None
        values = resolve_values(self.current.tree, Location(service=service))
        first_share = values["first-share"]
        return Plan(move.move_id, move.to, start, move.by, first_share)


class MoveController:
    """Controls the move of one service under one lease.

    Holds the tallies that were collected during that lease.
    """

    def __init__(
        self, duty: MoveDuty, service: str, lease: Lease, collector: TallyCollector
    ) -> None:
        self._duty = duty
        self._collector = collector
        self._service = service
        self._lease = lease
        self._start = read_wall()
        self._baseline: ServiceTallies | None = None
        self._recent: deque[ServiceTallies] = deque(maxlen=WINDOW_CHECKS)
        self._move_id = ""
        self._checks = 0
        self._compared_calls = 0

    async def run(self) -> None:
        """Check, decide and write steps until the move needs no control."""
        while True:
            started = read_monotonic()
            if not self._lease.is_live(started):
                raise LeaseLost("the lease expired before it was renewed", step="move")
            progress = self._duty.get_progress(self._service)
            if progress is None or not needs_control(progress, read_wall()):
                break
            if progress.move_id != (self._move_id or progress.move_id):
                # Another move has started: a new lease collects tallies from zero.
                break
            self._move_id = progress.move_id
            await self._check(progress)
            self._lease = await renew_lease(self._duty.port, self._lease)
            await anyio.sleep(self._choose_pause())
        await release_lease(self._duty.port, self._lease)

    def _choose_pause(self) -> float:
        """Return the seconds to the next check; more targets make them longer."""
        endpoints = self._duty.view.list_endpoints(self._service)
        return max(CHECK_SECONDS, len(endpoints) / QUERIES_PER_SECOND)

    async def _check(self, progress: Progress) -> None:
        duty = self._duty
        plan = duty.make_plan(self._service, self._start)
        if plan is None:
            return
        tallies = await self._collector.collect(self._service)
        if self._baseline is None:
            self._baseline = tallies
        self._recent.append(tallies)
        comparison = self._compare(tallies, plan.to)
        endpoints = duty.view.list_endpoints(self._service)
        has_targets = any(e.target.version == plan.to for e in endpoints)
        now = read_wall()
        updated = advance_move(progress, plan, now, comparison, has_targets)
        if updated is not progress:
            await self._write(updated)

    def _compare(self, tallies: ServiceTallies, new_version: str) -> Comparison:
        """Compare the new version over the whole lease, then over the recent window."""
        total = subtract_tallies(tallies, self._baseline)
        new_samples = total.list_version(new_version)
        calls = sum(sample.calls for sample in new_samples)
        if calls == self._compared_calls:
            return Comparison(bad=False)
        self._compared_calls = calls
        self._checks += 1
        old_samples = [s for key, s in tallies.samples.items() if key[2] != new_version]
        recent = subtract_tallies(tallies, self._recent[0])
        for sample in (new_samples, recent.list_version(new_version)):
            comparison = compare_versions(old_samples, sample, 2 * self._checks)
            if comparison.bad:
                return comparison
        return Comparison(bad=False)

    async def _write(self, progress: Progress) -> None:
        """Write a step, on condition that this epoch of the lease still holds."""
        path = make_progress_path(self._service)
        values = {
            "move-id": progress.move_id,
            "to": progress.to,
            "share": f"{progress.share:.6g}",
            "state": progress.state,
            "since": f"{progress.since:.3f}",
            "reason": progress.reason,
        }
        change_id = f"{progress.move_id}.{self._lease.epoch}.{progress.since:.3f}"
        proposal = Proposal(
            change_id,
            AUTHOR,
            (Edit(path, values),),
            {},
            (self._lease.make_guard(),),
        )
        await self._duty.editor.accept_proposal(proposal)
        self._duty.counters.add("move_steps")
        log_event(
            "move",
            service=self._service,
            state=progress.state,
            share=progress.share,
            reason=progress.reason,
        )
