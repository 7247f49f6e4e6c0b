"""Failures in separate processes: kills, freezes, silence, drains, outages."""

import signal
import threading
import time

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from cactusshed.tree.edit import parse_tree_file
from standins.caller import Load, Shot
from standins.fleet import open_fleet, wait_for
from standins.relay import Relay

TREE = """
[/]
timeout-ms = 4000
[/*/*/texts]
version = v1
[/*/*/texts/read]
prefix = /texts
[/*/*/responses]
version = v1
[/*/*/responses/submit]
prefix = /responses
methods = POST
"""
STORM_READS_PER_NODE = 2_000 * 7 / 1_300
"""A data centre of 1,300 nodes comes back within 7 s at 2,000 reads a second."""
EDITS = {path: dict(found) for path, found in parse_tree_file(TREE).items()}


@pytest.fixture
def relay():
    """Return a relay to put before a node's calls port."""
    relay = Relay()
    yield relay
    relay.close()


@pytest.fixture
def fleet(tmp_path):
    """Return a fleet with its platform started and nothing else."""
    with open_fleet(tmp_path) as fleet:
        yield fleet


def start_nodes(fleet, names, **options):
    """Start nodes named `CENTRE-NUMBER` and apply the tree."""
    for name in names:
        fleet.start_node(name, name.partition("-")[0], **options)
    fleet.wait_ready()
    wait_for("members", lambda: all(knows_all(fleet, name) for name in names))
    assert_that(fleet.submit(names[0], "first", EDITS, {}).status, Equals(200))
    wait_version(fleet, 1)


def knows_all(fleet, name):
    """Return whether a node knows every node of the fleet to be alive."""
    members = fleet.ask(name, "/v1/status")["members"]
    return sum(m["state"] == "alive" for m in members) == len(fleet.nodes)


def wait_version(fleet, number, *names):
    """Wait until the named nodes, or all, carry at least version `number`."""
    for name in names or fleet.nodes:
        wait_for(
            f"version {number} at {name}",
            lambda name=name: fleet.ask(name, "/v1/status")["number"] >= number,
        )


def start_call(fleet, node, path, body):
    """Send a submission in a thread; return the thread and its answer's place."""
    answers = []

    def send():
        answers.append(fleet.call(node, path, "POST", body))

    thread = threading.Thread(target=send)
    thread.start()
    return thread, answers


def count_running(fleet, target_node):
    """Return the calls that a node's targets run."""
    return fleet.read_metrics(target_node)["cactusshed_running"]


@pytest.mark.parametrize("victim", ["responses-1", "dakar-2"])
def test_kill_in_the_middle_of_a_submission(fleet, victim):
    """A target or its node dies mid-call: unknown is said, and one run at most."""
    start_nodes(fleet, ["dakar-1", "dakar-2"])
    fleet.start_target("responses-1", "dakar-2", "responses")
    fleet.wait_targets("dakar-1", "responses", 1)
    thread, answers = start_call(fleet, "dakar-1", "/responses?ms=1500", b"one")
    wait_for("running", lambda: count_running(fleet, "dakar-2") == 1)
    runs = fleet.read_runs("responses-1")
    fleet.processes[victim].kill()
    thread.join()
    assert_that(runs, Equals(["one"]))
    assert_that(answers[0].headers["cactusshed-run"], Equals("unknown"))
    assert_that(answers[0].status, Equals(502))


def test_kill_of_the_first_node(fleet):
    """The first node dies mid-call; the repeat with the same key is not run again."""
    start_nodes(fleet, ["dakar-1", "dakar-2", "dakar-3"])
    fleet.start_target("responses-1", "dakar-2", "responses")
    fleet.wait_targets("dakar-1", "responses", 1)
    fleet.wait_targets("dakar-3", "responses", 1)

    def send():
        with pytest.raises(Exception):  # noqa: B017, PT011
            fleet.call(
                "dakar-1", "/responses?ms=800", "POST", b"one", idempotency_key="k"
            )

    thread = threading.Thread(target=send)
    thread.start()
    wait_for("running", lambda: count_running(fleet, "dakar-2") == 1)
    fleet.processes["dakar-1"].kill()
    thread.join()
    again = fleet.call(
        "dakar-3", "/responses?ms=800", "POST", b"one", idempotency_key="k"
    )
    assert_that(again.status, Equals(409))
    assert_that(again.headers["cactusshed-run"], Equals("unknown"))
    assert_that(fleet.read_runs("responses-1"), Equals(["one"]))


def test_silent_connections_cost_no_submission(fleet, relay):
    """Open connections go silent; every call is answered all the same, and once."""
    fleet.start_node("dakar-2", "dakar", relay=relay)
    start_nodes(fleet, ["dakar-1"])
    fleet.start_target("responses-1", "dakar-2", "responses")
    fleet.start_target("texts-1", "dakar-2", "texts")
    fleet.wait_targets("dakar-1", "responses", 1)
    fleet.wait_targets("dakar-1", "texts", 1)
    for index in range(3):
        assert_that(fleet.call("dakar-1", "/texts/1").status, Equals(200))
        sent = fleet.call("dakar-1", "/responses", "POST", b"%d" % index)
        assert_that(sent.status, Equals(200))
        relay.silence()
    read = fleet.call("dakar-1", "/texts/1")
    sent = fleet.call("dakar-1", "/responses", "POST", b"last")
    assert_that((read.status, sent.status), Equals((200, 200)))
    runs = fleet.read_runs("responses-1")
    assert_that(sorted(runs), Equals(["0", "1", "2", "last"]))


def test_drains_and_stops_under_load_cut_nothing(fleet):
    """A target, then a node, stop by SIGTERM under load; no request is cut."""
    names = ["dakar-1", "dakar-2", "thies-1"]
    start_nodes(fleet, names)
    for index, name in enumerate(names):
        fleet.start_target(f"texts-{index}", name, "texts", "v1", "--ms=20")
    fleet.wait_targets("dakar-1", "texts", 3)
    urls = [fleet.nodes["dakar-1"].callers_url]
    with Load(urls, lambda _index: Shot("GET", "/texts/1"), 100) as load:
        time.sleep(2)
        assert_that(fleet.processes["texts-0"].stop(), Equals(0))
        time.sleep(1)
        assert_that(fleet.processes["dakar-2"].stop(), Equals(0))
        left = load.read_clock()
        time.sleep(3)
    statuses = {result.status for result in load.results}
    assert_that(statuses, Equals({200}))
    late = {r.target for r in load.results if r.at > left + 2.0}
    assert_that(late, Equals({"texts-2"}))


def test_stopping_first_node_cuts_nothing(fleet):
    """A node that serves callers stops by SIGTERM; answers name the end before it."""
    start_nodes(fleet, ["dakar-1"])
    fleet.start_target("texts-1", "dakar-1", "texts")
    fleet.wait_targets("dakar-1", "texts", 1)
    thread, answers = start_call(fleet, "dakar-1", "/texts?ms=1500", b"")
    wait_for("running", lambda: count_running(fleet, "dakar-1") == 1)
    status = fleet.processes["dakar-1"].stop()
    thread.join()
    assert_that((status, answers[0].status), Equals((0, 200)))
    assert_that(answers[0].headers.get("connection"), Equals("close"))


def test_withdrawal_and_return_under_load(fleet):
    """A data centre leaves and returns under load: nothing new there, no failure."""
    names = ["dakar-1", "dakar-2", "thies-1", "thies-2"]
    start_nodes(fleet, names)
    for index, name in enumerate(names):
        fleet.start_target(f"texts-{index}", name, "texts")
    fleet.wait_targets("dakar-1", "texts", 4)
    urls = [fleet.nodes[name].callers_url for name in names]
    with Load(urls, lambda _index: Shot("GET", "/texts/1"), 200) as load:
        time.sleep(4)
        edits = {"/sn-ouest/thies": {"withdrawn": "yes"}}
        accepted = fleet.submit("dakar-1", "withdraw", edits, {"/sn-ouest/thies": 0})
        left = load.read_clock()
        assert_that(accepted.status, Equals(200))
        fleet.set_fault("down")
        time.sleep(4)
        fleet.set_fault("up")
        back = load.read_clock()
        number = accepted.decode()["number"]
        edits = {"/sn-ouest/thies": {"withdrawn": "no"}}
        again = fleet.submit("dakar-1", "return", edits, {"/sn-ouest/thies": number})
        assert_that(again.status, Equals(200))
        time.sleep(3)
    results = load.results
    assert_that({result.status for result in results}, Equals({200}))
    away = {r.target for r in results if left + 2.0 < r.at < back}
    assert_that(away, Equals({"texts-0", "texts-1"}))
    after = {r.target for r in results if r.at > back + 2.0}
    assert_that(len(after), Equals(4))


def test_herd_restart_while_platform_is_down(fleet):
    """All nodes of a data centre die in an outage and recover from other nodes."""
    names = ["dakar-1", "dakar-2", "dakar-3", "thies-1"]
    fleet.start_node("thies-1", "thies")
    seed = f"127.0.0.1:{fleet.nodes['thies-1'].control}"
    start_nodes(fleet, names[:3], seeds=seed)
    fleet.start_target("texts-1", "thies-1", "texts")
    fleet.wait_targets("thies-1", "texts", 1)
    fleet.set_fault("down")
    for name in names[:3]:
        fleet.processes[name].kill()
    for name in names[:3]:
        fleet.processes[name].start()
    fleet.wait_ready(*names[:3], seconds=30)
    for name in names[:3]:
        assert_that(fleet.ask(name, "/v1/status")["number"], Equals(1))
        assert_that(fleet.call(name, "/texts/1").status, Equals(200))
    refused = fleet.submit("dakar-1", "late", {"/": {"slots": "3"}}, {"/": 1})
    assert_that(refused.decode()["code"], Equals("platform-unavailable"))
    fleet.set_fault("up")
    accepted = fleet.submit("dakar-1", "late", {"/": {"slots": "3"}}, {"/": 1})
    assert_that(accepted.decode()["number"], Equals(2))
    wait_version(fleet, 2)


def test_frozen_lease_holder_changes_nothing(fleet):
    """The holder of a move is frozen past its lease; another brings the move home."""
    names = ["dakar-1", "dakar-2", "thies-1"]
    start_nodes(fleet, names)
    for name in names[:2]:
        fleet.start_target(f"texts-a-{name}", name, "texts")
        fleet.start_target(f"texts-b-{name}", name, "texts", "v2")
    fleet.wait_targets("dakar-1", "texts", 4)
    wanted = {
        "version": "v1",
        "move-to": "v2",
        "move-by": f"{time.time() + 20:.3f}",
        "move-id": "m1",
    }
    answer = fleet.submit("dakar-1", "m1", {"/*/*/texts": wanted}, {"/*/*/texts": 1})
    assert_that(answer.status, Equals(200))
    holder = wait_holder(fleet, names)
    fleet.processes[holder].signal(signal.SIGSTOP)
    others = [name for name in names if name != holder]
    time.sleep(9)
    fleet.processes[holder].signal(signal.SIGCONT)
    wait_for("done", lambda: is_done(fleet, others[0]), 30)
    log = fleet.ask(others[0], "/v1/log?limit=100")
    steps = [e["edits"][0]["values"] for e in log if e["author"] == "move-duty"]
    shares = [float(step["share"]) for step in steps]
    assert_that(shares, Equals(sorted(shares)))
    assert_that([step["state"] for step in steps][-1], Equals("done"))
    assert_that(fleet.read_metrics(others[0])["cactusshed_version"], GreaterThan(3))


def is_done(fleet, name):
    """Return whether a node sees the one move done."""
    return fleet.ask(name, "/v1/status")["moves"][0]["state"] == "done"


def wait_holder(fleet, names):
    """Return the node that took a move's first step."""

    def find():
        return [n for n in names if '"cactusshed:move"' in read_log(fleet, n)]

    wait_for("a first step", find)
    return find()[0]


def read_log(fleet, name):
    """Return a node's log."""
    return fleet.processes[name].read_log()


def test_cold_target_gets_little(fleet):
    """A target that bears two calls while cold never sees more than that."""
    start_nodes(fleet, ["dakar-1"])
    cold = ("--cold-seconds=3", "--cold-ms=50", "--cold-bears=2")
    fleet.start_target("texts-1", "dakar-1", "texts")
    fleet.start_target("texts-2", "dakar-1", "texts", "v1", *cold)
    fleet.wait_targets("dakar-1", "texts", 2)
    urls = [fleet.nodes["dakar-1"].callers_url]
    with Load(urls, lambda _index: Shot("GET", "/texts/1"), 100) as load:
        time.sleep(4)
    counts = fleet.fetch_counts("texts-2")
    assert_that({result.status for result in load.results}, Equals({200}))
    assert_that(counts["overload"], Equals(0))
    assert_that(len(counts["runs"]), Equals(0))


def test_killer_request_is_refused(fleet):
    """A request that kills its target is refused before it has killed them all."""
    start_nodes(fleet, ["dakar-1", "dakar-2", "dakar-3", "dakar-4"])
    for index in range(4):
        fleet.start_target(f"texts-{index}", f"dakar-{index + 1}", "texts")
    fleet.wait_targets("dakar-1", "texts", 4)
    codes = []
    for _ in range(6):
        answer = fleet.call("dakar-1", "/texts/1?die=1")
        codes.append(answer.headers["cactusshed-code"])
    alive = [
        name
        for name in ("texts-0", "texts-1", "texts-2", "texts-3")
        if fleet.processes[name].popen.poll() is None
    ]
    assert_that(codes[-1], Equals("quarantined"))
    assert_that(len(alive), GreaterThan(1))
    assert_that(fleet.call("dakar-1", "/texts/1").status, Equals(200))


def test_reconnect_storm_is_bounded(fleet):
    """All nodes restart at once: the platform's reads suffice for a data centre."""
    names = [f"dakar-{index}" for index in range(10)]
    start_nodes(fleet, names)
    before = fleet.count_platform()["reads"]
    for name in names:
        fleet.processes[name].kill()
    for name in names:
        fleet.processes[name].start()
    fleet.wait_ready()
    wait_version(fleet, 1)
    reads = fleet.count_platform()["reads"] - before
    assert_that(reads, LessThan(len(names) * STORM_READS_PER_NODE))
