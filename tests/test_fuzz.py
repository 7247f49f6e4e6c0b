"""Fuzz tests of parsers of external input.

Each parser must return or raise `CactusError`.
"""

import contextlib

import anyio
import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from cactusshed.errors import CactusError
from cactusshed.member.announcements import Announcement, parse_announcement
from cactusshed.member.gossip import seal_packet, unseal_packet
from cactusshed.member.records import load_member
from cactusshed.observe.counters import Counters
from cactusshed.serve.disconnect import DisconnectWatcher
from cactusshed.serve.peerserver import PeerApp
from cactusshed.settings import parse_settings
from cactusshed.spread.activeversion import ActiveVersion
from cactusshed.spread.messages import Receiver
from cactusshed.tree.branch import build_tree, split_path
from cactusshed.tree.edit import Edit, make_change, parse_tree_file
from cactusshed.tree.snapshot import dump_tree, load_change, load_tree
from cactusshed.tree.validate import find_errors
from cactusshed.wire import control_pb2 as pb

from .test_settings import GOOD

FEW_EXAMPLES = settings(max_examples=300, deadline=None, derandomize=True)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=9), inner, max_size=4)
    ),
    max_leaves=9,
)
ANNOUNCEMENT = msgspec.to_builtins(
    Announcement("t", "s", "v1", "127.0.0.1:80", 5, "i"), builtin_types=()
)


def damage(data, cut, patch):
    """Return `data` with a byte changed and its end cut off."""
    if not data:
        return data
    position = cut % len(data)
    return (data[:position] + bytes([patch]) + data[position + 1 :])[
        : len(data) - cut % 3
    ]


@given(st.text(max_size=200), st.integers(0, 300))
@FEW_EXAMPLES
def test_settings(text, position):
    """Settings files with text inserted."""
    with contextlib.suppress(CactusError):
        parse_settings(GOOD[:position] + text + GOOD[position:])


@given(st.text(alphabet="[]/*=#\n abc@-.", max_size=120))
@FEW_EXAMPLES
def test_tree_files_and_trees(text):
    """Tree files, and the tree versions made of them."""
    with contextlib.suppress(CactusError):
        edits = [Edit(path, found) for path, found in parse_tree_file(text).items()]
        _, tree = make_change(build_tree(0, ()), "c", "a", 0.0, edits)
        find_errors(tree)


@given(st.text(max_size=40))
@FEW_EXAMPLES
def test_paths(text):
    """Branch paths."""
    with contextlib.suppress(CactusError):
        split_path("/" + text)


@given(JSON | st.fixed_dictionaries(dict.fromkeys(ANNOUNCEMENT, JSON)), st.binary())
@FEW_EXAMPLES
def test_announcements(value, raw):
    """Announcements of targets: JSON of any shape, and raw bytes."""
    for body in (msgspec.json.encode(value), raw):
        with contextlib.suppress(CactusError):
            parse_announcement(body, "127.0.0.1")


@given(st.binary(max_size=200), st.integers(0, 99), st.integers(0, 255))
@FEW_EXAMPLES
def test_datagrams(raw, cut, patch):
    """Datagrams: random bytes, and damaged sealed packets."""
    packet = pb.Packet(rumors=[pb.Member(node="n", ip="127.0.0.1")])
    sealed = damage(seal_packet(packet, "secret"), cut, patch)
    for data in (raw, sealed):
        with contextlib.suppress(CactusError):
            unseal_packet(data, "secret")


@given(
    st.builds(
        pb.Member,
        node=st.text(max_size=9),
        ip=st.text(max_size=9),
        calls_port=st.integers(0, 2**32 - 1),
        state=st.integers(0, 9),
    )
)
@FEW_EXAMPLES
def test_members(wire):
    """Member records with invalid fields."""
    with contextlib.suppress(CactusError):
        load_member(wire)


@given(st.binary(max_size=60), st.integers(0, 999), st.integers(0, 255))
@FEW_EXAMPLES
def test_updates(raw, cut, patch):
    """Damaged snapshots and changes never change the current version."""
    edits = [Edit("/*/*/s", {"version": "v1"})]
    change, tree = make_change(build_tree(0, ()), "c", "a", 0.0, edits)
    snapshot = damage(dump_tree(tree), cut, patch)
    body = damage(msgspec.json.encode(change), cut, patch)
    current = ActiveVersion("r", "d", Counters())
    for update in (
        pb.Update(number=1, snapshot=snapshot, snapshot_end=True),
        pb.Update(number=1, changes=[pb.Change(number=1, body=body)]),
        pb.Update(number=1, changes=[pb.Change(number=1, body=raw)]),
    ):
        with contextlib.suppress(CactusError):
            Receiver(current).apply(update)
    assert current.number in (0, 1)
    assert current.tree.digest in (tree.digest, build_tree(0, ()).digest)


@given(st.binary(max_size=80))
@FEW_EXAMPLES
def test_stored_rows(raw):
    """Stored changes and snapshots with random content."""
    for load in (load_change, load_tree):
        with contextlib.suppress(CactusError):
            load(raw)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                [
                    b"cactusshed-call",
                    b"cactusshed-class",
                    b"cactusshed-timeout-ms",
                    b"cactusshed-incarnation",
                    b"cactusshed-target",
                    b"cactusshed-tenant",
                    b"cactusshed-flags",
                    b"cactusshed-depth",
                ]
            ),
            st.binary(max_size=12) | st.sampled_from([b"normal", b"7", b"t"]),
        ),
        max_size=9,
    )
)
@FEW_EXAMPLES
def test_peer_headers(headers):
    """Random headers of calls between nodes."""
    sent = []

    async def receive():
        return {"type": "http.request", "body": b""}

    async def send(event):
        sent.append(event)

    scope = {
        "type": "http",
        "method": "GET",
        "path": "/x",
        "raw_path": b"/x",
        "query_string": b"",
        "headers": headers,
    }
    app = PeerApp(None, Counters(), "", 1, 1000, DisconnectWatcher())
    anyio.run(app, scope, receive, send)
    assert sent[0]["status"] in (400, 503)
