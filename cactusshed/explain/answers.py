"""Answers to `GET /explain` on the metrics address of a node."""

from typing import TYPE_CHECKING
from urllib.parse import parse_qsl

import msgspec

from ..mesh.messages import Request, Response, make_response
from ..options import BadOption, parse_int
from .messages import RequestQuery
from .routes import explain_request

if TYPE_CHECKING:
    from ..mesh.callers import CallerHandler

__all__ = ["MAX_BODY_BYTES", "parse_query", "serve_explanation"]

MAX_BODY_BYTES = 1 << 40
"""Largest body size that is accepted; more than any configured limit."""
_parse_size = parse_int(0, MAX_BODY_BYTES)
_PARAMETERS = ("host", "path", "method", "bytes")


def parse_query(query: str) -> RequestQuery:
    """Parse the query of an explanation; raise `BadOption` if it is invalid."""
    values: dict[str, str] = {}
    for name, value in parse_qsl(query, keep_blank_values=True, encoding="latin-1"):
        if name not in _PARAMETERS:
            raise BadOption(f"{name!r} is not one of {', '.join(_PARAMETERS)}")
        if name in values:
            raise BadOption(f"{name}: {value!r} is a second value")
        values[name] = value
    path = values.get("path", "/")
    if not values.get("host"):
        raise BadOption(f"host: {values.get('host', '')!r} is empty")
    if not path.startswith("/"):
        raise BadOption(f"path: {path!r} does not start with /")
    method = values.get("method", "GET")
    if not method.isascii() or not method.isalpha():
        raise BadOption(f"method: {method!r} is not a method")
    size = _parse_size("bytes", values.get("bytes", "0"))
    return RequestQuery(values["host"], path, method, size)


def serve_explanation(handler: "CallerHandler | None", request: Request) -> Response:
    """Answer where a request would be routed.

    `handler` is `None` while the node starts.
    """
    if request.method not in (b"GET", b"HEAD"):
        return make_response(405, headers=[(b"allow", b"GET, HEAD")])
    try:
        query = parse_query(request.path.partition(b"?")[2].decode("latin-1"))
    except BadOption as error:
        return _make_error(400, "malformed", str(error))
    if handler is None or not handler.records.table.version:
        return _make_error(503, "not-ready", "the node has no configuration yet")
    return make_response(200, msgspec.json.encode(explain_request(handler, query)))


def _make_error(status: int, code: str, message: str) -> Response:
    """Return an error in the form that the operators' tool reads."""
    body = msgspec.json.encode({"code": code, "message": message})
    return make_response(status, body)
