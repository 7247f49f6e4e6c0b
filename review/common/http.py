"""HTTP/1.1 over asyncio streams, as far as the stand-ins need it."""

import asyncio

import attrs

__all__ = ["Message", "encode_message", "read_message", "send_once"]


@attrs.frozen
class Message:
    """A request or a response; header names are in lower case."""

    start_line: str
    headers: dict
    body: bytes

    @property
    def status(self):
        """Return the status of a response."""
        return int(self.start_line.split(" ")[1])

    @property
    def path(self):
        """Return the target of a request."""
        return self.start_line.split(" ")[1]

    @property
    def method(self):
        """Return the method of a request."""
        return self.start_line.split(" ")[0]


def encode_message(start_line, headers, body=b""):
    """Return a message with a length as bytes."""
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def read_message(reader):
    """Return the next message with a length, `None` at the end of the connection.

    Raises `asyncio.IncompleteReadError` if the connection ends within a message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    start_line, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(start_line, headers, body)


async def send_once(address, start_line, headers, body=b"", timeout=1.0):
    """Send a request on a new connection; return the response.

    Returns `None` if none came within `timeout` seconds.
    """
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(encode_message(start_line, {"host": address, **headers}, body))
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()
