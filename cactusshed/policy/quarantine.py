"""Quarantine of requests that crash their targets.

A strike is the report that a target crashed while a request was in flight.
"""

import attrs

__all__ = ["Quarantine", "Restrictions"]

EXPIRE_SECONDS = 300.0
"""Time after which a strike no longer counts."""
STRIKES_TO_REFUSE = 2
"""Strikes that confirm a crash request if it ran alone in at least one crash."""
STRIKES_TO_CONFIRM = 3
"""Strikes that confirm a crash request even if others were in flight each time: a
harmless request is unlikely to be in flight at three crashes without ever being
answered in between."""
MAX_FINGERPRINTS = 4_096
"""Fingerprints tracked at once; the oldest is dropped beyond that."""


@attrs.frozen
class Restrictions:
    """Restrictions on a request.

    An `alone` request runs without other calls and not on a service's last
    target; `refuse` rejects it.
    """

    alone: bool
    refuse: bool


UNRESTRICTED = Restrictions(alone=False, refuse=False)


@attrs.frozen
class _Strike:
    """Time of a crash with a request in flight, and whether it ran alone."""

    recorded_at: float
    alone: bool


class Quarantine:
    """Strikes by request fingerprint; each strike has an id and expires.

    A suspected crash request, one with a strike, runs alone. If its target crashes
    again, the request is confirmed as the cause and refused; if it is answered,
    it is cleared.
    """

    def __init__(self) -> None:
        """Start without strikes."""
        self._strikes: dict[bytes, dict[bytes, _Strike]] = {}

    def add_strike(
        self, fingerprint: bytes, strike_id: bytes, recorded_at: float, alone: bool
    ) -> bool:
        """Add a strike; return whether it was new."""
        if len(self._strikes) >= MAX_FINGERPRINTS and fingerprint not in self._strikes:
            self._strikes.pop(next(iter(self._strikes)))
        strikes = self._strikes.setdefault(fingerprint, {})
        if strike_id in strikes:
            return False
        strikes[strike_id] = _Strike(recorded_at, alone)
        return True

    def clear(self, fingerprint: bytes) -> None:
        """Clear a request that was answered: its strikes no longer count.

        The ids of the strikes are kept, so that a delayed duplicate of a strike is
        not counted as new.
        """
        strikes = self._strikes.get(fingerprint, {})
        for strike_id in strikes:
            strikes[strike_id] = _Strike(float("-inf"), False)

    def count_live(self, fingerprint: bytes, now: float) -> int:
        """Return the number of strikes that count."""
        strikes = self._strikes.get(fingerprint, {}).values()
        return sum(now - strike.recorded_at <= EXPIRE_SECONDS for strike in strikes)

    def evaluate(self, fingerprint: bytes, now: float) -> Restrictions:
        """Return the restrictions on requests with this fingerprint."""
        strikes = self._strikes.get(fingerprint, {})
        live = [s for s in strikes.values() if now - s.recorded_at <= EXPIRE_SECONDS]
        if not live:
            return UNRESTRICTED
        is_confirmed = len(live) >= STRIKES_TO_REFUSE and any(s.alone for s in live)
        is_confirmed = is_confirmed or len(live) >= STRIKES_TO_CONFIRM
        return Restrictions(alone=True, refuse=is_confirmed)

    def is_empty(self) -> bool:
        """Return whether no strikes are stored, so that hashing can be skipped."""
        return not self._strikes
