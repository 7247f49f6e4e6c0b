"""Header names, and filters for hop-by-hop and internal headers."""

from collections.abc import Iterable, Iterator

from .messages import Headers

__all__ = ["find_header", "filter_end_to_end", "read_count", "strip_internal_headers"]

PREFIX = b"cactusshed-"
TENANT = b"cactusshed-tenant"
RUN = b"cactusshed-run"
CODE = b"cactusshed-code"
REPLAYED = b"cactusshed-replayed"
CALL = b"cactusshed-call"
SECRET = b"cactusshed-secret"
TARGET = b"cactusshed-target"
INCARNATION = b"cactusshed-incarnation"
TIMEOUT_MS = b"cactusshed-timeout-ms"
DEPTH = b"cactusshed-depth"
VERSION = b"cactusshed-config"
SERVICE = b"cactusshed-service"
ROUTE = b"cactusshed-route"
CLASS = b"cactusshed-class"
FLAGS = b"cactusshed-flags"
LOAD = b"cactusshed-load"
KEY = b"idempotency-key"
RETRY_AFTER = b"retry-after"
RETRY_MS = b"cactusshed-retry-ms"
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
_REPLACED = HOP_BY_HOP | {b"content-length", b"expect"}


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header `name`, given in lower case."""
    for key, value in headers:
        if key == name:
            return value
    return None


def read_count(headers: Headers, name: bytes, default: int) -> int:
    """Return a header as a non-negative integer; raise `ValueError` if it isn't."""
    text = find_header(headers, name)
    if text is None:
        return default
    if not text.isdigit():
        raise ValueError(f"{name.decode()}: {text[:40]!r} is not a whole number")
    return int(text)


def filter_end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> Iterator[tuple]:
    """Yield the end-to-end headers, with their names in lower case."""
    for key, value in headers:
        name = key.lower()
        if name not in _REPLACED:
            yield name, value


def strip_internal_headers(headers: Iterable[tuple[bytes, bytes]]) -> Iterator[tuple]:
    """Yield the headers without the internal `cactusshed-` ones."""
    for key, value in headers:
        if not key.startswith(PREFIX):
            yield key, value
