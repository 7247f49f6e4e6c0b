"""Limits on the bytes that are read for one answer."""

import attrs

from ..policy.bodybudget import BodyBudget
from ..policy.clientmemory import (
    ORDINARY_HEAD_BYTES,
    compute_head_cost,
    reserve_head,
)
from ..policy.parsework import LINE_BYTES, MAX_HEAD_BYTES, get_framing_limit

__all__ = ["AnswerMeter", "TooManyBytes"]

MAX_INTERIM_ANSWERS = 16
"""Maximum number of interim answers (1xx) before the final one."""
MAX_ANSWER_BYTES = 16 << 20
"""Maximum size of an answer's body; far above the largest of the users' services."""
MAX_SMALL_CHUNKS = 4096
"""Chunks that an answer may have whatever its size: 4 KiB may come in single bytes."""
MIN_MEAN_CHUNK_BYTES = 64
"""Mean size of any further chunks. Each takes processor time, so a large answer may not
consist of tiny ones."""


class TooManyBytes(Exception):
    """An answer exceeds a limit; the message names it."""


@attrs.define(eq=False)
class AnswerMeter:
    """Counts the bytes of one answer.

    Its body counts against `budget`, and against `heads` a head that is longer than
    ordinary ones, so that these always have room.
    """

    budget: BodyBudget
    heads: BodyBudget | None = None
    violation: str = ""
    """The limit that was exceeded."""
    _received: int = 0
    _header_bytes: int = 0
    _line_count: int = 0
    _head_cost: int = 0
    _body_bytes: int = 0
    _interim_count: int = 0
    _chunk_count: int = 0

    def add_received(self, size: int, *, has_head: bool) -> None:
        """Count bytes from the connection, after they were parsed."""
        self._received += size
        if self.heads is not None:
            self._charge_head()
        if not has_head and self._received > MAX_HEAD_BYTES:
            self._exceed("answer head is too large")
        framing_bytes = self._received - self._body_bytes - size
        if framing_bytes > get_framing_limit(self._body_bytes):
            self._exceed("answer has too much framing")
        # A chunk that is read in two parts, or a body that is no chunk, counts once.
        self._chunk_count = max(0, self._chunk_count - 1)

    def _charge_head(self) -> None:
        cost = compute_head_cost(self._line_count, self._header_bytes)
        if cost <= ORDINARY_HEAD_BYTES or cost <= self._head_cost:
            return
        if not reserve_head(self.heads, cost - self._head_cost, self._head_cost):
            self._exceed("heads of all answers are too large")
        self._head_cost = cost

    def add_header(self, name: bytes, value: bytes) -> None:
        """Count a header or a trailer."""
        self._header_bytes += len(name) + len(value) + LINE_BYTES
        self._line_count += 1
        if self._header_bytes > MAX_HEAD_BYTES:
            self._exceed("answer head is too large")

    def add_interim(self) -> None:
        """Count an interim answer."""
        self._interim_count += 1
        if self._interim_count > MAX_INTERIM_ANSWERS:
            self._exceed("too many interim answers")

    def add_body(self, size: int, chunk_count: int = 1) -> None:
        """Count a part of the body in so many chunks."""
        if self._body_bytes + size > MAX_ANSWER_BYTES:
            self._exceed("answer body is too large")
        if not self.budget.reserve(size):
            self._exceed("bodies of all answers are too large")
        self._body_bytes += size
        self._chunk_count += chunk_count
        if self._chunk_count > (
            MAX_SMALL_CHUNKS + self._body_bytes / MIN_MEAN_CHUNK_BYTES
        ):
            self._exceed("answer has too many small chunks")

    def release(self) -> None:
        """Return the reserved bytes; the body has been handed on or dropped."""
        self.budget.release(self._body_bytes)
        if self._head_cost:
            self.heads.release(self._head_cost)
        self._body_bytes = self._head_cost = 0

    def _exceed(self, violation: str) -> None:
        self.violation = violation
        raise TooManyBytes(violation)
