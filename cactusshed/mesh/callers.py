"""Entry point for requests of clients and of the local target.

Each HTTP request is routed, dispatched as a call, and answered with its outcome.
"""

import asyncio
import random

import attrs

from ..clock import read_monotonic
from ..observe.counters import Counters
from ..observe.histograms import CallClass, Histograms
from ..observe.lines import log_line
from ..platform import headers as names
from .dispatch import Dispatcher, Outcome, Plan
from .frames import ANSWERED, NOT_RUN, Call, Result
from .messages import Request, Response, make_response
from .moves import Moves
from .records import Records
from .table import Route
from .upstream import HOP_BY_HOP_HEADERS, Headers

__all__ = ["Callers", "choose_service"]

RESULT_GRACE_SECONDS = 0.06
"""Time past the deadline for which a gate's own result is awaited."""
START_RETRY_SECONDS = 0.3
"""Retry-after of a node without configuration: the time of one read of the store."""
LEAVING_RETRY_SECONDS = 0.05
"""Retry-after of a node that shuts down: other nodes can serve the retry now."""
RETRY_JITTER = (0.9, 1.4)
"""Range of the random factor on retry-after, so that clients don't retry together."""
# The gate sets these headers itself or adds them from the fields of the call.
_REPLACED_HEADERS = HOP_BY_HOP_HEADERS | frozenset(
    {
        b"expect",
        names.ATTEMPT_ID,
        names.DEADLINE_MS,
        names.CALLER,
        names.EXPECTED_INSTANCE,
    }
)


def choose_service(route: Route, point: float) -> str:
    """Return the service at `point`, a number from 0 to 1, by the parts' weights."""
    total = sum(part.weight for part in route.parts)
    cumulative = 0.0
    for part in route.parts:
        cumulative += part.weight / total if total else 0.0
        if point < cumulative:
            return part.service
    return route.parts[-1].service


@attrs.define
class Callers:
    """Serves the requests of callers."""

    records: Records
    dispatcher: Dispatcher
    counters: Counters
    histograms: Histograms
    service: str
    moves: Moves
    rng: random.Random = attrs.Factory(random.Random)
    is_closing: bool = False
    """Whether only calls made by requests running here are still accepted."""
    longest_timeout: dict[str, float] = attrs.Factory(dict)
    """Longest timeout that clients have sent, in seconds by route."""

    async def serve(self, request: Request) -> Response:
        """Serve one request."""
        table = self.records.table
        if not table.version:
            self.counters.add("refused_not_ready")
            return self._refuse(START_RETRY_SECONDS)
        route = self._find_route(request)
        if route is None:
            self.counters.add("refused_no_route")
            log_line(
                "no-route",
                request=request.find(names.ATTEMPT_ID) or b"",
                path=request.path[:80],
                version=table.version,
            )
            return make_response(404)
        if not request.find(names.ATTEMPT_ID):
            self.counters.add("refused_no_id")
            return make_response(400)
        plan = self._make_plan(request, route)
        if self.is_closing and not plan.call.is_inner:
            self.counters.add("refused_leaving")
            return self._refuse(LEAVING_RETRY_SECONDS)
        outcome = await self._run(plan)
        if plan.parent_route:
            refused = outcome.result.outcome == NOT_RUN
            pressure = self.dispatcher.gate.pressure
            pressure.note_call(plan.parent_route, refused=refused)
        return self._respond(plan, route, outcome, request)

    def _find_route(self, request: Request) -> Route | None:
        host = (request.find(b"host") or b"").decode("latin-1").lower()
        name, _, port = host.rpartition(":")
        if port.isdigit():
            host = name
        path = request.path.partition(b"?")[0].decode("latin-1")
        return self.records.table.find_route(host, path)

    def _make_plan(self, request: Request, route: Route) -> Plan:
        now = read_monotonic()
        client_timeout = _read_timeout(request, route.timeout)
        longest_timeout = max(client_timeout, self.longest_timeout.get(route.name, 0.0))
        self.longest_timeout[route.name] = longest_timeout
        service = choose_service(route, self.rng.random())
        request_id = request.find(names.ATTEMPT_ID)
        parent = self.dispatcher.gate.suspects.find_parent(request_id)
        call = Call(
            number=0,
            request_id=request_id,
            attempt=0,
            method=request.method,
            path=request.path,
            headers=_filter_headers(request.headers),
            body=request.body,
            left_ms=0,
            aim_ms=0,
            route=route.name,
            rank=parent.call.rank if parent is not None else route.rank,
            service=service,
            version="",
            caller=self.service,
            is_repeatable=route.repeatable,
            is_repeat=False,
            may_have_run=False,
            is_inner=parent is not None,
            is_of_repeat=parent is not None and parent.call.is_repeat,
            may_wait=True,
        )
        # A client that retries after a refusal sends a shorter timeout than at first,
        # so the difference is subtracted from the soft timeout.
        aim = now + route.aim - (longest_timeout - client_timeout)
        if parent is not None:
            # A call has the soft deadline of the request that makes it.
            aim = parent.aim
        return Plan(
            call,
            now + min(client_timeout, route.timeout),
            aim,
            route.attempts,
            lambda: self.moves.choose_version(service),
            lambda version: self.moves.find_fallback(service, version),
            parent.call.route if parent is not None else "",
        )

    async def _run(self, plan: Plan) -> Outcome:
        limit = plan.deadline - read_monotonic() + RESULT_GRACE_SECONDS
        try:
            async with asyncio.timeout(limit):
                return await self.dispatcher.run(plan)
        except TimeoutError:
            load = self.dispatcher.gate.get_load()
            result = Result(0, 2, load, code="timeout")
            return Outcome(result, 1, "")

    def _respond(
        self, plan: Plan, route: Route, outcome: Outcome, request: Request
    ) -> Response:
        result = outcome.result
        elapsed = read_monotonic() - (plan.deadline - route.timeout)
        if result.outcome == ANSWERED:
            self.counters.add("answered")
            kind = CallClass(plan.call.service, route.name, "-")
            self.histograms.record(kind, max(0.0, elapsed))
            echoed = (names.ATTEMPT_ID, plan.call.request_id)
            return Response(result.status, [*result.headers, echoed], result.body)
        self.counters.add(f"failed_{result.code.replace('-', '_')}")
        log_line(
            "call-failed",
            request=plan.call.request_id,
            route=route.name,
            service=plan.call.service,
            code=result.code,
            ran="no" if result.outcome == NOT_RUN else "unknown",
            arrivals=outcome.arrivals,
            target=outcome.target,
            version=self.records.table.version,
            left_ms=int((plan.deadline - read_monotonic()) * 1000),
        )
        if result.outcome == NOT_RUN:
            return self._refuse(result.retry_ms / 1000)
        return make_response(504 if result.code == "timeout" else 502)

    def _refuse(self, retry_after: float) -> Response:
        seconds = retry_after * self.rng.uniform(*RETRY_JITTER)
        return make_response(503, headers=[(b"retry-after", f"{seconds:.3f}".encode())])


def _read_timeout(request: Request, default: float) -> float:
    text = request.find(names.DEADLINE_MS) or b""
    return int(text) / 1000 if text.isdigit() else default


def _filter_headers(headers: Headers) -> Headers:
    """Return the headers that are forwarded to the target."""
    dropped = _REPLACED_HEADERS
    for name, value in headers:
        if name == b"connection":
            hop_by_hop = {part.strip().lower() for part in value.split(b",")}
            dropped = dropped | hop_by_hop
    return [pair for pair in headers if pair[0] not in dropped]
