"""Requests in flight at the target, and requests in flight when it died."""

import random
from collections.abc import Callable, Iterator

import attrs
import xxhash

from ..observe.lines import log_line
from ..policy.quarantine import Quarantine, Restrictions
from .frames import Call, Strike
from .table import read_host_name

__all__ = [
    "STRIKES_TO_SUSPECT",
    "CrashTracker",
    "RunningCall",
    "get_parent_id",
    "make_fingerprint",
]

CRASH_WINDOW_SECONDS = 1.0
"""Time within which all requests in flight at a crash lose their connections."""
STRIKES_TO_SUSPECT = 2
"""Strikes from which a request runs alone. After one crash all requests that were in
flight are repeated at once, nearly all of them harmless."""
STRIKE_ID_BYTES = 8
"""Length of the random id of a strike."""


def make_fingerprint(call: Call) -> bytes:
    """Return a digest that is the same for every attempt of a request."""
    host = next((value for name, value in call.headers if name == b"host"), b"")
    content = b"\0".join(
        (
            call.method,
            read_host_name(host).encode(),
            call.path,
            call.caller.encode(),
            call.body,
        )
    )
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
    is_suspected: bool = False
    """Whether it runs as the only suspected request at the target."""
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
    publish: Callable[[list[Strike]], None] = lambda _strikes: None
    """Sends strikes that were cleared to the other nodes."""
    _in_flight: dict[bytes, list[RunningCall]] = attrs.Factory(dict)
    """Requests by id; several attempts of one may overlap at this target."""
    _failed: list[tuple[float, Call, bool]] = attrs.Factory(list)
    """Time of each lost connection, its call, and whether it was suspected."""

    def restrict(self, call: Call, now: float) -> Restrictions | None:
        """Return the restrictions on a call; `None` while there are no strikes.

        Calls are not hashed then.
        """
        if self.quarantine.is_empty():
            return None
        return self.quarantine.evaluate(make_fingerprint(call), now)

    def is_testing(self) -> bool:
        """Return whether a suspected request is in flight."""
        return any(running.is_suspected for running in self._list_running())

    def _list_running(self) -> Iterator[RunningCall]:
        return (call for attempts in self._in_flight.values() for call in attempts)

    def begin(
        self,
        call: Call,
        soft_deadline: float,
        now: float,
        *,
        is_suspected: bool = False,
    ) -> RunningCall:
        """Record that a request is sent to the target."""
        running = RunningCall(call, soft_deadline, is_suspected)
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
        attempts = self._in_flight.get(call.request_id, ())
        is_suspected = any(r.is_suspected for r in attempts if r.call is call)
        self._failed.append((now, call, is_suspected))

    def record_crash(self, now: float) -> list[Strike]:
        """Return the strikes after the target was found to have died.

        One crash gives one strike per fingerprint, however many requests with the same
        fingerprint were in flight. A request ran alone only if no other one that is
        suspected by now lost its connection.
        """
        failed = {
            make_fingerprint(call): (call, is_suspected)
            for failed_at, call, is_suspected in sorted(
                self._failed, key=_get_suspected
            )
            if now - failed_at <= CRASH_WINDOW_SECONDS
        }
        self._failed.clear()
        suspected = {f for f in failed if self.quarantine.evaluate(f, now).alone}
        strikes = []
        for fingerprint, (call, is_suspected) in failed.items():
            ran_alone = is_suspected and suspected == {fingerprint}
            strike_id = random.randbytes(STRIKE_ID_BYTES)
            strike = Strike(fingerprint, strike_id, ran_alone)
            strikes.append(strike)
            self.add_strike(strike, now)
            log_line(
                "strike",
                request=call.request_id,
                route=call.route,
                alone=ran_alone,
                strikes=self.quarantine.count_live(fingerprint, now),
            )
        return strikes

    def add_strike(self, strike: Strike, now: float) -> None:
        """Add a strike to the quarantine, or clear it."""
        if strike.is_cleared:
            self.quarantine.clear_strike(strike.fingerprint, strike.strike_id)
            return
        self.quarantine.add_strike(
            strike.fingerprint,
            strike.strike_id,
            now - strike.age_ms / 1000,
            strike.ran_alone,
        )

    def clear(self, call: Call) -> None:
        """Clear the strikes of a request that was answered, here and at other nodes."""
        if self.quarantine.is_empty():
            return
        fingerprint = make_fingerprint(call)
        strike_ids = self.quarantine.clear(fingerprint)
        if strike_ids:
            log_line(
                "strikes-cleared", request=call.request_id, strikes=len(strike_ids)
            )
            self.publish(
                [Strike(fingerprint, i, False, is_cleared=True) for i in strike_ids]
            )

    def list_strikes(self, now: float) -> Iterator[Strike]:
        """Yield the strikes that a node needs that has started or was cut off."""
        for fingerprint, strike_id, strike in self.quarantine.list_strikes(now):
            age = 0.0 if strike.is_cleared else now - strike.recorded_at
            yield Strike(
                fingerprint,
                strike_id,
                strike.alone,
                strike.is_cleared,
                max(0, int(age * 1000)),
            )


def _get_suspected(entry: tuple[float, Call, bool]) -> bool:
    return entry[-1]
