"""Limits on the bytes that are read for one request."""

from collections.abc import Callable

import attrs

from ..policy.bodybudget import BodyBudget
from ..policy.clientmemory import compute_head_cost
from ..policy.parsework import LINE_BYTES, MIN_LINE_BYTES, get_framing_limit
from .table import Limits

__all__ = ["RequestMeter", "TooManyBytes"]


class TooManyBytes(Exception):
    """A request exceeds a limit; the meter has the status of its refusal."""


@attrs.define(eq=False)
class RequestMeter:
    """Counts the bytes of the requests of one connection.

    Bodies count in `budget`, heads in `heads` at what they cost in memory.
    """

    get_limits: Callable[[], Limits]
    budget: BodyBudget
    heads: BodyBudget
    make_room: Callable[[BodyBudget, int], None]
    """Called with a budget and the bytes for which it has no room."""
    refusal_status: int = 0
    """Status of the refusal, once a limit is exceeded."""
    _head_bytes: int = 0
    _trailer_bytes: int = 0
    _received_in_body: int = 0
    _body_bytes: int = 0
    _reserved: int = 0
    _head_cost: int = 0

    def add_received(self, size: int, *, in_body: bool) -> None:
        """Count bytes from the connection, before they are parsed."""
        if in_body:
            self._received_in_body += size
        else:
            self._head_bytes += size

    def check(self, line_count: int, *, in_body: bool) -> None:
        """Raise `TooManyBytes` for a head or for framing without end.

        An unfinished head has `line_count` lines so far.
        """
        framing_bytes = self._received_in_body - self._body_bytes
        if in_body and framing_bytes > get_framing_limit(self._body_bytes):
            self._exceed(413)
        if not in_body:
            if self._head_bytes > self.get_limits().header_bytes:
                self._exceed(431)
            self._charge_head(compute_head_cost(line_count, self._head_bytes))

    def check_head(self, line_count: int, size: int) -> None:
        """Raise `TooManyBytes` if a complete head is too large.

        `size` is that of its target, names and values.
        """
        size += MIN_LINE_BYTES * line_count
        if size > self.get_limits().header_bytes:
            self._exceed(431)
        self._charge_head(compute_head_cost(line_count, size))

    def _charge_head(self, cost: int) -> None:
        """Reserve what the head costs now; part of it may be reserved already."""
        added = cost - self._head_cost
        if added > 0:
            self._reserve(self.heads, added)
            self._head_cost = cost

    def add_trailer(self, name: bytes, value: bytes) -> None:
        """Count a trailer; all of them have the limit of a head."""
        self._trailer_bytes += len(name) + len(value) + LINE_BYTES
        if self._trailer_bytes > self.get_limits().header_bytes:
            self._exceed(431)

    def add_body(self, size: int) -> None:
        """Count a part of the body, and reserve memory unless it was announced."""
        self._body_bytes += size
        if self._body_bytes > self.get_limits().body_bytes:
            self._exceed(413)
        if self._body_bytes > self._reserved:
            self.reserve(self._body_bytes - self._reserved)

    def reserve(self, size: int) -> None:
        """Reserve memory for a part of the body."""
        total = self._reserved + size
        if total > min(self.get_limits().body_bytes, self.budget.limit):
            self._exceed(413)
        self._reserve(self.budget, size)
        self._reserved += size

    def _reserve(self, budget: BodyBudget, size: int) -> None:
        if not budget.reserve(size):
            self.make_room(budget, size)
            if not budget.reserve(size):
                self._exceed(503)

    def release(self) -> None:
        """Return the memory reserved for an incomplete request."""
        self.budget.release(self._reserved)
        self.heads.release(self._head_cost)
        self._reserved = self._head_cost = 0

    def _exceed(self, status: int) -> None:
        self.refusal_status = status
        raise TooManyBytes(status)

    def start_request(self) -> None:
        """Start to count the body of another request."""
        self._trailer_bytes = self._received_in_body = self._body_bytes = 0

    def end_request(self) -> tuple[int, int]:
        """Return what is reserved for body and head, which its owner frees."""
        reserved = self._reserved, self._head_cost
        self._reserved = self._head_cost = self._head_bytes = 0
        self.start_request()
        return reserved
