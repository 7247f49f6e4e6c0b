"""A minimal HTTP/1.1 server and client over asyncio streams."""

import asyncio
from collections.abc import Awaitable, Callable

__all__ = ["Answer", "Head", "exchange", "read_head", "request", "serve", "write"]

Headers = dict[str, str]
REASONS = {200: "OK", 412: "Precondition Failed", 503: "Service Unavailable"}


class Head:
    """First line, headers (names in lower case) and body of a message."""

    def __init__(self, first: list[str], headers: Headers, body: bytes) -> None:
        """Store the parts of a message."""
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first[1])


Answer = tuple[int, Headers, bytes]
Handler = Callable[[Head], Awaitable[Answer | None]]


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Read one message with a length or without a body; `None` at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1")[:-4].split("\r\n")
    pairs = (line.partition(":") for line in lines[1:])
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Head(lines[0].split(" ", 2), headers, body)


def write(writer: asyncio.StreamWriter, answer: Answer) -> None:
    """Write one answer with its length."""
    status, headers, body = answer
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"content-length: {len(body)}")
    writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)


async def serve(
    ip: str,
    port: int,
    handle: Handler,
    writers: set[asyncio.StreamWriter] | None = None,
) -> asyncio.Server:
    """Serve requests one after another on each connection.

    A handler that returns `None` ends the connection without an answer. `writers`
    holds the open connections.
    """
    opened = set() if writers is None else writers

    async def serve_connection(reader, writer) -> None:
        opened.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                answer = await handle(head)
                if answer is None:
                    break
                write(writer, answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            opened.discard(writer)
            writer.close()

    return await asyncio.start_server(serve_connection, ip, port)


async def exchange(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    method: str,
    path: str,
    headers: Headers,
    body: bytes = b"",
) -> Head | None:
    """Send a request on an open connection; return its answer, if one came."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
    try:
        await writer.drain()
        return await read_head(reader)
    except (ConnectionError, asyncio.IncompleteReadError):
        return None


async def request(
    address: str,
    method: str,
    path: str,
    headers: Headers,
    body: bytes = b"",
    timeout: float = 5.0,
) -> Head | None:
    """Send one request on a new connection; `None` without a complete answer."""
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, int(port))
            return await exchange(reader, writer, method, path, headers, body)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
