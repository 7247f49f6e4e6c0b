"""Changes to the tree and queries about it, served to operators."""

import random

import anyio
import attrs

from ..errors import InvalidTree, Malformed, NotReady, UpdateRefused
from ..observe.counters import Counters
from ..observe.events import log_event
from ..options import BadOption, parse_name
from ..spread.activeversion import ActiveVersion
from ..spread.survey import Surveyor
from ..store.acceptance import Proposal, accept_change, read_changes
from ..store.port import Port
from ..tree.branch import ANY, ROOT, split_path
from ..tree.inherit import Location, explain_key
from ..tree.keys import KEYS
from .messages import (
    Accepted,
    BranchView,
    ChangeRequest,
    Explanation,
    LogEntry,
    TreeView,
)

__all__ = ["Editor"]

LOST_ANSWER_PAUSE_SECONDS = 0.3
"""Mean pause in seconds before an attempt that follows a lost response."""
MAX_AUTHOR_CHARS = 64


@attrs.define
class Editor:
    """Accepts changes through the platform and announces them to other nodes."""

    port: Port
    current: ActiveVersion
    surveyor: Surveyor
    counters: Counters

    async def accept(self, request: ChangeRequest) -> Accepted:
        """Accept a change, apply it on this node and notify the other nodes."""
        _check_request(request)
        proposal = Proposal(
            request.change_id, request.author, tuple(request.edits), request.base
        )
        return await self.accept_proposal(proposal)

    async def accept_proposal(self, proposal: Proposal) -> Accepted:
        """Accept a validated proposal from an operator or a duty."""
        change, tree = await accept_change(
            self.port, proposal, lambda: self.current.tree, _pause_after_lost_answer
        )
        self.counters.add("changes_accepted")
        log_event("accepted", number=change.number, author=change.author)
        try:
            if tree.number > self.current.number:
                self.current.swap(tree, [change])
        except UpdateRefused:
            # The feed has already delivered this version or a later one.
            self.counters.add("swaps_late")
        await self.surveyor.notify_pollers(change.number)
        return Accepted(change.number, change.change_id, change.digest)

    def _check_ready(self) -> None:
        if not self.current.ready:
            raise NotReady("this node has no configuration yet", step="operate")

    def view_tree(self, path: str) -> TreeView:
        """Return the branches at and below `path`."""
        self._check_ready()
        split_path(path)
        prefix = path.rstrip("/") + "/"
        tree = self.current.tree
        branches = [
            BranchView(branch.path, dict(branch.values), branch.version)
            for name, branch in sorted(tree.branches.items())
            if name == path or name.startswith(prefix)
        ]
        return TreeView(tree.number, tree.digest, branches)

    async def list_log(self, after: int, limit: int) -> list[LogEntry]:
        """Return up to `limit` accepted changes after version `after`.

        If `after` is 0, return the most recent ones.
        """
        self._check_ready()
        newest = self.current.number
        if not after:
            after = max(0, newest - limit)
        last = min(newest, after + limit)
        changes = self.current.list_changes_after(after)
        if changes is None:
            changes = await read_changes(self.port, after, last)
        return [
            LogEntry(c.number, c.change_id, c.author, c.time, list(c.edits))
            for c in changes
            if c.number <= last
        ]

    async def explain(self, path: str, key: str) -> Explanation:
        """Return the effective value of `key` at `path` and the change that set it."""
        self._check_ready()
        if key not in KEYS:
            raise InvalidTree(f"{key!r} is not a key", step="explain")
        value = explain_key(self.current.tree, _make_location(path), key)
        text = _render_value(value.value)
        if value.source == "default":
            return Explanation(path, key, text, value.source)
        number = self.current.tree.branches[value.source].version
        entries = await self.list_log(number - 1, 1) if number > 1 else []
        if not entries:
            return Explanation(path, key, text, value.source, number)
        entry = entries[0]
        return Explanation(
            path, key, text, value.source, number, entry.author, entry.time
        )


async def _pause_after_lost_answer() -> None:
    await anyio.sleep(LOST_ANSWER_PAUSE_SECONDS * random.uniform(0.5, 1.5))  # noqa: S311


def _check_request(request: ChangeRequest) -> None:
    try:
        parse_name("change_id", request.change_id)
    except BadOption as error:
        raise Malformed(str(error), step="accept") from error
    if not request.author or len(request.author) > MAX_AUTHOR_CHARS:
        raise Malformed("author: is empty or too long", step="accept")
    if not request.edits:
        raise Malformed("edits: the list is empty", step="accept")
    paths = [edit.path for edit in request.edits]
    if len(set(paths)) < len(paths):
        raise Malformed("edits: a path occurs more than once", step="accept")
    for path in paths:
        split_path(path)
        if path.startswith("/@"):
            raise InvalidTree(f"{path} can only be written by duties", step="accept")


def _make_location(path: str) -> Location:
    parts = ["" if part == ANY else part for part in split_path(path)]
    if path == ROOT:
        return Location()
    return Location(*parts)


def _render_value(value: object) -> str:
    if value is None:
        return ""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, tuple):
        return ", ".join(value)
    return f"{value:g}" if isinstance(value, float) else str(value)
