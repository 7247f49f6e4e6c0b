"""Quarantine of requests that crash their targets.

Load pattern: a request crashes each target that begins to run it and comes again at any
node, among many harmless requests that are in flight at the same crashes. A strike is
the report that a target crashed while a request was in flight. Strikes alone refuse
nothing: a request with several runs alone, and only a crash meanwhile, or an answer,
shows what it does.
"""

import itertools
from collections.abc import Iterable, Iterator

import attrs
import xxhash

__all__ = ["Quarantine", "Restrictions", "Strike", "choose_target"]

EXPIRE_SECONDS = 300.0
"""Time after which a strike no longer counts."""
EXPIRE_ALONE_SECONDS = 3600.0
"""The same for a strike of a request that ran alone."""
REFUSE_SECONDS = (15.0, 300.0, EXPIRE_ALONE_SECONDS)
"""Time for which a request is refused after one, two and more crashes at which it ran
alone. The target may have crashed for another reason, or the fault may be mended."""
MAX_FINGERPRINTS = 4_096
"""Fingerprints tracked at once; the oldest is dropped beyond that."""
MAX_STRIKES = 16
"""Strikes tracked per fingerprint."""
MAX_LISTED_STRIKES = 64
"""Strikes that are handed to a node that starts."""
CLEARED = float("-inf")
"""Time of a strike that no longer counts since the request was answered."""


@attrs.frozen
class Restrictions:
    """Restrictions on a request.

    In `serve`, an `alone` request runs without other calls and not on a service's last
    target; in `mesh`, without other restricted requests, at one target at a time.
    `refuse` rejects it, for another `seconds`.
    """

    alone: bool
    refuse: bool
    seconds: float = 0.0


UNRESTRICTED = Restrictions(alone=False, refuse=False)


@attrs.frozen
class Strike:
    """Time of a crash with a request in flight, and whether the request ran alone."""

    recorded_at: float
    alone: bool

    @property
    def is_cleared(self) -> bool:
        """Return whether the request has been answered since."""
        return self.recorded_at == CLEARED

    def is_live(self, now: float) -> bool:
        """Return whether the strike still counts."""
        limit = EXPIRE_ALONE_SECONDS if self.alone else EXPIRE_SECONDS
        return now - self.recorded_at <= limit


class Quarantine:
    """Strikes by request fingerprint; each strike has an id and expires.

    A suspected request, one with `strikes_to_suspect` strikes, runs alone. If its
    target crashes again it is refused for a time; if it is answered, it is cleared.
    """

    def __init__(self, strikes_to_suspect: int = 1) -> None:
        """Start without strikes."""
        self._strikes_to_suspect = strikes_to_suspect
        self._strikes: dict[bytes, dict[bytes, Strike]] = {}

    def add_strike(
        self, fingerprint: bytes, strike_id: bytes, recorded_at: float, alone: bool
    ) -> bool:
        """Add a strike; return whether it was new."""
        strikes = self._strikes.pop(fingerprint, {})
        # The fingerprints struck last come last, and are dropped last.
        self._strikes[fingerprint] = strikes
        if len(self._strikes) > MAX_FINGERPRINTS:
            del self._strikes[next(iter(self._strikes))]
        if strike_id in strikes:
            return False
        if len(strikes) >= MAX_STRIKES:
            del strikes[next(iter(strikes))]
        strikes[strike_id] = Strike(recorded_at, alone)
        return True

    def clear_strike(self, fingerprint: bytes, strike_id: bytes) -> bool:
        """Clear one strike, also if it has not arrived yet; return whether it counted.

        One that has not arrived counts until then.
        """
        is_new = self.add_strike(fingerprint, strike_id, CLEARED, False)
        strikes = self._strikes[fingerprint]
        has_counted = is_new or not strikes[strike_id].is_cleared
        strikes[strike_id] = Strike(CLEARED, False)
        return has_counted

    def clear(self, fingerprint: bytes) -> list[bytes]:
        """Clear a request that was answered; return the ids of its strikes.

        The ids are kept, so that a delayed duplicate of a strike is not counted as new.
        """
        strikes = self._strikes.get(fingerprint, {})
        cleared = [key for key, strike in strikes.items() if not strike.is_cleared]
        for strike_id in cleared:
            strikes[strike_id] = Strike(CLEARED, False)
        return cleared

    def count_live(self, fingerprint: bytes, now: float) -> int:
        """Return the number of strikes that count."""
        strikes = self._strikes.get(fingerprint, {}).values()
        return sum(strike.is_live(now) for strike in strikes)

    def evaluate(self, fingerprint: bytes, now: float) -> Restrictions:
        """Return the restrictions on requests with this fingerprint."""
        strikes = self._strikes.get(fingerprint, {})
        live = [strike for strike in strikes.values() if strike.is_live(now)]
        crashed_at = [strike.recorded_at for strike in live if strike.alone]
        if len(live) < self._strikes_to_suspect and not crashed_at:
            return UNRESTRICTED
        if len(live) < 2 or not crashed_at:
            return Restrictions(alone=True, refuse=False)
        seconds = REFUSE_SECONDS[min(len(crashed_at), len(REFUSE_SECONDS)) - 1]
        left = max(crashed_at) + seconds - now
        return Restrictions(alone=True, refuse=left >= 0.0, seconds=max(left, 0.0))

    def list_strikes(self, now: float) -> Iterator[tuple[bytes, bytes, Strike]]:
        """Yield fingerprint, id and strike for requests that are or were suspected.

        A node that starts needs them. Their number is limited; those of requests that
        are suspected now come first, then those struck last.
        """
        recent = [
            fingerprint
            for fingerprint, strikes in reversed(self._strikes.items())
            if len(strikes) >= self._strikes_to_suspect
        ]
        recent.sort(key=lambda fingerprint: not self.evaluate(fingerprint, now).alone)
        entries = (
            (fingerprint, strike_id, strike)
            for fingerprint in recent
            for strike_id, strike in self._strikes[fingerprint].items()
            if strike.is_cleared or strike.is_live(now)
        )
        return itertools.islice(entries, MAX_LISTED_STRIKES)

    def is_empty(self) -> bool:
        """Return whether no strikes are stored, so that hashing can be skipped."""
        return not self._strikes


def choose_target(fingerprint: bytes, names: Iterable[str]) -> str:
    """Return the target at which a suspected request runs.

    All nodes that know of the same targets choose the same one, so that no two run the
    request at the same time.
    """
    return min(
        names, key=lambda name: xxhash.xxh3_64(fingerprint + name.encode()).digest()
    )
