"""Parser of HTTP/1.1 requests that ignores offers of another protocol.

httptools skips the body of a request that offers an upgrade, and reports the request as
complete. A server that does not switch must serve it as if the offer were not there.
"""

from collections.abc import Callable, Iterable, Iterator

import httptools

__all__ = ["RequestParser", "has_unknown_coding", "inspect_head"]

Headers = Iterable[tuple[bytes, bytes]]
"""Names, in lower case, and values of headers."""
_CONNECTION_OPTIONS = frozenset({b"close", b"keep-alive"})
"""Options of `connection` that name no header."""
_INSPECTED = frozenset({b"host", b"content-length", b"expect", b"transfer-encoding"})


def has_unknown_coding(headers: Headers) -> bool:
    """Return whether a message has a transfer coding besides `chunked`."""
    return any(
        name == b"transfer-encoding" and value.strip().lower() != b"chunked"
        for name, value in headers
    )


def inspect_head(headers: Headers) -> tuple[int, int, int, bool, bool]:
    """Return what a complete head says, in one pass.

    That is the status that refuses it or 0, the size of names and values, the length of
    the body or 0, whether a body follows, and whether the client waits until it may be
    sent.
    """
    size = hosts = length = status = 0
    has_body = expects = False
    for name, value in headers:
        size += len(name) + len(value)
        if name not in _INSPECTED:
            continue
        if name == b"host":
            hosts += 1
        elif name == b"content-length":
            length = int(value)
            has_body = has_body or length > 0
        elif name == b"expect":
            expects = expects or value.lower() == b"100-continue"
        else:
            has_body = True
            if value.strip().lower() != b"chunked":
                status = 501
    status = status or (400 if hosts > 1 else 0)
    return status, size, length, has_body, expects


class RequestParser:
    """Calls the callbacks of a protocol as httptools does.

    For a request with an offer they are called twice. The first time, `has_offer` is
    true, and the protocol must do no more than store the URL and the headers.
    """

    def __init__(
        self,
        make_parser: Callable[[], httptools.HttpRequestParser],
        get_head: Callable[[], tuple[bytes, Headers]],
    ) -> None:
        """Use parsers from `make_parser`, and the stored URL and headers."""
        self._make_parser = make_parser
        self._get_head = get_head
        self._parser = make_parser()

    @property
    def has_offer(self) -> bool:
        """Return whether the request being parsed offers another protocol."""
        return self._parser.should_upgrade()

    def should_upgrade(self) -> bool:
        """Return whether to switch to another protocol, which is never the case."""
        return False

    def get_method(self) -> bytes:
        """Return the method of the request being parsed."""
        return self._parser.get_method()

    def get_http_version(self) -> str:
        """Return its version, such as `1.1`."""
        return self._parser.get_http_version()

    def should_keep_alive(self) -> bool:
        """Return whether the connection stays open after the request."""
        return self._parser.should_keep_alive()

    def feed_data(self, data: bytes) -> None:
        """Parse received data; raise `HttpParserError`."""
        while True:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as offer:
                (offset,) = offer.args
                data = self._encode_without_offer() + data[offset:]
                self._parser = self._make_parser()
            else:
                return

    def _encode_without_offer(self) -> bytes:
        """Return the head of the request without its offer."""
        method = self._parser.get_method()
        if method == b"CONNECT":
            raise httptools.HttpParserError("CONNECT is not supported")
        url, headers = self._get_head()
        version = self._parser.get_http_version().encode()
        lines = [b"%s %s HTTP/%s" % (method, url, version)]
        lines.extend(b"%s: %s" % pair for pair in _drop_offer(list(headers)))
        return b"\r\n".join(lines) + b"\r\n\r\n"


def _drop_offer(headers: list[tuple[bytes, bytes]]) -> Iterator[tuple[bytes, bytes]]:
    options = {
        option.strip().lower()
        for name, value in headers
        if name == b"connection"
        for option in value.split(b",")
    }
    dropped = (options - _CONNECTION_OPTIONS) | {b"upgrade", b"connection"}
    yield from (pair for pair in headers if pair[0] not in dropped)
    kept = options & _CONNECTION_OPTIONS
    if kept:
        yield b"connection", b", ".join(sorted(kept))
