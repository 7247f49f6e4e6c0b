"""Names of the platform's HTTP headers, in lower case, and readers of their values."""

import math

from ..store.versions import MAX_ERA

__all__ = [
    "ATTEMPT_ID",
    "CALLER",
    "COLD_MS",
    "CREDENTIAL",
    "DEADLINE_MS",
    "EXPECTED_INSTANCE",
    "INSTANCE",
    "LEAVING",
    "LOAD",
    "NOT_RUN",
    "RATE_LIMIT",
    "SEAL",
    "STORE_ERA",
    "TENANT",
    "read_host_pace",
    "read_milliseconds",
    "read_rate_limit",
    "read_store_era",
]

ATTEMPT_ID = b"x-attempt-id"
"""Id of one attempt of a client; targets echo it."""
DEADLINE_MS = b"x-deadline-ms"
"""Milliseconds left until the client's deadline, not a point in time."""
SEAL = b"x-response-seal"
"""Signature of a target over its response."""
EXPECTED_INSTANCE = b"x-expect-instance"
"""Instance id that a target must have to run the request."""
NOT_RUN = b"x-not-executed"
"""Present if a target guarantees that it did not run the request."""
CALLER = b"x-caller-service"
"""Service on the host where the request originated."""
INSTANCE = b"x-instance-id"
"""Instance id of the target that answers a health check."""
COLD_MS = b"x-cold-ms"
"""Milliseconds until a cold target is warm; absent if it is warm."""
LOAD = b"x-server-load"
"""Running requests, waiting requests and slots of a target, and if it shares its host
with others, the time that work takes there now in percent of the usual."""
CREDENTIAL = b"x-credential"
"""Key of the client's organisation."""
TENANT = b"x-tenant"
"""Name of the organisation for which a target runs a request."""
RATE_LIMIT = b"server-limit"
"""Requests per second that a target takes from all hosts together; absent if it names
no limit."""
LEAVING = b"server-leaving"
"""`1` in every answer of a target that is leaving."""
STORE_ERA = b"store-era"
"""Number that the store raises each time it comes back from an older copy."""

MAX_TIME_DIGITS = 9
"""Digits of the longest time in milliseconds that is taken: eleven days."""


def read_rate_limit(text: bytes | None) -> float | None:
    """Parse a rate limit in requests per second; `None` if absent or malformed."""
    try:
        rate = float(text or b"")
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None


def read_milliseconds(text: bytes | None) -> int | None:
    """Parse a time in milliseconds; `None` if absent, malformed or out of range."""
    if not text or not text.isdigit() or len(text) > MAX_TIME_DIGITS:
        return None
    return int(text)


def read_host_pace(text: bytes | None) -> float | None:
    """Parse the fourth figure of a target's load; `None` if absent or malformed."""
    parts = (text or b"").split(b",")
    percent = parts[3].strip() if len(parts) > 3 else b""
    if not percent.isdigit() or len(percent) > MAX_TIME_DIGITS:
        return None
    return int(percent) / 100


def read_store_era(text: bytes | None) -> int | None:
    """Parse the number of an era of the store; `None` if absent or malformed."""
    if not text or not text.isdigit() or len(text) > MAX_TIME_DIGITS:
        return None
    return min(int(text), MAX_ERA)
