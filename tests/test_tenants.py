"""Tenants: documents, lookups, decisions, differences between nodes, metrics."""

import subprocess
import sys

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is, LessThan, Not

from cactusshed.errors import Malformed
from cactusshed.mesh.change import decode_change, encode_change
from cactusshed.mesh.crashes import CrashTracker
from cactusshed.mesh.frames import RecordsUpdate, TableChange
from cactusshed.mesh.framing import FrameDecoder, encode_frame
from cactusshed.mesh.records import Records
from cactusshed.observe.counters import Counters
from cactusshed.observe.histograms import MAX_CLASSES, CallClass, Histograms
from cactusshed.observe.page import render_page
from cactusshed.platform.document import decode_table
from cactusshed.platform.headers import CREDENTIAL
from cactusshed.platform.rows import StoredRow
from cactusshed.policy.quarantine import Quarantine
from cactusshed.policy.tenancy import Decision, Origin, Refusal, decide_tenancy
from cactusshed.tenants import directory
from cactusshed.tenants.change import TenantsChange, decode_tenants, encode_tenants
from cactusshed.tenants.counts import MAX_TENANTS, TenantCounts
from cactusshed.tenants.directory import Tenant, build_tenants, digest_key
from cactusshed.tenants.origin import read_origin
from standins.meshfleet import make_document

from .meshes import make_call
from .tenantdocuments import KEYS, make_tenant_document

SECRET = "key-that-must-stay-secret"
ACME_KEY = KEYS["acme"].encode()


def decode(document):
    """Return the table of a document."""
    return decode_table(msgspec.json.encode(document))


def make_row(document, version=None):
    """Return the row of a configuration document."""
    version = version or document["version"]
    return StoredRow("op", "config", msgspec.json.encode(document), version)


def make_records(*documents):
    """Return records that have followed `documents`."""
    records = Records(Counters(), lambda: None, lambda base: None)
    for document in documents:
        records.apply_changes([make_row(document)], document["version"])
    return records


def transfer(update):
    """Encode `update` as a frame and return the decoded frame."""
    (found,) = FrameDecoder().feed(encode_frame(update))
    return found


# Documents.


def test_text_of_a_stored_row_shows_no_key():
    """The text of a row gets into error messages; the keys must not."""
    row = make_row(make_tenant_document(1))
    assert_that(ACME_KEY in row.value, Equals(True))
    assert_that(repr(row), Not(Contains(KEYS["acme"])))


def test_document_without_tenants_gives_a_table_without():
    """Nodes must tell a configuration without the feature from one without tenants."""
    assert_that(decode(make_document(1, {"/a/": {}}, ["a"])).tenants, Is(None))
    assert_that(decode(make_tenant_document(1, {})).tenants.by_name, Equals({}))


def test_keys_of_the_document_find_their_tenants():
    """Each of several keys identifies its tenant; parts and variants of it do not."""
    table = decode(make_tenant_document(1, {"acme": ["k1", "k2"], "bolt": ["k3"]}))
    found = [table.tenants.find(key) for key in (b"k1", b"k2", b"k3")]
    assert_that([t.name for t in found], Equals(["acme", "acme", "bolt"]))
    for key in (b"", b"k", b"k11", b"K1", b" k1", digest_key(b"k1")):
        assert_that(table.tenants.find(key), Is(None))


def test_public_is_read_and_absent_means_false():
    """A rule without the field must need a key."""
    routes = decode(make_tenant_document(1)).routes["shop.example"]
    assert_that(routes["/open/"].is_public, Equals(True))
    assert_that(routes["/read/"].is_public, Equals(False))


def make_entry(**fields):
    """Return an entry of `tenants` with `fields` replaced; `...` removes a field."""
    entry = {"name": "acme", "api_keys": [SECRET], "priority": 1, **fields}
    return {name: value for name, value in entry.items() if value is not ...}


LONG = "x" * 300
ODD_VALUES = [
    ...,
    None,
    True,
    -1,
    1.5,
    2**60,
    "",
    "a\r\nb",
    " a",
    {},
    [SECRET],
]


def test_tenant_without_a_priority_has_that_of_its_routes():
    """A configuration that ranks by route only must be accepted, also from a node."""
    document = {**make_tenant_document(2), "tenants": [make_entry(priority=...)]}
    tenants = decode(document).tenants
    received = decode_tenants(encode_tenants(tenants, None), None)
    owner = received.find(SECRET.encode())
    assert_that(received.by_name, Equals(tenants.by_name))
    origin = Origin(has_key=True, owner=owner)
    decision = decide_tenancy(origin, 7, has_tenants=True, is_public=False)
    assert_that((decision.tenant, decision.priority), Equals(("acme", 7)))


@pytest.mark.parametrize(
    "tenants",
    [
        None,
        True,
        1,
        "acme",
        {},
        {"acme": SECRET},
        [None],
        [True],
        [1],
        ["acme"],
        [[SECRET]],
        [{}],
        *([make_entry(name=value)] for value in ODD_VALUES),
        *([make_entry(priority=v)] for v in [*ODD_VALUES[1:], "1", LONG]),
        *(
            [make_entry(api_keys=v)]
            for v in [*ODD_VALUES, LONG]
            if not isinstance(v, list)
        ),
        *([make_entry(api_keys=[SECRET, v])] for v in (None, True, 7, [], {})),
        *([make_entry(api_keys=[SECRET, v])] for v in ("", "a\nb", " a", "a ", "\0")),
        [make_entry(), make_entry(name="bolt")],
        [make_entry(), make_entry(api_keys=["other"])],
        [make_entry(), make_entry()],
    ],
)
def test_malformed_tenants_make_the_document_invalid(tenants):
    """The table in force must stay; the error must name `tenants` and show no key."""
    document = {**make_tenant_document(2), "tenants": tenants}
    with pytest.raises(Malformed) as caught:
        decode(document)
    assert_that(str(caught.value), Contains("tenants"))
    assert_that(str(caught.value), Not(Contains(SECRET)))
    records = make_records(make_tenant_document(1))
    before = records.table
    records.apply_changes([make_row(document)], 2)
    assert_that(records.table, Is(before))


def test_tenant_with_a_long_name_keeps_no_version_out_of_force():
    """No page limits the name, and the store had accepted the version."""
    table = decode({**make_tenant_document(2), "tenants": [make_entry(name=LONG)]})
    received = decode_tenants(encode_tenants(table.tenants, None), None)
    assert_that(received.find(SECRET.encode()).name, Equals(LONG))


@pytest.mark.parametrize("value", [None, 1, 0, "true", [], {}])
def test_malformed_public_makes_the_document_invalid(value):
    """A route must not become public by a value that is no truth value."""
    document = make_tenant_document(1)
    document["listeners"][0]["rules"][0]["public"] = value
    with pytest.raises(Malformed):
        decode(document)


def test_a_key_listed_twice_for_one_tenant_is_accepted():
    """Only a key of two tenants is ambiguous."""
    table = decode(make_tenant_document(1, {"acme": ["k1", "k1"]}))
    assert_that(table.tenants.find(b"k1").name, Equals("acme"))


def test_long_and_non_ascii_keys_are_found():
    """A key may be any text that a header can carry."""
    keys = ["x" * 4000, "clé", "a b", '"quoted"']
    table = decode(make_tenant_document(1, {"acme": keys}))
    for key in keys:
        assert_that(table.tenants.find(key.encode()).name, Equals("acme"))


# Lookups.


def test_tables_hold_no_keys():
    """Whatever prints or stores a table must find digests only."""
    table = decode(make_tenant_document(1, {"acme": [SECRET]}))
    assert_that(repr(table), Not(Contains(SECRET)))


def test_lookup_digests_once_and_compares_digests_only(monkeypatch):
    """Its work must not depend on the number of keys, nor its comparisons on a key."""
    keys = {f"t{n}": [f"k{n}-{m}" for m in range(8)] for n in range(500)}
    tenants = decode(make_tenant_document(1, keys)).tenants
    digested = []
    original = directory.digest_key
    monkeypatch.setattr(
        directory, "digest_key", lambda key: digested.append(key) or original(key)
    )
    assert_that(tenants.find(b"k499-7").name, Equals("t499"))
    assert_that(tenants.find(b"k499-8"), Is(None))
    assert_that(digested, Equals([b"k499-7", b"k499-8"]))
    assert_that({type(key) for key in tenants._by_digest}, Equals({bytes}))


def test_digest_needs_no_openssl():
    """A node process must not load OpenSSL, which takes 3.6 MB, to digest keys."""
    code = (
        "import cactusshed.sidecar\n"
        "from cactusshed.tenants.directory import digest_key\n"
        "print(digest_key(b'k').hex(), 'libcrypto' in open('/proc/self/maps').read())"
    )
    result = subprocess.run(  # noqa: S603
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert_that(result.stdout.split(), Equals([digest_key(b"k").hex(), "False"]))


def test_deployments_without_tenants_do_not_load_hashlib():
    """The memory of a digest is paid only where the configuration has tenants."""
    code = "import sys, cactusshed.sidecar; print('hashlib' in sys.modules)"
    result = subprocess.run(  # noqa: S603
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert_that(result.stdout.split(), Equals(["False"]))


# Decisions.

ACME = Tenant("acme", 0, frozenset())
PARENT = ("bolt", 2)


@pytest.mark.parametrize(
    ("origin", "is_public", "expected"),
    [
        (Origin(False), False, Decision("", 1, Refusal.NO_KEY)),
        (Origin(False), True, Decision("", 1)),
        (Origin(True), False, Decision("", 1, Refusal.UNKNOWN_KEY)),
        (Origin(True), True, Decision("", 1)),
        (Origin(True, ACME), False, Decision("acme", 0)),
        (Origin(True, ACME), True, Decision("acme", 0)),
        (Origin(False, None, PARENT, True), False, Decision("bolt", 2)),
        (Origin(False, None, PARENT, True), True, Decision("bolt", 2)),
        (Origin(False, None, ("", 3), True), False, Decision("", 3)),
        (Origin(True, ACME, PARENT, True), False, Decision("acme", 0)),
        (Origin(True, None, PARENT, True), False, Decision("", 1, Refusal.UNKNOWN_KEY)),
        (Origin(False, None, None, True), False, Decision("", 1, Refusal.PARENT_GONE)),
        (Origin(False, None, None, True), True, Decision("", 1)),
        (Origin(True, None, None, True), False, Decision("", 1, Refusal.UNKNOWN_KEY)),
    ],
)
def test_decision(origin, is_public, expected):
    """Keys, parents and public routes decide as the page of the feature says."""
    made = decide_tenancy(origin, 1, has_tenants=True, is_public=is_public)
    assert_that(made, Equals(expected))


@pytest.mark.parametrize("is_public", [True, False])
def test_decision_without_tenants(is_public):
    """Every request is served, with the priority of its route or its parent."""
    for origin, expected in (
        (Origin(False), Decision("", 1)),
        (Origin(False, None, ("", 3), True), Decision("", 3)),
        (Origin(False, None, None, True), Decision("", 1)),
    ):
        made = decide_tenancy(origin, 1, has_tenants=False, is_public=is_public)
        assert_that(made, Equals(expected))


@pytest.mark.parametrize(
    ("values", "name"),
    [
        ([ACME_KEY], "acme"),
        ([b" " + ACME_KEY + b"\t"], "acme"),
        ([b"Bearer " + ACME_KEY], None),
        ([ACME_KEY + b"," + ACME_KEY], None),
        ([ACME_KEY, ACME_KEY], None),
        ([b"unknown", ACME_KEY], None),
        ([b""], None),
        ([b"\xff\xfe"], None),
    ],
)
def test_header_holds_the_key_and_nothing_else(values, name):
    """A header with more than a key, or a second header, is an unknown key."""
    tenants = decode(make_tenant_document(1)).tenants
    headers = [(CREDENTIAL, value) for value in values]
    origin = read_origin(tenants, headers, b"", None)
    assert_that(origin.has_key, Equals(True))
    assert_that(origin.owner and origin.owner.name, Equals(name))


def test_parent_is_found_while_any_of_its_attempts_runs():
    """The end of one attempt must not make calls of another one look orphaned."""
    tracker = CrashTracker(Quarantine())
    first, second = make_call("p", attempt=1), make_call("p", attempt=2)
    tracker.begin(first, 0.0, 0.0)
    tracker.begin(second, 0.0, 0.0)
    tracker.end(first)
    assert_that(tracker.find_parent(b"p.1").call, Is(second))
    tracker.end(second)
    assert_that(tracker.find_parent(b"p.1"), Is(None))


# Differences between nodes.


def test_full_update_brings_tenants_to_a_node_without_state():
    """A node that restarts while the store is away gets the keys that are in force."""
    sender = make_records(
        make_tenant_document(1), make_tenant_document(2, {"acme": []})
    )
    receiver = make_records()
    assert_that(receiver.apply_update(transfer(sender.make_update(0))), Equals(True))
    assert_that(receiver.table, Equals(sender.table))
    assert_that(receiver.table.tenants.find(ACME_KEY), Is(None))


def test_difference_holds_only_the_changed_tenants():
    """The bytes of a change must not grow with the number of tenants."""
    keys = {f"t{n}": [f"k{n}"] for n in range(300)}
    changed = {**keys, "t5": ["k5-new"], "new": ["kn"]}
    del changed["t7"]
    first, second = make_tenant_document(1, keys), make_tenant_document(2, changed)
    sender, receiver = make_records(first, second), make_records(first)
    update = transfer(sender.make_update(1))
    change = update.change.tenants
    assert_that([name for name, _, _ in change.present], Equals(["new", "t5"]))
    assert_that(change.removed, Equals(["t7"]))
    assert_that(receiver.apply_update(update), Equals(True))
    assert_that(receiver.table, Equals(sender.table))
    found = receiver.table.tenants
    assert_that(
        [found.find(key) and found.find(key).name for key in (b"k5", b"k5-new", b"k7")],
        Equals([None, "t5", None]),
    )


def test_difference_without_changed_tenants_keeps_them():
    """A change of routes must neither drop nor resend the tenants."""
    routes = {"/read/": {}, "/more/": {}}
    first, second = make_tenant_document(1), make_tenant_document(2, routes=routes)
    sender, receiver = make_records(first, second), make_records(first)
    update = transfer(sender.make_update(1))
    assert_that(update.change.tenants, Equals(TenantsChange([])))
    receiver.apply_update(update)
    assert_that(receiver.table, Equals(sender.table))
    assert_that(receiver.table.tenants.find(ACME_KEY).name, Equals("acme"))


def test_moved_key_is_accepted_in_a_difference():
    """A key may pass from one tenant to another in one version."""
    first = make_tenant_document(1, {"acme": ["k"], "bolt": []})
    second = make_tenant_document(2, {"acme": [], "bolt": ["k"]})
    sender, receiver = make_records(first, second), make_records(first)
    receiver.apply_update(transfer(sender.make_update(1)))
    assert_that(receiver.table.tenants.find(b"k").name, Equals("bolt"))


@pytest.mark.parametrize("is_used_first", [True, False])
def test_feature_appears_and_disappears_by_difference(is_used_first):
    """A node that follows a peer must start and stop to require keys."""
    documents = [make_tenant_document(1), make_tenant_document(1)]
    documents[1]["version"] = 2
    del documents[1 if is_used_first else 0]["tenants"]
    sender, receiver = make_records(*documents), make_records(documents[0])
    receiver.apply_update(transfer(sender.make_update(1)))
    assert_that(receiver.table, Equals(sender.table))
    assert_that(receiver.table.tenants is None, Equals(is_used_first))


KEY_SETS = st.dictionaries(
    st.sampled_from("abcdef"), st.sets(st.integers(0, 3)), max_size=6
)


def make_keys(found):
    """Return lists of keys by tenant, none of which belongs to two tenants."""
    return {name: [f"{name}{n}" for n in sorted(ns)] for name, ns in found.items()}


@given(st.lists(st.none() | KEY_SETS, min_size=2, max_size=6), st.integers(0, 4))
def test_differences_over_several_versions_restore_the_newest(sets, position):
    """Whatever a node missed, an update gives it exactly the newest tenants."""
    documents = []
    for number, found in enumerate(sets, 1):
        document = make_tenant_document(number, make_keys(found or {}))
        if found is None:
            del document["tenants"]
        documents.append(document)
    base = min(position, len(documents) - 2)
    sender, receiver = make_records(*documents), make_records(*documents[: base + 1])
    update = transfer(sender.make_update(base + 1))
    assert_that(receiver.apply_update(update), Equals(True))
    assert_that(receiver.table, Equals(sender.table))


def test_update_holds_no_key():
    """Neither a full update nor a difference may hold a key."""
    sender = make_records(
        make_tenant_document(1), make_tenant_document(2, {"a": [SECRET]})
    )
    for base in (0, 1):
        data = encode_frame(sender.make_update(base))
        assert_that(SECRET.encode() in data, Equals(False))
        assert_that(digest_key(SECRET.encode()) in data, Equals(True))


def test_withdrawn_key_stays_so_after_older_rows_and_updates():
    """Neither the feed, a full read nor a peer that is behind may restore a key."""
    old, new = make_tenant_document(1), make_tenant_document(2, {"bolt": ["b"]})
    records, behind = make_records(old, new), make_records(old)
    records.apply_changes([make_row(old)], 3)
    records.apply_changes([make_row(old, version=4)], 4)
    records.replace_all([make_row(old, version=5)], 5)
    records.apply_update(transfer(behind.make_update(0)))
    assert_that(records.table.tenants.find(ACME_KEY), Is(None))


def test_storm_of_configurations_reaches_a_follower():
    """Each version toggles a key; a follower that skips versions must end alike."""
    documents = [
        make_tenant_document(n, {"acme": ["k"] if n % 2 else [], "bolt": [f"b{n}"]})
        for n in range(1, 101)
    ]
    sender, receiver = make_records(), make_records()
    for number, document in enumerate(documents, 1):
        sender.apply_changes([make_row(document)], number)
        if number % 7 == 0 or number == 100:
            update = transfer(sender.make_update(receiver.table.version))
            assert_that(receiver.apply_update(update), Equals(True))
            assert_that(receiver.table, Equals(sender.table))
    found = receiver.table.tenants
    expected = [None, None, "bolt"]
    keys = (b"k", b"b99", b"b100")
    assert_that([t and t.name for t in map(found.find, keys)], Equals(expected))


@pytest.mark.parametrize(
    "tenants",
    [
        True,
        TenantsChange([("a", 0, [b"short"])]),
        TenantsChange([("a", 0, [b"k" * 16]), ("b", 0, [b"k" * 16])]),
    ],
)
def test_unreadable_tenants_of_a_peer_are_refused(tenants):
    """A damaged update must change nothing, and above all not open the node."""
    receiver = make_records(make_tenant_document(1))
    change = encode_change(decode(make_tenant_document(2)), 0, None)
    change.tenants = tenants
    before = receiver.table
    with pytest.raises(Malformed):
        receiver.apply_update(RecordsUpdate(2, 2, [], change))
    assert_that(receiver.table, Is(before))


# Mixed fleets.


class EarlierTableChange(msgspec.Struct, array_like=True):
    """The structure of the previous build."""

    base: int
    version: int
    routes: list[tuple]
    removed: list[tuple[str, str]]
    services: list[tuple]
    limits: tuple


EARLIER_ROUTE_FIELDS = 9


def test_earlier_build_understands_configurations_without_tenants():
    """Its routes have nine fields, and it passes over the last field of the change."""
    table = decode(make_document(1, {"/a/": {}}, ["a"]))
    data = msgspec.msgpack.encode(encode_change(table, 0, None))
    found = msgspec.msgpack.decode(data, type=EarlierTableChange)
    assert_that([len(r) for r in found.routes], Equals([EARLIER_ROUTE_FIELDS]))


def test_update_of_an_earlier_build_is_understood():
    """A node without tenants must accept changes that do not mention them."""
    table = decode(make_document(2, {"/a/": {}}, ["a"]))
    change = encode_change(table, 0, None)
    fields = [getattr(change, f) for f in EarlierTableChange.__struct_fields__]
    data = msgspec.msgpack.encode(EarlierTableChange(*fields))
    found = msgspec.msgpack.decode(data, type=TableChange)
    assert_that(found.tenants, Is(None))
    assert_that(decode_change(found, make_records().table), Equals(table))


def test_update_of_an_earlier_build_does_not_remove_tenants():
    """A node of an earlier build drops the tenants of what it passes on.

    Applying its update would serve requests without a key, and taking over its position
    in the feed would make this node miss the row.
    """
    receiver = make_records(make_tenant_document(1))
    change = encode_change(decode(make_tenant_document(2)), 0, None)
    change.tenants = None
    assert_that(receiver.apply_update(RecordsUpdate(9, 9, [], change)), Equals(True))
    assert_that(receiver.table.version, Equals(1))
    assert_that((receiver.revision, receiver.last_change), Equals((1, 1)))


# Metrics.


def test_histograms_of_many_tenants_are_bounded():
    """Hundreds of tenants must not hide the routes, nor take memory without a bound."""
    histograms = Histograms()
    for number in range(400):
        for route in ("r1", "r2"):
            histograms.record(CallClass("s", route, f"t{number}"), 0.1)
    found = dict(histograms.list_all())
    assert_that(len(found), LessThan(MAX_CLASSES + 3))
    others = [found[CallClass("s", r, "other")].total_count for r in ("r1", "r2")]
    assert_that(others, Equals([400 - MAX_CLASSES // 2] * 2))


def test_histograms_of_many_routes_and_tenants_are_bounded():
    """Neither routes, services nor tenants may exceed twice the limit."""
    histograms = Histograms()
    for number in range(3000):
        tenant = f"t{number % 300}" if number % 3 else "-"
        call_class = CallClass(f"s{number % 170}", f"r{number % 230}", tenant)
        histograms.record(call_class, 0.1)
    found = dict(histograms.list_all())
    assert_that(len(found), LessThan(2 * MAX_CLASSES + 2))
    assert_that(sum(h.total_count for h in found.values()), Equals(3000))


def test_class_of_other_tenants_stays_in_use_above_the_limits():
    """A route's calls must not move to another histogram while the node runs."""
    histograms = Histograms()
    for number in range(2 * MAX_CLASSES):
        histograms.record(CallClass("s", f"r{number}", f"t{number}"), 0.1)
    route = f"r{MAX_CLASSES}"
    before = dict(histograms.list_all())[CallClass("s", route, "other")].total_count
    histograms.record(CallClass("s", route, "new"), 0.1)
    after = dict(histograms.list_all())[CallClass("s", route, "other")].total_count
    assert_that(after - before, Equals(1))


def test_counters_of_many_tenants_are_bounded():
    """Beyond the bound, tenants are counted together as `other`."""
    counts = TenantCounts()
    for number in range(1000):
        counts.add(f"t{number}", "answered")
    counts.add("t0", "failed")
    counts.add("", "answered")
    found = {(tenant, outcome): n for tenant, outcome, n in counts.list_all()}
    assert_that(len(found), Equals(MAX_TENANTS + 2))
    assert_that(found["other", "answered"], Equals(1000 - MAX_TENANTS))
    assert_that(found["t0", "failed"], Equals(1))


def test_page_shows_counters_by_tenant():
    """Names are escaped as the format requires."""
    counts = [('a"b', "answered", 3)]
    page = render_page(Counters(), Histograms(), [], counts)
    line = 'cactusshed_tenant_requests_total{tenant="a\\"b",outcome="answered"} 3'
    assert_that(page.splitlines(), Contains(line))


def test_tenants_need_distinct_names_and_keys():
    """A key of two tenants would make the tenant of a request depend on the order."""
    digest = digest_key(b"k")
    with pytest.raises(ValueError, match="key belongs to two"):
        build_tenants(Tenant(name, 0, frozenset({digest})) for name in "ab")
