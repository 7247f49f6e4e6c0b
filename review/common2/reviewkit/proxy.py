"""A loopback proxy that can stop to pass bytes in either direction."""

import asyncio
from collections.abc import Callable

__all__ = ["Proxy"]

CHUNK_BYTES = 65_536


class Proxy:
    """Passes connections on to `target`, an address that may change.

    While `is_silent`, bytes of open and new connections are dropped, as by a
    partition: nobody gets an end or a reset.
    """

    def __init__(self, target: Callable[[], str]) -> None:
        """Create a proxy that passes everything."""
        self.is_silent = False
        self.address = ""
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self, ip: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        ip, _, port = self._target().rpartition(":")
        try:
            back = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, back[1])
        self._writers.update(pair)
        try:
            await asyncio.gather(
                self._pass(reader, back[1]), self._pass(back[0], writer)
            )
        finally:
            self._writers.difference_update(pair)
            for each in pair:
                each.transport.abort()

    async def _pass(self, reader, writer) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.is_silent:
                    continue
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof() and not self.is_silent:
                writer.write_eof()
        except (OSError, RuntimeError):
            writer.transport.abort()
