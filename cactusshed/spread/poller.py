"""The task that polls the platform for the head, the newest accepted version.

The nodes of the lowest ranks in each data centre are its pollers.
"""

import random

import anyio
import attrs

from ..clock import read_monotonic
from ..errors import CactusError
from ..member.view import View
from ..observe.counters import Counters
from ..observe.events import log_event
from ..settings import Settings
from ..store.acceptance import Head, load_head, load_tree_at
from ..store.lostchanges import restore_changes
from ..store.port import Port
from .activeversion import ActiveVersion
from .follower import fetch_updates
from .topology import POLLERS, find_rank, is_poller

__all__ = ["Poller"]

POLL_STALE_SECONDS = 10.0
"""Age of the version after which a node that is not a poller polls as well."""
FLEET_READS_PER_SECOND = 100
"""Limit on the polls per second of all nodes that are not pollers."""
PEER_FALLBACK_SECONDS = 5.0
"""Time after start until the minimum version is taken from peers.

Until then it must come from the platform.
"""
MAX_QUERIED_PEERS = 8
"""Maximum number of peers that are queried for the minimum version."""


@attrs.define
class Poller:
    """State of the task that polls the platform for the head."""

    settings: Settings
    port: Port
    current: ActiveVersion
    view: View
    counters: Counters
    rng: random.Random = attrs.Factory(random.Random)
    _platform_reachable: bool = True
    _hinted: anyio.Event = attrs.Factory(anyio.Event)

    def hint(self, number: int) -> None:
        """Poll immediately if version `number` is newer; any task may call this."""
        if number > self.current.number:
            self._hinted.set()

    async def run(self) -> None:
        """Poll until cancelled."""
        is_hinted = False
        while True:
            if is_hinted or self._should_poll():
                await self.poll()
            if not self.current.ready:
                await self._find_minimum_version()
            is_hinted = await self._wait_hint(self._choose_interval())

    async def _wait_hint(self, seconds: float) -> bool:
        """Return whether a hint arrived within `seconds` or during the last poll."""
        with anyio.move_on_after(seconds):
            await self._hinted.wait()
        is_hinted = self._hinted.is_set()
        self._hinted = anyio.Event()
        return is_hinted

    def _get_rank(self) -> int:
        local_member = self.view.local_member
        ranked = [
            member.node for member in self.view.list_live(local_member.data_centre)
        ]
        return find_rank(ranked, local_member.node)

    def _should_poll(self) -> bool:
        age = self.current.get_age(read_monotonic())
        return is_poller(self._get_rank()) or age > POLL_STALE_SECONDS

    def _choose_interval(self) -> float:
        if is_poller(self._get_rank()):
            return self.settings.poll_interval * self.rng.uniform(0.8, 1.2)
        max_interval = max(
            POLL_STALE_SECONDS, 2 * len(self.view) / FLEET_READS_PER_SECOND
        )
        age = self.current.get_age(read_monotonic())
        if age < POLL_STALE_SECONDS and self.current.ready:
            return POLL_STALE_SECONDS
        return self.rng.uniform(0.0, max_interval)

    async def poll(self) -> None:
        """Read the head and, if it is newer, fetch and activate its version."""
        requested_at = self.current.clock()
        known_number = self.current.number
        try:
            head = await load_head(self.port)
            if head.number > self.current.number:
                tree, changes = await load_tree_at(self.port, self.current.tree, head)
                if tree.number > self.current.number:
                    self.current.swap(tree, changes)
            if head.number < known_number:
                await self._restore_changes(head)
            if head.number <= self.current.number:
                self.current.confirm(requested_at)
        except CactusError as error:
            self._record_failure(error)
            await self._fetch_from_remote_peer()
            return
        if not self._platform_reachable:
            self._platform_reachable = True
            log_event("platform-back", version=self.current.number)

    async def _restore_changes(self, head: Head) -> None:
        """Write the changes after `head` again, which the platform has lost."""
        changes = self.current.list_changes_after(max(0, head.number - 1))
        is_restored = bool(changes) and await restore_changes(self.port, head, changes)
        self.counters.add("heads_restored" if is_restored else "heads_not_restored")
        log_event(
            "head-restored" if is_restored else "head-not-restored",
            head=head.number,
            version=self.current.number,
        )

    def _record_failure(self, error: CactusError) -> None:
        self.counters.add("polls_failed")
        if self._platform_reachable:
            self._platform_reachable = False
            log_event("platform-lost", error=str(error))

    async def _fetch_from_remote_peer(self) -> None:
        """Fetch from a poller of another data centre, which may reach the platform."""
        local_member = self.view.local_member
        remote = [
            c for c in self.view.list_data_centres() if c != local_member.data_centre
        ]
        if not remote:
            return
        centre = self.rng.choice(remote)
        peer = self.rng.choice(self.view.list_live(centre)[:POLLERS])
        try:
            await fetch_updates(self.settings, self.current, peer)
        except CactusError:
            self.counters.add("far_peers_failed")

    async def _find_minimum_version(self) -> None:
        """In an outage, take the minimum version from peers and become ready."""
        if self.current.clock() - self.current.started_at < PEER_FALLBACK_SECONDS:
            return
        local_member = self.view.local_member
        peers = [
            m
            for m in self.view.list_live(local_member.data_centre)
            if m.node != local_member.node
        ]
        for centre in self.view.list_data_centres():
            if centre != local_member.data_centre:
                peers.extend(self.view.list_live(centre)[:POLLERS])
        reached = 0
        for peer in peers[:MAX_QUERIED_PEERS]:
            try:
                reached += await fetch_updates(self.settings, self.current, peer) > 0
            except CactusError:
                continue
        if reached and self.current.number and not self.current.ready:
            self.current.mark_ready("peers")
