"""Socket options of listeners."""

import socket

from testtools.assertions import assert_that
from testtools.matchers import GreaterThan

from cactusshed.options import Address
from cactusshed.serve.listener import open_socket


def test_accepted_sockets_disable_nagle():
    """Accepted sockets have TCP_NODELAY set.

    Without it, each response in two writes waited 40 ms for an acknowledgement.
    """
    listener = open_socket(Address("127.0.0.1", 0))
    with listener, socket.create_connection(listener.getsockname()):
        accepted, _ = listener.accept()
        with accepted:
            flag = accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
    assert_that(flag, GreaterThan(0))
