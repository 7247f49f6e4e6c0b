"""Answers without end: bytes that never make up an answer, until the caller closes."""

__all__ = ["ENDLESS", "send_endlessly"]

_HEAD = b"HTTP/1.1 200 OK\r\nx-response-seal: s\r\n"
_CHUNKED = _HEAD + b"transfer-encoding: chunked\r\n\r\n"
_FILL = b"y" * 16_000

ENDLESS = {
    "endless-headers": (_HEAD, b"x: y\r\n" * 2000),
    "endless-header": (_HEAD + b"x: ", _FILL),
    "endless-interim": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 500),
    "endless-body": (_CHUNKED, b"3e80\r\n" + _FILL + b"\r\n"),
    "endless-chunks": (_CHUNKED, b"2\r\nno\r\n" * 2000),
    "endless-unframed": (_HEAD + b"\r\n", _FILL),
    "endless-extension": (_CHUNKED + b"1;x=", _FILL),
    "endless-trailers": (_CHUNKED + b"1\r\nz\r\n0\r\n", b"x: y\r\n" * 2000),
}
"""For each action, what is sent once and what is then repeated."""


async def send_endlessly(writer, action: str) -> None:
    """Send the answer of an action until the connection ends."""
    start, repeated = ENDLESS[action]
    writer.write(start)
    while True:
        writer.write(repeated)
        await writer.drain()
