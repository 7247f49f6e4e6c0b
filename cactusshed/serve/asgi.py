"""Helpers for the ASGI applications: read request bodies and send responses."""

import math
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import msgspec

from ..errors import CactusError, Malformed
from ..observe.counters import Counters
from . import headers as header_names
from .messages import Answered, Headers, NotRun, Outcome, Unknown

__all__ = [
    "MAX_DISCARDED_BYTES",
    "Disconnected",
    "read_body",
    "send_error",
    "send_json",
    "send_outcome",
    "send_text",
    "serve_request",
]

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
MAX_DISCARDED_BYTES = 8 << 20
"""Bytes past the limit that are read before an oversized body is refused, and as many
after a response that came before the end of its request."""
SERVICE_UNAVAILABLE = 503
TOO_MANY_REQUESTS = 429
BAD_GATEWAY = 502
CONFLICT = 409
NOT_FOUND = 404
TOO_LARGE = 413
GATEWAY_TIMEOUT = 504
_BODILESS_STATUSES = frozenset({204, 304})
_STATUS_BY_CODE = {
    "no-route": NOT_FOUND,
    "claimed": CONFLICT,
    "key-reused": 422,
    "too-deep": 508,
    "too-large": TOO_LARGE,
    "malformed": 400,
    "timeout": GATEWAY_TIMEOUT,
    "quarantined": TOO_MANY_REQUESTS,
}


class Disconnected(Exception):
    """The caller disconnected before it had sent the whole request."""


class TooLarge(CactusError):
    """The request body exceeds the configured limit."""

    code = "too-large"
    status = TOO_LARGE


async def read_body(receive: Receive, limit: int) -> bytes:
    """Return the request body; raise `TooLarge` if it exceeds `limit` bytes.

    Up to `MAX_DISCARDED_BYTES` more are read and discarded first. Otherwise a
    caller that is still sending would see a connection reset, not the refusal.
    """
    body = bytearray()
    size = 0
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            raise Disconnected
        chunk = event.get("body", b"")
        size += len(chunk)
        if size <= limit:
            body += chunk
        is_last = not event.get("more_body")
        if size > limit and (is_last or size > limit + MAX_DISCARDED_BYTES):
            raise TooLarge(f"request body exceeds {limit} bytes", step="read body")
        if is_last:
            return bytes(body)


async def serve_request(
    serve: Callable[[dict, Receive, Send], Awaitable[None]],
    scope: dict[str, Any],
    receive: Receive,
    send: Send,
    counters: Counters,
    counter_prefix: str,
) -> None:
    """Serve one request; count a disconnect or an error and send the error.

    The counters are `counter_prefix` with `_gone` and `_refused` appended.
    """
    if scope["type"] != "http":
        return
    try:
        await serve(scope, receive, send)
    except Disconnected:
        counters.add(f"{counter_prefix}_gone")
    except CactusError as error:
        counters.add(f"{counter_prefix}_refused")
        await send_error(send, error)


async def _send_complete(
    send: Send, status: int, headers: Headers, body: bytes
) -> None:
    length = [(b"content-length", str(len(body)).encode())]
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": headers if status in _BODILESS_STATUSES else [*headers, *length],
        }
    )
    await send({"type": "http.response.body", "body": body})


async def send_json(
    send: Send, value: Any, status: int = 200, extra: Iterable = ()
) -> None:
    """Send a response with `value` as JSON."""
    headers = [(b"content-type", b"application/json"), *extra]
    await _send_complete(send, status, headers, msgspec.json.encode(value))


async def send_text(send: Send, text: str, status: int = 200) -> None:
    """Send a plain-text response."""
    headers = [(b"content-type", b"text/plain; charset=utf-8")]
    await _send_complete(send, status, headers, text.encode())


async def send_error(send: Send, error: CactusError) -> None:
    """Send an error as JSON, with its code, message, step and peer."""
    body = {
        "code": error.code,
        "message": error.message,
        "step": error.step,
        "peer": error.peer,
    }
    extra = [(header_names.CODE, error.code.encode())]
    if isinstance(error, Malformed):
        extra.append((b"connection", b"close"))
    await send_json(send, body, error.status, extra)


async def send_outcome(
    send: Send, outcome: Outcome, extra: Headers, *, is_head: bool = False
) -> None:
    """Send the outcome of a call with the `extra` headers.

    A refusal is sent without a body if `is_head`, that is, in response to HEAD.
    """
    if isinstance(outcome, Answered):
        await _send_response(send, outcome, extra, is_head)
        return
    run = "not-run" if isinstance(outcome, NotRun) else "unknown"
    status = _STATUS_BY_CODE.get(outcome.code, _choose_default_status(outcome))
    headers = [
        (header_names.RUN, run.encode()),
        (header_names.CODE, outcome.code.encode()),
        (b"content-type", b"application/json"),
        *extra,
    ]
    if isinstance(outcome, NotRun) and outcome.retry_after:
        seconds = math.ceil(outcome.retry_after)
        headers.append((header_names.RETRY_AFTER, str(seconds).encode()))
        millis = int(outcome.retry_after * 1000)
        headers.append((header_names.RETRY_MS, str(millis).encode()))
    body = b"" if is_head else msgspec.json.encode({"code": outcome.code, "run": run})
    await _send_complete(send, status, headers, body)


def _choose_default_status(outcome: Outcome) -> int:
    return BAD_GATEWAY if isinstance(outcome, Unknown) else SERVICE_UNAVAILABLE


async def _send_response(
    send: Send, outcome: Answered, extra: Headers, is_head: bool
) -> None:
    reply = outcome.reply
    headers = [*reply.headers, (header_names.RUN, b"answered"), *extra]
    if outcome.replayed:
        headers.append((header_names.REPLAYED, b"yes"))
    if reply.rest is None:
        await _send_complete(send, reply.status, headers, reply.body)
        return
    try:
        await send(
            {
                "type": "http.response.start",
                "status": reply.status,
                "headers": headers,
            }
        )
        await send(
            {"type": "http.response.body", "body": reply.body, "more_body": True}
        )
        async for chunk in reply.rest:
            await send({"type": "http.response.body", "body": chunk, "more_body": True})
        await send({"type": "http.response.body", "body": b""})
    finally:
        await reply.close()
