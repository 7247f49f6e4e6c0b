"""The control service that other nodes call by gRPC."""

from collections.abc import Callable

import grpc

from ..clock import read_monotonic
from ..errors import Malformed
from ..member.join import list_sync_replies
from ..member.records import load_member
from ..member.view import View
from ..observe.counters import Counters
from ..observe.tallies import Tallies
from ..wire import control_pb2 as pb
from ..wire.control_pb2_grpc import ControlServicer
from .feed import Feed
from .poll import Poller
from .reports import Reports

__all__ = ["Servicer"]


class Servicer(ControlServicer):
    """Hands each call to the part of the node that answers it."""

    def __init__(
        self,
        feed: Feed,
        poller: Poller,
        reports: Reports,
        view: View,
        tallies: Tallies,
        count_running: Callable[[str], int],
        counters: Counters,
    ) -> None:
        """Answer from the given parts of the node."""
        self._feed = feed
        self._poller = poller
        self._reports = reports
        self._view = view
        self._tallies = tallies
        self._count_running = count_running
        self._counters = counters

    async def Follow(self, _request_iterator, context):  # noqa: N802
        """Serve the feed to one child."""
        await self._feed.serve_child(context.read, context.write)

    async def Since(self, request, context):  # noqa: N802
        """Send what leads from the caller's version to the one held here."""
        async for update in self._feed.list_updates(request.number):
            self._counters.add("control_bytes_sent", update.ByteSize())
            await context.write(update)

    async def Hint(self, request, _context):  # noqa: N802
        """Learn that the head has moved."""
        self._poller.hint(request.number)
        return pb.HintReply(number=request.number)

    async def Sync(self, request, context):  # noqa: N802
        """Take the caller's record and send those that it lacks."""
        try:
            sender = load_member(request.sender)
        except Malformed as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        for reply in list_sync_replies(self._view, request):
            self._counters.add("control_bytes_sent", reply.ByteSize())
            await context.write(reply)
        self._view.merge(sender, read_monotonic())

    async def Summary(self, _request, _context):  # noqa: N802
        """Report on this node and all below it."""
        return self._reports.summarise()

    async def Evidence(self, request, _context):  # noqa: N802
        """Send this node's tallies of one service."""
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
        own = self._view.own
        return pb.EvidenceReply(
            node=own.node,
            incarnation=own.incarnation,
            tallies=tallies,
            running=self._count_running(request.service),
        )
