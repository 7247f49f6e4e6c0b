"""Tables and keys of the store rows shared by the operator and this system."""

import msgspec

__all__ = [
    "COMPLETE",
    "CONFIG_KEY",
    "EVACUATION_PREFIX",
    "MEMBER_PREFIX",
    "MOVE_PREFIX",
    "OPERATOR_TABLE",
    "SYSTEM_TABLE",
    "RETURNED",
    "RUNNING",
    "STATUS_TABLE",
    "encode_status",
    "make_status_key",
]

OPERATOR_TABLE = "op"
"""Table that the operator writes and this system only reads."""
CONFIG_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
MOVE_PREFIX = "rollout/"
STATUS_TABLE = "status"
"""Table in which the operator reads the progress of an order."""
RUNNING = "running"
COMPLETE = "complete"
RETURNED = "rolled_back"
SYSTEM_TABLE = "cactusshed"
"""Table for the rows of this system alone."""
MEMBER_PREFIX = "member/"


def make_status_key(service: str) -> str:
    """Return the key of the status row of a service's move."""
    return f"{MOVE_PREFIX}{service}"


def encode_status(state: str, to: str) -> bytes:
    """Return the value of a status row."""
    return msgspec.json.encode({"state": state, "to": to})
