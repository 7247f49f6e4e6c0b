"""A node's view of the mesh: the newest record of each node."""

from collections import defaultdict
from collections.abc import Callable, Iterator

import attrs
import xxhash

from .records import Member, State, Target

__all__ = ["BUCKETS", "Endpoint", "View", "choose_bucket"]

BUCKETS = 64
"""Number of parts of a view that anti-entropy compares by digest."""
RETENTION_SECONDS = 600.0
"""Time after which the record of a dead or departed node is removed."""
_GONE = (State.DEAD, State.LEFT)


@attrs.frozen
class Endpoint:
    """A target and the node whose gate admits calls to it."""

    member: Member
    target: Target


def choose_bucket(node: str) -> int:
    """Return the anti-entropy bucket of a node."""
    return xxhash.xxh64_intdigest(node.encode()) % BUCKETS


class View:
    """The newest record of each node, with indexes by data centre and service."""

    def __init__(
        self, local_member: Member, on_change: Callable[[Member], None]
    ) -> None:
        """Start with this node's record; pass each change to `on_change`."""
        self._on_change = on_change
        self._local_node = local_member.node
        self._members: dict[str, Member] = {local_member.node: local_member}
        self._gone_since: dict[str, float] = {}
        self._buckets = [0] * BUCKETS
        self._toggle_digest(local_member)
        self._clear_indexes()

    @property
    def local_member(self) -> Member:
        """Return the record of this node."""
        return self._members[self._local_node]

    def __len__(self) -> int:
        return len(self._members)

    def get(self, node: str) -> Member | None:
        """Return the record of `node`, or `None`."""
        return self._members.get(node)

    def list_all(self) -> list[Member]:
        """Return every record, including those of dead and departed nodes."""
        return list(self._members.values())

    def update_local_member(self, **changes) -> Member:
        """Change this node's record, increment its `seq` and return it."""
        record = attrs.evolve(
            self.local_member, seq=self.local_member.seq + 1, **changes
        )
        self._store(record)
        return record

    def merge(self, record: Member, now: float, *, propagate: bool = True) -> bool:
        """Store `record` if it is newer than the stored one; return whether it was.

        With `propagate` off the record is not passed to `on_change`: the records
        that a joining node fetches are already known to its peers.
        """
        existing = self._members.get(record.node)
        if record.node == self._local_node:
            return self._refute(record)
        if existing is None and record.state in _GONE:
            return False
        if existing is not None and record.get_order() <= existing.get_order():
            return False
        if record.state in _GONE:
            self._gone_since[record.node] = now
        else:
            self._gone_since.pop(record.node, None)
        self._store(record, propagate=propagate)
        return True

    def _refute(self, record: Member) -> bool:
        local_member = self.local_member
        if (
            record.incarnation != local_member.incarnation
            or local_member.state == State.LEFT
        ):
            return False
        if record.get_order() <= local_member.get_order():
            return False
        self._store(attrs.evolve(local_member, seq=record.seq + 1))
        return True

    def publish(self, member: Member) -> None:
        """Pass a stored record to `on_change` again."""
        self._on_change(member)

    def set_state(self, node: str, state: State, now: float) -> None:
        """Set the state of another node as observed by this node."""
        existing = self._members.get(node)
        if existing is not None and node != self._local_node:
            self.merge(attrs.evolve(existing, state=state), now)

    def remove_expired(self, now: float) -> None:
        """Remove nodes that died or left more than `RETENTION_SECONDS` ago."""
        expired = [
            n
            for n, since in self._gone_since.items()
            if now - since > RETENTION_SECONDS
        ]
        for node in expired:
            del self._gone_since[node]
            self._toggle_digest(self._members.pop(node))
        if expired:
            self._clear_indexes()

    def _store(self, record: Member, *, propagate: bool = True) -> None:
        existing = self._members.get(record.node)
        if existing is not None:
            self._toggle_digest(existing)
        self._members[record.node] = record
        self._toggle_digest(record)
        self._clear_indexes()
        if propagate:
            self._on_change(record)

    def _toggle_digest(self, record: Member) -> None:
        """Add the record to its bucket's digest, or remove it (XOR does both)."""
        entry = f"{record.node}/{record.get_order()}".encode()
        self._buckets[choose_bucket(record.node)] ^= xxhash.xxh64_intdigest(entry)

    def get_bucket_digests(self) -> list[int]:
        """Return the digest of each bucket."""
        return list(self._buckets)

    def list_bucket(self, bucket: int) -> list[Member]:
        """Return the records in one bucket."""
        members = self._members.values()
        return [member for member in members if choose_bucket(member.node) == bucket]

    def _clear_indexes(self) -> None:
        self._by_centre: dict[str, list[Member]] | None = None
        self._by_service: dict[str, list[Endpoint]] | None = None

    def list_live(self, data_centre: str) -> list[Member]:
        """Return the live nodes of a data centre in order of rank."""
        return self._index_centres().get(data_centre, [])

    def list_data_centres(self) -> list[str]:
        """Return the data centres that have live nodes."""
        return sorted(self._index_centres())

    def _index_centres(self) -> dict[str, list[Member]]:
        if self._by_centre is None:
            index = defaultdict(list)
            for member in self._members.values():
                if member.state not in _GONE:
                    index[member.data_centre].append(member)
            for members in index.values():
                members.sort(key=_hash_rank)
            self._by_centre = dict(index)
        return self._by_centre

    def list_endpoints(self, service: str) -> list[Endpoint]:
        """Return the ready targets of `service` on live nodes."""
        if self._by_service is None:
            index = defaultdict(list)
            for endpoint in self._iter_endpoints():
                index[endpoint.target.service].append(endpoint)
            self._by_service = dict(index)
        return self._by_service.get(service, [])

    def _iter_endpoints(self) -> Iterator[Endpoint]:
        for member in self._members.values():
            if member.state in _GONE:
                continue
            for target in member.targets:
                if target.ready:
                    yield Endpoint(member, target)


def _hash_rank(member: Member) -> tuple[int, str]:
    return (xxhash.xxh64_intdigest(member.node.encode()), member.node)
