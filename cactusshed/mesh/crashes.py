"""Requests in flight at the target, and requests in flight when it died."""

import random

import attrs
import xxhash

from ..observe.lines import log_line
from ..policy.quarantine import Quarantine
from .frames import Call, Strike

__all__ = ["RunningCall", "CrashTracker", "get_parent_id", "make_fingerprint"]

CRASH_WINDOW_SECONDS = 1.0
"""Time within which all requests in flight at a crash lose their connections."""
STRIKE_ID_BYTES = 8
"""Length of the random id of a strike."""


def make_fingerprint(call: Call) -> bytes:
    """Return a digest that is the same for every attempt of a request."""
    content = b"\0".join((call.method, call.path, call.caller.encode(), call.body))
    return xxhash.xxh3_128_digest(content)


def get_parent_id(request_id: bytes) -> bytes:
    """Return the id that `request_id` extends; empty if it extends none."""
    return request_id.rpartition(b".")[0]


@attrs.define(eq=False)
class RunningCall:
    """A request in flight at the target, and its soft deadline."""

    call: Call
    soft_deadline: float
    """Soft deadline in monotonic seconds."""
    unsuccessful_calls: int = 0
    """Calls made by the request that have not succeeded, unfinished ones included."""
    has_made_calls: bool = False


@attrs.define
class CrashTracker:
    """Requests of one target that are in flight or recently lost their connection.

    A lost answer alone does not cause a strike. When the target is found to have
    died, each request that lost its connection in the crash gets one.
    """

    quarantine: Quarantine
    _in_flight: dict[bytes, list[RunningCall]] = attrs.Factory(dict)
    """Requests by id; several attempts of one may overlap at this target."""
    _failed: list[tuple[float, Call, bool]] = attrs.Factory(list)
    """Time of each lost connection, its call, and whether no other was in flight."""

    def begin(self, call: Call, soft_deadline: float, now: float) -> RunningCall:
        """Record that a request is sent to the target."""
        running = RunningCall(call, soft_deadline)
        self._in_flight.setdefault(call.request_id, []).append(running)
        self._failed = [
            entry for entry in self._failed if now - entry[0] <= CRASH_WINDOW_SECONDS
        ]
        return running

    def end(self, call: Call) -> None:
        """Record that a request is no longer in flight."""
        attempts = self._in_flight.pop(call.request_id, [])
        others = [running for running in attempts if running.call is not call]
        if others:
            self._in_flight[call.request_id] = others

    def find_parent(self, request_id: bytes) -> RunningCall | None:
        """Return the running request that made the call `request_id`, if any.

        A target extends the id of the request that it runs by a dot and a suffix. An
        id that extends no running request is that of a client's request.
        """
        attempts = self._in_flight.get(get_parent_id(request_id))
        return attempts[-1] if attempts else None

    def fail(self, call: Call, now: float) -> None:
        """Record that the connection of a request was lost before its answer."""
        self._failed.append((now, call, len(self._in_flight) == 1))

    def record_crash(self, now: float) -> list[Strike]:
        """Return the strikes after the target was found to have died.

        One crash gives one strike per fingerprint, however many requests with the same
        fingerprint were in flight. A request was alone only if no other request lost
        its connection: the last of several to fail is also the only one in flight.
        """
        failed = [
            entry for entry in self._failed if now - entry[0] <= CRASH_WINDOW_SECONDS
        ]
        self._failed.clear()
        was_sole_request = len(failed) == 1 and failed[0][2]
        calls = {make_fingerprint(entry[1]): entry[1] for entry in failed}
        strikes = [
            Strike(fingerprint, random.randbytes(STRIKE_ID_BYTES), was_sole_request)
            for fingerprint in calls
        ]
        for strike in strikes:
            self.add_strike(strike, now)
            call = calls[strike.fingerprint]
            log_line(
                "strike",
                request=call.request_id,
                route=call.route,
                alone=was_sole_request,
                strikes=self.quarantine.count_live(strike.fingerprint, now),
            )
        return strikes

    def add_strike(self, strike: Strike, now: float) -> bool:
        """Add a strike to the quarantine; return whether it is new."""
        return self.quarantine.add_strike(
            strike.fingerprint, strike.strike_id, now, strike.was_sole_request
        )
