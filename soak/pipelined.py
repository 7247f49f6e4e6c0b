"""Soak clients that send several safe requests before the first one is answered."""

import asyncio
import time

import attrs
import httptools

from standins.meshfleet import render_request

from .clients import ANSWER_TIMEOUT_SECONDS, DEADLINE_SECONDS, Clients, Record
from .fleet import Node

__all__ = ["run_pipelined"]

MAX_PIPELINED = 5
PAUSE_SECONDS = 0.3
"""Mean pause between two batches of one client."""


@attrs.define(eq=False)
class _Answers:
    """Callbacks of the parser; fills the records in the order of their requests."""

    records: list[Record]
    count: int = 0
    closes: bool = False
    """Whether an answer announced that the connection closes after it."""
    parser: httptools.HttpResponseParser | None = None
    _body: bytes = b""

    @property
    def is_complete(self) -> bool:
        """Return whether every request has its answer."""
        return self.count == len(self.records)

    def on_message_begin(self) -> None:
        """Start an answer."""
        self._body = b""

    def on_body(self, data: bytes) -> None:
        """Add a part of its body."""
        self._body += data

    def on_message_complete(self) -> None:
        """Store the answer in the record of the next request."""
        if self.is_complete:
            return
        record = self.records[self.count]
        record.status, record.body = self.parser.get_status_code(), self._body
        record.ended = time.monotonic()
        self.closes = self.closes or not self.parser.should_keep_alive()
        self.count += 1


async def run_pipelined(clients: Clients) -> None:
    """Send batches of safe requests until cancelled."""
    while True:
        node = clients.choose_node()
        if node is not None:
            count = clients.rng.randint(2, MAX_PIPELINED)
            await _send_batch(node, [clients.make_record(node) for _ in range(count)])
        await asyncio.sleep(PAUSE_SECONDS * clients.rng.uniform(0.5, 1.5))


async def _send_batch(node: Node, records: list[Record]) -> None:
    answers = _Answers(records)
    answers.parser = httptools.HttpResponseParser(answers)
    address, writer = node.caller_address, None
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(address.ip, address.port)
            writer.write(b"".join(map(_render, records)))
            while not answers.is_complete and (data := await reader.read(65536)):
                answers.parser.feed_data(data)
    except (OSError, TimeoutError, httptools.HttpParserError) as error:
        cause = repr(error)
    else:
        cause = "connection ended"
    finally:
        if writer is not None:
            writer.close()
    for record in records[answers.count :]:
        record.cause, record.ended = cause, time.monotonic()
        # What lies behind an answer that closes the connection was not read.
        record.was_sent = writer is not None and not answers.closes


def _render(record: Record) -> bytes:
    return render_request(
        b"GET",
        record.path,
        {
            "x_attempt_id": record.request_id,
            "x_deadline_ms": str(int(1000 * DEADLINE_SECONDS)),
        },
    )
