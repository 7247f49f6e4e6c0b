"""Processes of the local target whose leave is known."""

import attrs

__all__ = ["KnownLeaves"]


@attrs.define
class KnownLeaves:
    """Start times of the targets that have left, in Unix milliseconds by name.

    A leave may arrive before this node knows the target, and may name no start time,
    which is 0 then and stands for every process of that name.
    """

    _start_times: dict[str, int] = attrs.Factory(dict)

    def add(self, name: str, start_time: int) -> None:
        """Record the leave of a process; a later leave replaces an earlier one."""
        self._start_times[name] = start_time

    def has(self, name: str, start_time: int) -> bool:
        """Return whether the leave of a process is known."""
        left_start = self._start_times.get(name)
        return left_start is not None and (not left_start or start_time <= left_start)
