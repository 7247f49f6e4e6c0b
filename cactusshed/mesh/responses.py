"""Encoding of the heads of HTTP/1.1 responses."""

from .messages import Response

__all__ = ["encode_head"]

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Content Too Large",
    421: "Misdirected Request",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def encode_head(response: Response, *, keep_alive: bool, is_head: bool) -> bytes:
    """Return the head of a response as bytes; the answer to HEAD has no body."""
    status = response.status
    reason = REASON_PHRASES.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}".encode()]
    lines.extend(name + b": " + value for name, value in response.headers)
    has_length = any(name == b"content-length" for name, _ in response.headers)
    if not (is_head and has_length):
        lines.append(b"content-length: %d" % len(response.body))
    if not keep_alive:
        lines.append(b"connection: close")
    lines.append(b"\r\n")
    return b"\r\n".join(lines)
