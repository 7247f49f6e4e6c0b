"""Joining the mesh: seed rows and anti-entropy with peers."""

import random
from collections.abc import Callable, Iterable, Iterator

import anyio
import attrs
import grpc
import msgspec

from ..clock import read_monotonic
from ..decoding import decode_json
from ..errors import AnswerLost, CactusError, ConditionFailed, Malformed
from ..observe.counters import Counters
from ..observe.events import log_event
from ..options import Address, BadOption, parse_address
from ..settings import Settings
from ..store.port import ABSENT, Condition, Port, Write
from ..wire import control_pb2 as pb
from ..wire.channel import convert_rpc_error, make_metadata, open_stub
from .records import dump_member, load_member
from .view import BUCKETS, View

__all__ = ["Joiner", "make_sync_replies", "parse_seed"]

SEED_SLOTS = 3
"""Seed rows per data centre; the nodes of the lowest ranks write one each."""
FIRST_SEED_SECONDS = 0.5
"""First interval between updates of the seed row; doubles to `SEED_SECONDS`."""
SEED_SECONDS = 10.0
SYNC_SECONDS = 20.0
"""Mean interval between anti-entropy exchanges."""
SYNC_TIMEOUT_SECONDS = 5.0
JOIN_ATTEMPTS = 6
ATTEMPTS_PER_SEED_READ = 3
"""Attempts with the same seeds before the seed rows are read again.

When many nodes start at once, the seeds themselves may still be starting.
"""
JOIN_PAUSE_SECONDS = 0.5
MAX_JOIN_PAUSE_SECONDS = 2.0
"""Kept short: a node whose seeds are all gone must soon start without peers."""
MEMBERS_IN_REPLY = 256
MAX_SEED_ROWS = 200


def make_sync_replies(
    view: View, request: pb.SyncRequest, strikes: Iterable[pb.Strike] = ()
) -> Iterator[pb.SyncReply]:
    """Yield, in batches, the records in buckets that differ from the sender's.

    A request without bucket digests gets every record. The first reply holds `strikes`,
    which the sender may have missed: gossip spreads each only once.
    """
    known_strikes = list(strikes)
    if known_strikes:
        yield pb.SyncReply(strikes=known_strikes)
    sender_digests = list(request.buckets)
    if len(sender_digests) == BUCKETS:
        local_digests = view.get_bucket_digests()
        differing = [b for b in range(BUCKETS) if local_digests[b] != sender_digests[b]]
        members = [
            member for bucket in differing for member in view.list_bucket(bucket)
        ]
    else:
        members = view.list_all()
    for start in range(0, len(members), MEMBERS_IN_REPLY):
        batch = members[start : start + MEMBERS_IN_REPLY]
        yield pb.SyncReply(members=[dump_member(member) for member in batch])


@attrs.define
class Joiner:
    """State of the task that joins the mesh and runs anti-entropy."""

    settings: Settings
    port: Port
    view: View
    counters: Counters
    rng: random.Random = attrs.Factory(random.Random)
    on_strike: Callable[[pb.Strike], None] = lambda _strike: None
    """Receives each strike that another node hands over."""

    async def join(self) -> bool:
        """Fetch the view of one seed; return whether a seed was reached."""
        local_address = self.view.local_member.control_address
        seeds: list[Address] = []
        for attempt in range(JOIN_ATTEMPTS):
            if attempt % ATTEMPTS_PER_SEED_READ == 0:
                seeds = list(self.settings.seeds) + await self._read_seeds()
            others = [address for address in seeds if address != local_address]
            self.rng.shuffle(others)
            for address in others:
                if await self._sync(address, []) is not None:
                    return True
            if not others:
                return False
            max_pause = min(MAX_JOIN_PAUSE_SECONDS, JOIN_PAUSE_SECONDS * 2**attempt)
            await anyio.sleep(self.rng.uniform(0, max_pause))
        return False

    async def run(self) -> None:
        """Maintain the seed row and run anti-entropy until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._maintain_seed)
            tasks.start_soon(self._run_anti_entropy)

    async def _run_anti_entropy(self) -> None:
        while True:
            await anyio.sleep(SYNC_SECONDS * self.rng.uniform(0.5, 1.5))
            local_member = self.view.local_member
            live = self.view.list_live(local_member.data_centre)
            others = [member for member in live if member.node != local_member.node]
            if others:
                peer = self.rng.choice(others)
                await self._sync(peer.control_address, self.view.get_bucket_digests())

    async def _maintain_seed(self) -> None:
        """Sync with unknown seeds and write this rank's seed row if it has one."""
        pause = FIRST_SEED_SECONDS
        while True:
            local_member = self.view.local_member
            ranked = [m.node for m in self.view.list_live(local_member.data_centre)]
            slot = (
                ranked.index(local_member.node)
                if local_member.node in ranked
                else SEED_SLOTS
            )
            if slot < SEED_SLOTS:
                # Read before writing: two nodes that start together may use the
                # same slot, and after the write each would only see itself.
                await self._sync_unknown_seeds()
                await self._write_seed(slot)
            await anyio.sleep(pause * self.rng.uniform(0.5, 1.0))
            pause = min(SEED_SECONDS, 2 * pause)

    async def _write_seed(self, slot: int) -> None:
        local_member = self.view.local_member
        key = f"seed/{local_member.data_centre}/{slot}"
        value = msgspec.json.encode(str(local_member.control_address)).decode()
        try:
            row = await self.port.get(key)
            if row is not None and row.value == value:
                return
            version = row.version if row else ABSENT
            await self.port.commit([Condition(key, version)], [Write(key, value)])
        except (ConditionFailed, AnswerLost):
            return
        except CactusError:
            self.counters.add("seeds_failed")

    async def _sync_unknown_seeds(self) -> None:
        known_addresses = self._list_addresses()
        for address in await self._read_seeds():
            if address not in known_addresses:
                await self._merge_group(address)
                known_addresses = self._list_addresses()

    def _list_addresses(self) -> set[Address]:
        return {member.control_address for member in self.view.list_all()}

    async def _merge_group(self, address: Address) -> None:
        """Sync with a node of another group, and gossip what either group lacks.

        Nodes that start at once form groups that learn of each other by the seed rows.
        Without gossip every other member would wait for its own anti-entropy exchange.
        """
        fetched_nodes = await self._sync(address, [], propagate=True)
        if fetched_nodes is None:
            return
        for member in self.view.list_all():
            if member.node not in fetched_nodes:
                self.view.publish(member)

    async def _read_seeds(self) -> list[Address]:
        try:
            rows = await self.port.scan("seed/", "", MAX_SEED_ROWS)
        except CactusError:
            self.counters.add("seeds_failed")
            return []
        return [address for row in rows if (address := parse_seed(row.value))]

    async def _sync(
        self, address: Address, buckets: list[int], *, propagate: bool = False
    ) -> set[str] | None:
        """Merge the records of a node; return whose they are, `None` if it failed."""
        fetched_nodes: set[str] = set()
        request = pb.SyncRequest(
            sender=dump_member(self.view.local_member), buckets=buckets
        )
        now = read_monotonic()
        try:
            async with open_stub(self.settings, address) as stub:
                call = stub.Sync(
                    request,
                    metadata=make_metadata(self.settings),
                    timeout=SYNC_TIMEOUT_SECONDS,
                )
                async for reply in call:
                    self.counters.add("control_bytes_received", reply.ByteSize())
                    for strike in reply.strikes:
                        self.on_strike(strike)
                    for member in map(load_member, reply.members):
                        fetched_nodes.add(member.node)
                        self.view.merge(member, now, propagate=propagate)
        except grpc.RpcError as error:
            log_event(
                "sync-failed", error=str(convert_rpc_error(error, "sync", address))
            )
            return None
        except CactusError as error:
            log_event("sync-refused", error=str(error), peer=str(address))
            return None
        self.counters.add("syncs")
        return fetched_nodes


def parse_seed(value: str) -> Address | None:
    """Return the address in a seed row; `None` if it names none."""
    try:
        return parse_address("seed", decode_json(value, str, step="read seed"))
    except (BadOption, Malformed):
        return None
