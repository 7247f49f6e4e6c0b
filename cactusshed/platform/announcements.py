"""Heartbeats and leaves of targets, mapped to announcements."""

import attrs
import msgspec

from ..errors import Malformed
from .fields import read_int, read_seconds, read_text

__all__ = ["Announcement", "decode_announcement", "read_start_time", "read_call"]

HEARTBEAT = "instances.heartbeat"
LEAVE = "instances.leave"
RPC_PATH = "/cactusshed/rpc"


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
    try:
        fields = msgspec.json.decode(body)
    except msgspec.DecodeError as error:
        raise Malformed(str(error), step="read announcement", peer=name) from error
    state = read_text(fields, "state")
    if state not in ("ready", "draining"):
        raise Malformed(f"state: {state[:40]!r}", step="read announcement", peer=name)
    return Announcement(
        name=name,
        service=read_text(fields, "service"),
        version=read_text(fields, "version"),
        address=read_text(fields, "address"),
        slots=max(1, read_int(fields, "slots")),
        is_leaving=state == "draining",
        cold_seconds=read_seconds(fields, "cold_left"),
        number=read_int(fields, "seq"),
        start_time=read_int(fields, "born", 0),
    )


def read_start_time(body: bytes) -> int:
    """Return the start time in the body of any call; 0 if it cannot be read."""
    try:
        return read_int(msgspec.json.decode(body), "born", 0)
    except (Malformed, msgspec.DecodeError):
        return 0
