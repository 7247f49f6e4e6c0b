"""What a node knows of the store, from the feed and from other nodes."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cactusshed.errors import Malformed
from cactusshed.mesh.change import decode_change, encode_change, find_changed_routes
from cactusshed.mesh.frames import SplitFrames, Update, encode_frame
from cactusshed.mesh.records import Records
from cactusshed.observe.counters import Counters
from cactusshed.platform.document import decode_table
from cactusshed.platform.rows import StoredRow
from standins.meshfleet import make_document


def make_records():
    """Return records that nothing has told anything."""
    return Records(Counters(), lambda: None, lambda base: None)


def make_config(version, prefixes):
    """Return the configuration's row at the store's counter `version`."""
    document = make_document(version, {p: {} for p in prefixes}, ["a"])
    return StoredRow("op", "config", msgspec.json.encode(document), version)


def make_evacuation(version, gone=False):
    """Return an evacuation's row."""
    return StoredRow("op", "evacuate/z", b"{}", version, gone)


def send(update):
    """Return a frame as it arrives."""
    (found,) = SplitFrames().feed(encode_frame(update))
    return found


@pytest.fixture
def known():
    """Return records of three configurations and an evacuation."""
    records = make_records()
    for version in (1, 2, 3):
        prefixes = [f"/{n}/" for n in range(version, 50)]
        records.take_changes([make_config(version, prefixes)], version)
    records.take_changes([make_evacuation(4)], 4)
    return records


def test_difference_brings_another_node_to_the_same_state(known):
    """It carries only what changed, and is equal afterwards."""
    other = make_records()
    other.take_changes([make_config(1, [f"/{n}/" for n in range(1, 50)])], 1)
    update = send(known.make_update(1))
    assert_that(len(update.change.routes) + len(update.change.removed), Equals(2))
    assert_that(other.take_update(update), Equals(True))
    assert_that(other.table, Equals(known.table))
    assert_that(other.evacuated, Equals(frozenset({"z"})))


def test_node_without_the_base_is_told_everything(known):
    """So is one that is further behind than the history goes."""
    other = make_records()
    assert_that(other.take_update(send(known.make_update(0))), Equals(True))
    assert_that(other.table, Equals(known.table))


def test_difference_to_another_base_is_not_taken(known):
    """The node then asks for what fits."""
    other = make_records()
    other.take_changes([make_config(2, ["/x/"])], 2)
    change = encode_change(known.table, 1, set())
    update = Update(9, 9, [], change)
    assert_that(other.take_update(update), Equals(False))
    assert_that(other.table.version, Equals(2))


def test_end_of_an_evacuation_is_told(known):
    """A row that is gone at the sender is gone at the receiver."""
    other = make_records()
    other.take_update(send(known.make_update(0)))
    known.take_changes([make_evacuation(6, gone=True)], 6)
    other.take_update(send(known.make_update(3)))
    assert_that(other.evacuated, Equals(frozenset()))


def test_older_knowledge_changes_nothing(known):
    """Neither from the feed nor from another node."""
    before = (known.table, known.evacuated)
    old = make_records()
    old.take_changes([make_config(1, ["/old/"])], 1)
    known.take_update(send(old.make_update(0)))
    known.take_changes([make_evacuation(3, gone=True)], 3)
    assert_that((known.table, known.evacuated), Equals(before))


@given(st.binary(max_size=200))
def test_bytes_that_are_no_document_are_refused_whole(data):
    """They raise one typed error, whatever they are."""
    try:
        decode_table(data)
    except Malformed:
        return
    raise AssertionError("a document was read from noise")


@given(st.sets(st.integers(0, 30)), st.sets(st.integers(0, 30)))
def test_any_two_configurations_differ_by_what_is_told(first, second):
    """Applying the difference gives the second."""
    tables = [
        decode_table(make_config(n, [f"/{p}/" for p in prefixes]).value)
        for n, prefixes in ((1, first), (2, second))
    ]
    change = encode_change(tables[1], 1, set(find_changed_routes(*tables)))
    made = decode_change(change, tables[0])
    routes = {host: found for host, found in made.routes.items() if found}
    assert_that(routes, Equals({h: f for h, f in tables[1].routes.items() if f}))
