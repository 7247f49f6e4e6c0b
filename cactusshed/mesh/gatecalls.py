"""Calls to one gate, that of the local target or of another node's."""

import asyncio

from ..observe.lines import log_line
from .frames import NOT_RUN, UNKNOWN, Call, Load, Result
from .gate import Gate
from .link import LinkLost, NotSent
from .member import Member
from .peers import Peers
from .silentattempts import TargetSilent

__all__ = ["EMPTY_LOAD", "run_local", "run_remote"]

EMPTY_LOAD = Load(0, 0, 1, 0.0)
"""Load in results that come from no gate."""


async def run_local(gate: Gate, call: Call) -> Result:
    """Run a call on the local target; raise `TargetSilent` if the call asks for it."""
    if call.reports_silence:
        return await _run_watched(gate, call)
    if call.is_idempotent:
        return await gate.run(call)
    # A call that can't be retried completes even if the client disconnects.
    task = asyncio.create_task(gate.run(call))
    try:
        return await asyncio.shield(task)
    except asyncio.CancelledError:
        if not gate.outcomes.is_dispatched(call):
            task.cancel()
        raise


async def _run_watched(gate: Gate, call: Call) -> Result:
    silence = asyncio.get_running_loop().create_future()
    task = asyncio.create_task(gate.run(call, lambda: silence.set_result(None)))
    try:
        await asyncio.wait((task, silence), return_when=asyncio.FIRST_COMPLETED)
    except asyncio.CancelledError:
        task.cancel()
        raise
    if not task.done():
        raise TargetSilent(task, task.cancel)
    return task.result()


async def run_remote(
    peers: Peers, member: Member, call: Call, deadline: float
) -> Result:
    """Run a call at another node; raise `TargetSilent` if the call asks for it.

    If the link breaks, the outcome of a call that can't be retried is queried until
    `deadline`, in monotonic seconds.
    """
    start_time = member.start_time
    try:
        return await peers.call(member, call)
    except NotSent:
        return Result(0, NOT_RUN, EMPTY_LOAD, code="node-unreachable")
    except LinkLost:
        pass
    if call.is_idempotent:
        return Result(0, UNKNOWN, EMPTY_LOAD, code="link-lost", reached_target=True)
    resolved = await peers.resolve_outcome(member, start_time, call, deadline)
    log_line(
        "call-settled",
        request=call.request_id,
        peer=member.node,
        outcome=resolved.code or "answered" if resolved else "unknown",
    )
    if resolved is None:
        return Result(0, UNKNOWN, EMPTY_LOAD, code="peer-died", reached_target=True)
    return resolved
