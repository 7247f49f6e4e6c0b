"""Records of nodes and targets, and their wire encoding."""

from enum import IntEnum
from sys import intern

import attrs

from ..errors import Malformed
from ..options import Address, BadOption, parse_address, parse_name
from ..settings import Settings
from ..wire import control_pb2 as pb

__all__ = [
    "Member",
    "State",
    "Target",
    "dump_member",
    "load_member",
    "make_local_member",
]

MAX_TARGETS = 64
"""Maximum number of targets on one node."""


class State(IntEnum):
    """State of a node; at equal sequence numbers the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@attrs.frozen
class Target:
    """The record of a target that nodes exchange."""

    name: str
    service: str
    version: str
    slots: int
    ready: bool


@attrs.frozen
class Member:
    """The record of a node that nodes exchange."""

    node: str
    region: str
    data_centre: str
    ip: str
    calls_port: int
    control_port: int
    incarnation: int
    seq: int = 0
    state: State = State.ALIVE
    targets: tuple[Target, ...] = ()

    @property
    def calls_address(self) -> Address:
        """Return the address that receives calls from other nodes."""
        return Address(self.ip, self.calls_port)

    @property
    def control_address(self) -> Address:
        """Return the address that receives control messages from other nodes."""
        return Address(self.ip, self.control_port)

    def get_order(self) -> tuple[int, int, int]:
        """Return the sort key by which the newer of two records of a node wins."""
        return (self.incarnation, self.seq, self.state)


def make_local_member(settings: Settings, incarnation: int) -> Member:
    """Return the initial record of a node with `settings`."""
    calls = settings.calls_advertised or settings.calls
    return Member(
        node=settings.node,
        region=settings.region,
        data_centre=settings.data_centre,
        ip=settings.control.ip,
        calls_port=calls.port,
        control_port=settings.control.port,
        incarnation=incarnation,
    )


def dump_member(member: Member) -> pb.Member:
    """Return the wire form of `member`."""
    return pb.Member(
        node=member.node,
        region=member.region,
        data_centre=member.data_centre,
        ip=member.ip,
        calls_port=member.calls_port,
        control_port=member.control_port,
        incarnation=member.incarnation,
        seq=member.seq,
        state=int(member.state),
        targets=[pb.Target(**attrs.asdict(target)) for target in member.targets],
    )


def load_member(wire: pb.Member) -> Member:
    """Return the member in `wire`; raise `Malformed` when a field is invalid."""
    try:
        parse_name("node", wire.node)
        parse_name("region", wire.region)
        parse_name("data_centre", wire.data_centre)
        parse_address("calls", f"{wire.ip}:{wire.calls_port}")
        parse_address("control", f"{wire.ip}:{wire.control_port}")
        if len(wire.targets) > MAX_TARGETS:
            raise BadOption("targets: too many")
        targets = tuple(_load_target(target) for target in wire.targets)
        state = State(wire.state)
    except ValueError as error:
        raise Malformed(str(error), step="load member") from error
    return Member(
        wire.node,
        intern(wire.region),
        intern(wire.data_centre),
        wire.ip,
        wire.calls_port,
        wire.control_port,
        wire.incarnation,
        wire.seq,
        state,
        targets,
    )


def _load_target(wire: pb.Target) -> Target:
    for option in ("name", "service", "version"):
        parse_name(option, getattr(wire, option))
    service, version = intern(wire.service), intern(wire.version)
    return Target(wire.name, service, version, wire.slots, wire.ready)
