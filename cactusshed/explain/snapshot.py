"""Copy of what the placement reads of the local gate.

Reading the gate's load fills its token buckets, and stores the load in the view of the
local target, which resets the calls sent since the last report. An explanation does
this on copies.
"""

import copy

import attrs

from ..mesh.candidates import Candidates
from ..mesh.gate import Gate

__all__ = ["copy_candidates"]


def copy_candidates(candidates: Candidates) -> Candidates:
    """Return candidates whose local gate and view are copies."""
    return attrs.evolve(
        candidates,
        gate=_copy_gate(candidates.gate),
        local_view=copy.deepcopy(candidates.local_view),
    )


def _copy_gate(gate: Gate) -> Gate:
    """Return a copy of a gate, of which only the load may be read.

    It shares the queue, whose figures are read without a change.
    """
    copied = copy.copy(gate)
    copied.uplink = copy.copy(gate.uplink)
    copied.cold = copy.deepcopy(gate.cold)
    copied.notices = copy.copy(gate.notices)
    copied.notices.rate_limit = copy.deepcopy(gate.notices.rate_limit)
    return copied
