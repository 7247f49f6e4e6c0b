"""The gRPC control service that other nodes call."""

from collections.abc import Callable, Iterable

import grpc

from ..clock import read_monotonic
from ..errors import Malformed
from ..member.joiner import make_sync_replies
from ..member.records import load_member
from ..member.view import View
from ..observe.counters import Counters
from ..observe.tallies import Tallies
from ..wire import control_pb2 as pb
from ..wire.control_pb2_grpc import ControlServicer
from .feed import Feed
from .poller import Poller
from .reports import Reports

__all__ = ["Servicer"]


class Servicer(ControlServicer):
    """Implements the control service on top of the components of the node."""

    def __init__(
        self,
        feed: Feed,
        poller: Poller,
        reports: Reports,
        view: View,
        tallies: Tallies,
        count_running: Callable[[str], int],
        counters: Counters,
        list_strikes: Callable[[], Iterable[pb.Strike]],
    ) -> None:
        """Delegate to the given components."""
        self._feed = feed
        self._poller = poller
        self._reports = reports
        self._view = view
        self._tallies = tallies
        self._count_running = count_running
        self._counters = counters
        self._list_strikes = list_strikes

    async def Follow(self, _request_iterator, context):  # noqa: N802
        """Serve the feed to one child."""
        await self._feed.serve_child(context.read, context.write)

    async def Since(self, request, context):  # noqa: N802
        """Send the updates from the peer's version to the active one."""
        async for update in self._feed.list_updates(request.number):
            self._counters.add("control_bytes_sent", update.ByteSize())
            await context.write(update)

    async def Hint(self, request, _context):  # noqa: N802
        """Poll immediately if the peer knows of a newer head."""
        self._poller.hint(request.number)
        return pb.HintReply(number=request.number)

    async def Sync(self, request, context):  # noqa: N802
        """Merge the peer's record and send the records that it lacks."""
        try:
            sender = load_member(request.sender)
        except Malformed as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        for reply in make_sync_replies(self._view, request, self._list_strikes()):
            self._counters.add("control_bytes_sent", reply.ByteSize())
            await context.write(reply)
        self._view.merge(sender, read_monotonic())

    async def Summary(self, _request, _context):  # noqa: N802
        """Return a report that covers this node and its descendants."""
        return self._reports.summarise()

    async def Evidence(self, request, _context):  # noqa: N802
        """Return this node's tallies and running calls of one service."""
        tallies = [
            pb.Tally(
                version=key.version,
                route=key.route,
                target=key.target,
                calls=tally.calls,
                failures=tally.failures,
                times=tally.times,
            )
            for key, tally in self._tallies.list_service(request.service)
        ]
        local_member = self._view.local_member
        return pb.EvidenceReply(
            node=local_member.node,
            incarnation=local_member.incarnation,
            tallies=tallies,
            running=self._count_running(request.service),
        )
