"""Requests that are with the target, and those that were when it died."""

import random

import attrs
import xxhash

from ..policy.quarantine import Quarantine
from .frames import Call, Strike

__all__ = ["Running", "Suspects", "make_fingerprint"]

CRASH_SECONDS = 1.0
"""Time in which all requests in flight at one crash lose their connections."""
STRIKE_BYTES = 8


def make_fingerprint(call: Call) -> bytes:
    """Return the digest by which a repeat of a request is known."""
    plain = b"\0".join((call.method, call.path, call.caller.encode(), call.body))
    return xxhash.xxh3_128_digest(plain)


@attrs.frozen
class Running:
    """A request that is with the target, and when its answer is due."""

    call: Call
    aim: float
    """Monotonic seconds."""


@attrs.define
class Suspects:
    """In flight and lately broken requests of one target.

    A lost answer alone says nothing against a request; once the target is known
    to have died, each request that broke with it gets a strike.
    """

    quarantine: Quarantine
    _running: dict[bytes, Running] = attrs.Factory(dict)
    _broken: list[tuple[float, Call, bool]] = attrs.Factory(list)

    def begin(self, call: Call, aim: float, now: float) -> None:
        """Note that a request, whose answer is due at `aim`, goes to the target."""
        self._running[call.request_id] = Running(call, aim)
        self._broken = [b for b in self._broken if now - b[0] <= CRASH_SECONDS]

    def end(self, call: Call) -> None:
        """Note that a request is no longer with the target."""
        self._running.pop(call.request_id, None)

    def find_parent(self, request_id: bytes) -> Running | None:
        """Return the running request whose identity `request_id` extends, if any.

        Targets name their calls so; a name that no running request has begun is
        taken for a client's.
        """
        parent, dot, _ = request_id.rpartition(b".")
        return self._running.get(parent) if dot else None

    def fail(self, call: Call, now: float) -> None:
        """Note that the connection of a request broke without an answer."""
        self._broken.append((now, call, len(self._running) == 1))

    def condemn(self, now: float) -> list[Strike]:
        """Return the strikes once the target is known to have died.

        One death is one strike for a fingerprint, however many requests that look
        alike were in flight. Only one that broke by itself was alone: of several,
        the last to break is the only one left.
        """
        broken = [b for b in self._broken if now - b[0] <= CRASH_SECONDS]
        self._broken.clear()
        is_alone = len(broken) == 1 and broken[0][2]
        strikes = [
            Strike(fingerprint, random.randbytes(STRIKE_BYTES), is_alone)
            for fingerprint in dict.fromkeys(make_fingerprint(b[1]) for b in broken)
        ]
        for strike in strikes:
            self.take(strike, now)
        return strikes

    def take(self, strike: Strike, now: float) -> bool:
        """Take in a strike; return whether it is news."""
        return self.quarantine.add_strike(
            strike.fingerprint, strike.strike_id, now, strike.is_alone
        )
