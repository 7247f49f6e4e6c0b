"""State of a response that is being received."""

import httptools

from ..policy.parsework import LINE_BYTES, MAX_HEAD_BYTES, ParseCredit
from ..statuscodes import is_final
from .messages import Headers

__all__ = ["ParsedResponse"]


class ParsedResponse:
    """State of one response, filled by the callbacks of the httptools parser."""

    def __init__(self, credit: ParseCredit) -> None:
        """Take chunks and header lines from `credit`."""
        self._credit = credit
        self._chunk_count = 0
        self.headers: Headers = []
        self.body = bytearray()
        self.status = 0
        self.has_headers = False
        self.is_complete = False
        self.keeps_alive = False
        self.trailer_bytes = 0
        self.body_bytes = 0
        self._parser = httptools.HttpResponseParser(self)

    def on_message_begin(self) -> None:
        """Start a message; drop the headers of an interim response before it.

        A message after the response belongs to no request; it ends the connection.
        """
        if self.is_complete:
            raise ValueError("second response to one request")
        self.headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; drop a trailer."""
        self._credit.take(1)
        if not self.has_headers:
            self.headers.append((name, value))
            return
        self.trailer_bytes += len(name) + len(value) + LINE_BYTES
        if self.trailer_bytes > MAX_HEAD_BYTES:
            raise ValueError("trailers too large")

    def on_headers_complete(self) -> None:
        """Record that all headers have arrived, unless the response is interim."""
        self.status = self._parser.get_status_code()
        self.has_headers = is_final(self.status)

    def on_body(self, data: bytes) -> None:
        """Append a chunk to the part of the body that is not read yet."""
        self.body += data
        self.body_bytes += len(data)
        self._chunk_count += 1

    def feed_data(self, data: bytes) -> None:
        """Parse received bytes; raise `HttpParserError`."""
        counted_bytes = self.body_bytes
        self._parser.feed_data(data)
        self._credit.take(self._chunk_count, self.body_bytes - counted_bytes)
        self._chunk_count = 0

    def on_message_complete(self) -> None:
        """Record the end of the response, unless it is interim."""
        self.is_complete = self.has_headers
        self.keeps_alive = self._parser.should_keep_alive()
