"""What the store accepts is in force: documents meet no limits of this system."""

import copy
import json

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from cactusshed.mesh.change import decode_change, encode_change
from cactusshed.mesh.probes import ProbeHandler
from cactusshed.mesh.records import Records
from cactusshed.mesh.table import EMPTY_TABLE
from cactusshed.mesh.targetclient import request_health
from cactusshed.mesh.upstream import Answer
from cactusshed.observe.counters import Counters
from cactusshed.platform.announcements import decode_announcement
from cactusshed.platform.document import decode_move, decode_table
from cactusshed.platform.storedrows import read_rows
from cactusshed.store.rowtypes import StoredRow
from standins.meshfleet import MeshFleet, make_document, wait_for

from .meshes import run_async

LONG = "x" * 235
UNPRINTABLE = "caf\u00e9\u00a0\u200b\n"
RULE = ("listeners", 0, "rules", 0)
CLUSTER = ("clusters", 0)
TEXT_FIELDS = [
    (*RULE, "name"),
    (*RULE, "kind"),
    (*RULE, "match", "prefix"),
    (*RULE, "action", "service"),
    ("listeners", 0, "host"),
    (*CLUSTER, "name"),
    (*CLUSTER, "health_path"),
]
NUMBER_FIELDS = [
    (*RULE, "priority"),
    (*RULE, "action", "attempts"),
    (*CLUSTER, "max_conns"),
    (*CLUSTER, "cold_per_s"),
    ("limits", "max_header_bytes"),
    ("limits", "max_body_bytes"),
]
DURATION_FIELDS = [
    (*RULE, "target_latency"),
    (*RULE, "action", "timeout"),
    (*CLUSTER, "cold_start"),
    ("limits", "header_timeout"),
    ("limits", "idle_timeout"),
]
OPTIONAL_FIELDS = [
    (*RULE, "name"),
    (*RULE, "kind"),
    (*CLUSTER, "health_path"),
    *NUMBER_FIELDS,
    *DURATION_FIELDS,
    ("limits",),
]


def change_field(path, value):
    """Return a document in which the field at `path` is `value`."""
    document = copy.deepcopy(make_document(8, {"/read/": {}}, ["a"]))
    parent = document
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    return json.dumps(document).encode()


def decode_and_send(data):
    """Return the table of a document after it was sent to another node."""
    table = decode_table(data)
    change = encode_change(table, 0, None)
    encoded = msgspec.msgpack.encode(change)
    return decode_change(msgspec.msgpack.decode(encoded, type=type(change)), table)


def make_rows(data, version):
    """Return the operator's rows with one configuration."""
    return [StoredRow("op", "config", data, version)]


@pytest.mark.parametrize("text", [LONG, UNPRINTABLE])
@pytest.mark.parametrize("path", TEXT_FIELDS)
def test_long_or_unprintable_text_keeps_no_version_out_of_force(path, text):
    """One text of over 200 characters refused the whole version for good."""
    assert_that(decode_and_send(change_field(path, text)).version, Equals(8))


def test_split_among_services_with_long_names_is_applied():
    """The name of a service in a split met the same limit as that of a route."""
    split = [{"service": LONG, "weight": 1}, {"service": "a", "weight": 2**70}]
    data = change_field((*RULE, "action"), {"split": split, "timeout": "1s"})
    route = decode_and_send(data).find_route("shop.example", "/read/x")
    assert_that(route.choose_service(0.0), Equals(LONG))


@pytest.mark.parametrize("path", NUMBER_FIELDS)
def test_large_number_keeps_no_version_out_of_force(path):
    """A number above what JSON represents exactly refused the whole version."""
    assert_that(decode_and_send(change_field(path, 2**70)).version, Equals(8))


@pytest.mark.parametrize("path", DURATION_FIELDS)
def test_long_duration_keeps_no_version_out_of_force(path):
    """A duration of over 30 years refused the whole version."""
    assert_that(decode_and_send(change_field(path, "5000000000s")).version, Equals(8))


@pytest.mark.parametrize("value", [[], {}, False, -1, 1.5, "", "?"])
@pytest.mark.parametrize("path", OPTIONAL_FIELDS)
def test_unreadable_optional_field_keeps_no_version_out_of_force(path, value):
    """One optional field of another type refused the whole version."""
    assert_that(decode_and_send(change_field(path, value)).version, Equals(8))


def test_unreadable_optional_field_has_its_default():
    """A request on a route of unreadable kind and attempts must not run twice."""
    for path in ((*RULE, "kind"), (*RULE, "action", "attempts")):
        table = decode_table(change_field(path, []))
        route = table.find_route("shop.example", "/read/x")
        assert_that(route.idempotent and route.max_attempts > 1, Equals(False))


def test_order_to_move_to_a_version_with_a_long_name_is_read():
    """A move to a version whose name has over 200 characters was never begun."""
    order = {"service": "a", "to": LONG, "duration": "5000000000s"}
    assert_that(decode_move(json.dumps(order).encode()).to, Equals(LONG))


def test_heartbeat_with_long_names_is_taken():
    """A target of a service or version with a long name got no requests."""
    heartbeat = {
        "service": LONG,
        "version": LONG,
        "address": "10.0.0.1:80",
        "slots": 4,
        "state": "ready",
        "cold_left": "0ms",
        "seq": 1,
        "born": 1000,
    }
    announcement = decode_announcement("i-1", json.dumps(heartbeat).encode())
    assert_that(announcement.version, Equals(LONG))


def test_row_with_an_unprintable_key_is_read():
    """An evacuation of a data centre with such a name was not followed."""
    row = {"table": "op", "part": "", "key": "evacuate/z\u00a0a", "value": "", "ver": 3}
    assert_that(list(read_rows([row], Counters())), HasLength(1))


def test_refused_version_is_shown_until_another_is_in_force():
    """A log line at the time of the change was the only sign of a refused version."""
    records = Records(Counters(), lambda: None, lambda _base: None)
    records.apply_changes(make_rows(change_field(("clusters",), 7), 1), 1)
    assert_that((records.count_refused(), records.table), Equals((1, EMPTY_TABLE)))
    records.apply_changes(make_rows(change_field(("version",), 9), 2), 2)
    assert_that((records.count_refused(), records.table.version), Equals((0, 9)))


def test_health_path_is_sent_as_one_request():
    """A line break in a path must not add a request to the connection."""

    async def work():
        sent = []

        class Upstream:
            async def exchange(self, data):
                sent.append(data)
                return Answer(200, [(b"x-instance-id", b"i-1")], b"")

        class Pool:
            address = "10.0.0.1:80"

            async def acquire(self, *, requires_fresh):
                return Upstream()

            def release(self, upstream):
                pass

        await request_health(Pool(), "/a b\r\n\r\nGET /\u00e9?x=%20")
        return sent[0].split(b" HTTP/1.1")[0]

    expected = b"GET /a%20b%0D%0A%0D%0AGET%20/%C3%A9?x=%20"
    assert_that(run_async(work), Equals(expected))


def test_version_with_a_long_prefix_is_in_force_on_all_nodes():
    """A prefix of 235 characters kept a version out of force on every node."""

    async def work():
        fleet = await MeshFleet.open()
        try:
            fleet.store.put_json("op", "config", make_document(1, {"/a/": {}}, ["a"]))
            nodes = await fleet.start_connected("n1", "n2")
            prefix = "/" + "consultation-2026/" * 13
            routes = {"/a/": {}, prefix: {}}
            fleet.store.put_json("op", "config", make_document(2, routes, ["a"]))
            await wait_for(
                lambda: all(n.sidecar.records.table.version == 2 for n in nodes)
            )
            answers = [await node.request(f"{prefix}1") for node in nodes]
            return [answer.status for answer in answers]
        finally:
            await fleet.close()

    assert_that(run_async(work), Equals([200, 200]))


def test_metrics_name_the_documents_that_are_not_in_force():
    """Operators could not see that a node keeps an older version."""

    async def work():
        fleet = await MeshFleet.open()
        try:
            fleet.store.put_json("op", "config", make_document(1, {"/a/": {}}, ["a"]))
            (node,) = await fleet.start_connected("n1")
            fleet.store.put("op", "config", b"[]")
            await wait_for(lambda: node.sidecar.records.count_refused())
            return dict(ProbeHandler(node.sidecar).list_gauges())
        finally:
            await fleet.close()

    gauges = run_async(work)
    assert_that(gauges["documents_not_in_force"], Equals(1))
    assert_that(gauges, Contains("version"))
