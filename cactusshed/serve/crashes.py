"""Target crashes: reports (strikes) on the requests that were in flight."""

import hashlib
from collections.abc import Iterator

import attrs

from ..clock import read_monotonic
from ..member.rumors import Rumors
from ..observe.counters import Counters
from ..observe.events import log_event
from ..policy.quarantine import Quarantine
from ..wire import control_pb2 as pb
from .messages import Call

__all__ = ["CrashTracker"]

STRIKE_ID_BYTES = 8


def make_strike_id(call_id: str) -> bytes:
    """Return the strike id for a call; both nodes of a call compute the same id."""
    return hashlib.blake2b(call_id.encode(), digest_size=STRIKE_ID_BYTES).digest()


@attrs.define
class CrashTracker:
    """Adds strikes to the quarantine and sends new ones to peers by gossip."""

    quarantine: Quarantine
    rumors: Rumors
    counters: Counters

    def record_crash(self, call: Call) -> None:
        """Add a strike for a call that was in flight when its target crashed.

        A call marked `alone` was the only one on the target.
        """
        strike = pb.Strike(
            fingerprint=call.compute_fingerprint(),
            id=make_strike_id(call.call_id),
            alone=call.alone,
        )
        log_event("strike", service=call.service, route=call.route)
        self.receive_strike(strike)

    def receive_strike(self, strike: pb.Strike) -> None:
        """Add or clear a strike of this node or a peer, and gossip it if it is new."""
        if strike.cleared:
            if self.quarantine.clear_strike(strike.fingerprint, strike.id):
                self.rumors.add_strike(strike)
            return
        crashed_at = read_monotonic() - strike.age_ms / 1000
        if self.quarantine.add_strike(
            strike.fingerprint, strike.id, crashed_at, strike.alone
        ):
            self.counters.add("strikes")
            self.rumors.add_strike(strike)

    def clear(self, call: Call) -> None:
        """Clear the strikes of a call that was answered, and gossip that."""
        fingerprint = call.compute_fingerprint()
        for strike_id in self.quarantine.clear(fingerprint):
            self.rumors.add_strike(
                pb.Strike(fingerprint=fingerprint, id=strike_id, cleared=True)
            )

    def list_strikes(self) -> Iterator[pb.Strike]:
        """Yield the strikes that a node needs that has started or was cut off."""
        now = read_monotonic()
        for fingerprint, strike_id, strike in self.quarantine.list_strikes(now):
            age = 0.0 if strike.is_cleared else now - strike.recorded_at
            yield pb.Strike(
                fingerprint=fingerprint,
                id=strike_id,
                age_ms=max(0, int(age * 1000)),
                alone=strike.alone,
                cleared=strike.is_cleared,
            )
