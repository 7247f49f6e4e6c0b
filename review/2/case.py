"""An answer without end takes a node over its memory limit."""

import asyncio
import time

from common.case import HAS_TROUBLE, run_case
from common.document import HOST
from common.http import encode_message, send_once

PLAY_SECONDS = 55.0
REQUESTS_PER_SECOND = 60
DEADLINE_MS = 5000
"""About that of the reads of the users' large deployment."""
GARBLED_SHARE = 0.02
"""Share of the answers of the garbling backends, as in the site file's list."""
GARBLING = 2
"""Number of garbling backends of six, 0.35 of them."""
MEMORY_MB = 200
"""That of the smallest machines of the same deployment."""
RESTART_SECONDS = 0.5
ENDS_PER_MACHINE, MACHINES = 3, 2
"""The rule is broken if as many processes end at as many machines."""
CHUNK = b"2\r\nno\r\n"
STREAM_BLOCK = CHUNK * 9000


def make_work(record, garbling):
    """Return the function that runs requests at all backends."""

    async def work(backend, request, writer):
        await asyncio.sleep(0.09)
        number = len(backend.runs)
        if backend in garbling and number * GARBLED_SHARE % 1 < GARBLED_SHARE:
            await stream_endlessly(backend, request, writer, record)
            return None
        return 200, {"x-response-seal": "3e1b.07"}, b"text"

    return work


async def stream_endlessly(backend, request, writer, record):
    """Send small chunks until the caller closes the connection."""
    request_id = request.headers["x-attempt-id"]
    record.write(f"{request_id}: {backend.name} answers without end")
    head = encode_message(
        "HTTP/1.1 200 OK",
        {"x-attempt-id": request_id, "x-response-seal": "3e1b.07"},
    )
    head = head.replace(b"content-length: 0", b"transfer-encoding: chunked")
    writer.write(head)
    started = time.monotonic()
    size = 0
    try:
        while True:
            writer.write(STREAM_BLOCK)
            size += len(STREAM_BLOCK)
            await writer.drain()
            await asyncio.sleep(0)
    finally:
        seconds = time.monotonic() - started
        record.write(f"{request_id}: closed after {seconds:.2f} s, {size} bytes")


async def guard_memory(node, record, ends):
    """Do as the platform: kill a process over its memory, and start it again."""
    peak = 0.0
    while True:
        await asyncio.sleep(0.02)
        if node.process.poll() is not None:
            record.write(f"{node.name}: ended by itself")
            ends[node.name] += 1
            await restart(node)
            continue
        memory = node.measure_memory()
        if memory > peak + 25:
            peak = memory
            record.write(f"{node.name}: {memory:.0f} MB")
        if memory > MEMORY_MB:
            node.kill()
            ends[node.name] += 1
            record.write(f"{node.name}: killed at {memory:.0f} MB")
            await restart(node)


async def restart(node):
    """Start a node again after a short delay."""
    await asyncio.sleep(RESTART_SECONDS)
    node.start()


async def ask(node, number, record, counts):
    """Send one request and count its status."""
    request_id = f"{number:016x}"
    is_read = number % 3 > 0
    answer = await send_once(
        node.listen["outbound"],
        f"{'GET /texte' if is_read else 'POST /deposer'}/{number} HTTP/1.1",
        {
            "host": HOST,
            "x-attempt-id": request_id,
            "x-deadline-ms": str(DEADLINE_MS),
        },
        b"" if is_read else b"text",
        timeout=DEADLINE_MS / 1000 + 0.5,
    )
    status = answer.status if answer else 0
    counts[status] = counts.get(status, 0) + 1
    if status != 200:
        kind = "read" if is_read else "submission"
        record.write(f"{request_id}, {kind} to {node.name}: {status or 'no answer'}")


async def play(deployment, record):
    """Send requests while two backends garble; count the ends of processes."""
    garbling = []
    rules = [
        ("/texte/", "safe", "textes", "5000ms"),
        ("/deposer/", "unsafe", "textes", "5000ms"),
    ]
    deployment.memory_mb = MEMORY_MB
    await deployment.open(["textes"] * 6, rules, make_work(record, garbling))
    if HAS_TROUBLE:
        garbling.extend(deployment.backends[:GARBLING])
    ends = {node.name: 0 for node in deployment.nodes}
    guards = [
        asyncio.create_task(guard_memory(node, record, ends))
        for node in deployment.nodes
    ]
    counts = {}
    asking = []
    started = time.monotonic()
    number = 0
    while time.monotonic() - started < PLAY_SECONDS:
        number += 1
        node = deployment.nodes[number % len(deployment.nodes)]
        asking.append(asyncio.create_task(ask(node, number, record, counts)))
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)
    await asyncio.gather(*asking)
    for guard in guards:
        guard.cancel()
    record.write(f"statuses: {counts}")
    record.write(f"processes that ended: {ends}")
    broken = sum(count >= ENDS_PER_MACHINE for count in ends.values())
    return broken if broken >= MACHINES else 0


run_case(play)
