"""Odd entries of other writers: each reader refuses them, and keeps following."""

import asyncio
import base64
from contextlib import suppress

import anyio
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, IsInstance

from cactusshed.clock import read_monotonic, read_wall
from cactusshed.errors import CactusError, Malformed, PlatformUnavailable
from cactusshed.member.joiner import parse_seed
from cactusshed.mesh.framing import FrameDecoder
from cactusshed.mesh.memberrow import decode_member
from cactusshed.mesh.moves import decode_move as decode_move_row
from cactusshed.observe.counters import Counters
from cactusshed.options import Address, parse_address
from cactusshed.platform.announcements import decode_announcement, read_start_time
from cactusshed.platform.document import decode_move, decode_table
from cactusshed.platform.headers import read_milliseconds, read_rate_limit
from cactusshed.platform.rows import RowStore, StoredRow
from cactusshed.store.acceptance import make_change_key, read_changes
from cactusshed.store.claimrows import load_claim, load_outcome
from cactusshed.store.claimwriter import ClaimWriter
from cactusshed.store.client import PlatformClient
from cactusshed.store.port import Row, Write
from cactusshed.tree.branch import build_tree
from cactusshed.tree.edit import Edit, make_change
from cactusshed.tree.snapshot import dump_change, load_change, load_tree
from standins.meshfleet import MeshFleet, make_document, wait_for
from standins.ports import choose_port
from standins.rowstore import open_row_store

from .fakes import FakePort
from .meshes import run_async

ROUTES = {"/read/": {}}
HUGE = 10**400
DEEP = b"[" * 20_000 + b"]" * 20_000
ODD_VALUES = [
    None,
    True,
    -1,
    2**63,
    HUGE,
    1e308,
    "",
    "x" * 300,
    "a\r\nb: c",
    "nan",
    "infs",
    "1e400s",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    f"10.0.0.1:{HUGE}",
    [],
    {},
]
ODD_BYTES = [
    b"",
    b"\xff\xfe",
    b"null",
    b"[]",
    b"NaN",
    b"1e400",
    b"%d" % HUGE,
    b"1" * 5000,
    b'"\\ud800"',
    DEEP,
    b'{"unknown":' + DEEP + b"}",
    b'{"a":' * 5000 + b"1" + b"}" * 5000,
]

HEARTBEAT = {
    "service": "a",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_left": "0ms",
    "seq": 1,
    "born": 1000,
}
STATE = [1, "i-1", "v1", 4, 1000, True, False, False, 0.0]
MEMBER = {"node": "n9", "address": "10.0.0.1:80", "state": STATE}
MOVE = {
    "service": "a",
    "to": "v2",
    "source": "v1",
    "order": 5,
    "seconds": 10.0,
    "state": "running",
    "share": 0.04,
    "elapsed": 1.0,
    "holder": "n1",
    "reason": "",
}
ORDER = {"service": "a", "to": "v2", "duration": "10s"}
CLAIM = {"nonce": "n", "node": "n1", "time": 1.0, "print": "p"}
OUTCOME = {"nonce": "n", "answer": {"status": 200, "headers": [], "body": ""}}


def read_member(value):
    """Decode the value of a member row."""
    return decode_member(StoredRow("cactusshed", "member/n9", value, 7))


def read_claim(value):
    """Decode the value of a claim row."""
    return load_claim(Row("claim/x", value.decode("latin-1"), 1))


def read_outcome(value):
    """Decode the value of an outcome row."""
    return load_outcome(Row("outcome/x", value.decode("latin-1"), 1))


def read_frame(value):
    """Decode a frame with this content."""
    return list(FrameDecoder().feed(len(value).to_bytes(4, "big") + value))


READERS = {
    "heartbeat": (lambda value: decode_announcement("i-1", value), HEARTBEAT),
    "start time": (read_start_time, HEARTBEAT),
    "member": (read_member, MEMBER),
    "move": (decode_move_row, MOVE),
    "move order": (decode_move, ORDER),
    "configuration": (decode_table, make_document(3, ROUTES, ["a"])),
    "claim": (read_claim, CLAIM),
    "outcome": (read_outcome, OUTCOME),
    "snapshot": (load_tree, {"number": 1, "digest": "d", "branches": []}),
    "change": (load_change, {"number": 1}),
    "frame": (read_frame, {}),
}


def replace_fields(document):
    """Yield copies of a document with one field, at any depth, odd or absent."""
    items = document.items() if isinstance(document, dict) else enumerate(document)
    for key, value in list(items):
        for odd in ODD_VALUES:
            yield _replace(document, key, odd)
        if isinstance(document, dict):
            yield {k: v for k, v in document.items() if k != key}
        if isinstance(value, dict | list):
            for inner in replace_fields(value):
                yield _replace(document, key, inner)


def _replace(document, key, value):
    copy = document.copy()
    copy[key] = value
    return copy


def encode_odd(document):
    """Return a document as JSON; numbers may have any number of digits."""
    if isinstance(document, dict):
        pairs = (encode_odd(k) + b":" + encode_odd(v) for k, v in document.items())
        return b"{" + b",".join(pairs) + b"}"
    if isinstance(document, list | tuple):
        return b"[" + b",".join(map(encode_odd, document)) + b"]"
    if type(document) is int:
        return b"%d" % document
    return msgspec.json.encode(document)


@pytest.mark.parametrize("name", READERS)
def test_reader_refuses_odd_entries_with_its_own_error(name):
    """Deep nesting, large numbers and wrong types ended tasks that read the rows."""
    read, document = READERS[name]
    odd_documents = map(encode_odd, replace_fields(document))
    for value in [*ODD_BYTES, *odd_documents]:
        try:
            result = read(value)
        except CactusError:
            continue
        # What is accepted can be sent on to other nodes.
        msgspec.msgpack.encode(result, enc_hook=lambda value: str(value))


@pytest.mark.parametrize(
    "fields",
    [
        {"slots": HUGE},
        {"slots": 2**53},
        {"seq": HUGE},
        {"seq": 2**53},
        {"born": HUGE},
        {"born": int((read_wall() + 10 * 86400) * 1000)},
        {"cold_left": "1e400s"},
        {"cold_left": "nans"},
        {"address": "10.0.0.1:65536"},
        {"address": "10.0.0.1:0"},
        {"version": "v1\r\nx: y"},
    ],
)
def test_heartbeat_with_an_odd_field_names_no_target(fields):
    """A number that all later ones stay below would end the following for good."""
    with pytest.raises(CactusError):
        decode_announcement("i-1", encode_odd({**HEARTBEAT, **fields}))


@pytest.mark.parametrize(
    ("key", "fields"),
    [
        ("member/n9", {"address": "10.0.0.1:65536"}),
        ("member/n9", {"address": "10.0.0.1:0"}),
        ("member/n9", {"state": [*STATE[:4], HUGE]}),
        ("member/n9", {"state": [*STATE[:3], -1]}),
        ("member/other", {}),
    ],
)
def test_odd_member_row_names_no_node(key, fields):
    """A row that can't be used is refused whole, and counted."""
    row = StoredRow("cactusshed", key, encode_odd({**MEMBER, **fields}), 7)
    assert_that(decode_member(row), Equals(None))


@pytest.mark.parametrize("odd", ODD_BYTES)
def test_node_follows_the_rows_beside_an_odd_one(odd):
    """Odd rows in every table: later configurations apply, and members are found."""

    async def work():
        fleet = await MeshFleet.open()
        try:
            for key in ("member/a-odd", "member/n1", "member/n2", "member/z-odd"):
                fleet.store.put("cactusshed", key, odd)
            for key in ("evacuate/odd", "rollout/odd", "rollout/a", "unknown/odd"):
                fleet.store.put("op", key, odd)
            fleet.store.put("cactusshed", "move/a", odd)
            fleet.store.put_json("op", "config", make_document(1, ROUTES, ["a"]))
            nodes = await fleet.start_connected("n1", "n2")
            fleet.store.put("op", "config", odd)
            await asyncio.sleep(0.2)
            fleet.store.put_json("op", "config", make_document(2, ROUTES, ["a"]))
            await wait_for(
                lambda: all(n.sidecar.records.table.version == 2 for n in nodes)
            )
            answer = await nodes[0].request("/read/x")
            failed = [n.sidecar.counters.get("tasks_failed") for n in nodes]
            return answer.status, failed
        finally:
            await fleet.close()

    assert_that(run_async(work), Equals((200, [0, 0])))


@pytest.mark.parametrize("body", ODD_BYTES)
def test_node_serves_after_an_odd_heartbeat(body):
    """The announcement is refused; the target stays in use."""

    async def work():
        fleet = await MeshFleet.open()
        try:
            fleet.store.put_json("op", "config", make_document(1, ROUTES, ["a"]))
            (node,) = await fleet.start_connected("n1")
            status = await node.send_rpc("instances.heartbeat", body)
            answer = await node.request("/read/x")
            return status, answer.status
        finally:
            await fleet.close()

    assert_that(run_async(work), Equals((400, 200)))


def make_row(key, **fields):
    """Return a row as the store sends it."""
    text = base64.b64encode(b"{}").decode()
    row = {"table": "t", "part": "", "key": key, "value": text, "ver": 3}
    return {**row, **fields}


@pytest.mark.parametrize(
    "odd",
    [
        [],
        {},
        make_row("k2", value="%"),
        make_row("k2", value=7),
        make_row("k2", ver=HUGE),
        make_row("k2", ver="x"),
        make_row(None),
        {"key": "k2"},
    ],
)
def test_page_with_an_odd_row_keeps_the_others(odd):
    """One row that could not be read made the reader drop the whole page."""

    async def work():
        has_ended = asyncio.Event()

        async def serve(reader, writer):
            with suppress(asyncio.IncompleteReadError, ConnectionError):
                while request := await reader.readuntil(b"\r\n\r\n"):
                    is_first = b"from=" not in request
                    rows = [make_row("k1"), odd] if is_first else [make_row("k3")]
                    body = encode_odd({"rows": rows, "ver": 9, "has_more": is_first})
                    head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n"
                    writer.write(head % len(body) + body)
            writer.close()
            has_ended.set()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = ":".join(map(str, server.sockets[0].getsockname()))
        store = RowStore(parse_address("store", address), Counters())
        try:
            page = await store.read_table("t")
        finally:
            store.close()
            await has_ended.wait()
            server.close()
        return [row.key for row in page.rows]

    assert_that(run_async(work), Equals(["k1", "k3"]))


@pytest.mark.parametrize("text", [b"1" * 400, b"1" * 5000, b"-1", b"", b"\xd9\xa3"])
def test_odd_numbers_in_headers_are_ignored(text):
    """A number of hundreds of digits ended the health checks of the target."""
    assert_that(read_milliseconds(text), Equals(None))
    read_rate_limit(text)


@pytest.mark.parametrize("odd", [b"", DEEP, b"[]", b"\xff"])
def test_odd_claim_row_fails_its_own_key_only(odd):
    """A claim that could not be read ended the task that writes all claims."""

    async def work():
        port = FakePort()
        port.store.commit([], [Write("k1", odd.decode(errors="surrogateescape"))])
        claims = ClaimWriter(port, "n1", 10_000, Counters())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(claims.run)
            deadline = read_monotonic() + 0.5
            outcomes = await asyncio.gather(
                *(claims.claim(key, key, "p", deadline) for key in ("k1", "k2")),
                return_exceptions=True,
            )
            tasks.cancel_scope.cancel()
        return outcomes

    refused, claimed = run_async(work)
    assert_that(refused, IsInstance(PlatformUnavailable))
    assert_that(claimed.holder.nonce, Equals("k2"))


def test_odd_seed_row_leaves_the_other_seeds():
    """Bytes that are no text lost the whole scan in which they stood."""

    async def work():
        address = Address("127.0.0.1", choose_port())
        store, listener = await open_row_store(address)
        for key, value in (("seed/d/0", b"\xff"), ("seed/d/1", b'"10.0.0.1:80"')):
            store.put("cactusshed", key, value)
        client = PlatformClient(f"http://{address}", 1.0, Counters())
        try:
            return [parse_seed(r.value) for r in await client.scan("seed/", "", 9)]
        finally:
            await client.aclose()
            listener.stop()

    assert_that(run_async(work), Equals([None, Address("10.0.0.1", 80)]))


def test_changes_out_of_order_are_refused():
    """A row whose change had an earlier number was read again without end."""

    async def work():
        port = FakePort()
        edits = [Edit("/*/*/s", {"version": "v1"})]
        change, _ = make_change(build_tree(0, ()), "c", "a", 0.0, edits)
        row = Write(make_change_key(2), dump_change(change).decode())
        port.store.commit([], [row])
        await read_changes(port, 1, 5)

    with pytest.raises(Malformed):
        run_async(work)


@pytest.mark.parametrize("digits", [10, 400, 5000])
def test_client_timeout_with_many_digits_is_the_timeout_of_the_route(digits):
    """A number that is no float was answered 500."""

    async def work():
        fleet = await MeshFleet.open()
        try:
            fleet.store.put_json("op", "config", make_document(1, ROUTES, ["a"]))
            (node,) = await fleet.start_connected("n1")
            answer = await node.request("/read/x", x_deadline_ms="1" * digits)
            return answer.status
        finally:
            await fleet.close()

    status = run_async(work)
    assert_that(status, Equals(200 if digits < 4000 else 431))
