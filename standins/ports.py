"""Free ports on loopback for the processes of a test."""

import random
import socket

__all__ = ["choose_port"]

IP = "127.0.0.1"
PORT_RANGE = range(12_000, 32_000)
"""Below the ports that the kernel gives to outgoing connections: one of these may be
taken between the choice of a port and the start of the process that listens there."""
_used_ports: set[int] = set()
_rng = random.SystemRandom()


def choose_port() -> int:
    """Return a loopback port that is free for TCP and UDP, each only once."""
    while True:
        port = _rng.choice(PORT_RANGE)
        if port in _used_ports:
            continue
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((IP, port))
                udp.bind((IP, port))
            except OSError:
                continue
        _used_ports.add(port)
        return port
