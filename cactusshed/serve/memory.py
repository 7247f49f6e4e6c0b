"""Memory that one connection of a listener holds: heads, bodies, unread responses."""

from collections import deque
from typing import TYPE_CHECKING

import attrs

from ..connections.served import ServedHolders
from ..policy.bodybudget import RETRY_SECONDS
from ..policy.clientmemory import compute_head_cost
from ..sockets import read_descriptor_limit

if TYPE_CHECKING:
    from .protocol import Protocol

__all__ = ["MAX_PIPELINED", "ConnectionMemory"]

MAX_PIPELINED = 8
"""Requests that wait behind another one from which on no more are read."""
REQUEST_COST_BYTES = 2500
"""Memory of a request besides its lines: its scope and the state of its response."""
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: %.3f\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n" % RETRY_SECONDS
)


@attrs.define
class _Charge:
    """What one request has reserved."""

    head: int = 0
    body: int = 0


@attrs.define(eq=False)
class ConnectionMemory:
    """What one connection has reserved, and since when it has made no progress."""

    holders: ServedHolders
    protocol: "Protocol"
    listener: str
    descriptors: float
    """Fraction of the process's descriptors for the listener."""
    started: float = 0.0
    """Loop time at which the request that is being received began."""
    last_received: float = 0.0
    has_served: bool = False
    """Whether a whole request has arrived."""
    is_open: bool = False
    """Whether a request is partly received."""
    unread_bytes: int = 0
    progressed_at: float = 0.0
    _charges: deque[_Charge] = attrs.Factory(deque)
    """Of the requests that are not answered, the oldest first."""
    _has_head: bool = False

    @property
    def is_unused(self) -> bool:
        """Return whether no request is being served."""
        cycle = self.protocol.cycle
        is_idle = cycle is None or cycle.response_complete
        return self.can_refuse or (is_idle and not self.unread_bytes)

    @property
    def can_refuse(self) -> bool:
        """Return whether a partial request can be refused: nothing else is served."""
        cycle = self.protocol.cycle
        if not self.is_open or self.protocol.pipeline:
            return False
        if cycle is None or cycle.response_complete:
            return True
        return self._has_head and not cycle.response_started

    def open(self, limit: int) -> None:
        """Note that the connection is open."""
        self.last_received = self.holders.read_time()
        by_descriptors = int(self.descriptors * read_descriptor_limit())
        by_memory = self.holders.budgets.max_connections
        self.holders.add(self, max(1, min(limit, by_memory, by_descriptors)))

    def close(self) -> None:
        """Return everything, because the connection is lost or about to be closed."""
        self.holders.discard(self)
        self.is_open = False
        while self._charges:
            self.release_oldest()
        self._charge_unread(0)

    def note_received(self) -> None:
        """Note that bytes have arrived."""
        self.last_received = self.holders.read_time()

    def start_request(self) -> None:
        """Note that a request begins, or that its head is parsed again."""
        if not self.is_open or self._has_head:
            self._charges.append(_Charge())
            self.started = self.last_received
        self.is_open = True
        self._has_head = False

    def end_request(self) -> None:
        """Note that a request is complete."""
        self.is_open = False
        self.has_served = True

    def charge_head(self, line_count: int, size: int, *, is_whole: bool) -> bool:
        """Charge what the head takes; return False if there is no room for it."""
        self._has_head = is_whole
        cost = compute_head_cost(line_count, size)
        if is_whole:
            cost += REQUEST_COST_BYTES
        charge = self._charges[-1]
        if cost <= charge.head:
            return True
        heads = self.holders.budgets.heads
        if not self.holders.reserve(self, heads, cost - charge.head):
            if self.can_refuse:
                return False
            # Requests before this one must be answered first.
            heads.used += cost - charge.head
        charge.head = cost
        return True

    def charge_body(self, size: int) -> bool:
        """Charge a part of a body; return False if there is no room for it."""
        if not size or self.protocol.cycle.response_complete:
            return True
        if not self.holders.reserve(self, self.holders.budgets.bodies, size):
            if self.can_refuse:
                return False
            self.holders.budgets.bodies.used += size
        self._charges[-1].body += size
        return True

    def release_oldest(self) -> None:
        """Return what the request that was answered has reserved."""
        if self._charges:
            charge = self._charges.popleft()
            self.holders.budgets.heads.release(charge.head)
            self.holders.budgets.bodies.release(charge.body)
            if not self._charges and self.is_open:
                # The rest of a request that was answered early is discarded.
                self._charges.append(_Charge())

    def refresh_unread(self) -> None:
        """Charge what the client has not read now."""
        self._charge_unread(self.protocol.transport.get_write_buffer_size())

    def note_paused(self) -> None:
        """Charge a response that the client does not read."""
        self.refresh_unread()
        if self.holders.budgets.output.is_exceeded:
            self.holders.relieve_output(self)

    def _charge_unread(self, unread: int) -> None:
        before = self.unread_bytes
        if unread < before or not before:
            self.progressed_at = self.holders.read_time()
        self.unread_bytes = unread
        self.holders.budgets.output.used += unread - before

    def refuse(self) -> None:
        """Refuse the request that is partly received, and close the connection."""
        self.close()
        self.protocol.refuse_for_memory(REFUSAL)

    def abort(self) -> None:
        """Close the connection at once."""
        self.close()
        self.protocol.transport.abort()
