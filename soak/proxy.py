"""A loopback proxy that harms the connections which pass through it."""

import asyncio
from collections.abc import Callable
from enum import Enum

from cactusshed.options import Address

__all__ = ["FaultProxy", "Harm"]

CHUNK_BYTES = 65_536


class Harm(Enum):
    """What happens to the bytes of open and of new connections."""

    NONE = "none"
    DELAY = "delay"
    SILENT = "silent"
    """Nothing passes either way; connections stay open."""
    UP_ONLY = "up-only"
    """Requests pass, answers don't."""
    DOWN_ONLY = "down-only"
    """Answers pass, requests don't."""


class FaultProxy:
    """Passes TCP on to the address that `find` returns."""

    def __init__(self, find: Callable[[], Address], delay: float = 0.15) -> None:
        """Start harmless; `delay` is in seconds and applies to `Harm.DELAY`."""
        self._find = find
        self._delay = delay
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._old: set[asyncio.StreamWriter] = set()
        self.harm = Harm.NONE
        self.address: Address | None = None

    async def open(self, ip: str) -> None:
        """Listen on a free port of `ip`."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        ip, port = self._server.sockets[0].getsockname()
        self.address = Address(ip, port)

    def close(self) -> None:
        """Stop, and cut all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def forget(self) -> None:
        """Let open connections fall silent for good; new ones work."""
        self._old.update(self._writers)

    async def _serve(self, reader, writer) -> None:
        found = self._find()
        try:
            far_reader, far_writer = await asyncio.open_connection(found.ip, found.port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        pumps = (
            self._pump(reader, far_writer, Harm.DOWN_ONLY),
            self._pump(far_reader, writer, Harm.UP_ONLY),
        )
        try:
            await asyncio.gather(*pumps)
        except asyncio.CancelledError:
            # Only the end of the soak cancels it, and nothing follows.
            return
        finally:
            self._writers -= {writer, far_writer}
            self._old -= {writer, far_writer}
            for end in (writer, far_writer):
                end.transport.abort()

    async def _pump(self, reader, writer, blocked_by: Harm) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.harm == Harm.DELAY:
                    await asyncio.sleep(self._delay)
                if self.harm in (Harm.SILENT, blocked_by) or writer in self._old:
                    # A network that is cut drops what is sent meanwhile.
                    continue
                writer.write(data)
                await writer.drain()
            if writer not in self._old and writer.can_write_eof():
                writer.write_eof()
        except (ConnectionError, OSError, RuntimeError):
            writer.transport.abort()
