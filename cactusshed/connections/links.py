"""Links that other nodes have opened to this one, as holders of memory."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from ..policy.bodybudget import BodyBudget
from ..policy.clientmemory import (
    MAX_LINKS_PER_NODE,
    LinkBudgets,
    count_evicted,
    is_stalled,
    is_stuck,
    list_oldest,
)

if TYPE_CHECKING:
    from ..mesh.link import Link

__all__ = ["LinkHolders"]

RESCAN_SECONDS = 0.05
"""Pause after a scan of all links that found none to evict."""


@attrs.define(eq=False)
class LinkHolders:
    """The accepted links; those without progress are closed when memory is short."""

    budgets: LinkBudgets
    on_evicted: Callable[[str], None]
    """Called with the reason of each eviction, as for clients."""
    _unnamed: set["Link"] = attrs.Factory(set)
    """Links whose node has not said its name."""
    _named: dict[str, list["Link"]] = attrs.Factory(dict)
    """Links by the name of the node, oldest first."""
    _loop: asyncio.AbstractEventLoop = attrs.Factory(asyncio.get_running_loop)
    _scan_after: float = 0.0
    _relieve_after: float = 0.0

    def add(self, link: "Link") -> None:
        """Add an accepted link; the silent ones are closed if there are too many."""
        self._unnamed.add(link)
        excess = len(self._unnamed) - self.budgets.max_unnamed
        if excess <= 0:
            return
        others = [(o.last_received, o) for o in self._unnamed if o is not link]
        count = excess - 1 + count_evicted(self.budgets.max_unnamed)
        for other in list_oldest(others, count):
            self._evict(other, "excess")

    def note_named(self, link: "Link") -> None:
        """Note that the node of a link has said its name, perhaps again."""
        if link not in self._unnamed:
            return
        self._unnamed.discard(link)
        link.holder_name = link.peer
        links = self._named.setdefault(link.peer, [])
        links.append(link)
        if len(links) > MAX_LINKS_PER_NODE:
            others = [(o.last_received, o) for o in links if o is not link]
            for other in list_oldest(others, 1):
                self._evict(other, "excess")

    def discard(self, link: "Link") -> None:
        """Remove a closed link."""
        self._unnamed.discard(link)
        links = self._named.get(link.holder_name, [])
        if link in links:
            links.remove(link)
            if not links:
                del self._named[link.holder_name]

    def _list_links(self) -> list["Link"]:
        named = [link for links in self._named.values() for link in links]
        return [*self._unnamed, *named]

    def make_room(self, newest: "Link", budget: BodyBudget, size: int) -> None:
        """Close links with unfinished frames that have made no progress.

        Links of nodes without a name are the first, then those that have received
        nothing for the longest time.
        """
        now = self._loop.time()
        if now < self._scan_after or size > budget.limit:
            return
        wanted = min(budget.limit, size + count_evicted(budget.limit))
        stalled = [
            ((not link.is_unnamed, link.last_received), link)
            for link in self._list_links()
            if link is not newest
            and link.unfinished_bytes
            and is_stalled(now, link.unfinished_since, link.last_received)
        ]
        for link in list_oldest(stalled):
            if budget.has_room(wanted):
                break
            self._evict(link, "partial")
        if not budget.has_room(size):
            self._scan_after = now + RESCAN_SECONDS

    def may_take_calls(self) -> bool:
        """Return whether there is memory for the results of more calls."""
        output = self.budgets.output
        if output.is_exceeded:
            self._relieve_output()
        return not output.is_exceeded

    def may_send(self, link: "Link", size: int) -> bool:
        """Return whether there is memory for an answer that waits on a link."""
        output = self.budgets.output
        if output.used + size > output.limit:
            self._relieve_output()
        return output.may_add(size, link.unread_bytes)

    def _relieve_output(self) -> None:
        """Close links that take none of their results."""
        now = self._loop.time()
        if now < self._relieve_after:
            return
        output = self.budgets.output
        unread = [link for link in self._list_links() if link.unread_bytes]
        for link in unread:
            link.refresh_unread()
        stuck = [
            (link.progressed_at, link.unread_bytes, link)
            for link in unread
            if link.unread_bytes and is_stuck(now, link.progressed_at)
        ]
        for link in list(output.choose_evicted(stuck)):
            self._evict(link, "unread")
        self._relieve_after = now + RESCAN_SECONDS

    def _evict(self, link: "Link", reason: str) -> None:
        self.on_evicted(reason)
        link.close()
