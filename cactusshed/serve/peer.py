"""The first node's side of a call to another node, and settling a lost one."""

import ssl
from collections.abc import Callable

import attrs

from ..clock import read_monotonic
from ..member.records import Member
from ..member.view import Endpoint
from ..observe.counters import Counters
from ..settings import Settings
from . import headers as names
from .connection import make_request
from .headers import find_header, keep_end_to_end, read_count, strip_own
from .links import AnswerMissing, Links, NotSent
from .messages import Answered, Call, Headers, NotRun, Outcome, Reply, Unknown

__all__ = ["REPORT_SECONDS", "Load", "PeerCaller"]

SETTLE_PATH = b"/settle"
MIN_SETTLE_SECONDS = 0.5
MAX_SETTLE_TRIES = 2
IDLE_PEER_SECONDS = 30.0
REPORT_SECONDS = 2.0
"""Age past which a load report counts no more."""


@attrs.define
class Load:
    """Last report of a target's load, and when it came."""

    busy: int
    limit: int
    at: float


@attrs.define
class PeerCaller:
    """Connections to the call ports of other nodes, and their last reports."""

    settings: Settings
    counters: Counters
    context: ssl.SSLContext | None = None
    make_links: Callable[..., Links] = Links
    loads: dict[str, Load] = attrs.Factory(dict)
    _links: dict[tuple[str, int], Links] = attrs.Factory(dict)

    def _get_links(self, member: Member) -> Links:
        # A restarted node gets new connections; those to its old life are dropped.
        key = (str(member.calls), member.incarnation)
        links = self._links.get(key)
        if links is None:
            links = self.make_links(member.calls, self.counters, self.context)
            self._links[key] = links
        return links

    async def retire(self, now: float) -> None:
        """Close idle connections, and drop peers and reports that are old."""
        self.loads = {
            name: load
            for name, load in self.loads.items()
            if now - load.at <= REPORT_SECONDS
        }
        for key, links in list(self._links.items()):
            await links.retire(now)
            if links.is_idle(now, IDLE_PEER_SECONDS):
                del self._links[key]

    async def call(self, call: Call, endpoint: Endpoint) -> Outcome:
        """Send `call` to the node of `endpoint` and return its outcome."""
        member = endpoint.member
        request = make_request(
            member.calls,
            call.method,
            call.path,
            [*self._make_headers(call, endpoint, call.deadline), *call.headers],
            call.body,
        )
        try:
            reply = await self._get_links(member).send(
                request,
                deadline=call.deadline,
                first_byte=call.rule.first_byte,
                once=not call.idempotent,
            )
        except NotSent:
            return NotRun("peer-unreachable")
        except AnswerMissing:
            return await self._settle(call, endpoint)
        if not _is_answer_to(call, reply):
            # The answer to another call: what became of this one is to be asked.
            self.counters.add("answers_crossed")
            await reply.close()
            return await self._settle(call, endpoint)
        return self._read_outcome(endpoint, reply)

    def get_load(self, name: str, now: float, max_age: float) -> Load | None:
        """Return the last report of a target, unless it is older than `max_age`."""
        load = self.loads.get(name)
        return load if load is not None and now - load.at <= max_age else None

    def _make_headers(self, call: Call, endpoint: Endpoint, deadline: float) -> Headers:
        left = max(1, int((deadline - read_monotonic()) * 1000))
        flags = ("i" if call.idempotent else "") + ("w" if call.may_wait else "")
        flags += "a" if call.alone else ""
        return [
            (names.SECRET, self.settings.secret.encode()),
            (names.CALL, call.call_id.encode()),
            (names.INCARNATION, str(endpoint.member.incarnation).encode()),
            (names.TARGET, endpoint.target.name.encode()),
            (names.SERVICE, call.service.encode()),
            (names.ROUTE, call.route.encode()),
            (names.CLASS, call.kind.encode()),
            (names.FLAGS, flags.encode()),
            (names.TIMEOUT_MS, str(left).encode()),
            (names.DEPTH, str(call.depth).encode()),
            (names.VERSION, str(call.version_number).encode()),
            (names.TENANT, call.tenant.encode()),
        ]

    def _read_outcome(self, endpoint: Endpoint, reply: Reply) -> Outcome:
        """Return the outcome in a peer's answer."""
        self._note_load(endpoint, find_header(reply.headers, names.LOAD))
        run = find_header(reply.headers, names.RUN)
        code = (find_header(reply.headers, names.CODE) or b"").decode()
        if run == b"not-run":
            return NotRun(code, read_count(reply.headers, names.RETRY_MS, 0) / 1000)
        if run != b"answered":
            return Unknown(code or "peer-failed")
        reply.headers = list(strip_own(keep_end_to_end(reply.headers)))
        return Answered(reply)

    def _note_load(self, endpoint: Endpoint, text: bytes | None) -> None:
        busy, _, limit = (text or b"").partition(b"/")
        if busy.isdigit() and limit.isdigit():
            now = read_monotonic()
            self.loads[endpoint.target.name] = Load(int(busy), int(limit), now)

    async def _settle(self, call: Call, endpoint: Endpoint) -> Outcome:
        """Ask the node what became of a call whose answer did not come."""
        self.counters.add("calls_settled")
        for _ in range(MAX_SETTLE_TRIES):
            deadline = max(call.deadline, read_monotonic() + MIN_SETTLE_SECONDS)
            outcome = await self._ask(call, endpoint, deadline)
            if outcome is not None:
                return outcome
        return Unknown("peer-died")

    async def _ask(
        self, call: Call, endpoint: Endpoint, deadline: float
    ) -> Outcome | None:
        member = endpoint.member
        headers = self._make_headers(call, endpoint, deadline)
        request = make_request(member.calls, "POST", SETTLE_PATH, headers, b"")
        # A connection of its own, since the known ones may be silent.
        links = self.make_links(member.calls, self.counters, self.context)
        try:
            reply = await links.send(
                request, deadline=deadline, first_byte=deadline, once=True
            )
        except (NotSent, AnswerMissing):
            return None
        finally:
            await links.aclose()
        if not _is_answer_to(call, reply):
            return None
        return self._read_outcome(endpoint, reply)


def _is_answer_to(call: Call, reply: Reply) -> bool:
    return find_header(reply.headers, names.CALL) == call.call_id.encode()
