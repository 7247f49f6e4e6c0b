"""Requests of one connection: when each one is dispatched, and the order of answers.

Safe requests behind one another run at the same time. Any other request runs alone: a
client sends what lies behind a response that closes the connection again, so such a
request must not have been dispatched.
"""

import asyncio
from collections import deque
from collections.abc import Callable

import attrs

from ..observe.lines import log_line
from .messages import Handler, Request, Response, make_response

__all__ = ["Pipeline"]

MAX_RUNNING = 8
"""Requests of one connection that run at the same time."""
MAX_READ_AHEAD = 64
"""Requests of one connection at which reading pauses. While it does, the node does not
see that the client leaves, so it is more than clients send ahead."""


@attrs.define(eq=False)
class _Entry:
    """One request and, once it is known, its response."""

    request: Request | None
    keep_alive: bool
    task: asyncio.Task | None = None
    response: Response | None = None
    waiting_bytes: int = 0
    """Memory of a response that waits for earlier ones."""


@attrs.define(eq=False)
class Pipeline:
    """Dispatched and waiting requests of one connection, in the order of arrival."""

    serve: Handler
    is_safe: Callable[[Request], bool]
    is_closing: Callable[[], bool]
    """Returns whether connections are to close after the dispatched requests."""
    write: Callable[[Request | None, Response, bool], None]
    """Writes a response; the last argument is false for the connection's last one."""
    drop: Callable[[Request], None]
    """Called with each request that gets no response."""
    on_idle: Callable[[], None]
    """Called after a response with no further request pending."""
    add_waiting: Callable[[int], None]
    """Called with the memory of each response that waits for earlier ones, and with the
    same as a negative number once it is next."""
    is_short: Callable[[], bool]
    """Returns whether there is too little memory for responses that wait."""
    _dispatched: deque[_Entry] = attrs.Factory(deque)
    _waiting: deque[_Entry] = attrs.Factory(deque)
    _is_ended: bool = False
    """Whether no further request will be added."""
    _is_held: bool = False
    """Whether the client does not read its responses fast enough."""

    @property
    def is_busy(self) -> bool:
        """Return whether a request is being served or waits."""
        return bool(self._dispatched or self._waiting)

    @property
    def has_work(self) -> bool:
        """Return whether a request is being served or is about to be."""
        return bool(self._dispatched or (self._waiting and not self._is_held))

    @property
    def is_full(self) -> bool:
        """Return whether reading should pause."""
        return len(self._dispatched) + len(self._waiting) >= MAX_READ_AHEAD

    def add(
        self, request: Request, *, keep_alive: bool, response: Response | None = None
    ) -> None:
        """Add a request; without `keep_alive` it is the last one.

        With a `response`, it is not dispatched.
        """
        if self._is_ended:
            self.drop(request)
            return
        self._is_ended = not keep_alive
        self._waiting.append(_Entry(request, keep_alive, response=response))
        self._advance()

    def add_refusal(self, response: Response) -> None:
        """Answer input that is no request after the requests before it, and end."""
        if not self._is_ended:
            self._is_ended = True
            self._waiting.append(_Entry(None, False, response=response))
            self._advance()

    def hold(self, is_held: bool) -> None:
        """Stop dispatching while the client does not read, or resume."""
        self._is_held = is_held
        if not is_held:
            self._advance()

    def cancel(self) -> None:
        """Cancel the requests being served and drop the waiting ones."""
        self._drop_waiting()
        while self._dispatched:
            entry = self._dispatched.popleft()
            if entry.task is not None:
                entry.task.cancel()
            if entry.request is not None:
                self.drop(entry.request)

    def _drop_waiting(self) -> None:
        self._is_ended = True
        while self._waiting:
            entry = self._waiting.popleft()
            if entry.request is not None:
                self.drop(entry.request)

    def _advance(self) -> None:
        while self._waiting and self._may_dispatch(self._waiting[0]):
            entry = self._waiting.popleft()
            self._dispatched.append(entry)
            if entry.response is None:
                loop = asyncio.get_running_loop()
                entry.task = loop.create_task(self._run(entry))
        self._write_finished()

    def _may_dispatch(self, entry: _Entry) -> bool:
        if entry.response is not None:
            return True
        if self._is_held:
            return False
        if not self._dispatched:
            return True
        if self.is_closing() or len(self._dispatched) >= MAX_RUNNING:
            return False
        if self.is_short():
            return False
        return all(self.is_safe(other.request) for other in (entry, *self._dispatched))

    async def _run(self, entry: _Entry) -> None:
        try:
            entry.response = await self.serve(entry.request)
        except Exception as error:
            log_line("request-failed", path=entry.request.path[:80], error=repr(error))
            # Nothing is known about whether it ran, so no status that denies it.
            entry.response = make_response(500)
        entry.task = None
        if self._dispatched and self._dispatched[0] is not entry:
            entry.waiting_bytes = entry.response.held_bytes
            self.add_waiting(entry.waiting_bytes)
        self._write_finished()

    def _write_finished(self) -> None:
        """Write the responses that are next in order, then dispatch what may follow."""
        wrote = False
        while self._dispatched and self._dispatched[0].response is not None:
            entry = self._dispatched.popleft()
            keep_alive = entry.keep_alive and not (
                self.is_closing() and not self._dispatched
            )
            if not keep_alive:
                # What waits was never dispatched; the client sends it again.
                self._drop_waiting()
            if entry.waiting_bytes:
                self.add_waiting(-entry.waiting_bytes)
            self.write(entry.request, entry.response, keep_alive)
            wrote = True
        if wrote and self._waiting:
            self._advance()
        elif wrote and not self._dispatched:
            self.on_idle()
