"""Client for calls to other nodes, and for the outcomes of calls left unanswered."""

import ssl
from collections.abc import Callable

import attrs

from ..clock import read_monotonic
from ..member.records import Member
from ..member.view import Endpoint
from ..observe.counters import Counters
from ..settings import Settings
from . import headers as header_names
from .connection import make_request
from .headers import filter_end_to_end, find_header, read_count, strip_internal_headers
from .messages import (
    STILL_RUNNING,
    Answered,
    Call,
    Headers,
    NotRun,
    Outcome,
    Reply,
    Unknown,
)
from .pool import AnswerMissing, ConnectionPool, NotSent

__all__ = ["MAX_REPORT_AGE_SECONDS", "Load", "PeerClient"]

OUTCOME_PATH = b"/settle"
MIN_QUERY_SECONDS = 0.5
"""Minimum time for an outcome query, even past the deadline of the call."""
MAX_QUERY_ATTEMPTS = 2
MAX_IDLE_SECONDS = 30.0
"""Time without calls after which the connection pool of a peer is dropped."""
MAX_REPORT_AGE_SECONDS = 2.0
"""Age in seconds after which a load report is ignored."""


@attrs.define
class Load:
    """A report of a target's load; `busy` counts running and queued calls."""

    busy: int
    limit: int
    received_at: float


@attrs.define
class PeerClient:
    """Connection pools to other nodes, and the load reports in their responses."""

    settings: Settings
    counters: Counters
    context: ssl.SSLContext | None = None
    make_pool: Callable[..., ConnectionPool] = ConnectionPool
    loads: dict[str, Load] = attrs.Factory(dict)
    _pools: dict[tuple[str, int], ConnectionPool] = attrs.Factory(dict)

    def _get_pool(self, member: Member) -> ConnectionPool:
        # A restarted node gets a new pool; that of its old incarnation expires.
        key = (str(member.calls_address), member.incarnation)
        pool = self._pools.get(key)
        if pool is None:
            pool = self.make_pool(member.calls_address, self.counters, self.context)
            self._pools[key] = pool
        return pool

    async def close_idle(self, now: float) -> None:
        """Close idle connections, and drop unused pools and outdated reports."""
        self.loads = {
            name: load
            for name, load in self.loads.items()
            if now - load.received_at <= MAX_REPORT_AGE_SECONDS
        }
        for key, pool in list(self._pools.items()):
            await pool.close_idle(now)
            if pool.is_idle(now, MAX_IDLE_SECONDS):
                del self._pools[key]

    async def call(self, call: Call, endpoint: Endpoint) -> Outcome:
        """Send `call` to the node of `endpoint` and return its outcome."""
        member = endpoint.member

        async def is_running() -> bool:
            outcome = await self._query_outcome(call, endpoint, call.deadline)
            return outcome == Unknown(STILL_RUNNING)

        request = make_request(
            member.calls_address,
            call.method,
            call.path,
            [*self._make_headers(call, endpoint, call.deadline), *call.headers],
            call.body,
        )
        try:
            reply = await self._get_pool(member).send(
                request,
                deadline=call.deadline,
                first_byte_timeout=call.route_settings.first_byte_timeout,
                recent_only=not call.idempotent,
                # The answers of others are kept, and queried once they have ended.
                is_running=is_running if call.idempotent else None,
            )
        except NotSent:
            return NotRun("peer-unreachable")
        except AnswerMissing:
            return await self._resolve_outcome(call, endpoint)
        if not _is_response_to(call, reply):
            # This is the response to another call; query the outcome of this one.
            self.counters.add("answers_crossed")
            await reply.close()
            return await self._resolve_outcome(call, endpoint)
        return self._read_outcome(endpoint, reply)

    def get_load(self, name: str, now: float, max_age: float) -> Load | None:
        """Return the last load report of a target if it is within `max_age`."""
        load = self.loads.get(name)
        return load if load is not None and now - load.received_at <= max_age else None

    def _make_headers(self, call: Call, endpoint: Endpoint, deadline: float) -> Headers:
        remaining_ms = max(1, int((deadline - read_monotonic()) * 1000))
        flags = ("i" if call.idempotent else "") + ("w" if call.may_wait else "")
        flags += "a" if call.alone else ""
        return [
            (header_names.SECRET, self.settings.secret.encode()),
            (header_names.CALL, call.call_id.encode()),
            (header_names.INCARNATION, str(endpoint.member.incarnation).encode()),
            (header_names.TARGET, endpoint.target.name.encode()),
            (header_names.SERVICE, call.service.encode()),
            (header_names.ROUTE, call.route.encode()),
            (header_names.CLASS, call.traffic_class.encode()),
            (header_names.FLAGS, flags.encode()),
            (header_names.TIMEOUT_MS, str(remaining_ms).encode()),
            (header_names.DEPTH, str(call.depth).encode()),
            (header_names.VERSION, str(call.version_number).encode()),
            (header_names.TENANT, call.tenant.encode()),
        ]

    def _read_outcome(self, endpoint: Endpoint, reply: Reply) -> Outcome:
        """Return the outcome in a peer's response."""
        self._record_load(endpoint, find_header(reply.headers, header_names.LOAD))
        run = find_header(reply.headers, header_names.RUN)
        code = (find_header(reply.headers, header_names.CODE) or b"").decode()
        if run == b"not-run":
            return NotRun(
                code, read_count(reply.headers, header_names.RETRY_MS, 0) / 1000
            )
        if run != b"answered":
            return Unknown(code or "peer-failed")
        reply.headers = list(strip_internal_headers(filter_end_to_end(reply.headers)))
        return Answered(reply)

    def _record_load(self, endpoint: Endpoint, text: bytes | None) -> None:
        busy, _, limit = (text or b"").partition(b"/")
        if busy.isdigit() and limit.isdigit():
            now = read_monotonic()
            self.loads[endpoint.target.name] = Load(int(busy), int(limit), now)

    async def _resolve_outcome(self, call: Call, endpoint: Endpoint) -> Outcome:
        """Query the target's node for the outcome of a call without a response."""
        self.counters.add("calls_settled")
        for _ in range(MAX_QUERY_ATTEMPTS):
            deadline = max(call.deadline, read_monotonic() + MIN_QUERY_SECONDS)
            outcome = await self._query_outcome(call, endpoint, deadline)
            if outcome is not None:
                return outcome
        return Unknown("peer-died")

    async def _query_outcome(
        self, call: Call, endpoint: Endpoint, deadline: float
    ) -> Outcome | None:
        member = endpoint.member
        headers = self._make_headers(call, endpoint, deadline)
        request = make_request(member.calls_address, "POST", OUTCOME_PATH, headers, b"")
        # A new connection is used, since the pooled ones may be silently broken.
        pool = self.make_pool(member.calls_address, self.counters, self.context)
        try:
            reply = await pool.send(
                request,
                deadline=deadline,
                first_byte_timeout=deadline,
                recent_only=True,
            )
        except (NotSent, AnswerMissing):
            return None
        finally:
            await pool.aclose()
        if not _is_response_to(call, reply):
            return None
        return self._read_outcome(endpoint, reply)


def _is_response_to(call: Call, reply: Reply) -> bool:
    return find_header(reply.headers, header_names.CALL) == call.call_id.encode()
