"""The ASGI application for calls and outcome queries from other nodes."""

import hmac

import anyio
import attrs

from ..clock import read_monotonic
from ..errors import Forbidden, Malformed
from ..observe.counters import Counters
from ..policy.callrecords import CallRecord, CallState
from ..tree.keys import CLASSES
from . import headers as header_names
from .asgi import Receive, Send, read_body, send_outcome, serve_request
from .disconnect import DisconnectWatcher
from .gates import Gates
from .headers import filter_end_to_end, find_header, read_count, strip_internal_headers
from .messages import (
    SETTLED_NOT_RUN,
    STILL_RUNNING,
    Call,
    Headers,
    NotRun,
    Outcome,
    Unknown,
)

__all__ = ["PeerApp"]

OUTCOME_PATH = "/settle"
OTHER_INCARNATION = "other-incarnation"


@attrs.define
class PeerApp:
    """Serves other nodes; `running` is the number of requests in progress."""

    gates: Gates
    counters: Counters
    secret: str
    incarnation: int
    max_body: int
    watcher: DisconnectWatcher
    running: int = 0

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Serve one call or one outcome query."""
        self.running += 1
        try:
            await serve_request(
                self._serve, scope, receive, send, self.counters, "peers"
            )
        finally:
            self.running -= 1

    async def _serve(self, scope: dict, receive: Receive, send: Send) -> None:
        headers = list(filter_end_to_end(scope["headers"]))
        self._check_secret(headers, scope)
        body = await read_body(receive, self.max_body)
        try:
            call = _make_call(scope, headers, body)
            incarnation = read_count(headers, header_names.INCARNATION, 0)
        except ValueError as error:
            raise Malformed(str(error), step="read peer call") from error
        target = (find_header(headers, header_names.TARGET) or b"").decode()
        outcome = await self._run(scope, call, target, incarnation, receive)
        if outcome is None:
            self.counters.add("peers_gone")
            return
        busy, limit = self.gates.get_load(target)
        extra = [
            (header_names.CALL, call.call_id.encode()),
            (header_names.LOAD, f"{busy}/{limit}".encode()),
        ]
        await send_outcome(send, outcome, extra, is_head=scope["method"] == "HEAD")

    def _check_secret(self, headers: Headers, scope: dict) -> None:
        received_secret = find_header(headers, header_names.SECRET) or b""
        if not hmac.compare_digest(received_secret, self.secret.encode()):
            client = scope.get("client") or ("?", 0)
            raise Forbidden("wrong secret", step="peer call", peer=client[0])

    async def _run(
        self, scope: dict, call: Call, target: str, incarnation: int, receive: Receive
    ) -> Outcome | None:
        is_outcome_query = scope["path"] == OUTCOME_PATH
        if incarnation != self.incarnation:
            # An earlier incarnation of this node may have run the call.
            return (
                Unknown(OTHER_INCARNATION)
                if is_outcome_query
                else NotRun(OTHER_INCARNATION)
            )
        if is_outcome_query:
            return await self._resolve_outcome(call)
        self.counters.add("peer_calls")
        if not call.idempotent:
            return await self.gates.run(call, target)
        # An idempotent call is cancelled if the calling node disconnects.
        return await self.watcher.run_while_connected(
            receive, self.gates.run, call, target
        )

    async def _resolve_outcome(self, call: Call) -> Outcome:
        """Return the outcome of a call; one that has not started is fenced.

        A fenced call is refused if it arrives later. A running non-idempotent call
        is awaited until the deadline.
        """
        call_records = self.gates.call_records
        record = call_records.resolve(call.call_id, read_monotonic())
        if record.state == CallState.RUNNING and not call.idempotent:
            with anyio.move_on_after(max(0.0, call.deadline - read_monotonic())):
                await self.gates.wait_ended(call.call_id)
            record = call_records.resolve(call.call_id, read_monotonic())
        return _make_outcome(record)


def _make_outcome(record: CallRecord) -> Outcome:
    if record.state == CallState.FENCED:
        return NotRun(SETTLED_NOT_RUN)
    if record.state == CallState.ANSWERED:
        return record.answer
    if record.state == CallState.RUNNING:
        return Unknown(STILL_RUNNING)
    return Unknown("ended-unknown")


def _make_call(scope: dict, headers: Headers, body: bytes) -> Call:
    """Return the call in a peer's request; raise `ValueError` if it is invalid."""
    call_id = _require_header(headers, header_names.CALL)
    traffic_class = _require_header(headers, header_names.CLASS)
    if traffic_class not in CLASSES:
        raise ValueError(f"unknown class {traffic_class!r}")
    flags = (find_header(headers, header_names.FLAGS) or b"").decode()
    timeout = read_count(headers, header_names.TIMEOUT_MS, 0) / 1000
    query = scope["query_string"]
    path = scope["raw_path"] + (b"?" + query if query else b"")
    return Call(
        call_id=call_id,
        method=scope["method"],
        path=path,
        headers=list(strip_internal_headers(headers)),
        body=body,
        deadline=read_monotonic() + timeout,
        depth=read_count(headers, header_names.DEPTH, 0),
        tenant=_require_header(headers, header_names.TENANT),
        service=_require_header(headers, header_names.SERVICE),
        route=_require_header(headers, header_names.ROUTE),
        traffic_class=traffic_class,
        idempotent="i" in flags,
        version_number=read_count(headers, header_names.VERSION, 0),
        may_wait="w" in flags,
        alone="a" in flags,
    )


def _require_header(headers: Headers, name: bytes) -> str:
    text = find_header(headers, name)
    if not text:
        raise ValueError(f"{name.decode()}: header is missing")
    return text.decode("ascii")
