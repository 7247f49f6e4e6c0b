"""Bytes that are no request, without end, at the listeners of both kinds."""

import asyncio
import gc
import time
import tracemalloc
from contextlib import suppress

import pytest
from testtools.assertions import assert_that
from testtools.matchers import LessThan

from standins.endless import ENDLESS_REQUESTS

from .listeners import LISTENERS, MEMORY_BYTES
from .meshes import run_async

MAX_SECONDS = 8.0
"""The listener of the mesh allows 3 s for a request; a busy machine takes longer."""
BODIES = {"endless-body", "endless-length", "endless-tiny-chunks"}
BODY_MEMORY_SHARE = 0.36
"""Share of the process's memory for bodies of requests, in up to three copies."""
HEAD_MEMORY_BYTES = 4 << 20
"""Memory for a head or for framing, and for what is read from a socket at a time."""
MAX_SENT_BYTES = 32 << 20
"""Bytes that show whether a head or framing is kept."""


async def send_until_closed(address, action, max_bytes=float("inf")):
    """Send a request until its connection ends, reading what is answered."""
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    reading = asyncio.create_task(reader.read())
    start, repeated = ENDLESS_REQUESTS[action]
    writer.write(start)
    sent = 0
    try:
        while sent < max_bytes:
            writer.write(repeated)
            await writer.drain()
            sent += len(repeated)
    except ConnectionError:
        pass
    finally:
        writer.close()
        reading.cancel()
        with suppress(ConnectionError, asyncio.CancelledError):
            await reading


@pytest.mark.parametrize("action", ENDLESS_REQUESTS)
@pytest.mark.parametrize("kind", list(LISTENERS))
def test_request_without_end_is_cut_off(kind, action):
    """Framing without end was read for as long as the client sent it."""

    async def run():
        async with LISTENERS[kind]() as address:
            started = time.monotonic()
            with suppress(TimeoutError):
                async with asyncio.timeout(MAX_SECONDS):
                    await send_until_closed(address, action)
            return time.monotonic() - started

    assert_that(run_async(run), LessThan(MAX_SECONDS))


@pytest.mark.parametrize("action", ENDLESS_REQUESTS)
@pytest.mark.parametrize("kind", list(LISTENERS))
def test_request_without_end_takes_bounded_memory(kind, action):
    """The product kept a head or trailers without end until its memory was used up."""
    limit = BODY_MEMORY_SHARE * MEMORY_BYTES if action in BODIES else HEAD_MEMORY_BYTES

    async def run():
        async with LISTENERS[kind]() as address:
            with suppress(TimeoutError):
                async with asyncio.timeout(MAX_SECONDS):
                    await send_until_closed(address, action, MAX_SENT_BYTES)

    gc.collect()
    tracemalloc.start()
    try:
        run_async(run)
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert_that(peak, LessThan(limit))
