"""TCP proxy on loopback that injects network faults."""

import asyncio
from collections.abc import Callable
from enum import Enum

from cactusshed.options import Address

__all__ = ["FaultProxy", "Impairment"]

CHUNK_BYTES = 65_536


class Impairment(Enum):
    """Treatment of the bytes on open and new connections."""

    NONE = "none"
    DELAY = "delay"
    SILENT = "silent"
    """Both directions are dropped; connections stay open."""
    UP_ONLY = "up-only"
    """Requests pass, answers are dropped."""
    DOWN_ONLY = "down-only"
    """Answers pass, requests are dropped."""
    REFUSED = "refused"
    """New connections end at once."""


class FaultProxy:
    """Forwards TCP connections to the address that `find_address` returns."""

    def __init__(
        self, find_address: Callable[[], Address], delay: float = 0.15
    ) -> None:
        """Start without impairment; `Impairment.DELAY` waits `delay` seconds."""
        self._find_address = find_address
        self._delay = delay
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._silenced: set[asyncio.StreamWriter] = set()
        self.impairment = Impairment.NONE
        self.address: Address | None = None

    async def open(self, ip: str) -> None:
        """Listen on a free port of `ip`."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        ip, port = self._server.sockets[0].getsockname()
        self.address = Address(ip, port)

    def close(self) -> None:
        """Stop listening and reset all open connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def silence_open(self) -> None:
        """Drop all further bytes on open connections; new connections work."""
        self._silenced.update(self._writers)

    async def _serve(self, reader, writer) -> None:
        address = self._find_address()
        try:
            if self.impairment == Impairment.REFUSED:
                raise ConnectionRefusedError
            server_reader, server_writer = await asyncio.open_connection(
                address.ip, address.port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, server_writer}
        pumps = (
            self._pump(reader, server_writer, Impairment.DOWN_ONLY),
            self._pump(server_reader, writer, Impairment.UP_ONLY),
        )
        try:
            await asyncio.gather(*pumps)
        except asyncio.CancelledError:
            # Cancelled only at the end of the soak, so it may return normally.
            return
        finally:
            self._writers -= {writer, server_writer}
            self._silenced -= {writer, server_writer}
            for stream_writer in (writer, server_writer):
                stream_writer.transport.abort()

    async def _pump(self, reader, writer, blocked_by: Impairment) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.impairment == Impairment.DELAY:
                    await asyncio.sleep(self._delay)
                if (
                    self.impairment in (Impairment.SILENT, blocked_by)
                    or writer in self._silenced
                ):
                    # A cut network drops bytes instead of delaying them.
                    continue
                writer.write(data)
                await writer.drain()
            if writer not in self._silenced and writer.can_write_eof():
                writer.write_eof()
        except (ConnectionError, OSError, RuntimeError):
            writer.transport.abort()
