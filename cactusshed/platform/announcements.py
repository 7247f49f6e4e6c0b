"""Heartbeats and leaves of targets, mapped to announcements."""

import attrs

from ..clock import read_wall
from ..decoding import decode_json
from ..errors import Malformed
from ..fields import check_text, read_address, read_int, read_printable, read_seconds

__all__ = ["Announcement", "decode_announcement", "read_start_time", "read_call"]

HEARTBEAT = "instances.heartbeat"
LEAVE = "instances.leave"
RPC_PATH = "/cactusshed/rpc"
MAX_SLOTS = 100_000
MAX_SEQUENCE = 2**31
"""Highest number of a heartbeat: with one a second, it is reached after 68 years."""
MAX_CLOCK_LEAD_SECONDS = 86400.0
"""Time by which the clock of a target may be ahead. A start time in a far future would
make all announcements of the real target look outdated."""


@attrs.frozen
class Announcement:
    """One announcement of a target; times in seconds.

    `start_time` is that of the target process in Unix milliseconds. It
    reveals late announcements of an earlier process of the same name.
    `number` grows during the life of one process.
    """

    name: str
    service: str
    version: str
    address: str
    slots: int
    is_leaving: bool
    cold_seconds: float
    number: int
    start_time: int


def read_call(target: str) -> tuple[str, str]:
    """Return the call (`HEARTBEAT`, `LEAVE` or empty) and the target named in a URL."""
    path, _, query = target.partition("?")
    pairs = dict(pair.partition("=")[::2] for pair in query.split("&"))
    call = pairs.get("call", "")
    if path != RPC_PATH or call not in (HEARTBEAT, LEAVE):
        return "", ""
    return call, pairs.get("of", "")


def decode_announcement(name: str, body: bytes) -> Announcement:
    """Parse the body of a heartbeat; raise `Malformed` if it is invalid."""
    fields = decode_json(body, step="read announcement", peer=name)
    state = read_printable(fields, "state")
    if state not in ("ready", "draining"):
        raise Malformed(f"state: {state[:40]!r}", step="read announcement", peer=name)
    return Announcement(
        name=check_text("of", name),
        service=read_printable(fields, "service"),
        version=read_printable(fields, "version"),
        address=str(read_address(fields, "address")),
        slots=max(1, read_int(fields, "slots", highest=MAX_SLOTS)),
        is_leaving=state == "draining",
        cold_seconds=read_seconds(fields, "cold_left"),
        number=read_int(fields, "seq", highest=MAX_SEQUENCE),
        start_time=_read_start_time(fields),
    )


def _read_start_time(fields: object) -> int:
    latest_ms = int((read_wall() + MAX_CLOCK_LEAD_SECONDS) * 1000)
    start_time = read_int(fields, "born", highest=latest_ms)
    if not start_time:
        raise Malformed("born: 0", step="read announcement")
    return start_time


def read_start_time(body: bytes) -> int:
    """Return the start time in the body of any call; 0 if it cannot be read."""
    try:
        return _read_start_time(decode_json(body, step="read announcement"))
    except Malformed:
        return 0
