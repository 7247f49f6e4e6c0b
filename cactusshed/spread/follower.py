"""Client side of the feed: the task that follows a parent."""

import random
from collections.abc import AsyncIterator

import anyio
import attrs
import grpc

from ..clock import read_monotonic
from ..errors import CactusError
from ..member.records import Member
from ..member.view import View
from ..observe.counters import Counters
from ..observe.events import log_event
from ..settings import Settings
from ..wire import control_pb2 as pb
from ..wire.channel import convert_rpc_error, make_metadata, open_stub
from .activeversion import ActiveVersion
from .messages import Receiver
from .reports import Reports
from .topology import choose_parents

__all__ = ["Follower", "fetch_updates"]

PARENT_STALE_SECONDS = 6.0
"""Age of the active version after which another parent is tried."""
SILENT_SECONDS = 5.0
"""Time without any message after which a parent is abandoned."""
REPORT_SECONDS = 3.0
"""Time between reports; after a new version one is sent immediately."""
AVOID_SECONDS = 15.0
"""Time for which a parent that failed is ordered after the others."""
INITIAL_PAUSE_SECONDS = 0.2
"""Longest wait before the first retry; doubles up to `MAX_PAUSE_SECONDS`."""
MAX_PAUSE_SECONDS = 8.0
FETCH_TIMEOUT_SECONDS = 10.0
"""Timeout of a request for the updates since a version."""


async def fetch_updates(
    settings: Settings, current: ActiveVersion, peer: Member
) -> int:
    """Update `current` from `peer`; return the number of the peer's version."""
    receiver = Receiver(current)
    number = 0
    try:
        async with open_stub(settings, peer.control_address) as stub:
            call = stub.Since(
                pb.SinceRequest(number=current.number),
                metadata=make_metadata(settings),
                timeout=FETCH_TIMEOUT_SECONDS,
            )
            async for update in call:
                receiver.apply(update)
                number = update.number
    except grpc.RpcError as error:
        raise convert_rpc_error(error, "fetch since", peer.control_address) from error
    return number


@attrs.define
class Follower:
    """State of the task that follows a parent.

    `parent` is the node followed now, empty for none.
    """

    settings: Settings
    current: ActiveVersion
    view: View
    reports: Reports
    counters: Counters
    rng: random.Random = attrs.Factory(random.Random)
    parent: str = ""
    _failures: int = 0
    _max_age: float = PARENT_STALE_SECONDS
    _avoid_until: dict[str, float] = attrs.Factory(dict)

    async def run(self) -> None:
        """Follow the most preferred parent until cancelled."""
        while True:
            parents = self._list_parents()
            if not parents:
                self.parent = ""
                self._failures = 0
                await anyio.sleep(INITIAL_PAUSE_SECONDS)
                continue
            await self._follow_once(parents[0])
            await self._pause(len(parents))

    def _list_parents(self) -> list[Member]:
        """Return the parents in order of preference, recently failed ones last."""
        local_member = self.view.local_member
        ranked = self.view.list_live(local_member.data_centre)
        members_by_name = {member.node: member for member in ranked}
        names = choose_parents(list(members_by_name), local_member.node)
        now = read_monotonic()
        names.sort(key=lambda name: max(0.0, self._avoid_until.get(name, 0.0) - now))
        return [members_by_name[name] for name in names]

    def _record_failure(self, member: Member) -> None:
        self._failures += 1
        self._avoid_until[member.node] = read_monotonic() + AVOID_SECONDS

    async def _pause(self, parents: int) -> None:
        """Back off with full jitter; the limit doubles with each failed round."""
        if not self._failures:
            return
        rounds = self._failures // parents
        max_pause = min(MAX_PAUSE_SECONDS, INITIAL_PAUSE_SECONDS * 2**rounds)
        await anyio.sleep(self.rng.uniform(0, max_pause))

    async def _follow_once(self, member: Member) -> None:
        log_event("parent", parent=member.node)
        self.parent = member.node
        self.counters.add("parent_changes")
        try:
            async with open_stub(self.settings, member.control_address) as stub:
                await self._read_stream(stub, member)
        except grpc.RpcError as error:
            self._record_failure(member)
            converted_error = convert_rpc_error(error, "follow", member.control_address)
            log_event("parent-lost", parent=member.node, error=str(converted_error))
        except CactusError as error:
            self._record_failure(member)
            self.counters.add("updates_refused")
            log_event("update-refused", parent=member.node, error=str(error))
            await self._recover(member)

    async def _read_stream(self, stub, member: Member) -> None:
        receiver = Receiver(self.current)
        done = anyio.Event()
        call = stub.Follow(
            self._send_reports(done), metadata=make_metadata(self.settings)
        )
        try:
            while self._is_preferred(member):
                update = await self._read(call)
                if update is None:
                    self._record_failure(member)
                    return
                if update.retry_after_ms:
                    self._record_failure(member)
                    await anyio.sleep(update.retry_after_ms / 1000)
                    return
                self._count_received(update)
                receiver.apply(update)
                if not self._is_fresh():
                    self._record_failure(member)
                    return
        finally:
            done.set()
            call.cancel()

    async def _read(self, call) -> pb.Update | None:
        """Return the next update, or `None` when the stream ended or timed out."""
        with anyio.move_on_after(SILENT_SECONDS):
            update = await call.read()
            return None if update is grpc.aio.EOF else update
        self.counters.add("feeds_silent")
        return None

    def _count_received(self, update: pb.Update) -> None:
        self.counters.add("feed_messages_received")
        self.counters.add("control_bytes_received", update.ByteSize())

    def _is_fresh(self) -> bool:
        """Return whether the active version is recent enough to keep this parent.

        The limit rises to twice the age each time it is exceeded. In an outage
        of the platform every parent is stale, and nodes would otherwise change
        parents again and again without effect.
        """
        age = self.current.get_age(read_monotonic())
        if age < PARENT_STALE_SECONDS:
            self._failures = 0
            self._max_age = PARENT_STALE_SECONDS
            return True
        if age < self._max_age:
            return True
        self._max_age = 2 * age
        return False

    def _is_preferred(self, member: Member) -> bool:
        parents = self._list_parents()
        if not parents:
            return False
        return parents[0].node == member.node

    async def _send_reports(self, done: anyio.Event) -> AsyncIterator[pb.Report]:
        while not done.is_set():
            report = self.reports.summarise()
            self.counters.add("control_bytes_sent", report.ByteSize())
            yield report
            await self.current.wait_change(REPORT_SECONDS)

    async def _recover(self, member: Member) -> None:
        """After a refused update, fetch the updates anew, from other parents first."""
        others = [peer for peer in self._list_parents() if peer.node != member.node]
        for peer in (*others, member):
            try:
                await fetch_updates(self.settings, self.current, peer)
            except CactusError:
                continue
            self.counters.add("updates_healed")
            return
