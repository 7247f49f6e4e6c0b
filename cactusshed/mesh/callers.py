"""Entry point for requests of clients and of the local target.

Each HTTP request is routed, dispatched as a call, and answered with its outcome.
"""

import asyncio
import random

import attrs

from ..clock import read_monotonic
from ..observe.counters import Counters
from ..observe.histograms import NO_TENANT, CallClass, Histograms
from ..observe.lines import log_line
from ..platform import headers as header_names
from ..policy.backpressure import is_refused_for_load
from ..policy.firsttimeouts import FirstTimeout
from ..policy.plannedstop import PlannedStop
from ..policy.tenancy import Decision, Refusal, decide_tenancy
from ..tenants.counts import TenantCounts
from ..tenants.origin import TENANT_HEADERS, read_origin
from .callplan import CallPlan, Outcome
from .crashes import RunningCall, get_parent_id
from .dispatch import Dispatcher
from .frames import ANSWERED, NOT_RUN, Call, Result
from .messages import Request, Response, make_response
from .moves import Moves
from .records import Records
from .table import Route
from .upstream import HOP_BY_HOP_HEADERS, Headers

__all__ = ["CallerHandler"]

RESULT_GRACE_SECONDS = 0.06
"""Time past the deadline for which a gate's own result is awaited."""
START_RETRY_SECONDS = 0.3
"""Retry-after of a node without configuration: the time of one read of the store."""
PARENT_GONE_RETRY_SECONDS = 0.3
"""Retry-after of a call whose parent no longer runs here: it is refused until a client
sends the parent again, which takes at least the time of one exchange."""
LEAVING_RETRY_SECONDS = 0.05
"""Retry-after of a node that shuts down: other nodes can serve the retry now."""
RETRY_JITTER = (0.9, 1.4)
"""Range of the random factor on retry-after, so that clients don't retry together."""
# The gate sets these headers itself or adds them from the fields of the call.
_REPLACED_HEADERS = HOP_BY_HOP_HEADERS | frozenset(
    {
        b"expect",
        header_names.ATTEMPT_ID,
        header_names.DEADLINE_MS,
        header_names.CALLER,
        header_names.EXPECTED_INSTANCE,
    }
)
_REPLACED_WITH_TENANTS = _REPLACED_HEADERS | TENANT_HEADERS
CHALLENGE = (b"www-authenticate", b"ApiKey")
"""Names the way of authentication, which responses with 401 must do."""


@attrs.define
class CallerHandler:
    """Serves the requests of callers."""

    records: Records
    dispatcher: Dispatcher
    counters: Counters
    histograms: Histograms
    service: str
    moves: Moves
    rng: random.Random = attrs.Factory(random.Random)
    stop: PlannedStop = attrs.Factory(PlannedStop)
    """Calls made by requests running here are accepted also while it refuses others."""
    first_timeouts: dict[str, FirstTimeout] = attrs.Factory(dict)
    """Timeouts of clients' first attempts by route."""
    tenant_counts: TenantCounts = attrs.Factory(TenantCounts)

    def is_safe(self, request: Request) -> bool:
        """Return whether a request may run at the same time as others."""
        route = self._find_route(request)
        return route is None or route.idempotent

    def _find_parent(self, request_id: bytes) -> RunningCall | None:
        return self.dispatcher.gate.crash_tracker.find_parent(request_id)

    def refuse_head(self, request: Request) -> Response | None:
        """Return the response to a request that gets 401 whatever its body is."""
        if self.records.table.tenants is None:
            return None
        route = self._find_route(request)
        if route is None:
            return None
        parent = self._find_parent(request.find(header_names.ATTEMPT_ID) or b"")
        refusal = self._decide_tenancy(request, route, parent).refusal
        if refusal is None or refusal is Refusal.PARENT_GONE:
            return None
        return self._refuse_tenancy(refusal, request, route)

    async def serve(self, request: Request) -> Response:
        """Serve one request."""
        request_id = request.find(header_names.ATTEMPT_ID) or b""
        parent = self._find_parent(request_id)
        if parent is not None:
            parent.unsuccessful_calls += 1
            parent.has_made_calls = True
        response = await self._serve(request, parent)
        if parent is not None and 200 <= response.status < 300:
            parent.unsuccessful_calls -= 1
        return response

    async def _serve(self, request: Request, parent: RunningCall | None) -> Response:
        table = self.records.table
        if not table.version:
            self.counters.add("refused_not_ready")
            return self._refuse(START_RETRY_SECONDS)
        route = self._find_route(request)
        if route is None:
            self.counters.add("refused_no_route")
            log_line(
                "no-route",
                request=request.find(header_names.ATTEMPT_ID) or b"",
                path=request.path[:80],
                version=table.version,
            )
            return make_response(404)
        decision = self._decide_tenancy(request, route, parent)
        if decision.refusal is not None:
            return self._refuse_tenancy(decision.refusal, request, route)
        if not request.find(header_names.ATTEMPT_ID):
            self.counters.add("refused_no_id")
            return make_response(400)
        plan = self._make_plan(request, route, parent, decision)
        if not self.stop.accepts(plan.deadline) and not plan.call.is_nested:
            self.counters.add("refused_leaving")
            return self._refuse(LEAVING_RETRY_SECONDS)
        outcome = await self._run(plan)
        if parent is not None:
            refused = is_refused_for_load(
                outcome.arrivals, has_run=outcome.result.outcome != NOT_RUN
            )
            backpressure = self.dispatcher.gate.backpressure
            backpressure.note_call(parent.call.route, refused=refused)
        return self._respond(plan, route, outcome, request)

    def _find_route(self, request: Request) -> Route | None:
        host = request.find(b"host") or b""
        return self.records.table.match_request(host, request.path)

    def _decide_tenancy(
        self, request: Request, route: Route, parent: RunningCall | None
    ) -> Decision:
        tenants = self.records.table.tenants
        origin = read_origin(
            tenants,
            request.headers,
            get_parent_id(request.find(header_names.ATTEMPT_ID) or b""),
            (parent.call.tenant, parent.call.priority) if parent is not None else None,
        )
        return decide_tenancy(
            origin,
            route.priority,
            has_tenants=tenants is not None,
            is_public=route.is_public,
        )

    def _make_plan(
        self,
        request: Request,
        route: Route,
        parent: RunningCall | None,
        decision: Decision,
    ) -> CallPlan:
        # The client's time has been running since it began to send, also while the body
        # arrived and while the request waited behind others of its connection.
        now = request.started
        timeout = min(_read_timeout(request, route.timeout), route.timeout)
        service = route.choose_service(self.rng.random())
        has_tenants = self.records.table.tenants is not None
        request_id = request.find(header_names.ATTEMPT_ID)
        call = Call(
            number=0,
            request_id=request_id,
            attempt=0,
            method=request.method,
            path=request.path,
            headers=_filter_headers(request.headers, has_tenants=has_tenants),
            body=request.body,
            remaining_ms=0,
            soft_timeout_ms=0,
            route=route.name,
            priority=decision.priority,
            service=service,
            version="",
            caller=self.service,
            is_idempotent=route.idempotent,
            is_retry=False,
            may_have_run=False,
            is_nested=parent is not None,
            parent_is_retry=parent is not None and parent.call.is_retry,
            may_wait=True,
            tenant=decision.tenant,
        )
        if parent is not None:
            # A call has the soft deadline of the request that makes it.
            soft_deadline = parent.soft_deadline
        else:
            # A retry after a refusal keeps the soft deadline of the first attempt.
            elapsed = self._estimate_elapsed(route.name, timeout)
            soft_deadline = now + route.soft_timeout - elapsed
        return CallPlan(
            call,
            now + timeout,
            soft_deadline,
            route.max_attempts,
            lambda: self.moves.choose_version(service),
            lambda version: self.moves.get_fallback_version(service, version),
            route.soft_timeout or route.timeout,
        )

    def _estimate_elapsed(self, route: str, timeout: float) -> float:
        """Return the time for which a client has been trying before this request."""
        first_timeout = self.first_timeouts.setdefault(route, FirstTimeout())
        first_timeout.note(timeout)
        return first_timeout.compute_elapsed(timeout)

    async def _run(self, plan: CallPlan) -> Outcome:
        limit = plan.deadline - read_monotonic() + RESULT_GRACE_SECONDS
        try:
            async with asyncio.timeout(limit):
                return await self.dispatcher.run(plan)
        except TimeoutError:
            load = self.dispatcher.gate.get_load()
            result = Result(0, 2, load, code="timeout")
            return Outcome(result, 1, "")

    def _respond(
        self, plan: CallPlan, route: Route, outcome: Outcome, request: Request
    ) -> Response:
        result = outcome.result
        elapsed = read_monotonic() - request.started
        if result.outcome == ANSWERED:
            self.counters.add("answered")
            self.tenant_counts.add(plan.call.tenant, "answered")
            tenant = plan.call.tenant or NO_TENANT
            call_class = CallClass(plan.call.service, route.name, tenant)
            self.histograms.record(call_class, max(0.0, elapsed))
            uplink = self.dispatcher.gate.uplink
            if uplink is not None and not plan.call.is_nested:
                # The answers to calls of the own target stay on the host.
                uplink.charge(len(result.body))
            echoed = (header_names.ATTEMPT_ID, plan.call.request_id)
            return Response(result.status, [*result.headers, echoed], result.body)
        self.counters.add(f"failed_{result.code.replace('-', '_')}")
        kind = "refused" if result.outcome == NOT_RUN else "failed"
        self.tenant_counts.add(plan.call.tenant, kind)
        log_line(
            "call-failed",
            request=plan.call.request_id,
            route=route.name,
            service=plan.call.service,
            code=result.code,
            ran="no" if result.outcome == NOT_RUN else "unknown",
            arrivals=outcome.arrivals,
            target=outcome.target,
            refusals=outcome.refusals,
            leaving=self.stop.is_begun,
            version=self.records.table.version,
            left_ms=int((plan.deadline - read_monotonic()) * 1000),
        )
        if result.outcome == NOT_RUN:
            return self._refuse(result.retry_after_ms / 1000)
        return make_response(504 if result.code == "timeout" else 502)

    def _refuse_tenancy(
        self, refusal: Refusal, request: Request, route: Route
    ) -> Response:
        """Refuse a request that belongs to no tenant.

        The log limits the lines of each event; the counters are complete.
        """
        self.counters.add(f"refused_{refusal.value}")
        log_line(
            "tenant-unknown",
            request=request.find(header_names.ATTEMPT_ID) or b"",
            route=route.name,
            cause=refusal.value,
            version=self.records.table.version,
        )
        if refusal is Refusal.PARENT_GONE:
            return self._refuse(PARENT_GONE_RETRY_SECONDS)
        return make_response(401, headers=[CHALLENGE])

    def _refuse(self, retry_after: float) -> Response:
        seconds = retry_after * self.rng.uniform(*RETRY_JITTER)
        return make_response(503, headers=[(b"retry-after", f"{seconds:.3f}".encode())])


def _read_timeout(request: Request, default: float) -> float:
    limit_ms = header_names.read_milliseconds(request.find(header_names.DEADLINE_MS))
    return default if limit_ms is None else limit_ms / 1000


def _filter_headers(headers: Headers, *, has_tenants: bool) -> Headers:
    """Return the headers that are forwarded to the target."""
    dropped = _REPLACED_WITH_TENANTS if has_tenants else _REPLACED_HEADERS
    for name, value in headers:
        if name == b"connection":
            hop_by_hop = {part.strip().lower() for part in value.split(b",")}
            dropped = dropped | hop_by_hop
    return [pair for pair in headers if pair[0] not in dropped]
