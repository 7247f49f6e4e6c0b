"""Free ports on loopback."""

import random
import socket

__all__ = ["choose_port"]

PORT_RANGE = range(12_000, 32_000)
"""Below the ports that the kernel gives to outgoing connections."""
_used = set()


def choose_port(ip):
    """Return a port of `ip` that is free, each only once."""
    while True:
        port = random.SystemRandom().choice(PORT_RANGE)
        if (ip, port) in _used:
            continue
        with socket.socket() as tcp:
            try:
                tcp.bind((ip, port))
            except OSError:
                continue
        _used.add((ip, port))
        return port
