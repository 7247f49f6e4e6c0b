"""Quarantine of requests that crash the targets that run them."""

import attrs

__all__ = ["Quarantine", "Suspicion"]

EXPIRE_SECONDS = 300.0
STRIKES_TO_REFUSE = 2
STRIKES_TO_CONDEMN = 3
"""Strikes that suffice though other requests were in flight each time: that an
innocent one is there at three deaths, and never answered between, is unlikely."""
MAX_PRINTS = 4_096


@attrs.frozen
class Suspicion:
    """What to do with a request: `alone` and not on a last target, or refuse."""

    alone: bool
    refuse: bool


CLEAR = Suspicion(alone=False, refuse=False)


@attrs.frozen
class _Strike:
    """When a target died with a request in flight, and if it was alone."""

    at: float
    alone: bool


class Quarantine:
    """Strikes by request fingerprint; each strike has an id and expires.

    A request with a strike runs alone. If its target dies again it is surely
    to blame and is refused; if it is answered it is acquitted.
    """

    def __init__(self) -> None:
        """Start with no strike."""
        self._strikes: dict[bytes, dict[bytes, _Strike]] = {}

    def add_strike(
        self, fingerprint: bytes, strike_id: bytes, at: float, alone: bool
    ) -> bool:
        """Add a strike; return whether it is news."""
        if len(self._strikes) >= MAX_PRINTS and fingerprint not in self._strikes:
            self._strikes.pop(next(iter(self._strikes)))
        known = self._strikes.setdefault(fingerprint, {})
        if strike_id in known:
            return False
        known[strike_id] = _Strike(at, alone)
        return True

    def acquit(self, fingerprint: bytes) -> None:
        """Drop the strikes of a request that ran alone and was answered.

        Their ids are kept, so that a late repeat of the news is no news.
        """
        known = self._strikes.get(fingerprint, {})
        for strike_id in known:
            known[strike_id] = _Strike(float("-inf"), False)

    def judge(self, fingerprint: bytes, now: float) -> Suspicion:
        """Return how a request with this fingerprint is to be treated."""
        known = self._strikes.get(fingerprint, {})
        live = [s for s in known.values() if now - s.at <= EXPIRE_SECONDS]
        if not live:
            return CLEAR
        guilty = len(live) >= STRIKES_TO_REFUSE and any(s.alone for s in live)
        guilty = guilty or len(live) >= STRIKES_TO_CONDEMN
        return Suspicion(alone=True, refuse=guilty)

    def is_empty(self) -> bool:
        """Return whether there was never a strike, so that hashing can wait."""
        return not self._strikes
