"""Tests of the explanation of a choice, by nodes and by the operators' tool."""

import asyncio
import random
from contextlib import asynccontextmanager

import attrs
import msgspec
import pytest
from click.testing import CliRunner
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, LessThan

from cactusshed.control import EXIT_CODES, main
from cactusshed.explain.answers import parse_query, serve_explanation
from cactusshed.explain.messages import RouteExplanation
from cactusshed.mesh import dispatch
from cactusshed.mesh import sidecar as sidecar_module
from cactusshed.mesh.messages import Request
from cactusshed.mesh.moves import TrackedMove
from cactusshed.options import Address, BadOption
from cactusshed.policy.placement import (
    RISK_JITTER,
    Candidate,
    LoadView,
    RiskParts,
    assess_candidates,
    order_candidates,
)
from cactusshed.policy.rollout import (
    CLOSING,
    REVERTED,
    RUNNING,
    Move,
    choose_version,
    compute_version_shares,
)
from cactusshed.tool.routetable import WIDTH, render_route
from standins.meshfleet import HOST, MeshFleet, make_document, send_request, wait_for
from standins.ports import choose_port

from .meshes import run_async
from .tenantdocuments import KEYS, make_tenant_document

ROUTES = {"/read/": {}, "/write/": {"kind": "unsafe"}, "/other/": {"service": "b"}}


@asynccontextmanager
async def open_fleet(*names, document=None):
    """Yield a fleet with a configuration and its nodes, which serve `a`.

    The first letter of a name is that of its data centre.
    """
    fleet = await MeshFleet.open()
    document = document or make_document(1, ROUTES, ["a", "b"])
    fleet.store.put_json("op", "config", document)
    try:
        yield fleet, await fleet.start_connected(*names)
    finally:
        await fleet.close()


def ask(node, path="/read/x", query=""):
    """Return the status and body of a node's explanation; nothing else runs."""
    target = f"/explain?host={HOST}&path={path}{query}".encode()
    request = Request(b"GET", target, [], b"", 0.0, 0.0)
    answer = serve_explanation(node.sidecar.caller_handler, request)
    return answer.status, answer.body


def explain(node, path="/read/x", query=""):
    """Return the explanation of a node."""
    status, body = ask(node, path, query)
    assert_that(status, Equals(200))
    return msgspec.json.decode(body, type=RouteExplanation)


def get_targets(node, path="/read/x", query=""):
    """Return the explained targets of the only version of the only service."""
    (service,) = explain(node, path, query).services
    (version,) = service.versions
    return version.targets


def read_state(node):
    """Return what later requests at a node depend on, in a form that can be compared.

    Background tasks change some of it; a caller must not wait in between.
    """
    sidecar = node.sidecar
    handler = sidecar.caller_handler
    dispatcher = handler.dispatcher
    gate = sidecar.gate
    views = {name: m.view for name, m in sidecar.peers.members.items()}
    views["local"] = dispatcher.candidates.local_view
    return {
        "views": {name: attrs.asdict(view) for name, view in views.items()},
        "queue": {name: repr(value) for name, value in vars(gate.queue).items()},
        "cold": attrs.asdict(gate.cold),
        "rate_limit": attrs.asdict(gate.notices.rate_limit),
        "host_pace": attrs.asdict(gate.notices.host_pace),
        "uplink": attrs.asdict(gate.uplink),
        "backpressure": repr(gate.backpressure),
        "retry_budget": repr(gate.retry_budget),
        "close_reasons": dict(gate.close_reasons),
        "counters": list(sidecar.counters.list_all()),
        "baseline_latency": dict(dispatcher.baseline_latency),
        "answer_sizes": attrs.asdict(dispatcher.answer_sizes),
        "first_timeouts": repr(handler.first_timeouts),
        "moves": repr(handler.moves.tracked),
        "random": [
            rng.getstate() for rng in (dispatcher.rng, handler.rng, handler.moves.rng)
        ],
    }


def test_first_call_of_a_route_has_a_baseline(monkeypatch):
    """The baseline of a route without a measured latency was 0.

    Its first calls saw no wait at any target, however many requests ran there, and the
    explanation said the same. A third of the soft timeout is assumed.
    """
    baselines = []

    def order_and_note(options, baseline_latency, *rest):
        baselines.append(baseline_latency)
        return order_candidates(options, baseline_latency, *rest)

    monkeypatch.setattr(dispatch, "order_candidates", order_and_note)

    async def work():
        async with open_fleet("a1", "a2") as (_, (node, _other)):
            explained = explain(node).baseline_latency
            await node.request("/read/x")
            return explained

    explained = run_async(work)
    assert_that((explained, baselines[0]), Equals((0.3 / 3, 0.3 / 3)))


def test_explaining_changes_nothing():
    """A real request after it would otherwise see other loads or random numbers.

    The state is such that reading the gate's load changes it: a rate limit, a cold
    target and a link whose tokens are due, and calls sent since the last report.
    """

    async def work():
        async with open_fleet("a1", "a2", "b1") as (_, (node, *_others)):
            await node.request("/read/x")
            gate = node.sidecar.gate
            gate.notices.rate_limit.set_rate(20.0, 0.0)
            gate.notices.host_pace.note(1.5, 0.0)
            gate.cold.suspect_restart(0.0)
            gate.uplink.committed = 10_000
            gate.uplink.charge(90_000)
            candidates = node.sidecar.caller_handler.dispatcher.candidates
            candidates.local_view.sent_since_report = 3
            for member in node.sidecar.peers.members.values():
                member.view.sent_since_report = 2
            node.sidecar.caller_handler.moves.tracked["b"] = make_move(0.5)
            before = read_state(node)
            for path in ("/read/x", "/write/x", "/other/x", "/none"):
                explain(node, path, "&bytes=100000&method=POST")
            return before, read_state(node)

    before, after = run_async(work)
    for name, value in before.items():
        assert_that(after[name], Equals(value), name)


@pytest.mark.parametrize("best", ["a1", "a2", "b1"])
def test_first_target_of_the_explanation_gets_the_next_request(best):
    """An explanation by other rules than the choice's would mislead its reader."""

    async def work():
        async with open_fleet("a1", "a2", "b1") as (fleet, (node, *_)):
            candidates = node.sidecar.caller_handler.dispatcher.candidates
            views = {
                name: member.view for name, member in node.sidecar.peers.members.items()
            }
            views["a1"] = candidates.local_view
            for name, view in views.items():
                view.failure_rate = 0.0 if name == best else 0.9
            await wait_for(lambda: not any(t.is_cold for t in get_targets(node)))
            targets = get_targets(node)
            for _ in range(5):
                await node.request("/read/x")
            runs = {n.settings.node: n.target.runs.total() for n in fleet.nodes}
            return targets, runs

    targets, runs = run_async(work)
    assert_that(targets[0].node, Equals(best))
    assert_that([t.may_be_first for t in targets], Equals([True, False, False]))
    assert_that(runs, Equals({"a1": 0, "a2": 0, "b1": 0, best: 5}))


def test_targets_show_their_place_and_the_parts_of_their_risk():
    """Near and far targets would be confused, or a part of the risk left out."""

    async def work():
        async with open_fleet("a1", "a2", "b1") as (_, (node, *_others)):
            return explain(node, query="&bytes=20480")

    explanation = run_async(work)
    assert_that(explanation.route.name, Equals("r-read"))
    assert_that(explanation.route.is_idempotent, Equals(True))
    assert_that(explanation.route.soft_timeout, Equals(0.3))
    assert_that(explanation.version, Equals(1))
    targets = explanation.services[0].versions[0].targets
    assert_that([t.order for t in targets], Equals([1, 2, 3]))
    found = {t.node: t for t in targets}
    assert_that([found["a1"].is_local, found["a1"].is_far], Equals([True, False]))
    assert_that([found["a2"].is_local, found["a2"].is_far], Equals([False, False]))
    assert_that([found["b1"].is_far, found["b1"].risk.far], Equals([True, 0.3]))
    assert_that(found["b1"].transfer_seconds > 0, Equals(True))
    for target in targets:
        risk = target.risk
        parts = risk.late + risk.far + risk.cold + risk.delay
        assert_that(abs(parts - risk.risk), LessThan(1e-9))
        assert_that(target.slots, Equals(4))


def test_kinds_of_routes_are_shown():
    """An operator would take a request that runs at most once for one that repeats."""

    async def work():
        async with open_fleet("a1") as (_, (node,)):
            return explain(node, "/write/x").route

    assert_that(run_async(work).is_idempotent, Equals(False))


def test_a_request_without_a_route_is_explained():
    """The explanation must say that no route matches, not fail."""

    async def work():
        async with open_fleet("a1") as (_, (node,)):
            return explain(node, "/none/x")

    explanation = run_async(work)
    assert_that((explanation.route, explanation.services), Equals((None, [])))
    assert_that("\n".join(render_route(explanation)), Contains("no route"))


def test_a_service_without_an_open_target_is_explained():
    """The explanation must name the service that lacks targets, as the client gets 503.

    One service has no target at all, the other has one whose gate is closed.
    """

    async def work():
        async with open_fleet("a1") as (_, (node,)):
            node.sidecar.gate.set_close_reason("target-down", True)
            answers = [await node.request(p) for p in ("/other/x", "/read/x")]
            statuses = [answer.status for answer in answers]
            return statuses, explain(node, "/other/x"), explain(node)

    statuses, empty, closed = run_async(work)
    assert_that(statuses, Equals([503, 503]))
    assert_that(empty.services[0].service, Equals("b"))
    assert_that(empty.services[0].versions[0].targets, Equals([]))
    (target,) = closed.services[0].versions[0].targets
    assert_that(target.obstacle, Equals("target-down"))
    assert_that((target.order, target.risk), Equals((None, None)))
    for explanation in (empty, closed):
        text = "\n".join(render_route(explanation))
        assert_that(text, Contains("no open target: the client gets 503"))


def test_targets_of_an_evacuated_data_centre_are_not_eligible():
    """The targets must be listed with the evacuation as reason, not be left out."""

    async def work():
        async with open_fleet("a1", "b1", "b2") as (fleet, nodes):
            fleet.store.put_json("op", "evacuate/zone-b", {})
            await wait_for(lambda: all(n.sidecar.records.evacuated for n in nodes))
            return [(t.node, t.obstacle) for t in get_targets(nodes[0])], [
                t.obstacle for t in get_targets(nodes[1]) if t.is_local
            ]

    remote, local = run_async(work)
    assert_that(remote, Equals([("a1", ""), ("b1", "evacuated"), ("b2", "evacuated")]))
    assert_that(local, Equals(["evacuated"]))


def test_every_obstacle_is_named_and_excludes_the_target():
    """A wrong reason sends the operator to the wrong place."""

    async def work():
        async with open_fleet("a1", "a2") as (_, (node, _other)):
            member = node.sidecar.peers.members["a2"]
            state = member.state
            found = []
            for changes in (
                {"is_up": False},
                {"accepts_until": 0.0},
                {"state": msgspec.structs.replace(state, is_open=False)},
                {
                    "state": msgspec.structs.replace(
                        state, is_open=False, leave_acknowledged=True
                    )
                },
            ):
                before = {name: getattr(member, name) for name in changes}
                for name, value in changes.items():
                    setattr(member, name, value)
                found.append({t.node: t.obstacle for t in get_targets(node)})
                for name, value in before.items():
                    setattr(member, name, value)
            return found, {t.node: t.obstacle for t in get_targets(node)}

    found, at_last = run_async(work)
    obstacles = ("link-down", "leaving", "closed", "leaving")
    assert_that(found, Equals([{"a1": "", "a2": reason} for reason in obstacles]))
    assert_that(at_last, Equals({"a1": "", "a2": ""}))


def test_a_lost_link_is_shown():
    """The target of a killed node must be shown as unreachable, not disappear."""

    async def work():
        async with open_fleet("a1", "a2") as (_, (node, other)):
            await other.kill()
            await wait_for(lambda: not node.sidecar.peers.members["a2"].is_up)
            return {t.node: t.obstacle for t in get_targets(node)}

    assert_that(run_async(work), Equals({"a1": "", "a2": "link-down"}))


def test_all_services_of_a_split_are_explained():
    """Only one service of the split would be shown, or with wrong shares."""
    document = make_document(1, {"/read/": {}}, ["a", "b"])
    action = document["listeners"][0]["rules"][0]["action"]
    del action["service"]
    action["split"] = [
        {"service": "a", "weight": 3},
        {"service": "b", "weight": 1},
    ]

    async def work():
        async with open_fleet("a1", document=document) as (_, (node,)):
            return explain(node)

    explanation = run_async(work)
    shares = {s.service: (s.weight, s.share) for s in explanation.services}
    assert_that(shares, Equals({"a": (3.0, 0.75), "b": (1.0, 0.25)}))
    lengths = [len(s.versions[0].targets) for s in explanation.services]
    assert_that(lengths, Equals([1, 0]))
    assert_that(str(explanation.random), Contains("weights of the route"))


def make_move(share, state=RUNNING):
    """Return a move of service `a` from v1 to v2."""
    return TrackedMove(
        Move("a", "v2", "v1", 1, 1000.0, state=state, share=share), updated_at=0.0
    )


def test_versions_of_a_move_are_explained():
    """Targets of the other version must not be shown as eligible during a move."""

    async def work():
        async with open_fleet("a1") as (fleet, (node,)):
            other = await fleet.start("a2")
            await wait_for(other.is_reachable_and_ready)
            await other.announce(version="v2")
            await wait_for(lambda: fleet.are_all_connected([node, other]))
            node.sidecar.moves.tracked["a"] = make_move(0.25)
            return explain(node)

    explanation = run_async(work)
    (service,) = explanation.services
    found = {
        v.version: (v.share, v.fallback, {t.node: t.obstacle for t in v.targets})
        for v in service.versions
    }
    expected = {
        "v2": (0.25, "v1", {"a1": "other-version", "a2": ""}),
        "v1": (0.75, "", {"a1": "", "a2": "other-version"}),
    }
    assert_that(found, Equals(expected))
    assert_that(service.move, Equals(RUNNING))
    assert_that(str(explanation.random), Contains("shares of the move"))


@pytest.mark.parametrize("state", [RUNNING, CLOSING, REVERTED])
def test_version_shares_agree_with_the_choice(state, rng):
    """The shares of the explanation are computed apart from the choice."""
    move = Move("a", "v2", "v1", 1, 1000.0, state=state, share=0.25)
    chosen = [choose_version(move, 1.0, rng) for _ in range(4000)]
    shares = compute_version_shares(move, 1.0)
    assert_that(sum(shares.values()), Equals(1.0))
    for version in ("v1", "v2"):
        share = chosen.count(version) / len(chosen)
        assert_that(abs(share - shares.get(version, 0.0)), LessThan(0.04))


def test_tenants_are_explained_without_their_keys():
    """The metrics address must reveal neither keys nor tenants."""

    async def work():
        document = make_tenant_document(1)
        async with open_fleet("a1", document=document) as (_, (node,)):
            return [ask(node, path)[1] for path in ("/read/x", "/open/x")]

    bodies = run_async(work)
    decoded = [msgspec.json.decode(body, type=RouteExplanation) for body in bodies]
    found = [(e.has_tenants, e.needs_key, e.route.is_public) for e in decoded]
    assert_that(found, Equals([(True, True, False), (True, False, True)]))
    for body in bodies:
        for name, key in KEYS.items():
            assert_that(key.encode() in body or name.encode() in body, Equals(False))


@pytest.mark.parametrize(
    ("query", "message"),
    [
        ("path=/x", "host: '' is empty"),
        ("host=h&path=x", "path: 'x' does not start with /"),
        ("host=h&bytes=many", "bytes: 'many' is not a whole number"),
        ("host=h&bytes=-1", "bytes: -1 is outside"),
        ("host=h&method=G%20T", "method: 'G T' is not a method"),
        ("host=h&size=1", "'size' is not one of host, path, method, bytes"),
        ("host=h&host=i", "host: 'i' is a second value"),
    ],
)
def test_invalid_queries_are_refused_by_name_and_value(query, message):
    """A misspelt parameter that is ignored would explain another request."""
    with pytest.raises(BadOption) as caught:
        parse_query(query)
    assert_that(str(caught.value), Contains(message))


def make_candidates(rng):
    """Return candidates with various loads, places and paces."""
    candidates = []
    for number in range(20):
        view = LoadView()
        view.report(rng.randrange(12), 6, rng.uniform(0.05, 0.5), 99.5)
        view.failure_rate = rng.uniform(0.0, 0.2)
        view.host_pace.note(rng.choice((0.0, 0.8, 1.3)), 99.5)
        candidates.append(
            Candidate(
                f"n{number}",
                view,
                is_far=number % 2 == 0,
                is_cold=number % 5 == 0,
                transfer_seconds=0.01 * (number % 3),
                body_bytes=1000 * number,
                start_rate=10.0 * (number % 7 == 0),
            )
        )
    return candidates


def test_the_choice_orders_by_the_explained_risk(rng):
    """The order of the choice must be that of the parts' sum, raised at random.

    One random number for each candidate in turn: else a fixed seed chooses otherwise.
    """
    candidates = make_candidates(rng)
    assessed = assess_candidates(candidates, 0.2, 0.4, 100.0)
    parts = [RiskParts(*fields) for fields in assessed]
    for part in parts:
        total = part.late + part.far + part.cold + part.delay
        assert_that(part.risk, Equals(total))
    raised = random.Random(7)
    risks = [part.risk * (1 + RISK_JITTER * raised.random()) for part in parts]
    expected = sorted(range(len(risks)), key=risks.__getitem__)
    used = random.Random(7)
    ordered = order_candidates(candidates, 0.2, 0.4, 100.0, used)
    assert_that([c.name for _, c in ordered], Equals([f"n{n}" for n in expected]))
    assert_that([w for w, _ in ordered], Equals([parts[n].wait for n in expected]))
    assert_that(used.getstate(), Equals(raised.getstate()))


def test_lines_of_the_table_fit_the_width():
    """Long names and large figures would break the lines of a terminal."""

    async def work():
        async with open_fleet("a1", "b1") as (_, (node, _other)):
            return explain(node)

    explanation = run_async(work)
    (service,) = explanation.services
    (version,) = service.versions
    targets = [
        msgspec.structs.replace(
            target,
            node="sidecar-sn-ouest-data-centre-17",
            data_centre="sn-ouest-north",
            busy=100,
            sent_since_report=20,
            limit=100,
            mean_seconds=12.3456,
        )
        for target in version.targets
    ]
    closed = msgspec.structs.replace(
        targets[0], risk=None, order=None, obstacle="version-closed"
    )
    versions = [msgspec.structs.replace(version, targets=[*targets, closed])]
    services = [msgspec.structs.replace(service, versions=versions)] * 2
    wide = msgspec.structs.replace(
        explanation,
        services=services,
        request=msgspec.structs.replace(explanation.request, path="/x" * 200),
    )
    lines = list(render_route(wide))
    assert_that(max(map(len, lines)), LessThan(WIDTH + 1))
    rows = [line for line in lines if "data-centre-17" in line]
    assert_that(len(rows), Equals(2 * 3))


# The metrics address and the tool.


@pytest.fixture
def metrics_port(monkeypatch):
    """Return the port on which the first node of the test serves its metrics."""
    port = choose_port()
    monkeypatch.setattr(sidecar_module, "METRICS_PORT", port)
    return port


async def run_tool(*arguments):
    """Run the tool beside the nodes; return its exit status and output."""
    result = await asyncio.to_thread(CliRunner().invoke, main, arguments)
    return result.exit_code, result.output


def test_tool_prints_a_table_and_json(metrics_port):
    """The table must name the target, and both forms of --json print the same."""
    url = f"http://{HOST}:8080/read/x?y=1"

    async def work():
        async with open_fleet("a1"):
            command = ("explain-route", url, "--node", f"127.0.0.1:{metrics_port}")
            more = ("--method", "post", "--bytes", "5000")
            return (
                await run_tool(*command, *more),
                await run_tool(*command, *more, "--json"),
                await run_tool("--json", *command, *more),
            )

    table, *printed = run_async(work)
    assert_that(table[0], Equals(0), table[1])
    assert_that(table[1], Contains("service a: weight 1, 100.0% of the requests"))
    assert_that(table[1], Contains("POST shop.example/read/x, body 5000 bytes"))
    assert_that(table[1], Contains("1* a1 "))
    for status, output in printed:
        assert_that(status, Equals(0), output)
        found = msgspec.json.decode(output, type=RouteExplanation)
        assert_that(found.services[0].versions[0].targets[0].node, Equals("a1"))


def test_tool_reports_errors_as_other_commands_do(metrics_port):
    """A node without configuration or out of reach must end the tool with its status.

    Invalid values are named with their option.
    """
    url = f"http://{HOST}/read/x"

    async def work():
        fleet = await MeshFleet.open()
        try:
            node = await fleet.start("a1")
            await wait_for(lambda: node.sidecar.caller_handler is not None)
            address = f"127.0.0.1:{metrics_port}"
            await wait_for(lambda: is_listening(metrics_port))
            return [
                await run_tool("explain-route", *arguments)
                for arguments in (
                    (url, "--node", address),
                    (url, "--node", "127.0.0.1:1"),
                    (url, "--node", "h:x"),
                    ("shop/read", "--node", address),
                    (url, "--node", address, "--bytes", "-1"),
                    (url, "--node", address, "--method", "G T"),
                    (url,),
                )
            ]
        finally:
            await fleet.close()

    (
        (unready, unready_line),
        (unreachable, unreachable_line),
        *usage,
    ) = run_async(work)
    assert_that(unready, Equals(EXIT_CODES["not-ready"]), unready_line)
    assert_that(unready_line, Contains("not-ready: the node has no configuration yet"))
    assert_that(unreachable, Equals(EXIT_CODES["unreachable"]), unreachable_line)
    assert_that([status for status, _ in usage], Equals([2] * 5))
    expected = (
        "'--node': 'h:x' is not HOST:PORT",
        "'URL': 'shop/read' is not http://HOST/PATH",
        "'--bytes': -1 is not in the range",
        "'--method': 'G T' is not a method",
        "'--node'",
    )
    for (_, output), text in zip(usage, expected, strict=True):
        assert_that(output, Contains(text))


async def is_listening(port):
    """Return whether a port of loopback accepts connections."""
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
    except ConnectionRefusedError:
        return False
    writer.close()
    return True


def test_metrics_address_serves_both_pages_and_only_reads(metrics_port):
    """The explanation must not hide the metrics, nor be served to a POST."""

    async def work():
        async with open_fleet("a1"):
            address = Address("127.0.0.1", metrics_port)
            query = f"/explain?host={HOST}&path=/read/x"
            answers = [
                await send_request(address, method, path, {})
                for method, path in (
                    (b"GET", "/metrics"),
                    (b"GET", query),
                    (b"POST", query),
                    (b"GET", "/explain?host=h&bytes=x"),
                    (b"GET", "/explained"),
                )
            ]
            return [answer.status for answer in answers], answers[3].body

    statuses, body = run_async(work)
    assert_that(statuses, Equals([200, 200, 405, 400, 404]))
    assert_that(body, Contains(b"bytes: 'x' is not a whole number"))
