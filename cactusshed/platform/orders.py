"""Names of the rows through which the operator and the system talk."""

import msgspec

__all__ = [
    "COMPLETE",
    "CONFIG_KEY",
    "EVACUATION_PREFIX",
    "MEMBER_PREFIX",
    "MOVE_PREFIX",
    "ORDERS",
    "OWN_TABLE",
    "RETURNED",
    "RUNNING",
    "STATUS",
    "encode_status",
    "make_status_key",
]

ORDERS = "op"
"""Table that the operator writes; this system only reads it."""
CONFIG_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
MOVE_PREFIX = "rollout/"
STATUS = "status"
"""Table in which the operator reads how far an order is."""
RUNNING = "running"
COMPLETE = "complete"
RETURNED = "rolled_back"
OWN_TABLE = "cactusshed"
"""This system's own table."""
MEMBER_PREFIX = "member/"


def make_status_key(service: str) -> str:
    """Return the key of the row that tells the state of a service's move."""
    return f"{MOVE_PREFIX}{service}"


def encode_status(state: str, to: str) -> bytes:
    """Return the value of a status row."""
    return msgspec.json.encode({"state": state, "to": to})
