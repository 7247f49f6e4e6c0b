"""Security: TLS between nodes, wrong secrets, oversized and forged input."""

import grpc
import pytest
import trustme
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from cactusshed.wire import control_pb2 as pb
from cactusshed.wire.control_pb2_grpc import ControlStub
from standins.fleet import open_fleet
from standins.process import fetch, wait_for

from .fleets import EDITS, sees_all_alive


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    """Return two nodes connected over TLS, with a target and a configuration."""
    folder = tmp_path_factory.mktemp("tls")
    authority = trustme.CA()
    authority.cert_pem.write_to_path(str(folder / "ca.pem"))
    pair = authority.issue_cert("127.0.0.1")
    pair.private_key_pem.write_to_path(str(folder / "key.pem"))
    pair.cert_chain_pems[0].write_to_path(str(folder / "cert.pem"))
    names = ("ca", "key", "cert")
    extra = {f"tls-{name}": str(folder / f"{name}.pem") for name in names}
    with open_fleet(folder) as fleet:
        fleet.start_node("a", "dakar", extra=extra)
        fleet.start_node("b", "thies", extra=extra)
        fleet.start_target("texts-1", "b", "texts")
        fleet.wait_ready()
        wait_for("members", lambda: all(sees_all_alive(fleet, name) for name in "ab"))
        fleet.wait_targets("a", "texts", 1)
        assert_that(fleet.submit("a", "first", EDITS, {}).status, Equals(200))
        yield fleet


def test_calls_and_control_work_over_tls(fleet):
    """A call through a peer succeeds, and both nodes have the version."""
    wait_for("everywhere", lambda: fleet.get_json("b", "/v1/status")["number"] == 1)
    assert_that(fleet.call("a", "/texts/1").status, Equals(200))


def test_plain_connections_to_peers_are_refused(fleet):
    """Both ports for peers refuse connections without a certificate."""
    spec = fleet.nodes["a"]
    with pytest.raises(Exception):  # noqa: B017, PT011
        fetch("GET", f"http://127.0.0.1:{spec.calls_port}/texts", timeout=2.0)
    channel = grpc.insecure_channel(f"127.0.0.1:{spec.control_port}")
    with channel, pytest.raises(grpc.RpcError):
        ControlStub(channel).Summary(pb.SummaryRequest(), timeout=2.0)


def test_wrong_secret_on_control_is_refused(tmp_path):
    """A control call with a wrong secret is refused; the node stays ready."""
    with open_fleet(tmp_path) as fleet:
        spec = fleet.start_node("a", "dakar")
        fleet.wait_ready()
        channel = grpc.insecure_channel(f"127.0.0.1:{spec.control_port}")
        with channel, pytest.raises(grpc.RpcError) as caught:
            ControlStub(channel).Summary(
                pb.SummaryRequest(),
                metadata=(("cactusshed-secret", "wrong"),),
                timeout=2.0,
            )
        assert_that(caught.value.code(), Equals(grpc.StatusCode.UNAUTHENTICATED))
        refused = fleet.fetch_metrics("a")["cactusshed_control_refused_total"]
        assert_that(refused, GreaterThan(0))
        assert_that(fleet.is_ready("a"), Equals(True))


def test_oversized_bodies_are_refused(fleet):
    """A body over the limit is refused with a code by both HTTP listeners."""
    spec = fleet.nodes["a"]
    for url in (f"{spec.callers_url}/texts", f"{spec.operators_url}/announce"):
        answer = fetch("POST", url, body=b"x" * (9 << 20))
        assert_that(answer.status, Equals(413))
        assert_that(answer.decode()["code"], Equals("too-large"))
    assert_that(fleet.call("a", "/texts/1").status, Equals(200))


def test_callers_cannot_forge_internal_headers(fleet):
    """Internal headers from a caller are dropped, and bad depths are refused."""
    answer = fleet.call(
        "a",
        "/texts/1",
        cactusshed_secret="guess",  # noqa: S106
        cactusshed_target="texts-1",
        cactusshed_flags="iwa",
        cactusshed_call="forged",
    )
    assert_that(answer.status, Equals(200))
    answer = fleet.call("a", "/texts/1", cactusshed_depth="99")
    assert_that(answer.headers["cactusshed-code"], Equals("too-deep"))
    answer = fleet.call("a", "/texts/1", cactusshed_depth="x")
    assert_that(answer.headers["cactusshed-code"], Equals("malformed"))
