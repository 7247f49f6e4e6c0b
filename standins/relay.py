"""TCP relay on loopback that can lose connections silently, like a NAT or a cut."""

import contextlib
import socket
import threading

__all__ = ["Relay"]

IP = "127.0.0.1"
CHUNK_BYTES = 65_536


class Relay:
    """Relays TCP connections to `port` and can silence the open ones.

    Silenced connections stay open but carry no more data; new ones work. While
    `is_cut`, no connection carries any.
    """

    def __init__(self) -> None:
        """Listen on a free port; set `port` before the first connection."""
        self.port = 0
        self.is_cut = False
        self._listener = socket.create_server((IP, 0))
        self.address = self._listener.getsockname()
        # Number of calls of `silence_open`; connections of earlier ones are silent.
        self._generation = 0
        self._sockets: list[socket.socket] = []
        self.connections_opened = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def silence_open(self) -> int:
        """Silence the open connections; return how many were ever opened."""
        self._generation += 1
        return self.connections_opened

    def close(self) -> None:
        """Close the listener and all connections."""
        for sock in (self._listener, *self._sockets):
            with contextlib.suppress(OSError):
                sock.close()

    def _accept(self) -> None:
        while True:
            try:
                downstream, _ = self._listener.accept()
                upstream = socket.create_connection((IP, self.port))
            except OSError:
                return
            self.connections_opened += 1
            self._sockets += [downstream, upstream]
            for source, sink in ((downstream, upstream), (upstream, downstream)):
                threading.Thread(
                    target=self._pump,
                    args=(source, sink, self._generation),
                    daemon=True,
                ).start()

    def _passes(self, generation: int) -> bool:
        return generation == self._generation and not self.is_cut

    def _pump(
        self, source: socket.socket, sink: socket.socket, generation: int
    ) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if self._passes(generation):
                    sink.sendall(data)
            if self._passes(generation):
                sink.shutdown(socket.SHUT_WR)
