"""End-to-end path with separate processes: announce, accept a change, call."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from cactusshed.tree.edit import parse_tree_file
from standins.fleet import open_fleet
from standins.process import fetch, wait_for

from .conftest import BASIC


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    """Return a fleet of two nodes in two data centres, with targets and a tree."""
    with open_fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        fleet.start_node("a", "dakar")
        fleet.start_node("b", "thies")
        fleet.start_target("texts-1", "b", "texts")
        fleet.start_target("responses-1", "b", "responses")
        fleet.wait_ready()
        fleet.wait_targets("a", "texts", 1)
        fleet.wait_targets("a", "responses", 1)
        edits = {path: dict(found) for path, found in parse_tree_file(BASIC).items()}
        answer = fleet.submit("a", "first", edits, {})
        assert_that(answer.status, Equals(200))
        wait_for("version 1 everywhere", lambda: is_everywhere(fleet, 1))
        yield fleet


def is_everywhere(fleet, number):
    """Return whether all nodes report version `number` as applied everywhere."""
    statuses = [fleet.get_json(name, "/v1/status") for name in fleet.nodes]
    return all(s["everywhere"] and s["number"] == number for s in statuses)


def test_read_through_peer(fleet):
    """A node without a target of the service forwards a read to its peer."""
    answer = fleet.call("a", "/texts/1")
    assert_that((answer.status, answer.decode()["target"]), Equals((200, "texts-1")))
    assert_that(answer.headers["cactusshed-run"], Equals("answered"))
    assert_that(answer.header_names.count("content-length"), Equals(1))


def test_submission_with_key_runs_once(fleet):
    """A retried submission must get the recorded answer instead of running again."""
    first = fleet.call("a", "/responses", "POST", b"one", idempotency_key="k1")
    wait_for(
        "replayed",
        lambda: (
            "cactusshed-replayed"
            in fleet.call(
                "a", "/responses", "POST", b"one", idempotency_key="k1"
            ).headers
        ),
    )
    assert_that(first.status, Equals(200))
    assert_that(fleet.fetch_runs("responses-1").count("one"), Equals(1))


def test_key_with_other_body_is_refused(fleet):
    """An idempotency key reused for a different body is refused without a run."""
    fleet.call("a", "/responses", "POST", b"two", idempotency_key="k2")
    answer = fleet.call("a", "/responses", "POST", b"three", idempotency_key="k2")
    assert_that(answer.headers["cactusshed-code"], Equals("key-reused"))
    assert_that(fleet.fetch_runs("responses-1").count("three"), Equals(0))


def test_unknown_route_is_not_run(fleet):
    """A request that matches no route is refused with 404 and marked as not run."""
    answer = fleet.call("a", "/nothing")
    assert_that(answer.status, Equals(404))
    assert_that(answer.headers["cactusshed-run"], Equals("not-run"))


def test_large_answer_is_whole(fleet):
    """An answer of 3 MB, more than a node buffers, arrives complete."""
    answer = fleet.call("a", "/texts/1?size=3000000")
    assert_that(len(answer.decode()["fill"]), Equals(3_000_000))


def test_wrong_token_and_secret_are_refused(fleet):
    """Requests without the operators' token or the peers' secret are forbidden."""
    spec = fleet.nodes["a"]
    answer = fetch("GET", spec.operators_url + "/v1/status")
    assert_that((answer.status, answer.decode()["code"]), Equals((403, "forbidden")))
    answer = fetch("GET", f"http://127.0.0.1:{spec.calls_port}/texts/1")
    assert_that((answer.status, answer.decode()["code"]), Equals((403, "forbidden")))


def test_malformed_input_changes_nothing(fleet):
    """Malformed announcements and changes are refused with a code and not applied."""
    spec = fleet.nodes["a"]
    before = fleet.get_json("a", "/v1/status")["number"]
    for body in (b"", b"{", b'{"target": 1}'):
        answer = fetch("POST", spec.operators_url + "/announce", body=body)
        assert_that(answer.decode()["code"], Equals("malformed"))
    answer = fleet.submit("a", "bad", {"/": {"slots": "none"}}, {"/": 1})
    assert_that(answer.decode()["code"], Equals("invalid-tree"))
    assert_that(answer.decode()["message"], Contains("slots: 'none'"))
    assert_that(fleet.get_json("a", "/v1/status")["number"], Equals(before))
