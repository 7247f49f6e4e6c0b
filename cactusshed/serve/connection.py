"""Client connections of the call path, behind httpcore's connection interface."""

import ssl
from collections.abc import AsyncIterator

import anyio
import httpcore

from ..options import Address
from .messages import Headers, Reply

__all__ = ["HOLD_BYTES", "Request", "close_connection", "exchange", "open_connection"]

HOLD_BYTES = 1 << 20
"""An answer up to this size is held until it is whole."""
CONNECT_SECONDS = 1.0
CLOSE_SECONDS = 1.0
Request = httpcore.Request
_BACKEND = httpcore.AnyIOBackend()


async def open_connection(
    address: Address, context: ssl.SSLContext | None, timeout: float
) -> httpcore.AsyncConnectionInterface:
    """Return a new connection to `address`; raises httpcore's connect errors."""
    timeout = min(timeout, CONNECT_SECONDS)
    stream = await _BACKEND.connect_tcp(address.ip, address.port, timeout=timeout)
    if context is not None:
        stream = await stream.start_tls(context, address.ip, timeout)
    scheme = b"https" if context else b"http"
    origin = httpcore.Origin(scheme, address.ip.encode(), address.port)
    return httpcore.AsyncHTTP11Connection(origin, stream)


def make_request(
    address: Address, method: str, path: bytes, headers: Headers, body: bytes
) -> Request:
    """Return a request with its length set, and a host if it names none."""
    url = httpcore.URL(
        scheme=b"http", host=address.ip.encode(), port=address.port, target=path
    )
    headers = [*headers, (b"content-length", str(len(body)).encode())]
    if not any(name == b"host" for name, _ in headers):
        headers.append((b"host", str(address).encode()))
    return httpcore.Request(method, url, headers=headers, content=body)


async def exchange(connection, request: Request) -> Reply:
    """Send `request` and return its answer, held whole if it is small."""
    answer = await connection.handle_async_request(request)
    chunks = aiter(answer.aiter_stream())
    held = bytearray()
    async for chunk in chunks:
        held += chunk
        if len(held) > HOLD_BYTES:
            rest = _read_rest(answer, chunks)
            return Reply(answer.status, answer.headers, bytes(held), rest)
    await answer.aclose()
    return Reply(answer.status, answer.headers, bytes(held))


async def _read_rest(answer, chunks) -> AsyncIterator[bytes]:
    async for chunk in chunks:
        yield chunk
    await answer.aclose()


async def close_connection(connection) -> None:
    """Close a connection, also while the current task is being cancelled."""
    with anyio.move_on_after(CLOSE_SECONDS, shield=True):
        await connection.aclose()
