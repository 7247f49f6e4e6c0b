"""SWIM gossip over UDP: failure detection and dissemination of updates."""

import hashlib
import hmac
import random
from collections.abc import Callable, Iterator

import anyio
import anyio.abc
import attrs
from anyio.streams.memory import MemoryObjectSendStream
from google.protobuf.message import DecodeError

from ..clock import read_monotonic
from ..errors import CactusError, Malformed
from ..observe.counters import Counters
from ..observe.events import log_event
from ..options import Address
from ..wire import control_pb2 as pb
from .records import Member, State, load_member
from .rumors import Rumors
from .view import View

__all__ = ["Gossip", "seal_packet", "unseal_packet"]

SEAL_BYTES = 16
"""Length of the message authentication code in front of each packet."""
OUTBOX_PACKETS = 1_000
"""Capacity of the send queue; further datagrams are dropped and counted."""
INDIRECT_PROBES = 3
"""Number of peers asked to probe a node that did not answer a direct probe."""
GOSSIP_FAN_OUT = 3
"""Number of neighbours that receive pending rumours in each round."""
BRIDGE_NODES = 3
"""Number of lowest-ranked nodes of a data centre that gossip with other ones."""
SUSPICION_INTERVALS = 6
"""Probe intervals after which a suspect is declared dead."""


def seal_packet(packet: pb.Packet, secret: str) -> bytes:
    """Serialise `packet` and prefix a BLAKE2b message authentication code."""
    body = packet.SerializeToString()
    return _compute_seal(body, secret) + body


def unseal_packet(data: bytes, secret: str) -> pb.Packet:
    """Return the packet in `data`.

    Raise `Malformed` when the authentication code or the encoding is wrong.
    """
    seal, body = data[:SEAL_BYTES], data[SEAL_BYTES:]
    if not hmac.compare_digest(seal, _compute_seal(body, secret)):
        raise Malformed("message authentication failed", step="read datagram")
    try:
        return pb.Packet.FromString(body)
    except DecodeError as error:
        raise Malformed(str(error), step="read datagram") from error


def _compute_seal(body: bytes, secret: str) -> bytes:
    key = hashlib.sha256(secret.encode()).digest()
    return hashlib.blake2b(body, key=key, digest_size=SEAL_BYTES).digest()


@attrs.define
class Gossip:
    """State of the gossip task; `on_strike` receives each strike from a peer."""

    view: View
    rumors: Rumors
    counters: Counters
    secret: str
    interval: float
    on_strike: Callable[[pb.Strike], None]
    rng: random.Random = attrs.Factory(random.Random)
    _tasks: anyio.abc.TaskGroup | None = None
    _outbox: MemoryObjectSendStream | None = None
    _seq: int = 0
    _ack_events: dict[int, anyio.Event] = attrs.Factory(dict)
    _probe_order: list[str] = attrs.Factory(list)
    _suspected_since: dict[str, float] = attrs.Factory(dict)

    async def run(self, address: Address) -> None:
        """Bind a UDP socket to `address` and run until cancelled."""
        self._outbox, outgoing = anyio.create_memory_object_stream(OUTBOX_PACKETS)
        async with (
            await anyio.create_udp_socket(
                local_host=address.ip, local_port=address.port
            ) as udp,
            anyio.create_task_group() as self._tasks,
        ):
            self._tasks.start_soon(self._receive, udp)
            self._tasks.start_soon(self._send_all, udp, outgoing)
            while True:
                self._tasks.start_soon(self._run_round)
                await anyio.sleep(self.interval * self.rng.uniform(0.8, 1.2))

    def send_pending(self, repeats: int = 3) -> None:
        """Send pending rumours immediately, without waiting for the next round."""
        for _ in range(repeats):
            for member in self._choose_peers(GOSSIP_FAN_OUT * 2):
                self._send(pb.Packet(kind=pb.GOSSIP), member.control_address)

    async def _run_round(self) -> None:
        now = read_monotonic()
        self._declare_dead(now)
        self.view.remove_expired(now)
        if len(self.rumors):
            for member in self._choose_peers(GOSSIP_FAN_OUT):
                self._send(pb.Packet(kind=pb.GOSSIP), member.control_address)
        subject = self._choose_subject()
        if subject is not None:
            await self._probe(subject)

    def _list_neighbours(self) -> list[Member]:
        local_member = self.view.local_member
        live = self.view.list_live(local_member.data_centre)
        return [member for member in live if member.node != local_member.node]

    def _choose_peers(self, count: int) -> list[Member]:
        neighbours = self._list_neighbours()
        chosen = self.rng.sample(neighbours, min(count, len(neighbours)))
        chosen.extend(self._choose_remote_peers())
        return chosen

    def _choose_remote_peers(self) -> Iterator[Member]:
        """Yield a low-ranked peer of each other data centre.

        Yields nothing unless this node is among the `BRIDGE_NODES` lowest ranks.
        """
        local_member = self.view.local_member
        lowest = self.view.list_live(local_member.data_centre)[:BRIDGE_NODES]
        if all(member.node != local_member.node for member in lowest):
            return
        for centre in self.view.list_data_centres():
            if centre != local_member.data_centre:
                yield self.rng.choice(self.view.list_live(centre)[:BRIDGE_NODES])

    def _choose_subject(self) -> Member | None:
        """Return the next neighbour to probe.

        Each neighbour is probed once per pass, in random order.
        """
        candidates = {member.node: member for member in self._list_neighbours()}
        while candidates:
            if not self._probe_order:
                self._probe_order = list(candidates)
                self.rng.shuffle(self._probe_order)
            member = candidates.get(self._probe_order.pop())
            if member is not None:
                return member
        return None

    async def _probe(self, subject: Member) -> None:
        seq, event = self._register_probe()
        try:
            self._send(pb.Packet(kind=pb.PING, seq=seq), subject.control_address)
            if await _wait(event, self.interval):
                return
            for relay in self._choose_peers(INDIRECT_PROBES):
                request = pb.Packet(kind=pb.PING_REQUEST, seq=seq, subject=subject.node)
                self._send(request, relay.control_address)
            if not await _wait(event, 2 * self.interval):
                self._suspect(subject)
        finally:
            del self._ack_events[seq]

    def _register_probe(self) -> tuple[int, anyio.Event]:
        self._seq = (self._seq + 1) % (1 << 32)
        event = self._ack_events[self._seq] = anyio.Event()
        return self._seq, event

    def _suspect(self, subject: Member) -> None:
        record = self.view.get(subject.node)
        if record is None or record.get_order() != subject.get_order():
            return
        self.counters.add("members_suspected")
        self.view.set_state(subject.node, State.SUSPECT, read_monotonic())

    def _declare_dead(self, now: float) -> None:
        suspects = {
            member.node
            for member in self._list_neighbours()
            if member.state == State.SUSPECT
        }
        for node in suspects:
            since = self._suspected_since.setdefault(node, now)
            if now - since > SUSPICION_INTERVALS * self.interval:
                self.view.set_state(node, State.DEAD, now)
                self.counters.add("members_dead")
                log_event("member-dead", member=node)
        for node in self._suspected_since.keys() - suspects:
            del self._suspected_since[node]

    def _send(self, packet: pb.Packet, address: Address) -> None:
        packet.sender = self.view.local_member.node
        data = seal_packet(self.rumors.fill(packet), self.secret)
        self.counters.add("control_bytes_sent", len(data))
        self.counters.add("datagrams_sent")
        try:
            self._outbox.send_nowait((data, address))
        except anyio.WouldBlock:
            self.counters.add("datagrams_unsent")

    async def _send_all(self, udp: anyio.abc.UDPSocket, outgoing) -> None:
        """Send queued datagrams one at a time.

        The socket does not allow concurrent sends.
        """
        async for data, address in outgoing:
            try:
                await udp.sendto(data, address.ip, address.port)
            except OSError:
                self.counters.add("datagrams_unsent")

    async def _receive(self, udp: anyio.abc.UDPSocket) -> None:
        async for data, source in udp:
            self.counters.add("control_bytes_received", len(data))
            try:
                packet = unseal_packet(data, self.secret)
                self._handle_packet(packet, Address(source[0], source[1]))
            except CactusError:
                self.counters.add("datagrams_refused")

    def _handle_packet(self, packet: pb.Packet, source: Address) -> None:
        now = read_monotonic()
        for rumor in packet.rumors:
            self.view.merge(load_member(rumor), now)
        for strike in packet.strikes:
            self.on_strike(strike)
        if packet.kind == pb.PING:
            self._send(pb.Packet(kind=pb.ACK, seq=packet.seq), source)
        elif packet.kind == pb.ACK:
            event = self._ack_events.get(packet.seq)
            if event is not None:
                event.set()
        elif packet.kind == pb.PING_REQUEST:
            self._relay_probe(packet, source)

    def _relay_probe(self, packet: pb.Packet, source: Address) -> None:
        """Probe the subject on behalf of `source` and relay its acknowledgement."""
        subject = self.view.get(packet.subject)
        if subject is None:
            return
        seq, event = self._register_probe()
        self._send(pb.Packet(kind=pb.PING, seq=seq), subject.control_address)
        request_seq = packet.seq

        async def relay_ack() -> None:
            try:
                if await _wait(event, self.interval):
                    self._send(pb.Packet(kind=pb.ACK, seq=request_seq), source)
            finally:
                del self._ack_events[seq]

        self._tasks.start_soon(relay_ack)


async def _wait(event: anyio.Event, seconds: float) -> bool:
    with anyio.move_on_after(seconds):
        await event.wait()
    return event.is_set()
