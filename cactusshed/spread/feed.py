"""Server side of the feed: a bounded number of streams, one to each child."""

import random
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import grpc

from ..observe.counters import Counters
from ..wire import control_pb2 as pb
from .activeversion import ActiveVersion
from .messages import make_updates
from .reports import Reports
from .topology import FAN_OUT

__all__ = ["Feed"]

ReadReport = Callable[[], Awaitable[pb.Report]]
WriteUpdate = Callable[[pb.Update], Awaitable[None]]

HEARTBEAT_SECONDS = 2.0
WAITING_HEARTBEAT_SECONDS = 0.25
"""Time between heartbeats to a child that is not ready to serve."""
MAX_CHILDREN = 2 * FAN_OUT
"""Twice the fan-out: while views differ, a parent may get more children."""
MAX_SNAPSHOTS = 4
"""Snapshots sent concurrently; further requests get a retry delay."""
RETRY_MS = 500
"""Shortest retry delay; up to `RETRY_JITTER_MS` of jitter are added."""
RETRY_JITTER_MS = 2_500


class Feed:
    """The streams to the children of this node."""

    def __init__(
        self, current: ActiveVersion, reports: Reports, counters: Counters
    ) -> None:
        """Send updates of `current`; store the children's reports in `reports`."""
        self._current = current
        self._reports = reports
        self._counters = counters
        self._children = 0
        self._snapshots = 0
        self._random = random.Random()  # noqa: S311

    async def serve_child(self, read: ReadReport, write: WriteUpdate) -> None:
        """Read reports of one child and send it updates until its stream ends."""
        if self._children >= MAX_CHILDREN:
            await write(self._make_retry_update())
            return
        first = await read()
        if first is grpc.aio.EOF:
            return
        child = _Child(first)
        self._children += 1
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._store_reports, child, read, tasks)
                await self._send_updates(child, write)
                tasks.cancel_scope.cancel()
        finally:
            self._children -= 1
            self._reports.drop(child.node)

    async def _store_reports(self, child: "_Child", read: ReadReport, tasks) -> None:
        report = child.report
        while report is not grpc.aio.EOF:
            self._counters.add("control_bytes_received", report.ByteSize())
            self._reports.store(report)
            report = await read()
        tasks.cancel_scope.cancel()

    async def _send_updates(self, child: "_Child", write: WriteUpdate) -> None:
        while True:
            async for update in self.list_updates(child.sent):
                self._count_sent(update)
                await write(update)
                if update.retry_after_ms:
                    return
                child.sent = update.number
            if child.sent >= self._current.number:
                is_waiting = child.report.waiting
                pause = WAITING_HEARTBEAT_SECONDS if is_waiting else HEARTBEAT_SECONDS
                await self._current.wait_change(pause)

    async def list_updates(self, after: int) -> AsyncIterator[pb.Update]:
        """Yield the updates after version `after`.

        At most `MAX_SNAPSHOTS` snapshots are sent at once.
        """
        if self._current.list_changes_after(after) is not None:
            for update in make_updates(self._current, after):
                yield update
            return
        if self._snapshots >= MAX_SNAPSHOTS:
            yield self._make_retry_update()
            return
        self._snapshots += 1
        self._counters.add("snapshots_sent")
        try:
            for update in make_updates(self._current, after):
                yield update
        finally:
            self._snapshots -= 1

    def _make_retry_update(self) -> pb.Update:
        self._counters.add("resyncs_deferred")
        delay_ms = RETRY_MS + self._random.randrange(RETRY_JITTER_MS)
        return pb.Update(retry_after_ms=delay_ms)

    def _count_sent(self, update: pb.Update) -> None:
        self._counters.add("feed_messages_sent")
        self._counters.add("control_bytes_sent", update.ByteSize())


class _Child:
    """State of one child: its first report and the last version sent to it."""

    def __init__(self, report: pb.Report) -> None:
        self.report = report
        self.node = report.node
        self.sent = report.number
