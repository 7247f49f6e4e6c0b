"""Targets on this host: announcements, expiry and the records sent to peers."""

import ipaddress
from collections.abc import Callable

import attrs

from ..decoding import decode_json
from ..errors import Forbidden, Malformed
from ..observe.events import log_event
from ..options import Address, BadOption, parse_address, parse_int, parse_name
from .records import MAX_TARGETS, Target

__all__ = ["Announcement", "LocalTarget", "TargetRegistry", "parse_announcement"]

MAX_ANNOUNCED_SLOTS = 10_000
"""Highest number of concurrent calls that a target may announce."""
HEALTH_STATES = ("starting", "ready", "leaving")


@attrs.frozen
class Announcement:
    """The state that a target reports; sent repeatedly, as its heartbeat.

    `incarnation` differs each time the target starts. `load` is the number of
    calls that the target reports as running, which may be out of date or wrong.
    `uptime` is the time since its start in seconds.
    """

    target: str
    service: str
    version: str
    address: str
    slots: int
    incarnation: str
    health: str = "ready"
    load: int = 0
    uptime: float = 0.0


@attrs.frozen
class LocalTarget:
    """A target on this host; `last_seen` is the time of its last announcement."""

    name: str
    service: str
    version: str
    address: Address
    slots: int
    incarnation: str
    health: str
    load: int
    last_seen: float
    uptime: float = 0.0

    def make_record(self) -> Target:
        """Return the record of this target that is sent to peers."""
        ready = self.health == "ready"
        return Target(self.name, self.service, self.version, self.slots, ready)


def parse_announcement(body: bytes, source: str) -> Announcement:
    """Return the announcement in `body`, sent from the IP address `source`."""
    try:
        announcement = decode_json(body, Announcement, step="announce", peer=source)
        for option in ("target", "service", "version"):
            parse_name(option, getattr(announcement, option))
        address = parse_address("address", announcement.address)
        parse_int(1, MAX_ANNOUNCED_SLOTS)("slots", str(announcement.slots))
        if announcement.health not in HEALTH_STATES:
            raise BadOption(
                f"health: {announcement.health!r} is not one of {HEALTH_STATES}"
            )
        if not announcement.incarnation:
            raise BadOption("incarnation: is empty")
    except ValueError as error:
        raise Malformed(str(error), step="announce", peer=source) from error
    if ipaddress.ip_address(address.ip) != ipaddress.ip_address(source):
        raise Forbidden(
            f"address {announcement.address} is not on the announcing host",
            step="announce",
            peer=source,
        )
    return announcement


class TargetRegistry:
    """The targets that announce themselves to this node."""

    def __init__(
        self, ttl: float, on_change: Callable[[tuple[Target, ...]], None]
    ) -> None:
        """Expire targets `ttl` seconds after their last announcement.

        `on_change` is called with the records sent to peers when one of them changes.
        """
        self._ttl = ttl
        self._on_change = on_change
        self._by_name: dict[str, LocalTarget] = {}

    def apply(self, announcement: Announcement, now: float) -> LocalTarget:
        """Store an announcement and return the target that it describes.

        A late one of an earlier process changes nothing; the known target is returned.
        """
        if (
            announcement.target not in self._by_name
            and len(self._by_name) >= MAX_TARGETS
        ):
            raise Malformed("too many targets on this host", step="announce")
        known = self._by_name.get(announcement.target)
        if known is not None and _is_late(announcement, known, now):
            log_event("announcement-late", target=known.name)
            return known
        target = LocalTarget(
            announcement.target,
            announcement.service,
            announcement.version,
            parse_address("address", announcement.address),
            announcement.slots,
            announcement.incarnation,
            announcement.health,
            announcement.load,
            now,
            announcement.uptime,
        )
        self._store(target)
        return target

    def _store(self, target: LocalTarget) -> None:
        previous = self._by_name.get(target.name)
        self._by_name[target.name] = target
        if previous is None or previous.make_record() != target.make_record():
            log_event("target", target=target.name, health=target.health)
            self._notify()

    def expire(self, now: float) -> list[str]:
        """Remove targets without a recent announcement and return their names."""
        expired = [
            target.name
            for target in self._by_name.values()
            if now - target.last_seen > self._ttl
        ]
        for name in expired:
            del self._by_name[name]
            log_event("target-silent", target=name)
        if expired:
            self._notify()
        return expired

    def _notify(self) -> None:
        self._on_change(self.list_records())

    def list_records(self) -> tuple[Target, ...]:
        """Return the records sent to peers, one for each local target."""
        return tuple(target.make_record() for target in self._by_name.values())

    def get(self, name: str) -> LocalTarget | None:
        """Return the target called `name`, or `None`."""
        return self._by_name.get(name)

    def list_all(self) -> list[LocalTarget]:
        """Return every target on this host."""
        return list(self._by_name.values())


def _is_late(announcement: Announcement, known: LocalTarget, now: float) -> bool:
    """Return whether an announcement is that of an earlier process of a target."""
    is_other = announcement.incarnation != known.incarnation
    return is_other and now - announcement.uptime < known.last_seen - known.uptime
