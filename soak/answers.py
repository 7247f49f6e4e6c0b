"""Answers of the soak's targets, by the name that a request's path holds."""

import itertools
from collections.abc import Awaitable, Callable

from .connection import compute_digest
from .records import Run

__all__ = [
    "ANSWERS",
    "LONG_ANSWER_BYTES",
    "LONG_SHAPE",
    "REFUSED_SHAPE",
    "UNSERVED_SHAPES",
]

LONG_ANSWER_BYTES = 12 << 20
"""Size of an answer that no buffer of the kernel takes as a whole."""
LONG_SHAPE = "long"

DENYING_STATUSES = (408, 429, 503)
REFUSED_SHAPE = "refuses"
"""Name of the answer that is given without a run."""
UNSERVED_SHAPES = frozenset({REFUSED_SHAPE, "denies-run", "fails"})
"""Answers that are no success."""


def _make_body(run: Run, size: int) -> bytes:
    """Return a body that differs from those of other requests."""
    name = run.request_id.encode() + b"."
    return (name * (size // len(name) + 1))[:size]


async def _write(target, writer, run: Run, framing: bytes, parts, status=200) -> None:
    """Write an answer that bears the seal; `parts` are its body as framed."""
    seal = b"x-response-seal: s\r\n"
    head = b"HTTP/1.1 %d X\r\nx-attempt-id: %s\r\n" % (status, run.request_id.encode())
    writer.write(head + seal + target.render_notices() + framing + b"\r\n")
    for part in parts:
        writer.write(part)
    await writer.drain()


def _finish(run: Run, body: bytes, status: int = 200) -> bytes:
    run.answer_digest, run.status = compute_digest(body), status
    return body


def _by_length(size: int, status: int = 200) -> Callable:
    async def answer(target, writer, run: Run, _left: float) -> bool:
        body = _finish(run, _make_body(run, size), status)
        framing = b"content-length: %d\r\n" % len(body)
        await _write(target, writer, run, framing, [body], status)
        return True

    return answer


def _in_chunks(size: int, chunk_size: int) -> Callable:
    async def answer(target, writer, run: Run, _left: float) -> bool:
        body = _finish(run, _make_body(run, size))
        chunks = (body[n : n + chunk_size] for n in range(0, size, chunk_size))
        parts = (b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
        framing = b"transfer-encoding: chunked\r\n"
        parts = itertools.chain(parts, [b"0\r\n\r\n"])
        await _write(target, writer, run, framing, parts)
        return True

    return answer


async def _until_end(target, writer, run: Run, _left: float) -> bool:
    """Answer without a length; the end of the connection ends the body."""
    body = _finish(run, _make_body(run, 50_000))
    await _write(target, writer, run, b"", [body])
    return False


async def _deny_run(target, writer, run: Run, _left: float) -> bool:
    """Answer with a status that denies the run, which took place."""
    status = DENYING_STATUSES[len(target.run_log) % len(DENYING_STATUSES)]
    return await _by_length(0, status)(target, writer, run, _left)


async def _make_call(target, writer, run: Run, left: float) -> bool:
    """Answer once a call of its own, through its node, is answered."""
    status = 200 if await target.call(run, left) else 500
    return await _by_length(20, status)(target, writer, run, left)


ANSWERS: dict[str, Callable[..., Awaitable[bool]]] = {
    "plain": _by_length(20),
    "empty": _by_length(0),
    "large": _by_length(2 << 20),
    LONG_SHAPE: _by_length(LONG_ANSWER_BYTES),
    "chunks": _in_chunks(65_536, 4096),
    "byte-chunks": _in_chunks(2000, 1),
    "unframed": _until_end,
    "fails": _by_length(20, status=500),
    REFUSED_SHAPE: _by_length(0, status=503),
    "denies-run": _deny_run,
    "calls": _make_call,
}
"""Function that writes each answer; it returns whether its connection stays open."""
