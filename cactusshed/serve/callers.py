"""The ASGI application for callers, which turns HTTP requests into calls."""

import secrets
from collections.abc import Callable

import attrs

from ..clock import read_monotonic
from ..observe.counters import Counters
from ..observe.histograms import CallClass, Histograms
from ..spread.activeversion import ActiveVersion
from . import headers as header_names
from .asgi import (
    Receive,
    Send,
    read_body,
    send_outcome,
    serve_request,
)
from .disconnect import DisconnectWatcher
from .dispatch import Dispatcher
from .headers import filter_end_to_end, find_header, read_count, strip_internal_headers
from .idempotency import IdempotencyGuard
from .messages import Answered, Call, Headers, NotRun, Outcome, Unknown

__all__ = ["CallerApp"]

MAX_DEPTH = 16
"""Depth of nested calls at which a request is refused, to end call loops."""
MAX_TENANT_CHARS = 64
MAX_KEY_CHARS = 256
DEFAULT_TENANT = "-"
NOT_READY = NotRun("not-ready", 1.0)
NODE_LEAVING = NotRun("node-leaving")
NO_ROUTE = NotRun("no-route")
TOO_DEEP = NotRun("too-deep")
CONNECTION_CLOSE: Headers = [(b"connection", b"close")]


@attrs.define
class CallerApp:
    """Serves callers; `running` is the number of requests in progress."""

    current: ActiveVersion
    dispatcher: Dispatcher
    idempotency_guard: IdempotencyGuard
    counters: Counters
    histograms: Histograms
    max_body: int
    is_leaving: Callable[[], bool]
    watcher: DisconnectWatcher
    running: int = 0
    answer_by: float = float("inf")
    """Monotonic time of the last answers of a node that stops; a call whose deadline is
    later is refused, since its answer might be cut off."""

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Serve one request."""
        self.running += 1
        try:
            await serve_request(
                self._serve, scope, receive, send, self.counters, "callers"
            )
        finally:
            self.running -= 1

    async def _serve(self, scope: dict, receive: Receive, send: Send) -> None:
        started = read_monotonic()
        self.counters.add("calls")
        body = await read_body(receive, self.max_body)
        parsed_call = self._make_call(scope, body, started)
        if isinstance(parsed_call, NotRun):
            outcome = parsed_call
        else:
            outcome = await self._run_watched(parsed_call, receive)
            call_class = CallClass(
                parsed_call.service, parsed_call.route, parsed_call.tenant
            )
            self.histograms.record(call_class, read_monotonic() - started)
        if outcome is None:
            self.counters.add("callers_gone")
            return
        self._count_outcome(outcome)
        extra = CONNECTION_CLOSE if self.is_leaving() else []
        await send_outcome(send, outcome, extra, is_head=scope["method"] == "HEAD")

    def _make_call(self, scope: dict, body: bytes, started: float) -> Call | NotRun:
        """Return the call for a request, or the reason to refuse it."""
        if not self.current.ready:
            return NOT_READY
        table = self.current.table
        method = scope["method"]
        route = table.find_route(method, scope["path"])
        if route is None:
            return NO_ROUTE
        headers = list(filter_end_to_end(scope["headers"]))
        try:
            depth = read_count(headers, header_names.DEPTH, 0)
            requested_timeout = read_count(headers, header_names.TIMEOUT_MS, 0) / 1000
            tenant = _read_text(headers, header_names.TENANT, MAX_TENANT_CHARS)
            key = _read_text(headers, header_names.KEY, MAX_KEY_CHARS)
        except ValueError:
            return NotRun("malformed")
        if depth >= MAX_DEPTH:
            return TOO_DEEP
        deadline = started + min(route.timeout, requested_timeout or route.timeout)
        # Calls made by targets belong to requests that were accepted earlier.
        if deadline > self.answer_by and not depth:
            return NODE_LEAVING
        return Call(
            call_id=secrets.token_hex(8),
            method=method,
            path=_join_path(scope),
            headers=list(strip_internal_headers(headers)),
            body=body,
            deadline=deadline,
            depth=depth,
            tenant=tenant or DEFAULT_TENANT,
            service=route.service,
            route=route.name,
            traffic_class=route.traffic_class,
            idempotent=route.is_idempotent(method),
            version_number=table.number,
            key=key,
            route_settings=route,
        )

    async def _run_watched(self, call: Call, receive: Receive) -> Outcome | None:
        """Run `call`, and cancel an idempotent one if its caller disconnects.

        A non-idempotent call continues so that its outcome is recorded.
        """
        if not call.idempotent:
            return await self.idempotency_guard.run(call, self.dispatcher.run)
        return await self.watcher.run_while_connected(
            receive, self.dispatcher.run, call
        )

    def _count_outcome(self, outcome: Outcome) -> None:
        if isinstance(outcome, Answered):
            self.counters.add("calls_answered")
        elif isinstance(outcome, Unknown):
            self.counters.add("calls_unknown")
        else:
            self.counters.add("calls_not_run")


def _join_path(scope: dict) -> bytes:
    query = scope["query_string"]
    return scope["raw_path"] + b"?" + query if query else scope["raw_path"]


def _read_text(headers: Headers, name: bytes, limit: int) -> str:
    text = (find_header(headers, name) or b"").decode("ascii")
    if len(text) > limit or not text.isprintable():
        raise ValueError(f"{name.decode()}: value is too long or not printable")
    return text
