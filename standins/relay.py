"""Stand-in for a middle box on loopback that loses track of open connections."""

import contextlib
import socket
import threading

__all__ = ["Relay"]

IP = "127.0.0.1"
CHUNK = 65_536


class Relay:
    """Passes TCP on to `port`, until it is told to forget what is open.

    Forgotten connections stay open and carry nothing more; new ones work.
    """

    def __init__(self) -> None:
        """Listen on a free port; set `port` before the first connection."""
        self.port = 0
        self._listener = socket.create_server((IP, 0))
        self.address = self._listener.getsockname()
        self._age = 0
        self._sockets: list[socket.socket] = []
        self.opened = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self) -> int:
        """Forget the open connections and return how many there were."""
        self._age += 1
        return self.opened

    def close(self) -> None:
        """Close everything."""
        for sock in (self._listener, *self._sockets):
            with contextlib.suppress(OSError):
                sock.close()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
                far = socket.create_connection((IP, self.port))
            except OSError:
                return
            self.opened += 1
            self._sockets += [near, far]
            for source, sink in ((near, far), (far, near)):
                threading.Thread(
                    target=self._pump, args=(source, sink, self._age), daemon=True
                ).start()

    def _pump(self, source: socket.socket, sink: socket.socket, age: int) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK):
                if age == self._age:
                    sink.sendall(data)
            if age == self._age:
                sink.shutdown(socket.SHUT_WR)
