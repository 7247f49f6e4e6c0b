"""Records of the store's rows, from the feed and from other nodes."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cactusshed.errors import Malformed
from cactusshed.mesh.change import decode_change, encode_change, find_changed_routes
from cactusshed.mesh.frames import RecordsUpdate
from cactusshed.mesh.framing import FrameDecoder, encode_frame
from cactusshed.mesh.records import Records
from cactusshed.observe.counters import Counters
from cactusshed.platform.document import decode_table
from cactusshed.platform.rows import StoredRow
from standins.meshfleet import make_document


def make_records():
    """Return empty records."""
    return Records(Counters(), lambda: None, lambda base: None)


def make_config(version, prefixes):
    """Return the row of a configuration at the store's counter `version`."""
    document = make_document(version, {p: {} for p in prefixes}, ["a"])
    return StoredRow("op", "config", msgspec.json.encode(document), version)


def make_evacuation(version, gone=False):
    """Return the row of an evacuation."""
    return StoredRow("op", "evacuate/z", b"{}", version, gone)


def transfer(update):
    """Encode `update` as a frame and return the decoded frame."""
    (found,) = FrameDecoder().feed(encode_frame(update))
    return found


@pytest.fixture
def sender():
    """Return records after three configurations and an evacuation."""
    records = make_records()
    for version in (1, 2, 3):
        prefixes = [f"/{n}/" for n in range(version, 50)]
        records.apply_changes([make_config(version, prefixes)], version)
    records.apply_changes([make_evacuation(4)], 4)
    return records


def test_difference_brings_another_node_to_the_same_state(sender):
    """The update must hold only the changed routes and give equal configurations."""
    receiver = make_records()
    receiver.apply_changes([make_config(1, [f"/{n}/" for n in range(1, 50)])], 1)
    update = transfer(sender.make_update(1))
    assert_that(len(update.change.routes) + len(update.change.removed), Equals(2))
    assert_that(receiver.apply_update(update), Equals(True))
    assert_that(receiver.table, Equals(sender.table))
    assert_that(receiver.evacuated, Equals(frozenset({"z"})))


def test_node_without_the_base_gets_the_complete_configuration(sender):
    """A node whose version is not in the history gets an update with base 0."""
    receiver = make_records()
    assert_that(receiver.apply_update(transfer(sender.make_update(0))), Equals(True))
    assert_that(receiver.table, Equals(sender.table))


def test_difference_to_another_base_is_refused(sender):
    """A refused update changes nothing, so that the node requests a matching one."""
    receiver = make_records()
    receiver.apply_changes([make_config(2, ["/x/"])], 2)
    change = encode_change(sender.table, 1, set())
    update = RecordsUpdate(9, 9, [], change)
    assert_that(receiver.apply_update(update), Equals(False))
    assert_that(receiver.table.version, Equals(2))


def test_end_of_an_evacuation_is_sent(sender):
    """A row removed at the sender must be removed at the receiver."""
    receiver = make_records()
    receiver.apply_update(transfer(sender.make_update(0)))
    sender.apply_changes([make_evacuation(6, gone=True)], 6)
    receiver.apply_update(transfer(sender.make_update(3)))
    assert_that(receiver.evacuated, Equals(frozenset()))


def test_older_rows_change_nothing(sender):
    """Neither the feed nor another node may replace rows by older versions."""
    before = (sender.table, sender.evacuated)
    old = make_records()
    old.apply_changes([make_config(1, ["/old/"])], 1)
    sender.apply_update(transfer(old.make_update(0)))
    sender.apply_changes([make_evacuation(3, gone=True)], 3)
    assert_that((sender.table, sender.evacuated), Equals(before))


@given(st.binary(max_size=200))
def test_invalid_documents_raise_malformed(data):
    """Random bytes must raise `Malformed` and no other error."""
    try:
        decode_table(data)
    except Malformed:
        return
    raise AssertionError("random bytes were decoded as a document")


@given(st.sets(st.integers(0, 30)), st.sets(st.integers(0, 30)))
def test_difference_between_two_configurations_restores_the_second(first, second):
    """Applying the difference to the first must give the second."""
    tables = [
        decode_table(make_config(n, [f"/{p}/" for p in prefixes]).value)
        for n, prefixes in ((1, first), (2, second))
    ]
    change = encode_change(tables[1], 1, set(find_changed_routes(*tables)))
    made = decode_change(change, tables[0])
    routes = {host: found for host, found in made.routes.items() if found}
    assert_that(routes, Equals({h: f for h, f in tables[1].routes.items() if f}))
