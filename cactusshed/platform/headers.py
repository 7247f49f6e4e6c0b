"""Names of the platform's HTTP headers, in lower case."""

__all__ = [
    "ATTEMPT_ID",
    "CALLER",
    "COLD_MS",
    "DEADLINE_MS",
    "EXPECTED_INSTANCE",
    "INSTANCE",
    "LOAD",
    "NOT_RUN",
    "SEAL",
    "read_load",
]

ATTEMPT_ID = b"x-attempt-id"
"""Identity of one attempt of a client; targets echo it."""
DEADLINE_MS = b"x-deadline-ms"
"""Milliseconds that remain to the client; not a point in time."""
SEAL = b"x-response-seal"
"""Signature of a target over its answer."""
EXPECTED_INSTANCE = b"x-expect-instance"
"""Identity that a target must have to run the request."""
NOT_RUN = b"x-not-executed"
"""Present when a target vouches that it did not run the request."""
CALLER = b"x-caller-service"
"""Service on the host at which the request began."""
INSTANCE = b"x-instance-id"
"""Identity of the target that answers a health request."""
COLD_MS = b"x-cold-ms"
"""Milliseconds for which a target stays cold; absent when it is warm."""
LOAD = b"x-server-load"
"""Requests running, requests waiting, slots."""


def read_load(text: bytes | None) -> tuple[int, int, int] | None:
    """Return running, waiting and slots of a target; `None` unless well-formed."""
    parts = (text or b"").split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return running, waiting, slots
