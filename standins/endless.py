"""Messages without end: bytes that never make up an answer or a request.

Run as `python -m standins.endless answers ACTION` it serves such answers at the port
that it prints; as `... requests ACTION PORT COUNT` it sends such requests to a port of
this host over as many connections, and opens each again once it is closed.
"""

import asyncio
import sys

__all__ = ["ENDLESS", "ENDLESS_REQUESTS", "send_endlessly"]

_HEAD = b"HTTP/1.1 200 OK\r\nx-response-seal: s\r\n"
_REQUEST = b"POST /a/ HTTP/1.1\r\nhost: h\r\n"
_CHUNKING = b"transfer-encoding: chunked\r\n\r\n"
_CHUNKED = _HEAD + _CHUNKING
_FILL = b"y" * 16_000
_LINES = b"x: y\r\n" * 2000
_BODY = b"3e80\r\n" + _FILL + b"\r\n"
_CHUNKS = b"2\r\nno\r\n" * 2000
_TINY_CHUNKS = b"1\r\nn\r\n" * 2500
_LENGTH = b"content-length: 100000000000\r\n\r\n"
_GARBAGE = b"\x16\x03\x01\x02\x00\x01\x00" * 2000

ENDLESS = {
    "endless-headers": (_HEAD, _LINES),
    "endless-header": (_HEAD + b"x: ", _FILL),
    "endless-interim": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 500),
    "endless-garbage": (b"", _GARBAGE),
    "endless-body": (_CHUNKED, _BODY),
    "endless-length": (_HEAD + _LENGTH, _FILL),
    "endless-chunks": (_CHUNKED, _CHUNKS),
    "endless-tiny-chunks": (_CHUNKED, _TINY_CHUNKS),
    "endless-unframed": (_HEAD + b"\r\n", _FILL),
    "endless-extension": (_CHUNKED + b"1;x=", _FILL),
    "endless-trailers": (_CHUNKED + b"1\r\nz\r\n0\r\n", _LINES),
}
"""For each action, what is sent once and what is then repeated."""

ENDLESS_REQUESTS = {
    "endless-target": (b"POST /", _FILL),
    "endless-headers": (_REQUEST, _LINES),
    "endless-header": (_REQUEST + b"x: ", _FILL),
    "endless-garbage": (b"", _GARBAGE),
    "endless-body": (_REQUEST + _CHUNKING, _BODY),
    "endless-length": (_REQUEST + _LENGTH, _FILL),
    "endless-tiny-chunks": (_REQUEST + _CHUNKING, _TINY_CHUNKS),
    "endless-extension": (_REQUEST + _CHUNKING + b"1;x=", _FILL),
    "endless-trailers": (_REQUEST + _CHUNKING + b"1\r\nz\r\n0\r\n", _LINES),
}
"""The same for requests."""


async def send_endlessly(writer, action: str, messages=ENDLESS) -> None:
    """Send the message of an action until the connection ends."""
    start, repeated = messages[action]
    writer.write(start)
    while True:
        writer.write(repeated)
        await writer.drain()


async def _serve_answers(action: str) -> None:
    async def serve(reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            await send_endlessly(writer, action)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


async def _send_requests(action: str, port: str, count: str) -> None:
    async def send():
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", int(port))
                await send_endlessly(writer, action, ENDLESS_REQUESTS)
            except ConnectionError:
                await asyncio.sleep(0)

    print("sending", flush=True)
    await asyncio.gather(*(send() for _ in range(int(count))))


_COMMANDS = {"answers": _serve_answers, "requests": _send_requests}

if __name__ == "__main__":
    asyncio.run(_COMMANDS[sys.argv[1]](*sys.argv[2:]))
