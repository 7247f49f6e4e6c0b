"""Limits on the bytes that are read for one request."""

from collections.abc import Callable

import attrs

from ..policy.bodybudget import BodyBudget
from ..policy.parsework import LINE_BYTES, get_framing_limit
from .table import Limits

__all__ = ["RequestMeter", "TooManyBytes"]


class TooManyBytes(Exception):
    """A request exceeds a limit; the meter has the status of its refusal."""


@attrs.define(eq=False)
class RequestMeter:
    """Counts the bytes of the requests of one connection; bodies count in `budget`."""

    get_limits: Callable[[], Limits]
    budget: BodyBudget
    refusal_status: int = 0
    """Status of the refusal, once a limit is exceeded."""
    _head_bytes: int = 0
    _trailer_bytes: int = 0
    _received_in_body: int = 0
    _body_bytes: int = 0
    _reserved: int = 0

    def add_received(self, size: int, *, in_body: bool) -> None:
        """Count bytes from the connection, before they are parsed."""
        if in_body:
            self._received_in_body += size
        else:
            self._head_bytes += size

    def check(self, *, in_body: bool) -> None:
        """Raise `TooManyBytes` for a head or for framing without end."""
        framing_bytes = self._received_in_body - self._body_bytes
        if in_body and framing_bytes > get_framing_limit(self._body_bytes):
            self._exceed(413)
        if not in_body and self._head_bytes > self.get_limits().header_bytes:
            self._exceed(431)

    def check_head(self, url: bytes, headers: list[tuple[bytes, bytes]]) -> None:
        """Raise `TooManyBytes` if a complete head is too large."""
        lines = (len(name) + len(value) + LINE_BYTES for name, value in headers)
        if len(url) + sum(lines) > self.get_limits().header_bytes:
            self._exceed(431)

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
        if not self.budget.reserve(size):
            self._exceed(503)
        self._reserved += size

    def release(self) -> None:
        """Return the memory reserved for an incomplete request."""
        self.budget.release(self._reserved)
        self._reserved = 0

    def _exceed(self, status: int) -> None:
        self.refusal_status = status
        raise TooManyBytes(status)

    def start_request(self) -> None:
        """Start to count the body of another request."""
        self._trailer_bytes = self._received_in_body = self._body_bytes = 0

    def end_request(self) -> int:
        """Return the bytes reserved for the complete request, which its owner frees."""
        reserved, self._reserved = self._reserved, 0
        self._head_bytes = 0
        self.start_request()
        return reserved
