"""The ASGI application for operators and for the targets of this host."""

import hmac
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs

import attrs

from ..clock import read_monotonic
from ..decoding import decode_json
from ..duty.closures import ClosureHandler
from ..errors import Forbidden, Malformed
from ..member.announcements import TargetRegistry, parse_announcement
from ..observe.counters import Counters
from ..observe.histograms import Histograms
from ..observe.page import render_page
from ..serve.asgi import (
    Receive,
    Send,
    read_body,
    send_json,
    send_text,
    serve_request,
)
from ..serve.gates import Gates
from ..serve.headers import find_header
from ..spread.activeversion import ActiveVersion
from .editor import Editor
from .messages import ChangeRequest, ClosureRequest, make_histogram_view
from .report import Reporter

__all__ = ["OperatorApp"]

MAX_BODY_BYTES = 4 << 20
"""Size limit of a request body in bytes."""
MAX_LOG_ENTRIES = 200
"""Limit on log entries in one response."""


@attrs.frozen
class Request:
    """One request to the operators' API, with its body read."""

    body: bytes
    query: dict[str, str]
    source: str


Handler = Callable[["OperatorApp", Request, Send], Awaitable[None]]


@attrs.define
class OperatorApp:
    """Serves the operators' API, announcements of targets, health and metrics."""

    current: ActiveVersion
    target_registry: TargetRegistry
    gates: Gates
    editor: Editor
    closure_handler: ClosureHandler
    reporter: Reporter
    counters: Counters
    histograms: Histograms
    token: str
    ip: str
    is_leaving: Callable[[], bool]
    list_gauges: Callable[[], list[tuple[str, float]]]

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Serve one request."""
        await serve_request(
            self._serve, scope, receive, send, self.counters, "operators"
        )

    async def _serve(self, scope: dict, receive: Receive, send: Send) -> None:
        handler = _HANDLERS.get((scope["method"], scope["path"]))
        if handler is None:
            await send_json(send, {"code": "not-found", "message": scope["path"]}, 404)
            return
        if scope["path"].startswith("/v1/"):
            self._check_token(scope)
        request = Request(
            await read_body(receive, MAX_BODY_BYTES),
            _parse_query(scope["query_string"]),
            scope["client"][0] if scope.get("client") else "",
        )
        await handler(self, request, send)

    def _check_token(self, scope: dict) -> None:
        authorization = find_header(scope["headers"], b"authorization") or b""
        expected = b"Bearer " + self.token.encode()
        if self.token and not hmac.compare_digest(authorization, expected):
            peer = scope["client"][0] if scope.get("client") else ""
            raise Forbidden("wrong or missing token", step="operate", peer=peer)


def _parse_query(text: bytes) -> dict[str, str]:
    pairs = parse_qs(text.decode("ascii", "replace"), keep_blank_values=True)
    return {name: values[-1] for name, values in pairs.items()}


def _read_number(request: Request, name: str, default: int) -> int:
    text = request.query.get(name, str(default))
    if not text.isdigit():
        raise Malformed(f"{name}: {text!r} is not a whole number", step="operate")
    return int(text)


def _read_text(request: Request, name: str) -> str:
    if name not in request.query:
        raise Malformed(f"query parameter {name} is missing", step="operate")
    return request.query[name]


async def _announce(app: OperatorApp, request: Request, send: Send) -> None:
    if request.source != app.ip:
        raise Forbidden(
            "announcements are accepted from this host only",
            step="announce",
            peer=request.source,
        )
    announcement = parse_announcement(request.body, request.source)
    target = app.target_registry.apply(announcement, read_monotonic())
    app.gates.apply_announcement(target)
    await send_json(send, {"target": target.name})


async def _show_health(_app: OperatorApp, _request: Request, send: Send) -> None:
    await send_text(send, "ok\n")


async def _show_readiness(app: OperatorApp, _request: Request, send: Send) -> None:
    if app.is_leaving():
        await send_text(send, "leaving\n", 503)
    elif app.current.ready:
        await send_text(send, "ready\n")
    else:
        await send_text(send, "not-ready\n", 503)


async def _show_metrics(app: OperatorApp, _request: Request, send: Send) -> None:
    page = render_page(app.counters, app.histograms, app.list_gauges())
    await send_text(send, page)


async def _accept(app: OperatorApp, request: Request, send: Send) -> None:
    change = decode_json(request.body, ChangeRequest, step="accept")
    await send_json(send, await app.editor.accept(change))


async def _close(app: OperatorApp, request: Request, send: Send) -> None:
    closure = decode_json(request.body, ClosureRequest, step="close")
    await send_json(send, await app.closure_handler.accept(closure))


async def _show_tree(app: OperatorApp, request: Request, send: Send) -> None:
    await send_json(send, app.editor.view_tree(request.query.get("path", "/")))


async def _show_log(app: OperatorApp, request: Request, send: Send) -> None:
    after = _read_number(request, "after", 0)
    limit = min(MAX_LOG_ENTRIES, _read_number(request, "limit", 20))
    await send_json(send, await app.editor.list_log(after, limit))


async def _explain(app: OperatorApp, request: Request, send: Send) -> None:
    path, key = _read_text(request, "path"), _read_text(request, "key")
    await send_json(send, await app.editor.explain(path, key))


async def _show_status(app: OperatorApp, _request: Request, send: Send) -> None:
    await send_json(send, await app.reporter.make_status())


async def _show_histograms(app: OperatorApp, _request: Request, send: Send) -> None:
    views = [
        make_histogram_view(call_class, histogram)
        for call_class, histogram in app.histograms.list_all()
    ]
    await send_json(send, views)


_HANDLERS: dict[tuple[str, str], Handler] = {
    ("POST", "/announce"): _announce,
    ("GET", "/healthz"): _show_health,
    ("GET", "/readyz"): _show_readiness,
    ("GET", "/metrics"): _show_metrics,
    ("POST", "/v1/changes"): _accept,
    ("POST", "/v1/closures"): _close,
    ("GET", "/v1/tree"): _show_tree,
    ("GET", "/v1/log"): _show_log,
    ("GET", "/v1/explain"): _explain,
    ("GET", "/v1/status"): _show_status,
    ("GET", "/v1/histograms"): _show_histograms,
}
