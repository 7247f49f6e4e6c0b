"""Reported outcomes of calls against the runs that the targets recorded.

The first node (dispatch, claims, outcome queries) and the gates are real. The
connection pools between them drop, delay and mix up messages, and the targets
crash. An answered call must have run once and a refused one not at all. No
submission may run twice, whatever its outcome.
"""

import random
from collections.abc import Callable

import anyio
import attrs
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cactusshed.clock import read_monotonic
from cactusshed.member.announcements import LocalTarget, TargetRegistry
from cactusshed.member.records import Member, Target
from cactusshed.member.rumors import Rumors
from cactusshed.member.view import View
from cactusshed.observe.counters import Counters
from cactusshed.observe.tallies import Tallies
from cactusshed.options import Address
from cactusshed.policy.bans import Bans
from cactusshed.policy.quarantine import Quarantine
from cactusshed.serve.crashes import CrashTracker
from cactusshed.serve.disconnect import DisconnectWatcher
from cactusshed.serve.dispatch import Dispatcher
from cactusshed.serve.gates import Gates
from cactusshed.serve.headers import CALL, RUN
from cactusshed.serve.idempotency import IdempotencyGuard
from cactusshed.serve.messages import Answered, Call, NotRun, Reply
from cactusshed.serve.peerclient import PeerClient
from cactusshed.serve.peerserver import PeerApp
from cactusshed.serve.pool import AnswerMissing, NotSent
from cactusshed.settings import parse_settings
from cactusshed.spread.activeversion import ActiveVersion
from cactusshed.store.claimwriter import ClaimWriter
from cactusshed.tree.branch import build_tree
from cactusshed.tree.edit import Edit, make_change

from .fakes import FakePort
from .test_settings import GOOD

NODES = 3
HOP_FAULTS = ["ok"] * 3 + ["unsent", "drop", "late", "unanswered", "crash", "crossed"]
TARGET_FAULTS = ["ok", "ok", "ok", "unsent", "die-before", "die-after"]
COMMIT_FAULTS = ["ok", "ok", "lost", "hang", "down"]


class FakeMesh:
    """Three nodes with one target each, and a fourth that receives the calls."""

    def __init__(self, hops, targets, commits):
        """Set the faults of the next hops, target exchanges and commits."""
        self.hops, self.exchanges = list(hops), list(targets)
        self.runs: list[bytes] = []
        self.late: list[Callable] = []
        self.nodes = {}
        self.counters = Counters()
        self.port = FakePort()
        self.port.faults = list(commits)
        self.view = View(make_member("first", 9), lambda _member: None)
        self.current = make_current()
        for index in range(NODES):
            self.start_node(index, incarnation=1)

    def start_node(self, index, incarnation):
        """Start a node, or restart it after a crash."""
        member = make_member(f"n{index}", index + 1, incarnation, f"t{index}")
        self.view.merge(member, 0.0)
        targets = TargetRegistry(1e9, lambda _targets: None)
        gates = Gates(
            targets,
            self.current,
            self.counters,
            Tallies(),
            lambda _call: None,
            "d",
            member.node,
            make_pool=lambda *_arguments: TargetPool(self),
        )
        local = LocalTarget(
            f"t{index}", "s", "v1", Address("127.0.0.1", 1), 5, "i", "ready", 0, 0.0
        )
        targets._by_name[local.name] = local
        gates.apply_announcement(local)
        app = PeerApp(
            gates, self.counters, "", incarnation, 1 << 20, DisconnectWatcher()
        )
        self.nodes[index + 1] = (app, incarnation)

    def make_first_node(self):
        """Return the parts of the node that receives the calls."""
        peer_client = PeerClient(
            parse_settings(GOOD),
            self.counters,
            make_pool=lambda address, *_arguments: PeerPool(self, address),
        )
        gates = Gates(
            TargetRegistry(1.0, lambda _targets: None),
            self.current,
            self.counters,
            Tallies(),
            lambda _call: None,
            "d",
            "first",
        )
        dispatcher = Dispatcher(
            self.view,
            self.current,
            gates,
            peer_client,
            self.counters,
            CrashTracker(Quarantine(), Rumors(lambda: 1), self.counters),
            Bans(),
            random.Random(1),
        )
        claims = ClaimWriter(self.port, "first", 10_000, self.counters)
        return dispatcher, claims, IdempotencyGuard(claims, self.counters)


def make_member(name, port, incarnation=1, target=""):
    """Return a live member that is identified by its calls port."""
    targets = (Target(target, "s", "v1", 5, True),) if target else ()
    return Member(name, "r", "d", "127.0.0.1", port, port, incarnation, targets=targets)


def make_current():
    """Return a configuration with one non-idempotent route."""
    current = ActiveVersion("r", "d", Counters())
    edits = [Edit("/*/*/s", {"version": "v1"}), Edit("/*/*/s/r", {"prefix": "/s"})]
    change, tree = make_change(build_tree(0, ()), "c", "t", 0.0, edits)
    current.swap(tree, [change])
    return current


class TargetPool:
    """Pool for a target that may crash before or after it runs a request."""

    def __init__(self, mesh):
        """Use the faults of `mesh`."""
        self.mesh = mesh

    async def send(self, request, **_limits):
        """Run one request on the target."""
        faults = self.mesh.exchanges
        fault = faults.pop(0) if faults else "ok"
        if fault == "unsent":
            raise NotSent("refused")
        if fault != "die-before":
            self.mesh.runs.append(await read_stream(request))
        if fault != "ok":
            raise AnswerMissing("died", peer="t", timed_out=False)
        return Reply(200, [], b"done")


class PeerPool:
    """Pool for a node behind a network that loses and delays messages."""

    def __init__(self, mesh, address):
        """Connect to the node at `address`."""
        self.mesh = mesh
        self.port = address.port

    async def aclose(self):
        """Close nothing."""

    async def send(self, request, **_limits):
        """Deliver one request to the node, subject to the next fault."""
        faults = self.mesh.hops
        fault = faults.pop(0) if faults else "ok"
        app, incarnation = self.mesh.nodes[self.port]
        if fault == "unsent":
            raise NotSent("refused")
        if fault == "late":
            self.mesh.late.append(lambda: serve_request(self._get_app(), request))
        if fault == "unanswered" or fault == "crash":
            await serve_request(app, request)
        if fault == "crash":
            self.mesh.start_node(self.port - 1, incarnation + 1)
        if fault not in ("ok", "crossed"):
            raise AnswerMissing(fault, peer="n", timed_out=False)
        if fault == "crossed":
            # The request is lost, and the response to another call arrives.
            headers = [(CALL, b"another-call"), (RUN, b"answered")]
            return Reply(200, headers, b"not yours")
        return await serve_request(app, request)

    def _get_app(self):
        return self.mesh.nodes[self.port][0]


async def read_stream(request):
    """Return the body of a request."""
    return b"".join([chunk async for chunk in request.stream])


async def serve_request(app, request):
    """Serve a request with an ASGI application and return the reply."""
    body = await read_stream(request)
    sent = []
    scope = {
        "type": "http",
        "method": request.method.decode(),
        "path": request.url.target.decode(),
        "raw_path": request.url.target,
        "query_string": b"",
        "headers": [(key.lower(), value) for key, value in request.headers],
    }

    async def receive():
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(event):
        sent.append(event)

    await app(scope, receive, send)
    headers = list(sent[0]["headers"])
    return Reply(sent[0]["status"], headers, sent[1].get("body", b""))


def make_call(mesh, number, key=""):
    """Return a non-idempotent call."""
    table = mesh.current.table
    return Call(
        call_id=f"call-{number}",
        method="POST",
        path=b"/s",
        headers=[],
        body=f"body-{key or number}".encode(),
        deadline=read_monotonic() + 5.0,
        depth=0,
        tenant="t",
        service="s",
        route="r",
        traffic_class="normal",
        idempotent=False,
        key=key,
        route_settings=table.routes[0],
    )


async def run_calls(mesh, calls):
    """Run calls one after the other and return their outcomes."""
    dispatcher, claims, idempotency_guard = mesh.make_first_node()
    outcomes = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(claims.run)
        for call in calls:
            call = attrs.evolve(call, deadline=read_monotonic() + 0.5)
            outcomes.append(await idempotency_guard.run(call, dispatcher.run))
            while mesh.late and mesh.hops[:1] != ["late"]:
                await mesh.late.pop()()
        while mesh.late:
            await mesh.late.pop()()
        tasks.cancel_scope.cancel()
    return outcomes


FAULT_LISTS = {
    "hops": st.lists(st.sampled_from(HOP_FAULTS), max_size=10),
    "targets": st.lists(st.sampled_from(TARGET_FAULTS), max_size=5),
}
SLOW = [HealthCheck.too_slow]


@given(**FAULT_LISTS)
@settings(max_examples=400, deadline=None, derandomize=True, suppress_health_check=SLOW)
def test_outcomes_match_runs(hops, targets):
    """Each submission runs at most once, and its outcome matches its runs."""
    mesh = FakeMesh(hops, targets, [])
    calls = [make_call(mesh, number) for number in range(3)]
    outcomes = anyio.run(run_calls, mesh, calls)
    for call, outcome in zip(calls, outcomes, strict=True):
        runs = mesh.runs.count(call.body)
        assert runs <= 1
        if isinstance(outcome, Answered):
            assert runs == 1
        if isinstance(outcome, NotRun):
            assert runs == 0


async def run_many(mesh, count):
    """Run keyed submissions concurrently, twice; return all outcomes in order."""
    dispatcher, claims, idempotency_guard = mesh.make_first_node()
    outcomes = {}

    async def run(number):
        call = make_call(mesh, number, f"key-{number % count}")
        outcomes[number] = await idempotency_guard.run(call, dispatcher.run)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(claims.run)
        for first in (0, count):
            async with anyio.create_task_group() as calls:
                for number in range(first, first + count):
                    calls.start_soon(run, number)
            await anyio.sleep(0.1)
        tasks.cancel_scope.cancel()
    return [outcomes[number] for number in range(2 * count)]


def test_claims_and_outcomes_are_batched():
    """Concurrent submissions share a few writes, and retries are replayed.

    The table allows several hundred writes per second for the whole fleet.
    """
    count = 10
    mesh = FakeMesh([], [], [])
    mesh.port.store.writes = 0
    outcomes = anyio.run(run_many, mesh, count)
    assert all(isinstance(outcome, Answered) for outcome in outcomes)
    assert [outcome.replayed for outcome in outcomes] == [False] * count + [
        True
    ] * count
    assert len(mesh.runs) == count
    # Claims, outcomes and the retries' claims: one batch each, or two if split.
    assert mesh.port.store.writes <= 6


@given(
    commits=st.lists(st.sampled_from(COMMIT_FAULTS), max_size=6),
    **FAULT_LISTS,
)
@settings(max_examples=120, deadline=None, derandomize=True, suppress_health_check=SLOW)
def test_keyed_submission_runs_at_most_once(hops, targets, commits):
    """A submission that is resent with its key runs at most once."""
    mesh = FakeMesh(hops, targets, commits)
    calls = [make_call(mesh, number, "key") for number in range(4)]
    outcomes = anyio.run(run_calls, mesh, calls)
    assert len(mesh.runs) <= 1
    if any(isinstance(outcome, Answered) for outcome in outcomes):
        assert len(mesh.runs) == 1
