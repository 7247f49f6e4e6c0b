"""Behaviours of the soak's clients: each function takes one turn of a client."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

import attrs

from standins.meshfleet import HOST, render_request

from .answers import LONG_ANSWER_BYTES, LONG_SHAPE
from .clients import Client, make_headers, render
from .records import is_unsafe

__all__ = ["CLIENTS", "CROSSING_KINDS"]

MAX_PIPELINED = 5
MAX_TRIES = 4
RETRY_SHARE = 1 / 3
"""Share of the time left for which a client waits before it tries again."""
PROMISES = (408, 421, 429, 503)
FINAL = (400, 401, 404, 413, 431)
"""Answers after which no client tries again."""
SLOW_READ_BYTES = 65_536
MAX_CHANGING_KEYS = 40
"""Keys that are tried: the last ones added, most of which have been removed since."""


async def _use_ready(client: Client) -> None:
    """Use a kept connection to any ready node."""
    if node := client.choose_node():
        await client.request(node, client.choose_path())


async def _use_until_gone(client: Client) -> None:
    """Use one node, ready or not, until it accepts no connection."""
    node = client.choose_node()
    if node is None:
        return
    client.home = node.name
    record = await client.request(node, client.choose_path())
    if not record.was_sent:
        client.home = ""


async def _submit_in_chunks(client: Client) -> None:
    """Send a body in chunks of sizes from one byte to the whole."""
    await _send_chunks(client, ("/write/", "/post/"), pause=0.0)


async def _pause_in_body(client: Client) -> None:
    """Stop for some time in the middle of a body, by length or in chunks."""
    await _send_chunks(client, ("/slow/",), pause=client.rng.uniform(0.1, 1.8))


async def _send_chunks(client: Client, routes, pause: float) -> None:
    node, path = client.choose_node(), client.choose_path(routes)
    body, is_chunked = client.draw_body(path), client.rng.random() < 0.7
    size = client.rng.choice([1, 100, 4096, 70_000])
    cut_point = client.rng.random()
    if node is None:
        return
    record = client.make_record(node, path, body)
    data = render(record, body)
    if is_chunked:
        framing = make_headers(record, {"transfer_encoding": "chunked"})
        head = render_request(b"GET", path, framing).replace(b"GET", b"POST", 1)
        size = max(size, len(body) // 500)
        chunks = (body[n : n + size] for n in range(0, len(body), size))
        framed = [b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks]
        data = head + b"".join(framed) + b"0\r\n\r\n"
    head_size = data.index(b"\r\n\r\n") + 4
    cut = head_size + int(cut_point * (len(data) - head_size))
    parts = [data[:cut], pause, data[cut:]] if pause and cut < len(data) else [data]
    await client.send(node, [record], parts)


async def _read_slowly(client: Client) -> None:
    """Read a long answer slowly; stop once in the middle and resume."""
    seconds, stop = client.rng.uniform(0.3, 3.5), client.rng.uniform(0.1, 0.8)
    node, path = client.choose_node(), client.choose_path(("/long/",), LONG_SHAPE)
    received, began = 0, 0.0

    async def pace(size: int) -> None:
        nonlocal received, began
        now = time.monotonic()
        began = began or now
        was_half = received > LONG_ANSWER_BYTES / 2
        received += size
        # By the clock: with many nodes, each sleep takes longer than it should.
        due = began + seconds * received / LONG_ANSWER_BYTES
        await asyncio.sleep(max(0.0, due - now))
        if not was_half and received > LONG_ANSWER_BYTES / 2:
            began += stop
            await asyncio.sleep(stop)

    if node is None:
        return
    record = client.make_record(node, path)
    await client.send(
        node, [record], [render(record, b"")], pace, receive_bytes=SLOW_READ_BYTES
    )


async def _offer_upgrade(client: Client) -> None:
    """Offer another protocol with a submission."""
    offer = {"upgrade": "h2c", "connection": "Upgrade, HTTP2-Settings"}
    await _submit(client, {**offer, "http2-settings": "AAMAAABkAARAAAAAAAIAAAAA"})


async def _expect_continue(client: Client) -> None:
    """Send the body after an interim answer, or after a short time without one."""
    await _submit(client, {"expect": "100-continue"}, waits=True)


async def _submit(client: Client, headers: dict, waits: bool = False) -> None:
    node, path = client.choose_node(), client.choose_path(("/write/", "/post/"))
    body = client.draw_body(path)
    if node is None:
        return
    record = client.make_record(node, path, body)
    data = render(record, body, **headers)
    cut = len(data) - len(body)
    await client.send(
        node, [record], [data[:cut], None, data[cut:]] if waits else [data]
    )


async def _connect(client: Client) -> None:
    """Ask for a tunnel, which no node offers."""
    node = client.choose_node()
    if node is None:
        return
    record = client.make_record(node, "/tunnel/")
    headers = make_headers(record, {})
    data = render_request(b"CONNECT", f"{HOST}:443", headers)
    data = data.replace(b"content-length: 0\r\n", b"")
    await client.send(node, [record], [data])


async def _pipeline(client: Client) -> None:
    """Send several safe requests before the first one is answered."""
    count = client.rng.randint(2, MAX_PIPELINED)
    paths = [client.choose_path(("/read/", "/other/"), "plain") for _ in range(count)]
    node = client.choose_node()
    if node is None:
        return
    records = [client.make_record(node, path) for path in paths]
    await client.send(node, records, [b"".join(render(r, b"") for r in records)])


async def _give_up(client: Client) -> None:
    """Close before the answer."""
    patience = client.rng.uniform(0.01, 0.4)
    node, path = client.choose_node(), client.choose_path()
    body = client.draw_body(path)
    if node is None:
        return
    record = client.make_record(node, path, body)
    try:
        async with asyncio.timeout(patience):
            await client.send(node, [record], [render(record, body)])
    except TimeoutError:
        record.has_left, record.ended = True, time.monotonic()


async def _retry(client: Client) -> None:
    """Try again as clients may, each time on a new connection and with a new id."""
    path, end = client.choose_path(), time.monotonic() + 1.0
    body = client.draw_body(path)
    # The number of tries depends on the answers; the client's further draws must not.
    client = attrs.evolve(client, rng=random.Random(client.rng.random()))
    for _ in range(MAX_TRIES):
        node, left = client.choose_node(), end - time.monotonic()
        if node is None or left <= 0.02:
            return
        client.close()
        record = await client.request(node, path, body, deadline=left)
        may_repeat = record.status in PROMISES or not record.was_sent
        if 200 <= record.status < 300 or record.status in FINAL:
            return
        if is_unsafe(path) and not may_repeat:
            return
        left = end - time.monotonic()
        await asyncio.sleep(max(0.0, min(record.retry_after, left * RETRY_SHARE)))


async def _try_changing_keys(client: Client) -> None:
    """Try the keys that the operator has added, and mostly removed again."""
    node = client.choose_node()
    for key in client.clients.fleet.keys.changing[-MAX_CHANGING_KEYS:]:
        if node is not None:
            await client.request(node, "/read/plain/5", b"", key=key.text)


CLIENTS: dict[str, Callable[[Client], Awaitable[None]]] = {
    "steady": _use_ready,
    "until-gone": _use_until_gone,
    "chunks": _submit_in_chunks,
    "pause-in-body": _pause_in_body,
    "slow-reader": _read_slowly,
    "upgrade": _offer_upgrade,
    "expect": _expect_continue,
    "connect": _connect,
    "pipelined": _pipeline,
    "gives-up": _give_up,
    "retrying": _retry,
    "changing-keys": _try_changing_keys,
}
"""Function that takes a turn of a client, by the name of its behaviour."""
CROSSING_KINDS = frozenset({"until-gone", "calls", "pause-in-body"})
"""Clients that use nodes which are not ready, so requests may cross a close."""
