"""Requests to the local target over its connection pool."""

import asyncio
from collections.abc import Iterable
from urllib.parse import quote

from ..clock import read_monotonic
from ..errors import CactusError
from ..observe.lines import log_line
from ..platform import headers as header_names
from ..tenants.origin import TENANT_HEADERS
from .frames import Call
from .pool import ConnectionPool
from .upstream import (
    HOP_BY_HOP_HEADERS,
    Answer,
    Headers,
    NotSent,
    Upstream,
    UpstreamFailed,
)

__all__ = ["NotHealth", "exchange_call", "filter_headers", "request_health"]


MAX_CONNECTIONS_TRIED = 3
"""Connections tried for one call; a reused one may turn out to be closed."""
PATH_CHARS = "!#$%&'()*+,/:;=?@[]~"
"""Characters of a health path that are sent as they are, besides letters and digits."""
HEALTH_TIMEOUT_SECONDS = 0.5
"""Timeout of a health request, which may wait for a slot like any other request."""
# The first node adds the attempt id again, and `Result` already reports the load.
_DROPPED_HEADERS = HOP_BY_HOP_HEADERS | {header_names.ATTEMPT_ID, header_names.LOAD}


class NotHealth(CactusError):
    """The answer to a health request does not name the target that sent it."""

    code = "not-health"


async def exchange_call(
    pool: ConnectionPool, call: Call, deadline: float, instance: str
) -> tuple[Upstream, Answer]:
    """Send a call addressed to `instance`; return its connection and its answer.

    `deadline` is in monotonic seconds. Raises `NotSent` and `UpstreamFailed`.
    """
    error: NotSent | None = None
    for _ in range(MAX_CONNECTIONS_TRIED):
        upstream = await pool.acquire(requires_fresh=not call.is_idempotent)
        remaining_ms = max(1, int((deadline - read_monotonic()) * 1000))
        data = _encode_request(call, remaining_ms, instance)
        try:
            sent_at = read_monotonic()
            answer = await upstream.exchange(
                data, call.request_id, is_head=call.method == b"HEAD"
            )
        except NotSent as stale:
            error = stale
            continue
        except UpstreamFailed:
            now = read_monotonic()
            idle = upstream.idle_seconds
            if pool.idle_limit.note_reset(idle, now - sent_at, now):
                log_line("idle-limit", seconds=pool.idle_limit.get(now), idle=idle)
            raise
        pool.idle_limit.note_success(upstream.idle_seconds, read_monotonic())
        return upstream, answer
    raise error


async def request_health(pool: ConnectionPool, path: str) -> Answer:
    """Return the target's answer to a health request; raise `CactusError`."""
    upstream = await pool.acquire(requires_fresh=True)
    data = b"GET %s HTTP/1.1\r\nhost: %s\r\n\r\n" % (
        quote(path, safe=PATH_CHARS).encode(),
        str(pool.address).encode(),
    )
    try:
        async with asyncio.timeout(HEALTH_TIMEOUT_SECONDS):
            answer = await upstream.exchange(data)
    except TimeoutError as error:
        raise CactusError("timed out", step="ask health") from error
    if answer.find(header_names.INSTANCE) is None:
        # A copy of an answer to another request, or a refusal of this one.
        upstream.abort()
        raise NotHealth("no instance named", step="ask health")
    pool.release(upstream)
    return answer


def filter_headers(headers: Headers) -> Iterable[tuple[bytes, bytes]]:
    """Yield the headers of an answer that are forwarded to the first node."""
    return (pair for pair in headers if pair[0] not in _DROPPED_HEADERS)


def _encode_request(call: Call, remaining_ms: int, instance: str) -> bytes:
    """Return the bytes of a request to the target."""
    lines = [call.method + b" " + call.path + b" HTTP/1.1"]
    headers = call.headers
    if call.tenant:
        # A first node whose configuration has no tenants yet passes on what it got.
        headers = [pair for pair in headers if pair[0] not in TENANT_HEADERS]
    lines.extend(name + b": " + value for name, value in headers)
    lines.append(header_names.ATTEMPT_ID + b": " + call.request_id)
    lines.append(header_names.DEADLINE_MS + b": %d" % remaining_ms)
    lines.append(header_names.EXPECTED_INSTANCE + b": " + instance.encode())
    lines.append(header_names.CALLER + b": " + call.caller.encode())
    if call.tenant:
        lines.append(header_names.TENANT + b": " + call.tenant.encode())
    if call.body or call.method not in (b"GET", b"HEAD"):
        lines.append(b"content-length: %d" % len(call.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + call.body
