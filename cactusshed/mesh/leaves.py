"""Processes of the local target whose leave is known.

A leave may arrive after a later process has started under the same name.
"""

import attrs

from .frames import TargetState

__all__ = ["KnownLeaves"]


@attrs.define
class KnownLeaves:
    """Start times of the targets that have left, in Unix milliseconds by name.

    A leave may arrive before this node knows the target, and may name no start time,
    which is 0 then and stands for every process of that name.
    """

    _start_times: dict[str, int] = attrs.Factory(dict)

    def note(self, name: str, start_time: int, present: TargetState) -> bool:
        """Record a leave; return whether it is that of the process `present`.

        One that names no start time is that of the present process of its name.
        """
        if name == present.name:
            start_time = start_time or present.start_time
        self.add(name, start_time)
        return name == present.name and self.has(name, present.start_time)

    def add(self, name: str, start_time: int) -> None:
        """Record the leave of a process, and of those that started before it."""
        self._start_times[name] = max(start_time, self._start_times.get(name, 0))

    def has(self, name: str, start_time: int) -> bool:
        """Return whether the leave of a process is known."""
        left_start = self._start_times.get(name)
        return left_start is not None and (not left_start or start_time <= left_start)
