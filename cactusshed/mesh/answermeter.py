"""Limits on the bytes that are read for one answer."""

import attrs

from ..policy.bodybudget import BodyBudget

__all__ = ["AnswerMeter", "TooManyBytes"]

MAX_HEAD_BYTES = 64 << 10
"""Maximum size of an answer's head, its trailers and interim answers included."""
MAX_INTERIM_ANSWERS = 16
"""Maximum number of interim answers (1xx) before the final one."""
MAX_ANSWER_BYTES = 16 << 20
"""Maximum size of an answer's body; far above the largest of the users' services."""
FRAMING_FACTOR = 8
"""Bytes of framing allowed per byte of a small body; chunks of one byte have five."""
SMALL_BODY_BYTES = 256 << 10
LARGE_BODY_FRAMING = 1 / 8
"""Bytes of framing allowed per further byte of body. Each chunk takes processor time,
so a large answer may not consist of tiny ones."""


class TooManyBytes(Exception):
    """An answer exceeds a limit; the message names it."""


@attrs.define(eq=False)
class AnswerMeter:
    """Counts the bytes of one answer; its body counts against `budget`."""

    budget: BodyBudget
    violation: str = ""
    """The limit that was exceeded."""
    _received: int = 0
    _header_bytes: int = 0
    _body_bytes: int = 0
    _interim_count: int = 0

    def add_received(self, size: int, *, has_head: bool) -> None:
        """Count bytes from the connection, after they were parsed."""
        self._received += size
        if not has_head and self._received > MAX_HEAD_BYTES:
            self._exceed("answer head is too large")
        framing_bytes = self._received - self._body_bytes
        if framing_bytes > MAX_HEAD_BYTES + size + self._get_allowed_framing():
            self._exceed("answer has too much framing")

    def _get_allowed_framing(self) -> float:
        small = min(self._body_bytes, SMALL_BODY_BYTES)
        return FRAMING_FACTOR * small + LARGE_BODY_FRAMING * (self._body_bytes - small)

    def add_header(self, name: bytes, value: bytes) -> None:
        """Count a header or a trailer."""
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEAD_BYTES:
            self._exceed("answer head is too large")

    def add_interim(self) -> None:
        """Count an interim answer."""
        self._interim_count += 1
        if self._interim_count > MAX_INTERIM_ANSWERS:
            self._exceed("too many interim answers")

    def add_body(self, size: int) -> None:
        """Count a part of the body."""
        if self._body_bytes + size > MAX_ANSWER_BYTES:
            self._exceed("answer body is too large")
        if not self.budget.reserve(size):
            self._exceed("bodies of all answers are too large")
        self._body_bytes += size

    def release(self) -> None:
        """Return the reserved bytes; the body has been handed on or dropped."""
        self.budget.release(self._body_bytes)
        self._body_bytes = 0

    def _exceed(self, violation: str) -> None:
        self.violation = violation
        raise TooManyBytes(violation)
